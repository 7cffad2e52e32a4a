Feature: Recovery of grants
  Guards against spending a grant twice: a silent router may still spend its tokens, so its grants
  are closed only once it is proven dead and every possible holder has answered, never by a timeout.

  Background:
    Given a fleet of 3 routers, 2 model servers and a budget of 3000 tokens

  Scenario: A router that restarts on its VM proves its predecessor dead
    Given router 2 has served chats and holds tokens
    When router 2 is killed
    And router 2 starts again on its VM
    And 20 seconds pass
    Then no grant of a dead router is open
    And the budget's invariants hold

  Scenario Outline: Tokens whose spending cannot be proven follow the in-doubt policy
    Given the in-doubt policy is <policy>
    And router 2 has served chats and holds tokens
    When router 2 is killed
    And router 2 starts again on its VM
    And 20 seconds pass
    Then <in doubt> tokens are in doubt

    Examples:
      | policy  | in doubt |
      | hold    | some     |
      | release | no       |

  Scenario: A silent router keeps its tokens
    Given router 2 has served chats and holds tokens
    When router 2 is isolated from the network
    And 600 seconds pass
    Then the grants of router 2 are still open
    When chats of 20 tokens are sent to router 2 until one is refused
    And the partition heals
    And 20 seconds pass
    Then the budget's invariants hold
    And every served chat is billed once

  Scenario: A VM missing from the platform's list counts as dead only without lease and heartbeats
    Given the platform lists all VMs
    And router 2 has served chats and holds tokens
    When the platform twice lists all VMs except that of router 2
    And 20 seconds pass
    Then the grants of router 2 are still open
    When router 2 is killed
    And 30 seconds pass
    And the platform twice lists all VMs except that of router 2
    And 20 seconds pass
    Then no grant of a dead router is open

  Scenario: A VM that was never listed does not count as dead
    Given the platform lists no VM
    And router 2 has served chats and holds tokens
    When router 2 is killed
    And 60 seconds pass
    Then the grants of router 2 are still open
    When an operator declares router 2 dead
    And 20 seconds pass
    Then no grant of a dead router is open

  Scenario: No grant is closed while a possible holder does not answer
    Given router 2 has served chats and holds tokens
    And router 3 is isolated from the network
    When router 2 is killed
    And router 2 starts again on its VM
    And 60 seconds pass
    Then the grants of the killed router 2 are still open
    When the partition heals
    And 20 seconds pass
    Then no grant of a dead router is open
    And the budget's invariants hold

  Scenario: Bills of a router killed during a store outage are recorded by another router
    Given router 2 has served chats and holds tokens
    And the store is down
    When a chat of 20 tokens is sent to router 2
    And router 2 is killed
    And the store is back
    And router 2 starts again on its VM
    And 60 seconds pass
    Then every served chat is billed once
    And the budget's invariants hold

  Scenario: A graceful stop returns all tokens
    Given router 2 has served chats and holds tokens
    When router 2 stops gracefully
    And 20 seconds pass
    Then no grant of router 2 is open
    And no tokens are in doubt
    And every served chat is billed once

  Scenario: A graceful stop during a store outage gives the tokens to a peer
    Given router 2 has served chats and holds tokens
    And the store is down
    When router 2 stops gracefully
    Then another router holds the tokens that router 2 held
    When the store is back
    And 60 seconds pass
    Then every served chat is billed once
    And the budget's invariants hold
