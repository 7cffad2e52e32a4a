Feature: Calls to the store by a fleet that forwards requests
  The store charges for each call, and its rates grow more slowly than the fleet. Few routers watch; the
  others learn from them.

  # The bounds are per router where each still has to act: it creates its record and lists the others at
  # a start, and in a cut of all nobody can tell it what has changed.
  Scenario Outline: A start of all routers, a quiet time and a cut of all
    Given a fleet that forwards requests to 30 servers
    When <routers> routers in <centres> centres start with the servers and 10 s pass
    Then the store received at most 4 calls for each router and 400 more
    And every router has the configuration and knows all servers
    When nothing happens for 20 s
    Then the store received at most 300 calls
    When all routers are cut off from each other for 8 s
    Then the store received at most 8 calls for each router and 200 more

    Examples:
      | routers | centres |
      | 27      | 3       |
      | 81      | 3       |
