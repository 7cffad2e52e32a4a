Feature: Decoding and watching the platform's server registry and configuration
  Guards against routing to an invalid, draining or removed server, and against losing live servers.
  Other writers can put invalid entries under the registry's prefix, watches fail or lose their
  history, and entries expire during a store outage although their servers are still running.

  Scenario: A server listing reads all pages
    Given the platform key-value service
    And 8 servers are registered
    Then the registry returns 8 servers

  Scenario Outline: Invalid registry entries are ignored
    Given the platform key-value service
    And 2 servers are registered
    When the registry entry <entry> is written
    Then the registry returns 2 servers

    Examples:
      | entry                                                              |
      | {"Service":"s","Address":"10.0.0.1:1","State":"ready","Zone":7}    |
      | {"Service":"s","Address":"10.0.0.1:1","State":"asleep"}            |
      | {"Service":["s"],"Address":"10.0.0.1:1","State":"ready"}           |
      | {"Service":"s","State":"ready"}                                    |
      | {"Service":"s","Address":"nowhere","State":"ready"}                |
      | {"Service":"s","Address":"10.0.0.1:port","State":"ready"}          |
      | {"Service":"s","Address":"10.0.0.1:70000","State":"ready"}         |
      | {"Service":"s","Address":"10.0.0.1:","State":"ready"}              |
      | {"Service":"s","Address":":80","State":"ready"}                    |
      | no JSON                                                            |
      | [1,2]                                                              |
      | {"Service":"s","Address":"10.0.0.1:1","State":"ready","Version":7} |

  # Guards against a list of servers that no router can read because of one entry of another writer: after a
  # kill of all routers no request was served until somebody removed the entry.
  Scenario Outline: An entry that cannot be read keeps no other entry from being taken
    Given the platform key-value service
    And 2 servers are registered
    And a registry follower
    When a registry entry <entry> is written
    And a server registers
    Then the registry returns 3 servers
    And within 0.5 seconds 3 servers are usable

    Examples:
      | entry                                             |
      | with 2000 opened arrays in an unknown field       |
      | with 3000 nested arrays in an unknown field       |
      | with 3000 nested objects in an unknown field      |
      | of 100000 opened arrays                           |
      | whose decoder raises an error of another kind     |

  # Guards against entries of other writers whose values can be read and that no server can have. A number beyond 64
  # bits stopped heartbeats and relays of the registry; a request to such a host or id ended with an unknown error.
  Scenario Outline: An entry with an impossible value names no server
    Given the platform key-value service
    And 2 servers are registered
    When an entry with <field> <value> is written
    Then the registry returns 2 servers

    Examples:
      | field           | value                  |
      | Slots           | of 400 digits          |
      | Slots           | 18446744073709551616   |
      | Slots           | 1000001                |
      | Slots           | -5                     |
      | born            | of 400 digits          |
      | born            | 9223372036854775808    |
      | born            | -9223372036854775809   |
      | born            | -1                     |
      | ColdRemainingMs | 1e308                  |
      | ColdRemainingMs | 1e400                  |
      | ColdRemainingMs | 86400001               |
      | Version         | of 201 letters         |
      | Zone            | of 201 letters         |
      | Service         | of 201 letters         |
      | Address         | "10.0.0.7:99999"       |
      | Address         | "10.0.0.7:0"           |
      | Address         | "a..b:80"              |
      | Address         | "999.1.1.1:80"         |
      | Address         | "1.2.3:80"             |
      | Address         | "[::g]:80"             |
      | Address         | ".:80"                 |
      | Address         | "-a:80"                |
      | Address         | of a label of 64 letters |
      | Address         | of a host of 254 letters |
      | Address         | of a port of 5000 digits |
      | key             | of a line break        |
      | key             | of a letter beyond ASCII |
      | key             | of no letters          |

  Scenario Outline: An entry at the end of what a server can have is taken
    Given the platform key-value service
    And 2 servers are registered
    When an entry with <field> <value> is written
    Then the registry returns 3 servers

    Examples:
      | field           | value             |
      | Slots           | 0                 |
      | Slots           | 1000000           |
      | born            | 0                 |
      | born            | 253402300799999   |
      | ColdRemainingMs | -3.5              |
      | ColdRemainingMs | 86400000          |
      | Version         | of 200 letters    |
      | Address         | "10.0.0.7:65535"  |
      | Address         | "[::1]:80"        |
      | Address         | "server-7.example:80" |

  # Guards against an entry that is taken and ends a task or a request later on, at this router or at another one.
  Scenario: Every entry that is taken can be relayed to routers and used by requests
    Then 300 arbitrary entries are left out, or are relayed as they are and make request headers

  # Guards against a list that ends at an entry which a listener of the table cannot take.
  Scenario: An entry that the table cannot take keeps no other entry from being taken
    Given the platform key-value service
    And 2 servers are registered
    And a registry follower
    When the table raises an error for the next entry
    And two servers register
    Then within 0.5 seconds 3 servers are usable

  Scenario Outline: A registry follower updates the server table
    Given the platform key-value service
    And 3 servers are registered
    And a registry follower
    When <event>
    Then within <seconds> seconds <count> servers are usable

    Examples:
      | event                                               | seconds | count |
      | the registry does not change                        | 0.5     | 3     |
      | a server registers                                  | 0.5     | 4     |
      | a server starts draining                            | 0.5     | 2     |
      | a server's entry is removed                         | 0.5     | 2     |
      | a server's entry becomes invalid                    | 0.5     | 2     |
      | an entry is removed and the watch history is lost   | 1.0     | 2     |
      | watches are reset while a server starts draining    | 1.5     | 2     |
      | watches are rejected while a server starts draining | 1.5     | 2     |

  Scenario: A server whose entry expired in an outage stays usable while the entry may be renewed
    Given the platform key-value service
    And 3 servers are registered
    And a registry follower
    When a server's entry expires while the store is down
    Then after 0.3 seconds 3 servers are usable
    And within 2.0 seconds 2 servers are usable

  # Guards against a missing entry that is looked at only between two watches: requests reached a server 2.11 s
  # after its entry was removed, 0.1 s too late.
  Scenario Outline: A server whose entry stays missing is dropped on time, whatever the watch does
    Given a registry whose first watch ends after <watch> seconds and later ones after 0.45
    And a follower that drops missing entries after 1.8 seconds
    When the entry of a server is missing after an outage
    Then the server was usable for 1.8 seconds and no longer

    Examples:
      | watch |
      | 0.10  |
      | 0.40  |
      | 5.00  |

  Scenario: A server that the older copy lacks stays usable until it has registered again
    Given the platform key-value service
    And 3 servers are registered
    And a registry follower
    When a server registers
    Then within 0.5 seconds 4 servers are usable
    When the store returns to a copy from before the last change
    Then after 0.5 seconds 4 servers are usable
    When a server registers
    Then after 1.2 seconds 4 servers are usable

  Scenario: A server that has left is not used again because an older copy shows it as ready
    Given the platform key-value service
    And 3 servers are registered
    And a registry follower
    When a server starts draining
    Then within 0.5 seconds 2 servers are usable
    When the store returns to a copy from before the last change
    Then after 0.6 seconds 2 servers are usable
    When the server has started again under its id
    Then within 0.5 seconds 3 servers are usable

  Scenario Outline: Calls rejected with an error status are known to have had no effect
    Given the platform key-value service
    When the store rejects every call with status <status>
    Then a read is unavailable
    And a write is known to have failed

    Examples:
      | status |
      | 429    |
      | 503    |
      | 403    |

  Scenario: A write with an invalid response has an unknown outcome
    Given the platform key-value service
    When the store returns invalid JSON
    Then a read is unavailable
    And a write has an unknown outcome

  Scenario: A configuration watch continues after its history is lost
    Given the platform key-value service
    When the configuration is updated and the watch history is lost
    Then a wait for the configuration returns the newest value

  Scenario: The platform's configuration is converted to the router's
    When the platform's example configuration is decoded
    Then its number is 7 and validation finds no problems
    And the route of "/lohu930/2f" at "ficu95.example:80" is a resumable stream with 2 services
    And the example workspace has 1459028 tokens and urgency 1
    And the example engines have up to 3 tokens per event

  Scenario Outline: An invalid or older configuration does not replace the current one
    Given the platform key-value service
    And a configuration service that follows the platform's store
    When the configuration <value> is written
    Then configuration 7 is in force
    And configuration 9 is in force soon after it is written

    Examples:
      | value                     |
      | no JSON                   |
      | {"Version":"8"}           |
      | {"Version":8,"Routes":{}} |
      | {"Version":3,"Routes":[]} |
      | of deeply nested arrays   |
