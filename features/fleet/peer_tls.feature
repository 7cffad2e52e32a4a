Feature: TLS between routers and for callers
  Guards against connections that bypass TLS: a router without a certificate of the fleet's
  authority that is answered, and a caller that connects although it does not trust the authority.

  Scenario Outline: A router only answers peers with a certificate of its authority
    Given two routers with certificates of one authority
    When <who> calls the second router
    Then the call <outcome>

    Examples:
      | who                                   | outcome        |
      | the first router                      | is answered    |
      | a router with another authority       | is unreachable |
      | a client without TLS                  | is unreachable |

  Scenario: The callers' port uses TLS if it has a certificate
    Given a callers' port with a TLS certificate
    Then a client that trusts the authority receives a response
    And a client that does not trust the authority rejects the certificate
