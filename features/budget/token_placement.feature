Feature: Tokens are held where callers arrive
  Callers crowd at a few routers of a large fleet. A router that borrows what one request needs, one
  loan after the other, refuses requests while the lender has plenty of tokens.

  # One of 88 routers had sixteen times the mean of the requests and refused some with 3,245,239
  # tokens drawable, as loans came one after the other within a wait of 0.1 s.
  Scenario Outline: One of 88 routers gets sixteen times the mean demand
    Given a lending fleet of 88 routers with the platform's settings and a budget of <tokens> tokens
    And calls between routers take between 20 and 55 ms
    When one router gets 797 requests and each other one 50 within <seconds> seconds
    Then no request was refused as unreachable while over a tenth of the budget was drawable
    And no more than the budget was spent
    And fewer than <calls> store calls were made

    # The last row drains a budget in the 12 seconds.
    Examples:
      | tokens   | seconds | calls |
      | 60000000 | 12      | 100   |
      | 20000000 | 50      | 300   |
      | 20000000 | 12      | 100   |

  # A router held 2,000 tokens where a request costs up to 9,190.
  Scenario: Each router holds enough for its first requests before any demand is measured
    Given a lending fleet of 24 routers with the platform's settings and a budget of 20000000 tokens
    Then each router holds at least 9390 free tokens
    And all routers together hold at most 0.4 of the budget

  Scenario: Loans follow demand that moves to another router within a second
    Given a lending fleet of 24 routers with the platform's settings and a budget of 60000000 tokens
    And calls between routers take between 20 and 55 ms
    When 60 requests a second come to one router for 4 seconds, then to another one for 1 second
    Then no request was refused as unreachable while over a tenth of the budget was drawable
    And the router with the demand holds enough for two loans of 55 ms at its demand

  Scenario: A request that fits does not wait behind one that does not
    Given a lending fleet of 24 routers with the platform's settings and a budget of 20000000 tokens
    And calls between routers take between 20 and 55 ms
    When the store stops answering all routers
    And a router gets a request of 18000000 tokens, and 20 ms later requests of 2568 tokens
    Then only the large request is refused
    And each of the others waited at most 0.06 seconds

  # The tokens of a loan that came too late were asked for again by the next request.
  Scenario: A loan that ends after the wait of its request serves the next one
    Given a lending fleet of 24 routers with the platform's settings and a budget of 20000000 tokens
    And calls between routers take between 150 and 150 ms
    When a router gets a request of more than it holds, and one of the same size 0.3 seconds later
    Then only the first of these requests is refused
    And each of the others waited at most 0.0 seconds

  # Tokens held ahead are of no use where no callers arrive.
  Scenario: Idle tokens of borrowers go back when others need them
    Given a lending fleet of 24 routers with the platform's settings and a budget of 20000000 tokens
    When the store stops answering all routers
    And one router spends more than it and the lender hold, in requests of 9390 tokens
    Then it spent at least half of what the idle routers held

  Scenario Outline: What is held ahead falls as the budget drains
    Given a budget of 1000000 tokens of which <drawable> are drawable, and 88 routers
    When one router has all of the demand
    Then all borrowers hold at most <most> tokens
    And the lender holds at most 20000 more

    # 97 in 100 of a budget must stay usable, also if all routers are killed at its last tenth.
    Examples:
      | drawable | most   |
      | 1000000  | 200000 |
      | 100000   | 10000  |
      | 0        | 0      |

  # Guards against routers that hold less than a small request needs when a cut of all begins, though
  # the budget is far from drained.
  Scenario: Each router holds the tokens of a small request while a fifth of a budget is drawable
    Given a budget of 10000000 tokens of which 2000000 are drawable, and 88 routers
    Then each router may hold 2000 tokens before its demand is measured

  Scenario: Kills and cuts of the crowded router and the lender overspend nothing
    Given a lending fleet of 24 routers with the platform's settings and a budget of 2000000 tokens
    And calls between routers take between 20 and 55 ms
    When one router gets 400 requests and each other one 25, while it and the lender are cut off and killed
    Then spent and held tokens are within the budget

  # An infinite rate would make the parts of all borrowers undefined.
  Scenario Outline: Impossible figures of a borrower change nothing
    Given a budget of 1000000 tokens of which 1000000 are drawable, and 4 routers
    When one router has all of the demand
    And router r1 reports <free> free tokens and a rate of <rate>
    Then the report is refused and no other router's room changes

    Examples:
      | free | rate |
      | 0    | inf  |
      | 0    | nan  |
      | 0    | -1   |
      | -5   | 1    |
