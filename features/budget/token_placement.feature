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
      | 20000000 | 50      | 500   |
      | 20000000 | 12      | 100   |
