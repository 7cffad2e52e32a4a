Feature: Relaying between complete routers
  The setting `backend.relay` switches it on. The state dump and the heartbeats tell what is believed.

  Scenario: A complete router that is cut off relays
    Given a fleet of 4 complete routers with relaying switched on
    When servers are out of reach of vm-1, which gets a request
    Then the answer comes through another router, and the state dumps show it
    And the others know that it is cut off

  Scenario: A fleet that does not ask for it
    Given a fleet of 2 complete routers with relaying switched off
    Then no router relays, and heartbeats say nothing of servers
