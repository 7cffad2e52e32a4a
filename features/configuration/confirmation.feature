Feature: Confirmation that a configuration is the newest
  A router that does not follow the store, because it was paused, starved or cut off, asks before it
  refuses a request. Asking must not cost the store a call for each request.

  # Guards against a refusal by an older configuration than the one that the store has confirmed.
  Scenario: Asking finds a newer configuration
    Given a configuration service that does not follow its store
    When configuration 2 is stored
    And 20 requests ask for a confirmation at once
    Then the configuration is confirmed, and its number is 2

  # Guards against refused requests that each cost the store a call.
  Scenario: Requests share one call, and those of the next second need none
    Given a configuration service that does not follow its store
    When 20 requests ask for a confirmation at once
    And 0.9 seconds later 20 requests ask for a confirmation at once
    Then the configuration is confirmed, and its number is 1
    And the store received 1 call

  # Guards against a refusal that rests on a confirmation from before a change.
  Scenario: A confirmation counts for one second
    Given a configuration service that does not follow its store
    When 20 requests ask for a confirmation at once
    And configuration 2 is stored
    And 1.1 seconds later 20 requests ask for a confirmation at once
    Then the configuration is confirmed, and its number is 2

  # Guards against a refusal by a configuration that cannot be compared with the store's.
  Scenario Outline: Without a readable answer of the store nothing is confirmed
    Given a configuration service that does not follow its store
    When <fault>
    And 20 requests ask for a confirmation at once
    Then nothing is confirmed within 0.6 seconds

    Examples:
      | fault                           |
      | the store is down               |
      | the store does not answer       |
      | configuration 2 cannot be read  |
      | configuration 2 is not accepted |

  # Guards against a newer configuration that is forgotten because the first peer that named it is silent.
  Scenario Outline: A newer configuration that several peers name comes from the one that answers
    Given a configuration service that does not follow its store
    And peers of which <silent> are silent and the last has configuration 3
    When all peers name configuration 3 once, <method>
    Then configuration 3 is in force within <seconds> seconds

    Examples:
      | silent | method        | seconds |
      | 1      | in heartbeats | 0.3     |
      | 3      | in heartbeats | 0.7     |
      | 1      | as watchers   | 0.5     |
