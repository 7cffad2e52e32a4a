Feature: A few routers watch the registry and relay its changes to the others
  With many routers and few servers, a watch by every router would cost the store a call every two
  seconds and one more for each change, for each router. Changes must still arrive in time when
  watchers stop or messages are lost, repeated or late.

  Scenario: All routers are up to date and only the watchers call the store
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When 30 servers register within 30 seconds
    Then all routers know 36 servers immediately
    And the 23 other routers called the store fewer than 30 times in total

  Scenario: A change arrives although one watcher has stopped
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When the first watcher stops
    And a registered server leaves
    Then all routers know 5 servers immediately

  Scenario: A change arrives in time although all watchers have stopped
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When all watchers stop
    And a registered server leaves
    Then within 1.5 seconds all routers know 5 servers

  Scenario: A router that receives no watcher messages watches the registry itself
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When one router is partitioned from the watchers
    And a registered server leaves
    Then within 1.5 seconds all routers know 5 servers
    When the router receives watcher messages again
    And a registered server leaves
    Then all routers know 4 servers immediately

  Scenario: A change whose message was lost is read from the registry
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a registered server leaves and the message about it is lost
    Then within 1.5 seconds all routers know 5 servers

  Scenario: The registry is read again after its history was lost
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When the registry loses its history while a server leaves
    Then within 1.5 seconds all routers know 5 servers

  Scenario: A message older than the known position changes nothing
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a registered server leaves and the message about it is repeated after it registered again
    Then all routers know 6 servers immediately

  Scenario: A watcher announces a new configuration immediately
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a watcher and another router announce configuration 7
    Then only the watcher's message is sent, with configuration 7
    And all routers know 6 servers immediately

  Scenario: In a small fleet every router watches and no message is sent
    Given 9 routers that follow a registry of 6 servers, 9 of which watch it
    When 30 servers register within 30 seconds
    Then all routers know 36 servers immediately
    And no message was sent

  # Guards against watches that are renewed several times a second by each router that is cut off.
  Scenario Outline: Routers that are cut off from the watchers watch with full waits
    Given <routers> routers that follow a registry of 6 servers, 2 of which watch it
    When the others are cut off from the watchers for 8 seconds
    Then each of them called the store at most 5 times
    And a server that leaves during the next cut is gone at all routers within 1.5 seconds of its start

    Examples:
      | routers |
      | 25      |
      | 195     |

  # Guards against a list of all entries from the store by each router that starts or lost the history.
  Scenario Outline: Routers that need all entries get them from a watcher
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When <event>
    Then all routers know 6 servers within 1 seconds
    And the other routers listed the store at most <lists> times

    Examples:
      | event                                              | lists |
      | all routers but the watchers begin to follow anew  | 0     |
      | the watchers do not answer, and the others begin to follow anew | 23 |
      | the watchers' entries are older than what the others have seen, and these begin to follow anew | 23 |

  # Guards against a server that left and is back because a watcher's list was old.
  Scenario: An older list of a watcher brings no server back
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a registered server leaves
    And the watchers' entries are older than what the others have seen, and these begin to follow anew
    Then all routers know 5 servers within 1 seconds

  # Guards against a router that waits for a first message for ever, and so watches no configuration.
  Scenario: A router whose registry cannot be read expects a first message for two seconds only
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a router starts whose registry cannot be read and that no watcher answers
    Then it expects a first message for 2 seconds and not for 3
