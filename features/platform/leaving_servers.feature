Feature: Servers that leave while other entries of the registry are odd
  A router process has to learn that a server drains whatever else is written beside its entry.
  What it sends there afterwards ends with the server, and its callers get no whole answer.

  # Guards against a table of servers that stands still at an entry which cannot be read: requests went on
  # to a server that drained and were cut when it left (LOST).
  Scenario Outline: A server that drains gets no more requests, and none is lost when it leaves
    Given a router process with 2 servers whose streams take 2 seconds
    When callers keep sending streams, 20 a second
    And a registry entry <entry> is written beside them
    And a server reports that it drains, and leaves 4.5 seconds later
    Then the server got no request later than 2 seconds after its report
    And each caller had the whole stream

    Examples:
      | entry                                         |
      | with 2000 opened arrays in an unknown field   |
      | with 3000 nested objects in an unknown field  |
      | of a sound server of another service          |
