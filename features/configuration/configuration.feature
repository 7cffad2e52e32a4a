Feature: Configuration
  Of racing operators one wins, an accepted patch is in force everywhere and never reverts.

  Background:
    Given a fleet of 6 routers, 2 model servers and a budget of 9000 tokens

  Scenario Outline: Racing operators
    Given the store <fault>
    When operators at all routers patch the same number at once
    And the store is back
    And 10 seconds pass
    Then exactly one patch was accepted
    And the accepted patch is in force on every router

    Examples:
      | fault                     |
      | works                     |
      | loses half of the answers |
      | gives stale reads         |

  Scenario: A patch whose answer was lost is applied once
    Given the store loses half of the answers
    When an operator sends the same patch 5 times with one id
    And the store is back
    Then the number has risen by 1 in the store

  Scenario: A patch is in force everywhere within 4 seconds though few routers watch
    When the configuration is patched
    Then it is in force on every router within 4 seconds
    And at most 2 routers of each data centre watch the store

  Scenario: Routers cut off from the store learn from their peers
    Given routers 5 and 6 are cut off from the store only
    When the configuration is patched
    Then it is in force on every router within 4 seconds

  Scenario: A stale store never reverts what is in force
    When the configuration is patched
    And 5 seconds pass
    And the store gives the oldest configuration to every reader
    And 60 seconds pass
    Then no router has gone back

  Scenario: A partition that heals brings the newest number to all
    When router 1 and the store are cut off from the other routers
    And the configuration is patched
    And 30 seconds pass
    Then only router 1 has it in force
    When the partition heals
    And 10 seconds pass
    Then it is in force on every router
