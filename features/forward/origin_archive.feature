Feature: Origins of streams in the store while a service has several versions
  All routers together write a few values a second, also while they cannot reach each other: the store
  charges for each call, and its rates grow more slowly than the fleet.

  # Guards against writes whose number grows with the routers, or with the streams.
  Scenario Outline: Writes do not grow with the fleet
    Given <routers> routers in <centres> data centres that archive origins of streams
    When each records 4 streams a second for 10 seconds <state>
    Then the store received at most 60 writes of origins
    And <share> of the streams are known after all routers were killed

    Examples:
      | routers | centres | state                                | share        |
      | 9       | 3       | in touch with the others             | at least 0.9 |
      | 27      | 3       | in touch with the others             | at least 0.9 |
      | 195     | 5       | in touch with the others             | at least 0.9 |
      | 9       | 3       | while all are cut off from each other | any         |
      | 195     | 5       | while all are cut off from each other | any         |

  # Guards against origins that are lost with one router that is silent.
  Scenario: Origins are archived although the collector does not answer
    Given 9 routers in 3 data centres that archive origins of streams
    When each records 4 streams a second for 10 seconds while the collector is silent
    Then at least 0.9 of the streams are known after all routers were killed

  # Guards against a task that ends for good while the store is away.
  Scenario: Origins are archived again after an outage of the store
    Given 9 routers in 3 data centres that archive origins of streams
    When each records 4 streams a second for 5 seconds during an outage of the store
    And each records 4 streams a second for 5 seconds in touch with the others
    Then at least 0.9 of the streams recorded last are known after all routers were killed

  # Guards against a value that nobody can decode and that hides the others.
  Scenario: Unreadable values are left out
    Given 9 routers in 3 data centres that archive origins of streams
    And an unreadable value in the store among the origins
    When each records 4 streams a second for 5 seconds in touch with the others
    Then at least 0.9 of the streams are known after all routers were killed
