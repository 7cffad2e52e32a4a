Feature: Contract of the HTTP clients for backend servers
  Guards against a client that loses or repeats stream events, takes a broken stream for a complete
  one, or reports the wrong error. Connections that fail, stall or are refused cause this; a wrong
  error leads to a retry of a request that has already run.

  Background:
    Given a stand-in engine over HTTP

  Scenario: A complete stream
    When a run of 10 tokens is streamed
    Then the events are numbered from 1 without gaps and end with the end event

  Scenario Outline: Errors of a stream when the engine fails
    When the engine will <fault>
    And a run of 10 tokens is streamed
    Then the stream ends with <error> after <events> events

    Examples:
      | fault                    | error                     | events |
      | reject the run           | ServerRefusedError        | 0      |
      | disconnect after event 3 | ServerConnectionLostError | 3      |
      | stall after event 3      | ServerConnectionLostError | 3      |
      | be unreachable           | ServerUnreachableError    | 0      |

  # Guards against an answer of an earlier run that arrives where the next one is due.
  Scenario: A late second copy of an answer reaches no later run on the same connection
    Given an engine that answers each request, and before it once more the one before on its connection
    When the runs a and b are streamed one after the other
    Then each run got only its own events
    And the engine received each run once

  Scenario: A run is resumed after the last event
    When the engine will disconnect after event 3
    And a run of 10 tokens is streamed
    And the same run is resumed
    Then the events are numbered from 1 without gaps and end with the end event
    And the engine has started 1 run

  Scenario: Resuming an unknown run is rejected
    When a run is resumed that was never started
    Then the stream ends with ServerRefusedError after 0 events

  Scenario: Load report, token count and cancellation
    Then the engine reports its models and its load
    And the engine counts a prompt exactly
    And a cancelled run stops generating tokens

  Scenario: An order with a stale fencing number is rejected
    When an order with fencing number 5 is sent
    Then the order is accepted and its model is loaded
    When an order with fencing number 4 is sent
    Then the order fails with ServerRefusedError

  Scenario Outline: A request to a plain service
    Given a stand-in order service over HTTP
    When the service will <fault>
    And a booking is sent
    Then the booking ends with <outcome>, and the service has run it <runs> times

    Examples:
      | fault                        | outcome                   | runs |
      | respond                      | a response                | 1    |
      | disconnect before responding | ServerConnectionLostError | 1    |
      | never respond                | ServerConnectionLostError | 1    |
      | be unreachable               | ServerUnreachableError    | 0    |
