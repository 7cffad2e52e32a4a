Feature: Waiting for a server with a time limit at which the wait can go on

  # Guards against an error of the operation that is taken for the end of the wait, and asked for again
  # and again without ever giving the other requests a turn.
  Scenario Outline: What an operation raises is not taken for a wait that goes on
    When an operation raises <error> and is waited for with a time limit
    Then the wait ends with <error>

    Examples:
      | error        |
      | TimeoutError |
      | OSError      |

  # Guards against an operation that is ended by the time limit of one wait, or that is left behind.
  Scenario: An operation goes on over the time limit and is cancelled at the end
    When an operation of 5 seconds is waited for twice for 1 second and then left
    Then both waits ended while it went on
    And the operation was cancelled
