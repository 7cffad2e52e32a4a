Feature: Routers that cannot reach the store use tokens held by the rest of the fleet
  Guards against refusals while other routers hold tokens: nearly all requests of one workspace
  arrive at one router, and store calls of some or all routers time out without an answer.

  Scenario: Routers that all lost the store share the tokens they hold
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When store calls of all routers go unanswered
    And router vm-1 serves 70 requests that reserve 150 tokens and use 100, within 7 seconds
    Then at least 68 of 70 requests were admitted

  Scenario: Routers that lost the store draw through a peer that reaches it
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When store calls of the account's home, vm-1 and 2 more routers go unanswered
    And router vm-1 serves 300 requests that reserve 150 tokens and use 100, within 15 seconds
    Then at least 285 of 300 requests were admitted
    And between 28500 and 60000 tokens were spent

  Scenario: A router draws for itself again once it can reach the store
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When store calls of the account's home, vm-1 and 2 more routers go unanswered
    And router vm-1 serves 100 requests that reserve 150 tokens and use 100, within 10 seconds
    And the store answers all routers again
    And router vm-1 serves 60 requests that reserve 150 tokens and use 100, within 6 seconds
    Then every router reports the store as reachable
    And at least 150 of 160 requests were admitted

  Scenario: A stopping router returns its tokens at once and holds none afterwards
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When router vm-1 begins to stop
    Then within 0.5 seconds no grant of vm-1 is open
    When router vm-1 serves 10 requests that reserve 150 tokens and use 100, within 2 seconds
    Then at least 10 of 10 requests were admitted
    And within 3.0 seconds no grant of vm-1 is open

  Scenario: A router that lost the store keeps tokens beyond its target, as nobody could use them
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When store calls of all routers go unanswered
    And the target holding of vm-1 falls to a tenth for 3 seconds
    Then vm-1 has as many free tokens as before

  Scenario: Returns that got no answer are repeated when the store answers again
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When store calls of all routers go unanswered
    And vm-1 returns its free tokens
    And store calls are answered again
    Then all returns of vm-1 are confirmed within 4 seconds
