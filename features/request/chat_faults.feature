Feature: Chat requests under faults
  Guards against truncated, mixed and doubly billed answers when engines, routers or callers fail in
  the middle of a stream. Each caller gets the complete answer to its own request or an error that
  says whether the request ran, and is billed once.

  Background:
    Given a fleet of 3 routers, 2 model servers and a budget of 3000 tokens

  Scenario Outline: The answer is complete in spite of an engine fault
    Given the next engine will <fault>
    When a <kind> chat of 20 tokens is sent to router 1
    Then the chat is served whole
    And exactly 1 bill is stored, of the tokens that the engine counted
    And no reservation is left

    Examples:
      | fault                                    | kind     |
      | refuse before the first byte             | streamed |
      | be down before the first byte            | streamed |
      | be silent before the first byte          | streamed |
      | break off after event 1                  | streamed |
      | break off after event 10                 | streamed |
      | break off after event 20, before the end | streamed |
      | go silent after event 10                 | streamed |
      | leave out event 10                       | streamed |
      | break off after event 10                 | whole    |
      | go silent after event 10                 | whole    |
      | be down before the first byte            | whole    |

  # Guards against an engine's error that is passed on as an event, in place of the one that was due.
  Scenario Outline: An error that an engine writes into its stream is no part of the answer
    Given the next engine will <fault>
    When a <kind> chat of 20 tokens is sent to router 1
    Then the chat <outcome>
    And exactly 1 bill is stored
    And no reservation is left

    Examples:
      | fault                                          | kind     | outcome                                       |
      | report an error before the first event         | streamed | is served whole                               |
      | report an error before the first event         | whole    | is served whole                               |
      | break off after event 10, then report an error | whole    | is served whole                               |
      | break off after event 10, then report an error | streamed | failed with SERVER_FAILED and says it did run |

  Scenario: A caller that has read events gets an error when no engine can complete the stream
    Given every engine will fail permanently after event 5
    When a streamed chat of 20 tokens is sent to router 1
    Then the chat failed with SERVER_FAILED and says it did run
    And exactly 1 bill is stored
    And no reservation is left

  Scenario: A run fails over to another engine if none of its events was read
    Given one engine will fail permanently after event 5
    When a whole chat of 20 tokens is sent to router 1
    Then the chat is served whole
    And exactly 1 bill is stored

  Scenario Outline: A run cancelled at its engine does not count as a complete answer
    When a <kind> chat of 20 tokens is sent to router 1, and its run is cancelled after <seconds> s
    Then the chat <outcome>

    Examples:
      | kind     | seconds | outcome                                       |
      | whole    | 0.03    | is served whole                               |
      | whole    | 0.15    | is served whole                               |
      | streamed | 0.03    | failed with SERVER_FAILED and says it did run |
      | streamed | 0.15    | failed with SERVER_FAILED and says it did run |

  Scenario: An answer beyond its token limit is truncated at the reservation
    Given the engines ignore the token limit
    When a streamed chat of 20 tokens is sent to router 1
    Then the answer is truncated without an error
    And the bill is not larger than the reservation
    And no reservation is left

  Scenario: A caller that disconnects cancels the run and is billed for the generated tokens
    When a caller disconnects from a chat of 500 tokens after 2 seconds
    And 10 seconds pass
    Then the run was cancelled at the engine
    And exactly 1 bill is stored
    And the bill is smaller than 500 tokens
    And no reservation is left

  Scenario: A run that exceeds its deadline is cancelled
    When a chat of 500 tokens is sent to router 1 with a deadline of 2 s
    Then the chat failed with DEADLINE_PASSED and says it did run
    And exactly 1 bill is stored
    And no reservation is left

  Scenario: Concurrent requests with one key at all routers share one run
    When a chat with key k-1 is sent to all routers at once, twice each
    Then all callers get the same whole answer
    And the engines have started 1 run
    And exactly 1 bill is stored

  Scenario: A retry after completion replays the answer
    When a chat with key k-1 is sent to router 1
    And a chat with key k-1 is sent to router 3
    Then all callers get the same whole answer
    And the engines have started 1 run
    And exactly 1 bill is stored

  Scenario: A retry resumes the run of a router that died in the middle of the stream
    When router 2 dies 0.15 seconds after a chat with key k-1 was sent to it
    And a chat with key k-1 is sent to router 1
    Then the chat is served whole
    And the engines have started 1 run
    And exactly 1 bill is stored

  Scenario: A refused request can be retried with the same key
    Given both engines are down
    When a chat with key k-1 is sent to router 1 with a deadline of 5 s
    Then the last refusal is SERVER_FAILED and says it did not run
    When both engines are up again
    And 10 seconds pass
    And a chat with key k-1 is sent to router 2
    Then the chat is served whole

  Scenario: Idempotency keys are scoped to the workspace
    When a chat with key k-1 is sent to router 1
    And the other workspace sends a chat with key k-1 to router 1
    Then the engines have started 2 runs

  Scenario: Retries stay within the retry budget when every server fails
    Given both engines refuse everything
    When 100 chats of 20 tokens are sent to all routers at once
    Then the retries are at most a tenth of the first attempts plus a burst
    And no reservation is left

  Scenario: A graceful stop lets every open stream complete
    When router 1 stops gracefully while 60 chats of 100 tokens are open there
    Then every chat is served whole or refused as not run
    And at least 60 chats were served whole
    And every served chat is billed once
