Feature: Few routers watch the registry and the others hear of changes from them
  Load pattern: many routers for few servers, where each router's own watch would be a call to the
  store every two seconds and one more for each change.

  Scenario: All routers are in step and only the watchers call the store
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When 30 servers enter themselves within 30 seconds
    Then all routers know 36 servers at once
    And the 23 others called the store fewer than 30 times in all

  Scenario: A change is heard although one watcher has died
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When the first watcher dies
    And a registered server leaves
    Then all routers know 5 servers at once

  Scenario: A change is heard in time although all watchers have died
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When all watchers die
    And a registered server leaves
    Then within 1.5 seconds all routers know 5 servers

  Scenario: A router that is cut off from the watchers watches by itself
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When one router is cut off from the watchers
    And a registered server leaves
    Then within 1.5 seconds all routers know 5 servers
    When the router hears the watchers again
    And a registered server leaves
    Then all routers know 4 servers at once

  Scenario: A lost message is made up for
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a registered server leaves and the news of it are lost
    Then within 1.5 seconds all routers know 5 servers

  Scenario: Lost history is read anew
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When the registry loses its history while a server leaves
    Then within 1.5 seconds all routers know 5 servers

  Scenario: A message older than what is known changes nothing
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a registered server leaves and the news of it come again after another has entered
    Then all routers know 6 servers at once

  Scenario: A watcher tells at once that another configuration is in force
    Given 25 routers that follow a registry of 6 servers, 2 of which watch it
    When a watcher and another router announce configuration 7
    Then only the watcher's message is sent, and the others hear of configuration 7
    And all routers know 6 servers at once

  Scenario: In a small fleet each router watches and nobody is told
    Given 9 routers that follow a registry of 6 servers, 9 of which watch it
    When 30 servers enter themselves within 30 seconds
    Then all routers know 36 servers at once
    And no message was sent
