Feature: Error responses to invalid requests
  Guards against invalid input that is billed, leaves a reservation behind, gets the wrong result
  code or stops the process.

  Background:
    Given a router that serves HTTP

  Scenario Outline: A malformed chat request is refused
    When a chat request is sent with <fault>
    Then the response has status <status> and code <code>, and says it did not run
    And nothing was run, billed or left reserved
    And a correct chat request is served

    Examples:
      | fault                        | status | code                    |
      | no key                       | 401    | MISSING_KEY             |
      | a basic key                  | 401    | MISSING_KEY             |
      | a wrong key                  | 401    | UNKNOWN_KEY             |
      | broken JSON                  | 400    | BROKEN_JSON             |
      | a NaN in the JSON            | 400    | BROKEN_JSON             |
      | deeply nested JSON           | 400    | BROKEN_JSON             |
      | a list as body               | 400    | INVALID_FIELD           |
      | an empty body                | 400    | BROKEN_JSON             |
      | an oversized body            | 413    | BODY_TOO_LARGE          |
      | no model                     | 400    | INVALID_FIELD           |
      | an unknown model             | 404    | UNKNOWN_MODEL           |
      | no messages                  | 400    | INVALID_FIELD           |
      | a message without a role     | 400    | INVALID_FIELD           |
      | a number as content          | 400    | INVALID_FIELD           |
      | negative max tokens          | 400    | INVALID_FIELD           |
      | zero max tokens              | 400    | INVALID_FIELD           |
      | absurd max tokens            | 400    | INVALID_FIELD           |
      | max tokens as text           | 400    | INVALID_FIELD           |
      | max tokens as true           | 400    | INVALID_FIELD           |
      | stream as text               | 400    | INVALID_FIELD           |
      | several choices              | 400    | INVALID_FIELD           |
      | a deadline as text           | 400    | INVALID_DEADLINE        |
      | a negative deadline          | 400    | INVALID_DEADLINE        |
      | an infinite deadline         | 400    | INVALID_DEADLINE        |
      | an empty idempotency key     | 400    | INVALID_IDEMPOTENCY_KEY |
      | a very long idempotency key  | 400    | INVALID_IDEMPOTENCY_KEY |
      | a slash in the key           | 400    | INVALID_IDEMPOTENCY_KEY |
      | an unknown path              | 404    | NOT_FOUND               |
      | too small a budget           | 402    | BUDGET_EXHAUSTED        |

  Scenario: A service that the workspace may not use is refused
    When the service nothing is called
    Then the response has status 404 and code UNKNOWN_SERVICE, and says it did not run
    And nothing was run, billed or left reserved

  Scenario: A key reused for another request is refused
    When a chat request is sent with key k-1 and prompt one
    And a chat request is sent with key k-1 and prompt two
    Then the response has status 422 and code KEY_REUSED, and says it did not run

  Scenario: Two workspaces may use the same key
    When a chat request is sent with key k-1 and prompt one
    And the other workspace sends a chat request with key k-1 and prompt two
    Then the response has status 200

  Scenario Outline: A valid request is served
    When a correct chat request is sent <way>
    Then the complete answer arrives with its finish reason and usage

    Examples:
      | way                 |
      | for a whole answer  |
      | for a stream        |

  Scenario: A stopping router refuses new requests and is not ready
    When the router stops accepting requests
    And a correct chat request is sent for a whole answer
    Then the response has status 503 and code STOPPING, and says it did not run
    And the response closes its connection
    And the router is not ready, but healthy
