Feature: Periodic tasks of a router
  A router follows its configuration, its peers and the servers in periodic tasks. None of them may
  end before the router does.

  # Guards against a router that stays on an old configuration for good, because the task that
  # follows the store has ended by an error that it does not expect.
  Scenario Outline: A router follows the store again after an unexpected error
    Given a single router whose <task> fails once with an unexpected error
    When a new configuration is stored 5 seconds later
    Then it is in force on the router within 4 seconds
    And the restart of a task is counted

    Examples:
      | task                       |
      | watch of the configuration |
      | activation of a change     |
