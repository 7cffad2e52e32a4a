Feature: How many tokens a router wants to hold
  Load pattern: a budget that will be used up, cuts of all routers from the store, and a kill of all.

  Scenario Outline: What all routers hold together falls faster than the budget
    Given 9 routers that hold at most 0.25 of what is unspent of 1000000 tokens
    When the demand at each is <demand> tokens a second and <unspent> tokens are unspent
    Then all together want to hold between <least> and <most> tokens

    Examples:
      | demand | unspent | least  | most   |
      | 3000   | 1000000 | 249000 | 250000 |
      | 3000   | 500000  | 124000 | 125000 |
      | 3000   | 250000  | 15500  | 15625  |
      | 3000   | 150000  | 3300   | 3375   |
      | 100    | 1000000 | 249000 | 250000 |
      | 3000   | 0       | 0      | 0      |

  Scenario: A budget whose account was not read yet is held for its floor
    Given 9 routers that hold at most 0.25 of what is unspent of 1000000 tokens
    When the demand at each is 10 tokens a second and the account was not read
    Then all together want to hold between 270000 and 270000 tokens

  Scenario: The demand is measured from the first request on
    When a process that has waited 20 seconds spends 100 tokens a second for 6 seconds
    Then its demand counts as 90 to 115 tokens a second
