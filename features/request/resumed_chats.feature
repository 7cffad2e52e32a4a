Feature: Chats that a caller takes up at another router
  A caller that has read events and comes back with Last-Event-ID gets only the later events of the
  same run. An engine that has started again knows nothing of the run, and a router that finds no trace
  of it cannot tell whether the caller's events were of that run.

  Background:
    Given 3 routers that serve chats over HTTP, and an engine of version v1

  # Guards against a takeover that refuses although the run is still there.
  Scenario: A chat goes on at another router after the death of the first one
    When a caller reads 5 events of a keyed chat at router 1, and router 1 dies
    And the caller comes back at router 2 after event 5
    Then the caller has the whole answer of version v1
    And the engine has run 1 chats

  # Guards against events of a second run, behind those of the first one that the caller has read.
  Scenario: A chat does not go on with another run after the engine has come back without it
    When a caller reads 5 events of a keyed chat at router 1, and router 1 dies
    And the engine comes back at version v1.2
    And the caller comes back at router 2 after event 5
    Then the caller's events are all of version v1
    And the caller is told that the answer cannot be completed

  # Guards against events of a second run that was begun for another caller with the same key.
  Scenario Outline: A chat that was run anew for another caller does not go on for one with events
    When a caller reads 5 events of a keyed chat at router 1, and router 1 dies
    And the engine comes back at version v1.2
    And another caller sends the same chat to router 2 and gets the whole answer
    And the caller comes back at router <router> after event 5
    Then the caller's events are all of version v1
    And the caller is told that the answer cannot be completed

    Examples:
      | router |
      | 2      |
      | 3      |

  # Guards against a new run for a caller that holds events of a run that the fleet has forgotten.
  Scenario Outline: A chat that no router knows is not run anew for a caller that has events
    When a caller comes back at router 2 after event 5 with <key>
    Then the caller's events are all of version v1
    And the caller is told that the answer cannot be completed
    And the engine has run 0 chats

    Examples:
      | key            |
      | an unknown key |
      | no key         |
