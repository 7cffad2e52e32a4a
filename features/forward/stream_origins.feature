Feature: Where a stream began is known to the fleet
  Guards against a stream that goes on at another software version than the one that began it,
  because the router that knew it was killed, or that is refused although another router knows.
  Callers come back at any router, and a record must be found there, or be unknown; never wrong.

  Background:
    Given 9 routers in 3 data centres that record where streams began

  # Guards against a record that dies with its writer, or with its writer and one of its holders.
  Scenario Outline: A record survives the router that wrote it and any other one
    When router 1 records <count> streams and is killed <milliseconds> ms later
    And router <second> is killed as well
    Then each stream is found by one of the other routers

    Examples:
      | count | milliseconds | second |
      | 1     | 2            | 4      |
      | 100   | 50           | 2      |
      | 100   | 50           | 3      |
      | 100   | 50           | 4      |
      | 100   | 50           | 5      |
      | 100   | 50           | 6      |
      | 100   | 50           | 7      |
      | 100   | 50           | 8      |
      | 100   | 50           | 9      |

  # Guards against a lookup that only works at routers that were there when the stream began.
  Scenario: A router that starts later finds the records
    When router 1 records 50 streams and is killed 50 ms later
    And router 10 starts in data centre dc-b
    Then each stream is found by router 10

  # Guards against a record that was found once and dies with the router that found it.
  Scenario Outline: A third router finds the record after all that knew it first were killed
    When router 1 records a stream, drawn with seed <seed>
    And router 1 and the stream's first holder are killed
    And another router takes up the stream
    And that router and the stream's other holder are killed
    Then each stream is found by one of the other routers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  # Guards against a holder that is lost to callers that stay in their data centre.
  Scenario: A cut between data centres does not hide records from the routers of the own one
    When router 1 records 100 streams and is killed 50 ms later
    And the data centres are cut off from each other
    Then each stream is found by one of the routers of data centre dc-a

  # Guards against records that go missing while routers do not see the same members.
  Scenario Outline: Records are found although the views of the routers differ
    Given every router misses one other in its view, drawn with seed <seed>
    When router 1 records 100 streams and is killed 50 ms later
    Then each stream is found by one of the other routers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  # Guards against a record that is lost because the router chosen for it no longer runs.
  Scenario: A record goes to the next router if a holder does not answer
    When router 4 is killed
    And router 1 records 100 streams and is killed 300 ms later
    Then each stream is found by one of the other routers
    And each stream is remembered by 2 of the other routers

  # Guards against lookups that delay a request, and against an answer that is made up.
  Scenario: A lookup ends as unknown when no other router can be reached
    When router 1 records 20 streams and is killed 50 ms later
    And router 10 starts in data centre dc-a
    And router 10 is cut off from all others
    Then lookups at router 10 end as unknown within 0.15 seconds

  Scenario: A lookup of an attempt that nobody recorded ends as unknown
    When router 1 records 20 streams
    Then an attempt that was never recorded is unknown to all routers
    And an attempt with an id of 5000 characters is unknown to all routers

  # Guards against records that outlive the time in which a caller may come back.
  Scenario: Records expire everywhere, also where they were found later
    When router 1 records 20 streams for 30 seconds
    And 20 seconds pass
    Then each stream is found by one of the other routers
    When 11 seconds pass
    Then each stream is unknown to all routers
    And no router remembers more than 0 streams

  # Guards against one stream at two versions after a second record for it.
  Scenario: The first of two versions for an attempt stays, and the second is logged
    When router 1 records 20 streams
    And routers 1 and 2 record another version for the same streams
    Then router 1 and the holders still know the first version of each
    And the conflicts are counted and logged

  # Guards against messages that grow with the streams of a busy router.
  Scenario: Records of a busy router share messages
    When router 1 records 2000 streams within 1 second
    Then router 1 has sent each other router at most 1 message per 15 ms
    And each stream is remembered by 2 of the other routers

  # Guards against a storm of messages, and against memory that grows, while nobody answers.
  Scenario: Records for routers that do not answer are given up after a few of them
    Given router 1 is cut off from all others
    When router 1 records 20000 streams within 1 second
    Then router 1 has at most 4096 records waiting
    When 5 seconds pass
    Then router 1 has at most 0 records waiting
    And every record was told, dropped or given up, and the drops were counted

  # Guards against a memory that grows with the load, or forgets the wrong entries.
  Scenario: The memory keeps the entries that expire last
    When 20000 streams with times drawn with seed 5 are kept in a memory of 1000
    Then the memory holds the 1000 that expire last
    And moving the expiry of one entry 100000 times does not make it grow

  # Guards against an upgrade in which routers of two releases cannot serve together.
  Scenario: A router of an earlier release counts as not knowing
    Given routers 2, 4 and 6 run an earlier release without these messages
    When router 1 records 100 streams and is killed 50 ms later
    Then each stream is found by one of the routers of the new release
    And lookups at the other routers of the new release took under 0.15 seconds

  # Guards against a handler that fails on unexpected content of a message.
  Scenario: A router replies to arbitrary content in messages about origins
    Then 300 arbitrary messages about origins are accepted or refused as unreadable
