Feature: A crowded router turns new connections away before its link is full
  A load balancer picks a router by a hash of the caller. A router that gets many times the callers
  of another one reports not ready while its link still has room, and serves what arrives.

  # Guards against a full link: a router with sixteen times the median of the callers accepted no
  # connections any more, and half of its requests failed.
  Scenario Outline: A crowded router turns new connections away within a second
    Given a router with a link of 10 Mbit/s in a data centre of <live> routers of which <shedding> turn callers away
    When <rate> requests a second of 9200 bytes come for 1 second
    Then the router now <decision>

    Examples:
      | live | shedding | rate | decision                     |
      | 30   | 0        | 100  | turns new connections away   |
      | 30   | 2        | 100  | turns new connections away   |
      | 30   | 0        | 20   | takes new connections        |
      # The others would be crowded in turn.
      | 30   | 3        | 100  | takes new connections        |
      | 3    | 0        | 100  | takes new connections        |
      | 1    | 0        | 100  | takes new connections        |

  # Guards against a router that stays away for good, or that comes and goes with each burst.
  Scenario: A router is ready again some seconds after its crowd has gone
    Given a router with a link of 10 Mbit/s in a data centre of 30 routers of which 0 turn callers away
    When 100 requests a second of 9200 bytes come for 1 second
    And 5 requests a second of 9200 bytes come for 3 seconds
    Then the router now turns new connections away
    When 5 requests a second of 9200 bytes come for 2 seconds
    Then the router now takes new connections

  # Guards against a router that never finds out that the crowd on its open connections is all
  # there is, and against one that alternates without a pause.
  Scenario: A router that stays crowded takes new connections for a moment
    Given a router with a link of 10 Mbit/s in a data centre of 30 routers of which 0 turn callers away
    When 100 requests a second of 9200 bytes come for 60 seconds
    Then the router took new connections for at least 2 seconds at a time
    And the router turned them away for at most 30 seconds at a time

  # Guards against callers that come back to the same router every few seconds and fill its link
  # again each time.
  Scenario: A router whose crowd comes back soon stays away for longer
    Given a router with a link of 10 Mbit/s in a data centre of 30 routers of which 0 turn callers away
    When 100 requests a second of 9200 bytes come for 1 second
    And 5 requests a second of 9200 bytes come for 5 seconds
    Then the router now takes new connections
    When 100 requests a second of 9200 bytes come for 3 seconds
    And 5 requests a second of 9200 bytes come for 5 seconds
    Then the router now turns new connections away

  # Guards against a busy processor that no link shows.
  Scenario Outline: A router whose event loop is late turns new connections away
    Given a router with a link of 1000 Mbit/s in a data centre of 30 routers of which 0 turn callers away
    When its timers are late by <delay> seconds for 2 seconds
    Then the router now <decision>

    Examples:
      | delay | decision                   |
      | 0.3   | turns new connections away |
      | 0.02  | takes new connections      |

  # Guards against notices of routers that are believed for good, and against junk in them.
  Scenario: Notices of other routers end when nobody repeats them
    Given a router that was told of 9 crowded routers
    Then it knows of 9 crowded routers
    When 6 seconds pass without a notice
    Then it knows of 0 crowded routers
