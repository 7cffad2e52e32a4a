Feature: Load orders to engines
  Guards against models that are not loaded, are loaded on more engines than needed or exceed the
  rate limit of the model weight store, and against late orders of a former controller. A controller
  that cannot reach the store, or whose order is delayed, may send it after another one has acquired
  the lease.

  Scenario: A model that is not loaded anywhere is loaded on one engine
    Given a fleet with a controller whose engines check the fencing number
    When model late is configured for all engines
    And 30 seconds pass
    Then model late is loaded at 1 engine
    And a chat for model late can be sent to an engine

  Scenario: Loads do not exceed the rate limit of the model weight store
    Given a fleet with a controller whose engines check the fencing number
    When 4 models are configured for all engines
    And 25 seconds pass
    Then at most 3 loads were ordered
    When 60 seconds pass
    Then all 4 models are loaded, each at 1 engine

  Scenario Outline: No order of the former controller takes effect after a partition
    Given a fleet with a controller whose engines <check>
    When the controller is cut off from the store but not from the engines
    And 60 seconds pass
    And model late is configured for all engines
    And 60 seconds pass
    Then model late is loaded at 1 engine
    And no engine accepted an order with a lower fencing number after a higher one

    Examples:
      | check                     |
      | check the fencing number  |
      | ignore the fencing number |

  Scenario: A new controller of engines that ignore the fencing number waits before its first order
    Given a fleet with a controller whose engines ignore the fencing number
    When the controller stops gracefully and a model is missing
    Then the next controller waits for the time limit of an order before its first order

  Scenario: A lease acquisition whose reply is lost elects no controller
    Given a fleet with a controller whose engines check the fencing number
    When all store replies are lost and the controller is killed
    And 60 seconds pass
    Then no order is sent
    When the store is back
    And model late is configured for all engines
    And 60 seconds pass
    Then model late is loaded at 1 engine
