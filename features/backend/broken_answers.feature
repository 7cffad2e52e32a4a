Feature: Calls of a router's own whose answers break the protocol
  A head that breaks the protocol is no answer to any call. What the call was for may have happened.

  # Guards against an order, a run or a service's call that an answer without a status decides.
  Scenario Outline: An answer without a valid status is no answer
    Given a server that <behaviour>
    When a call <call>
    Then the call ends with <outcome> within 1.0 seconds

    Examples:
      | behaviour                      | call                  | outcome                    |
      | answers with the status 000 OK | calls it as a service | ServerResponseInvalidError |
      | answers with the status 099 OK | calls it as a service | ServerResponseInvalidError |
      | answers with the status 600 OK | calls it as a service | ServerResponseInvalidError |
      | answers with the status 000 OK | sends it an order     | ServerResponseInvalidError |
      | streams with the status 000 OK | starts a run          | ServerResponseInvalidError |
      | streams with the status 600 OK | starts a run          | ServerResponseInvalidError |
      | answers with the status 000 OK | asks for its load     | nothing                    |
      | answers with the status 000 OK | has it count tokens   | nothing                    |

  # Guards against a success that the operators are told, or a list of no VMs that is believed.
  Scenario Outline: An answer without a valid status is none of a router, a store or the platform
    Given a server that answers with the status <status>
    When the operators' command asks it for its state
    Then the command ends as one that did not reach the router
    When the client of the <store> store <call>
    Then the call ends with <outcome> within 1.5 seconds

    Examples:
      | status | store    | call              | outcome                  |
      | 000 OK | VM-list  | reads the list    | StoreUnavailableError    |
      | 600 OK | VM-list  | reads the list    | StoreUnavailableError    |
      | 000 OK | platform | writes a key      | WriteOutcomeUnknownError |
      | 000 OK | platform | reads all servers | StoreUnavailableError    |
      | 000 OK | etcd     | writes a key      | WriteOutcomeUnknownError |

  # Guards against a call that is decided by an answer of which a line cannot be read.
  Scenario Outline: An answer with a broken name of a field is no answer
    Given a server that <behaviour>
    When a call <call>
    Then the call ends with <outcome> within 1.0 seconds

    Examples:
      | behaviour                                                | call                  | outcome                    |
      | answers with the line X-A\x20: 1                         | calls it as a service | ServerResponseInvalidError |
      | answers with the line \x20X-A: 1                         | calls it as a service | ServerResponseInvalidError |
      | answers with the framing Content-Length\x20: 24          | calls it as a service | ServerResponseInvalidError |
      | answers with the framing Transfer-Encoding: xchunked     | calls it as a service | ServerResponseInvalidError |
      | answers with the line \x20X-A: 1                         | sends it an order     | ServerResponseInvalidError |
      | answers with the refusal 503 Content-Length\x20: 24      | sends it an order     | ServerResponseInvalidError |
      | streams with the line \x20X-A: 1                         | starts a run          | ServerResponseInvalidError |
      | streams with the refusal 503 \x20X-A: 1                  | starts a run          | ServerResponseInvalidError |
      | streams with the framing Transfer-Encoding\x20: chunked  | starts a run          | ServerResponseInvalidError |

  # Guards against a list, a write or a state that a broken head tells.
  Scenario Outline: An answer with a broken name of a field is none of a router, a store or the platform
    Given a server that answers with the <part>
    When the operators' command asks it for its state
    Then the command ends as one that did not reach the router
    When the client of the <store> store <call>
    Then the call ends with <outcome> within 1.5 seconds

    Examples:
      | part                                | store    | call           | outcome                  |
      | framing Content-Length\x20: 24      | VM-list  | reads the list | StoreUnavailableError    |
      | line \x20X-A: 1                     | VM-list  | reads the list | StoreUnavailableError    |
      | refusal 409 Content-Length\x20: 24  | platform | writes a key   | WriteOutcomeUnknownError |
      | refusal 503 \x20X-A: 1              | platform | writes a key   | WriteOutcomeUnknownError |

  # Guards against a list of no VMs that an error response brings.
  Scenario Outline: A list of VMs is read only from a success
    Given a server that answers with the status <status>
    When the client of the VM-list store reads the list
    Then the call ends with StoreUnavailableError within 1.5 seconds

    Examples:
      | status                    |
      | 500 Internal Server Error |
      | 404 Not Found             |
      | 202 Accepted              |

  # Guards against a part of an answer that is stored as the whole one.
  Scenario Outline: A part of an answer that is reset beside its upload is no answer
    Given a server that <behaviour>
    When a call calls it as a service with 4 MiB
    Then the call ends with ServerConnectionLostError within 1.0 seconds

    Examples:
      | behaviour                                            |
      | resets an answer without a length                    |
      | answers, ends and resets before it has read the body |
