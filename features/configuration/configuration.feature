Feature: Configuration
  Guards against patches that are lost or applied twice and against routers that keep or return to
  an older configuration. Concurrent patches, lost or stale store replies, and routers that cannot
  reach the store or each other cause this.

  Background:
    Given a fleet of 6 routers, 2 model servers and a budget of 9000 tokens

  Scenario Outline: Of concurrent patches of one number, exactly one is accepted
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

  Scenario: A patch that is repeated after a lost reply is applied once
    Given the store loses half of the answers
    When an operator sends the same patch 5 times with one id
    And the store is back
    Then the configuration number in the store has increased by 1

  Scenario: A patch is in force on all routers within 4 seconds although few watch the store
    When the configuration is patched
    Then the new configuration is in force on every router within 4 seconds
    And at most 2 routers of each data centre watch the store

  Scenario: Routers that cannot reach the store fetch the configuration from peers
    Given routers 5 and 6 are cut off from the store only
    When the configuration is patched
    Then the new configuration is in force on every router within 4 seconds

  Scenario: A stale store never reverts the configuration in force
    When the configuration is patched
    And 5 seconds pass
    And the store returns the oldest configuration to every reader
    And 60 seconds pass
    Then no router has reverted to an older configuration

  Scenario: After a partition heals, all routers have the newest configuration
    When router 1 and the store are cut off from the other routers
    And the configuration is patched
    And 30 seconds pass
    Then the new configuration is in force on router 1 only
    When the partition heals
    And 10 seconds pass
    Then the new configuration is in force on every router
