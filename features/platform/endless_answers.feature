Feature: Stores that send without end
  Guards against a faulty store, or whatever answers at its address, that takes the router's memory
  and time. A read is unavailable, a write has an unknown outcome, and the connection is closed.

  # Guards against responses of any size that are read into memory.
  Scenario Outline: Responses to store calls are limited in bytes and time
    Given a server that <behaviour>
    When the client of the <store> store <call>
    Then the call ends with <outcome> within 2.5 seconds
    And the server's connection is closed before it has sent <mebibytes> MiB

    Examples:
      | behaviour                                     | store    | call             | outcome                  | mebibytes |
      | sends a body without a length and without end | platform | reads a key      | StoreUnavailableError    | 16        |
      | sends a body in chunks without end            | platform | reads a key      | StoreUnavailableError    | 16        |
      | announces a body of a gigabyte                | platform | reads a key      | StoreUnavailableError    | 8         |
      | sends interim heads without end               | platform | reads a key      | StoreUnavailableError    | 8         |
      | sends a chunk extension without end           | platform | reads a key      | StoreUnavailableError    | 8         |
      | fails with a body without end                 | platform | reads a key      | StoreUnavailableError    | 16        |
      | sends a body in chunks without end            | platform | writes a key     | WriteOutcomeUnknownError | 16        |
      | sends interim heads without end               | platform | writes a key     | WriteOutcomeUnknownError | 8         |
      | sends a body in chunks without end            | platform | watches servers  | RegistryHistoryLostError | 16        |
      | sends a body in chunks without end            | etcd     | reads a key      | StoreUnavailableError    | 40        |
      | sends interim heads without end               | etcd     | reads a key      | StoreUnavailableError    | 8         |
      | fails with a body without end                 | etcd     | reads a key      | StoreUnavailableError    | 8         |
      | sends a body in chunks without end            | etcd     | writes a key     | WriteOutcomeUnknownError | 40        |
      | sends a body in chunks without end            | etcd     | watches a key    | StoreUnavailableError    | 16        |
      | sends lines without end                       | etcd     | watches a key    | StoreUnavailableError    | 16        |
      | sends a body in chunks without end            | VM-list  | reads the list   | StoreUnavailableError    | 8         |
      | sends interim heads without end               | VM-list  | reads the list   | StoreUnavailableError    | 8         |

  # Guards against a listing that never ends, because every page says that another one follows.
  Scenario Outline: Pages without end
    Given a store that lists <pages>
    When the client of the platform store reads all servers
    Then the call ends with StoreUnavailableError within 5.0 seconds
    And the store has received at most <calls> calls

    Examples:
      | pages                        | calls |
      | the same page again          | 2     |
      | further pages without end    | 40    |

  # Guards against a watch that fails for good because too much has changed since its position.
  Scenario: After a response to a watch that is too large, all servers are read in pages
    Given a store whose history is larger than a response may be
    When a follower of the registry starts
    Then it knows all servers within 5.0 seconds
