Feature: The platform's records
  What servers and operators write is decoded once; what cannot be read names nothing to use.

  Scenario: All pages of the registry are read
    Given the platform key-value service
    And 8 servers have entered themselves
    Then the registry tells 8 servers

  Scenario Outline: Entries of other writers name no server to use
    Given the platform key-value service
    And 2 servers have entered themselves
    When an entry <entry> is written
    Then the registry tells 2 servers

    Examples:
      | entry                                                                    |
      | {"Service":"s","Address":"10.0.0.1:1","State":"ready","Zone":7}          |
      | {"Service":"s","Address":"10.0.0.1:1","State":"asleep"}                  |
      | {"Service":["s"],"Address":"10.0.0.1:1","State":"ready"}                 |
      | {"Service":"s","State":"ready"}                                          |
      | {"Service":"s","Address":"nowhere","State":"ready"}                      |
      | no JSON                                                                  |
      | [1,2]                                                                    |

  Scenario Outline: A follower keeps the table of servers in step
    Given the platform key-value service
    And 3 servers have entered themselves
    And a follower of the registry
    When <event>
    Then within <seconds> seconds <count> servers may get work

    Examples:
      | event                                               | seconds | count |
      | nothing happens                                     | 0.5     | 3     |
      | a server enters itself                              | 0.5     | 4     |
      | a server says that it leaves                        | 0.5     | 2     |
      | a server's entry is removed                         | 0.5     | 2     |
      | a server's entry becomes unreadable                 | 0.5     | 2     |
      | history is lost while a server leaves               | 1.0     | 2     |
      | watches are cut while a server leaves               | 1.5     | 2     |
      | the store turns the watch away while a server leaves | 1.5    | 2     |

  Scenario: An entry that lapsed in an outage is kept for the time in which it may come back
    Given the platform key-value service
    And 3 servers have entered themselves
    And a follower of the registry
    When the store is down and a server's entry lapses
    Then after 0.3 seconds 3 servers may get work
    And within 2.0 seconds 2 servers may get work

  Scenario Outline: Refused and unreadable calls are known to have had no effect
    Given the platform key-value service
    When every call is answered with <answer>
    Then a read is unavailable
    And a write is known to have failed

    Examples:
      | answer |
      | 429    |
      | 503    |
      | 403    |

  Scenario: A write whose answer cannot be read has an unknown outcome
    Given the platform key-value service
    When answers are unreadable
    Then a read is unavailable
    And a write has an unknown outcome

  Scenario: A watch of the configuration goes on after its history is lost
    Given the platform key-value service
    When the configuration is written, its history is lost, and it is written again
    Then waiting for the configuration returns the newest one at once

  Scenario: The operators' configuration becomes the product's
    When the platform's example configuration is decoded
    Then its number is 7 and it has no problems
    And the route of "/lohu930/2f" at "ficu95.example:80" is a resumable stream with 2 services
    And the workspace of the example has 1459028 tokens and urgency 1
    And the engines of the example hold 3 tokens in an event

  Scenario Outline: A configuration that cannot be read leaves the present one in force
    Given the platform key-value service
    And a configuration service that follows the platform
    When the configuration <value> is written
    Then the number in force is 7

    Examples:
      | value                          |
      | no JSON                        |
      | {"Version":"8"}                |
      | {"Version":8,"Routes":{}}      |
      | {"Version":3,"Routes":[]}      |
