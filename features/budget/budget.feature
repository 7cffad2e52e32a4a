Feature: Budgets across the fleet
  A workspace never spends more than its prepaid budget, and its requests are not refused while
  the budget can pay for them.

  Background:
    Given a fleet of 3 routers, 2 model servers and a budget of 3000 tokens

  Scenario: A request is billed once, for its actual usage
    When a chat of 20 tokens is sent to router 1
    Then the chat is served whole
    And exactly 1 bill is stored, of the tokens that the engine counted
    And no reservation is left

  Scenario: The last tokens are usable from every router
    When chats of 100 tokens are sent to router 1 until one is refused
    And chats of 20 tokens are sent to router 2 until one is refused
    Then the last refusal is BUDGET_EXHAUSTED and says it did not run
    And fewer than 50 tokens are left in the whole budget
    And the budget's invariants hold

  Scenario: Concurrent requests on all routers never overspend
    When 200 chats of 30 tokens are sent to all routers at once
    Then every chat is served whole or refused as not run
    And fewer than 60 tokens are left in the whole budget
    And the budget's invariants hold

  Scenario: A router borrows tokens from a peer while the store is down
    Given router 2 has served chats and holds tokens
    And the store is down
    When chats of 20 tokens are sent to router 1 until one is refused
    Then more tokens were spent at router 1 than it held itself
    And the last refusal is BUDGET_UNREACHABLE and says it did not run
    When the store is back
    And 10 seconds pass
    Then the budget's invariants hold
    And every served chat is billed once

  Scenario: Idle tokens stay usable during a store outage
    Given router 2 has served chats and holds tokens
    And the store is down
    When 200 seconds pass
    And a chat of 20 tokens is sent to router 2
    Then the chat is served whole
    When a chat of 20 tokens is sent to router 1
    Then the chat is served whole

  Scenario Outline: A store fault neither loses nor duplicates a bill
    Given every router has served chats and holds tokens
    And the store <fault>
    When 30 chats of 20 tokens are sent to all routers at once
    And the store is back
    And 20 seconds pass
    Then every served chat is billed once
    And the budget's invariants hold

    Examples:
      | fault                              |
      | loses every answer                 |
      | loses half of the answers          |
      | is down                            |
      | is slow                            |
      | gives stale reads                  |

  Scenario: A top-up sent twice is applied once and can be spent at another router
    Given chats of 100 tokens are sent to router 1 until one is refused
    When the budget is topped up by 1000 tokens, twice with the same id
    And a chat of 500 tokens is sent to router 2
    Then the chat is served whole
    And the purchased total is 4000 tokens

  Scenario: Lowering a budget never takes it below the spent tokens
    Given a chat of 100 tokens is sent to router 1
    When the budget is set to 10 tokens
    And a chat of 20 tokens is sent to router 2
    Then the last refusal is BUDGET_EXHAUSTED and says it did not run
    And the budget's invariants hold

  Scenario: Each side of a partition spends the tokens it holds without overspending
    Given router 1 and the store are cut off from routers 2 and 3
    When chats of 30 tokens are sent to router 1 until one is refused
    And chats of 30 tokens are sent to router 2 until one is refused
    And the partition heals
    And 20 seconds pass
    Then the budget's invariants hold
    And every served chat is billed once

  # The pool drops a finished grant. If it dropped the running total of returned tokens as well,
  # a later return of tokens of the same grant would be taken for one that is already applied.
  Scenario: Tokens of a dropped grant that are received again can be returned
    When 40 of 100 tokens of a grant are returned, 60 are spent and 30 are received again
    Then all 30 tokens are returned to the account

  # With some rates the computed sleep is shorter than the resolution of the clock. Without a
  # minimum sleep the wait for the next write then never ends.
  Scenario Outline: Waiting for the write rate limit never becomes a busy loop
    Then <writers> writers that share <rate> writes a second finish within the expected time

    Examples:
      | writers | rate     |
      | 20      | 6        |
      | 20      | 7.000001 |
      | 100     | 333.333  |
