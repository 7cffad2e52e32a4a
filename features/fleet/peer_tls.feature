Feature: TLS
  With certificates set, a router or caller without the right one gets nothing.

  Scenario Outline: Routers demand a certificate of their authority of each other
    Given two routers with certificates of one authority
    When <who> calls the second router
    Then the call <outcome>

    Examples:
      | who                                   | outcome        |
      | the first router                      | is answered    |
      | a router with another authority       | is unreachable |
      | a client without TLS                  | is unreachable |

  Scenario: The callers' port speaks TLS when it has a certificate
    Given a callers' port with a TLS certificate
    Then a client that trusts the authority receives a response
    And a client that does not trust the authority rejects the certificate
