Feature: Target holding of a router
  Held tokens pay for requests during a store outage, but are lost if all routers are killed. The
  target assumes that a budget will be used up, that all routers lose the store for some seconds,
  and that all are killed at some point. Too large a holding near the end of a budget would strand
  its last tokens.

  Scenario Outline: The holding of all routers together falls faster than the budget
    Given 9 routers that hold at most 0.25 of the drawable part of 1000000 tokens
    When the demand at each is <demand> tokens a second and <drawable> tokens are drawable
    Then the target holding of all routers is between <least> and <most> tokens

    Examples:
      | demand | drawable | least  | most   |
      | 3000   | 1000000  | 249000 | 250000 |
      | 3000   | 350000   | 86000  | 87500  |
      | 3000   | 200000   | 5200   | 5335   |
      | 3000   | 100000   | 150    | 167    |
      | 100    | 1000000  | 249000 | 250000 |
      | 3000   | 0        | 0      | 0      |

  Scenario: Before the account has been read, the target is the floor share
    Given 9 routers that hold at most 0.25 of the drawable part of 1000000 tokens
    When the demand at each is 10 tokens a second and the account has not been read
    Then the target holding of all routers is between 270000 and 270000 tokens

  # Most callers of a workspace keep their connection, so nearly all of its requests come to one or
  # two routers. In a cut of all routers from each other the tokens of the others are of no use.
  Scenario: Nearly all callers of a workspace come to one router
    Given 9 routers that hold at most 0.25 of the drawable part of 1000000 tokens
    When one router has all of the demand of 3000 tokens a second and 300000 tokens are drawable
    Then the target holding of that router is between 22000 and 22500 tokens
    And the target holding of each other router is between 2200 and 2250 tokens

  # An average that counted the idle time before the first request would read too low, and the
  # router would hold too little.
  Scenario: Demand is measured from the first request
    When a process that was idle for 20 seconds spends 100 tokens a second for 6 seconds
    Then the measured demand is between 90 and 115 tokens a second

  # Routers report their spending every few seconds, and after an outage all of it at once.
  Scenario: The demand of the fleet is measured by the settled total
    When the settled total of an account grows by 400 tokens every 4 seconds for 20 seconds
    And an older total is read once
    Then the measured demand of the fleet is between 85 and 130 tokens a second
