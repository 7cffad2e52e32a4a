Feature: The engine client's contract
  Streams are read in order and to their own end, whatever the connection does.

  Background:
    Given a stand-in engine over HTTP

  Scenario: A whole stream
    When a run of 10 tokens is streamed
    Then the events are numbered from 1 without gaps and end with the engine's end

  Scenario Outline: What the client learns when the engine misbehaves
    When the engine will <fault>
    And a run of 10 tokens is streamed
    Then the stream ends with <error> after <events> events

    Examples:
      | fault                      | error                 | events |
      | refuse                     | ServerRefusedError    | 0      |
      | break off behind event 3   | ServerBrokeOffError   | 3      |
      | go silent behind event 3   | ServerBrokeOffError   | 3      |
      | be gone                    | ServerNotReachedError | 0      |

  Scenario: A run is resumed behind the last event
    When the engine will break off behind event 3
    And a run of 10 tokens is streamed
    And the same run is resumed
    Then the events are numbered from 1 without gaps and end with the engine's end
    And the engine has started 1 run

  Scenario: Resuming a run that the engine does not know is refused
    When a run is resumed that was never started
    Then the stream ends with ServerRefusedError after 0 events

  Scenario: Load, tokens and cancel
    Then the engine reports its models and its load
    And the engine counts a prompt exactly
    And a cancelled run stops producing

  Scenario: Orders carry their fencing number
    When an order with number 5 is sent
    Then the order is taken and its model is loaded
    When an order with number 4 is sent
    Then the order ends with ServerRefusedError

  Scenario Outline: A plain service's call
    Given a stand-in order service over HTTP
    When the service will <fault>
    And a booking is sent
    Then the booking ends with <outcome>, and the service has run it <runs> times

    Examples:
      | fault                   | outcome               | runs |
      | answer                  | an answer             | 1    |
      | close without an answer | ServerBrokeOffError   | 1    |
      | never answer            | ServerBrokeOffError   | 1    |
      | be gone                 | ServerNotReachedError | 0    |
