Feature: Routers that cannot reach the store live on what the fleet holds
  Load pattern: one workspace whose requests nearly all come to one router, while the store does
  not answer some or all of the routers, and calls to it are silent until they time out.

  Scenario: All routers cut off from the store share what they hold
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When calls of all routers to the store stay silent
    And router vm-1 spends 70 times 100 of 150 reserved tokens within 7 seconds
    Then at least 68 of 70 requests were admitted

  Scenario: Routers cut off from the store draw through a peer that reaches it
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When calls of the account's home, vm-1 and 2 more routers to the store stay silent
    And router vm-1 spends 300 times 100 of 150 reserved tokens within 15 seconds
    Then at least 285 of 300 requests were admitted
    And no more than 60000 tokens were spent, and at least 28500

  Scenario: A router draws for itself again once the cut has ended
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When calls of the account's home, vm-1 and 2 more routers to the store stay silent
    And router vm-1 spends 100 times 100 of 150 reserved tokens within 10 seconds
    And all routers reach the store
    And router vm-1 spends 60 times 100 of 150 reserved tokens within 6 seconds
    Then every router believes that it reaches the store
    And at least 150 of 160 requests were admitted

  Scenario: A stopping router hands back at once and holds nothing from then on
    Given a forwarding fleet of 6 routers and a budget of 60000 tokens
    And each router holds tokens
    When router vm-1 begins to stop
    Then within 0.5 seconds no grant of vm-1 is open
    When router vm-1 spends 10 times 100 of 150 reserved tokens within 2 seconds
    Then at least 10 of 10 requests were admitted
    And within 3.0 seconds no grant of vm-1 is open
