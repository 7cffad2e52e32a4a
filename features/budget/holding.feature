Feature: Target holding of a router
  Held tokens pay for requests during a store outage, but are lost if all routers are killed. The
  target assumes that a budget will be used up, that all routers lose the store for some seconds,
  and that all are killed at some point. Too large a holding near the end of a budget would strand
  its last tokens.

  Scenario Outline: The holding of all routers together falls faster than the budget
    Given 9 routers that hold at most 0.25 of the unspent part of 1000000 tokens
    When the demand at each is <demand> tokens a second and <unspent> tokens are unspent
    Then the target holding of all routers is between <least> and <most> tokens

    Examples:
      | demand | unspent | least  | most   |
      | 3000   | 1000000 | 249000 | 250000 |
      | 3000   | 500000  | 124000 | 125000 |
      | 3000   | 250000  | 15500  | 15625  |
      | 3000   | 150000  | 3300   | 3375   |
      | 100    | 1000000 | 249000 | 250000 |
      | 3000   | 0       | 0      | 0      |

  Scenario: Before the account has been read, the target is the floor share
    Given 9 routers that hold at most 0.25 of the unspent part of 1000000 tokens
    When the demand at each is 10 tokens a second and the account has not been read
    Then the target holding of all routers is between 270000 and 270000 tokens

  # An average that counted the idle time before the first request would read too low, and the
  # router would hold too little.
  Scenario: Demand is measured from the first request
    When a process that was idle for 20 seconds spends 100 tokens a second for 6 seconds
    Then the measured demand is between 90 and 115 tokens a second
