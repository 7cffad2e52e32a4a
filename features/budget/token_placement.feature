Feature: Tokens are held where callers arrive
  Callers crowd at a few routers of a large fleet. A router that borrows what one request needs, one
  loan after the other, refuses requests while the lender has plenty of tokens.

  # One of 88 routers had sixteen times the mean of the requests and refused some with 3,245,239
  # tokens drawable, as loans came one after the other within a wait of 0.1 s.
  Scenario: One of 88 routers gets sixteen times the mean demand
    Given a lending fleet of 88 routers with the platform's settings and a budget of 20000000 tokens
    And calls between routers take between 20 and 55 ms
    When one router gets 797 requests and each other one 50 within 12 seconds
    Then no request was refused as unreachable while over a tenth of the budget was drawable
    And no more than the budget was spent
