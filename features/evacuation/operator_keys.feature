Feature: Evacuations are read with the configuration from the platform's store
  The key op/evacuate/DATA_CENTRE stands beside the configuration, so one watch covers both.

  Background:
    Given the platform key-value service
    And a configuration service that follows evacuations

  # Guards against changes that are missed, and against a value that is no object and evacuates or withdraws.
  Scenario Outline: Keys evacuate data centres
    When <change>
    Then within 1 s <names> is evacuated
    And configuration 7 is followed

    Examples:
      | change                                                        | names     |
      | nothing is written                                            | nothing   |
      | {} is written for dc-0                                        | dc-0      |
      | {"Reason":"fire"} is written for dc-0                         | dc-0      |
      | {} is written for dc-0 and dc-1                               | dc-0,dc-1 |
      | {} is written for dc-0 and removed                            | nothing   |
      | no JSON is written for dc-0                                   | nothing   |
      | [1] is written for dc-0                                       | nothing   |
      | {} and then no JSON is written for dc-0                       | dc-0      |
      | {} is written for an empty name                               | nothing   |
      | {} is written for dc-0 and the watch history is lost          | dc-0      |
      | {} is written for dc-0 and the store comes back from a copy   | dc-0      |
      | {} is written for dc-0 while watches are reset                | dc-0      |
      | {} is written for dc-0 and no JSON while the history is lost  | dc-0      |

  # Guards against calls of its own in steady state, and against a watch of the configuration that is missed.
  Scenario: Following evacuations makes no call beside those for the configuration
    When nothing is written
    Then in 1.0 s the store gets only watches, at most 5
    When the configuration 8 is written beside an evacuation
    Then within 1 s dc-0 is evacuated
    And configuration 8 is followed

  # Guards against a long watch that waits on for a connection that has become silent in a cut.
  Scenario: A long watch is given up when the store answers again after a failure
    When watches of 10 s have become silent
    And {} is written for dc-0
    And another call fails and the next one is answered
    Then within 1 s dc-0 is evacuated
