Feature: Configurations reach a fleet through its routers and not through the store
  The store charges for each call. What a router does not watch for itself comes from a peer, and whether
  it is still the newest one is asked once for all routers. The store is the last resort.

  Background:
    Given the target that a change is in force everywhere within 2 seconds

  # Guards against a call to the store by each router for each version, and against a watcher that uses
  # more than half of a link of 20 Mbit/s for bodies of 10 KB.
  Scenario Outline: Calls for a storm of versions do not grow with the fleet
    Given a fleet of <routers> routers in <centres> data centres, with 2 watchers in each
    When 25 versions are stored within 2 seconds
    Then the newest version is in force at every router within the target
    And routers that do not watch called the store at most 5 times
    And no router answered more than 250 fetches

    Examples:
      | routers | centres |
      | 9       | 1       |
      | 27      | 3       |
      | 81      | 3       |
      | 195     | 5       |
      | 418     | 16      |

  # Guards against a call to the store by each router that has to confirm a refusal.
  Scenario Outline: Calls to confirm refusals do not grow with the fleet
    Given a fleet of <routers> routers in <centres> data centres, with 2 watchers in each
    When every router refuses requests for 5 seconds
    Then every refusal was confirmed within a second before it
    And the store was asked to confirm at most 12 times

    Examples:
      | routers | centres |
      | 27      | 3       |
      | 195     | 5       |
      | 418     | 16      |

  # Guards against a refusal that rests on what another router knew before a change.
  Scenario: A change that only the store has is found before the next refusal that is due
    Given a fleet of 27 routers in 3 data centres, with 0 watchers in each
    When every router refuses requests for 3 seconds
    And version 2 is stored, and 1.05 seconds later every router refuses a request
    Then every refusal was by version 2

  # Guards against routers that are left behind when the one that is asked, or that has the version, is silent.
  Scenario Outline: Silent peers do not keep a router from a new version or a confirmation
    Given a fleet of 27 routers in 3 data centres, with 2 watchers in each
    And <fault> in this fleet
    When 5 versions are stored within 1 seconds
    Then the newest version is in force at every router within the target
    When every router refuses requests for 2 seconds
    Then every refusal was confirmed within a second before it

    Examples:
      | fault                                                   |
      | the router that confirms for all does not answer        |
      | the watchers name versions but answer no fetch          |
      | the routers cannot reach each other but for the watchers' messages |

  # Guards against routers that all turn to the store in the same moment.
  Scenario: Routers that fall back to the store do so one after the other
    Given a fleet of 195 routers in 5 data centres, with 2 watchers in each
    And the watchers name versions but answer no fetch in this fleet
    When 1 versions are stored within 1 seconds
    Then the newest version is in force at every router within the target
    And the store received at most 60 calls in any 0.1 seconds
