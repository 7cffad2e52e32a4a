Feature: Connections that fall silent for good while new ones work
  A connection that falls silent is not closed, so only a time limit shows it. All connections that
  were open at that moment are affected, idle ones in a pool too.

  # Guards against a confirmed configuration that is not in force when a router counts as reachable
  # again, 3 seconds after its connections fell silent.
  Scenario Outline: A configuration written after all connections fell silent is in force in time
    Given a configuration service behind a proxy, with <idle> idle connections to the store
    When all connections fall silent <after> seconds after a watch began
    And a new configuration is acknowledged <later> seconds later
    Then it is in force 3 seconds after the connections fell silent

    Examples:
      | idle | after | later |
      | 0    | 0.05  | 0.9   |
      | 0    | 0.4   | 0.5   |
      | 4    | 0.05  | 0.9   |
      | 4    | 1.0   | 0.2   |

  # Guards against routers that lose each other for good, as a connection between them is silent.
  Scenario: Routers reach each other again after the connections between them fell silent
    Given two routers whose connection runs through a proxy
    When the connection falls silent while 3 calls are open
    Then a call within 3 seconds after that is answered, and so are all later ones
