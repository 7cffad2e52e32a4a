Feature: In a large fleet one router draws for the others and lends to them
  Load pattern: many routers that each meet a workspace every few seconds, so that a draw for each
  request would be a write for each request.

  Scenario: Requests all over the fleet cost few writes and the budget holds
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router spends 60 times 100 of 150 reserved tokens within 30 seconds
    Then all of these requests were admitted
    And the account was written fewer than 300 times
    And only one router holds grants of the account
    And within 20 seconds the account has settled the 144000 tokens spent

  Scenario: A fleet that wants more than there is spends no more than there is
    Given a lending fleet of 24 routers and a budget of 30000 tokens
    When each router spends 60 times 100 of 150 reserved tokens within 30 seconds
    Then no more than 30000 tokens were spent, and at least 27000

  Scenario: While the lender is dead, routers draw for themselves and its tokens are not spent again
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router spends 10 times 100 of 150 reserved tokens within 5 seconds
    And the lender is killed
    And each router spends 60 times 100 of 150 reserved tokens within 30 seconds
    Then no more than 200000 tokens were spent, and at least 140000

  Scenario: A lender that hears the same total twice counts it once
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router spends 10 times 100 of 150 reserved tokens within 5 seconds
    And each report of spending reaches the lender twice, and its answers are lost
    Then within 20 seconds the account has settled the 24000 tokens spent

  Scenario: In an outage the lender's tokens pay for all, wherever the requests come
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router spends 10 times 100 of 150 reserved tokens within 10 seconds
    And the store stays silent for all routers
    And each router spends 8 times 100 of 150 reserved tokens within 8 seconds
    Then at most 10 of these requests were refused
    And within 0.6 seconds the lender answers 30 requests of borrowers at once

  Scenario: A router that is asked to draw does so, whoever it takes for the lender
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When a router that is not the lender is asked to draw 500 tokens for a peer
    Then the peer is lent 500 tokens

  Scenario: A lender holds enough for an outage after its first draw
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router spends 1 times 100 of 150 reserved tokens within 0 seconds
    Then the lender holds at least 20000 tokens free
