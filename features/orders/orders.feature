Feature: Orders to engines
  One controller for each data centre loads models; a former one does no harm.

  Scenario: A model without a server is loaded once
    Given a fleet with a controller whose engines check the number
    When model late is configured for all engines
    And 30 seconds pass
    Then model late is loaded at 1 engine
    And a chat for model late can be given to an engine

  Scenario: The weight store's rate is kept
    Given a fleet with a controller whose engines check the number
    When 4 models are configured for all engines
    And 25 seconds pass
    Then at most 3 loads were ordered
    When 60 seconds pass
    Then all 4 models are loaded, each at 1 engine

  Scenario Outline: After a partition no order of the former controller counts
    Given a fleet with a controller whose engines <check>
    When the controller is cut off from the store but not from the engines
    And 60 seconds pass
    And model late is configured for all engines
    And 60 seconds pass
    Then model late is loaded at 1 engine
    And no engine took an order of a lower number after a higher one

    Examples:
      | check             |
      | check the number  |
      | ignore the number |

  Scenario: A new controller of engines that ignore the number waits before its first order
    Given a fleet with a controller whose engines ignore the number
    When the controller stops gracefully and a model is missing
    Then the next controller gives its first order no sooner than the longest flight of an order

  Scenario: A lease whose answer was lost gives nobody the role
    Given a fleet with a controller whose engines check the number
    When the store loses every answer and the controller is killed
    And 60 seconds pass
    Then nobody gives orders
    When the store is back
    And model late is configured for all engines
    And 60 seconds pass
    Then model late is loaded at 1 engine
