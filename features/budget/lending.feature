Feature: In a large fleet one router draws tokens and lends them to the others
  Guards against a store write per request: each of many routers serves a workspace only every few
  seconds, so a router that drew for itself would draw for each request.

  Scenario: Requests at all routers cause few writes and do not overspend the budget
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router serves 60 requests that reserve 150 tokens and use 100, within 30 seconds
    Then all of these requests were admitted
    And the account was written fewer than 300 times
    And only one router holds grants of the account
    And the account settles the 144000 spent tokens within 20 seconds

  Scenario: Demand beyond the budget is served up to the budget
    Given a lending fleet of 24 routers and a budget of 30000 tokens
    When each router serves 60 requests that reserve 150 tokens and use 100, within 30 seconds
    Then between 27000 and 30000 tokens were spent

  Scenario: After the lender is killed, routers draw for themselves and its tokens are not spent again
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router serves 10 requests that reserve 150 tokens and use 100, within 5 seconds
    And the lender is killed
    And each router serves 60 requests that reserve 150 tokens and use 100, within 30 seconds
    Then between 140000 and 200000 tokens were spent

  Scenario: A lender counts a repeated spending report once
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router serves 10 requests that reserve 150 tokens and use 100, within 5 seconds
    And each spending report reaches the lender twice, and its replies are lost
    Then the account settles the 24000 spent tokens within 20 seconds

  Scenario: During a store outage the lender's tokens pay for requests at all routers
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router serves 10 requests that reserve 150 tokens and use 100, within 10 seconds
    And the store stops answering all routers
    And each router serves 8 requests that reserve 150 tokens and use 100, within 8 seconds
    Then at most 10 of these requests were refused
    And the lender answers 30 concurrent loan requests within 0.6 seconds

  Scenario: A router that is asked to draw does so even if it is not the lender in its own view
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When a router that is not the lender is asked to draw 500 tokens for a peer
    Then the peer is lent 500 tokens

  Scenario: After its first draw the lender holds enough tokens for an outage
    Given a lending fleet of 24 routers and a budget of 200000 tokens
    When each router serves 1 requests that reserve 150 tokens and use 100, within 0 seconds
    Then the lender holds at least 20000 free tokens
