Feature: Calls to backend servers that send without end
  Guards against a faulty server that takes the router's memory and time with a response to a
  call of the router's own. The call fails within its time limit, and the connection is closed.

  # Guards against responses to control calls of any size that are read into memory.
  Scenario Outline: Control calls are limited in bytes and time
    Given a server that <behaviour>
    When a call <call>
    Then the call ends with <outcome> within 1.5 seconds
    And the server's connection is closed before it has sent <mebibytes> MiB

    Examples:
      | behaviour                                    | call                     | outcome                  | mebibytes |
      | sends a body without a length and without end | asks for its load        | nothing                  | 8         |
      | sends a body in chunks without end            | asks for its load        | nothing                  | 8         |
      | announces a body of a gigabyte                | asks for its load        | nothing                  | 8         |
      | sends interim heads without end               | asks for its load        | nothing                  | 8         |
      | sends a chunk extension without end           | asks for its load        | nothing                  | 8         |
      | sends chunk extensions without end            | asks for its load        | nothing                  | 8         |
      | sends trailers without end                    | asks for its load        | nothing                  | 8         |
      | switches protocols and sends without end      | asks for its load        | nothing                  | 8         |
      | fails with a body without end                 | asks for its load        | nothing                  | 8         |
      | sends a body in chunks without end            | has it count tokens      | nothing                  | 8         |
      | sends a body in chunks without end            | cancels a run            | nothing                  | 8         |
      | fails with a body without end                 | sends it an order        | ServerResponseLimitError | 8         |
      | sends interim heads without end               | sends it an order        | ServerResponseLimitError | 8         |
      | fails with a body without end                 | starts a run             | ServerResponseLimitError | 8         |
      | sends interim heads without end               | starts a run             | ServerResponseLimitError | 8         |
      | sends a body without a length and without end | calls it as a service    | ServerResponseLimitError | 16        |
      | sends a body in tiny chunks without end       | calls it as a service    | ServerResponseLimitError | 8         |
      | sends interim heads without end               | calls it as a service    | ServerResponseLimitError | 8         |
      | sends a chunk extension without end           | calls it as a service    | ServerResponseLimitError | 8         |

  # Guards against a service call that is answered with the status 101 as if it had ended.
  Scenario: A server that switches protocols unasked has not answered
    Given a server that switches protocols and sends without end
    When a call calls it as a service
    Then the call ends with ServerConnectionLostError within 1.5 seconds
    And the server's connection is closed before it has sent 8 MiB

  # Guards against a run whose events, or lines that are none, are taken until the deadline.
  Scenario Outline: The stream of a run is limited by the tokens of its request
    Given a server that <behaviour>
    When a call starts a run
    Then the call ends with ServerResponseLimitError within 1.5 seconds
    And the run has yielded at most 30 events
    And the server's connection is closed before it has sent <mebibytes> MiB

    Examples:
      | behaviour                               | mebibytes |
      | streams chat events without end         | 8         |
      | streams the same chat event without end | 8         |
      | streams comments without end            | 16        |

  # Guards against a run without end that is taken up again and again.
  Scenario: A run that has passed a limit is not taken up at the same server
    Given a server that streams chat events without end
    When a chat with 30 tokens is run there
    Then the chat fails as one that may have run
    And the server has received the chat at most 4 times

  # Guards against bytes behind an answer that fill a kept connection or meet the next request.
  Scenario: A connection with bytes behind an answer is closed
    Given a server that sends answers without end
    When a call has it count tokens
    Then the call ends with nothing within 1.5 seconds
    And the server's connection is closed before it has sent 8 MiB

  # Guards against lines of many chats that together take the memory of a small VM.
  Scenario: The events of runs that are not whole share an account
    Given an account of 2 MiB for the answers of a server that streams an event without end
    When 20 runs start at once
    Then all runs end with ServerResponseLimitError, and the server has sent at most 12 MiB
