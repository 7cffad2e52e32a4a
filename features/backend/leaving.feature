Feature: Backend servers that leave
  Guards against routers that keep sending requests to a backend server that is being taken out of
  service or no longer responds. The server, the configuration or the VM list can be the only source
  that reports it, while the store is down or the VM list is out of date.

  Background:
    Given a fleet of 3 routers, 2 model servers and a budget of 90000 tokens

  Scenario Outline: A leaving server gets no new requests after 3 seconds
    Given <obstacle>
    When server s0 is reported as leaving by <source>
    And 3 seconds pass
    And 60 chats of 20 tokens are sent to all routers at once
    Then no chat was sent to server s0 after that
    And every chat is served whole or refused as not run

    Examples:
      | obstacle                   | source            |
      | no fault is injected       | the server itself |
      | the store is down          | the server itself |
      | no fault is injected       | the configuration |
      | no fault is injected       | the VM list       |
      | the store is down          | the VM list       |
      | the VM list is outdated    | the server itself |

  Scenario: A server that stops responding to probes gets no new requests
    When server s0 stops responding
    And 5 seconds pass
    And 20 chats of 20 tokens are sent to all routers at once
    Then no chat was sent to server s0 after that

  Scenario: A server that responds to probes again gets requests again
    When server s0 stops responding
    And 5 seconds pass
    And server s0 responds again
    And 15 seconds pass
    And 60 chats of 20 tokens are sent to all routers at once
    Then server s0 was sent chats again
