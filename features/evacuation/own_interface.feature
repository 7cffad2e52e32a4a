Feature: Evacuations in the product's own interface
  The key op/evacuate/DATA_CENTRE is read and watched by the calls that follow the configuration.

  # Guards against changes that the watch misses, and against calls of its own.
  Scenario: Evacuations come with the configuration
    Given the HTTP key-value service
    And a configuration service of the own interface that follows evacuations
    Then in the own interface nothing is evacuated
    When dc-0 and dc-1 are evacuated by an operator
    Then in the own interface dc-0,dc-1 is evacuated
    When the evacuation of dc-0 is withdrawn
    Then in the own interface dc-1 is evacuated
    When no JSON is stored for dc-2 and configuration 4 is stored
    Then in the own interface dc-1 is evacuated
    And configuration 4 is followed
    When the service fails while dc-3 is evacuated
    Then in the own interface dc-1,dc-3 is evacuated
    And in 1.0 s the own interface makes at most 5 calls

  # Guards against a server that gets requests although its data centre is evacuated.
  Scenario: Servers of an evacuated data centre are not eligible
    Given a directory of servers in dc-0 and dc-1
    When dc-0 is evacuated for the directory
    Then only the server in dc-1 is eligible
    When the evacuation is withdrawn for the directory
    Then both servers are eligible
