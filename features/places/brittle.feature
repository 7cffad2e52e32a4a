Feature: Brittle servers, across several routers
  A brittle server says so in all its answers. From 3 seconds later it may let fewer requests wait,
  without notice. One that has to reject more than N requests in a second falls over, for 3 seconds.
  In one brittle time servers may fall over 2 + a tenth of their number times, and at least 0.9 of
  what they can run is to be served. Callers want 1.5 times of that.

  # Guards against servers that fall over one after the other: 30 falls of 8 servers in 24 seconds.
  Scenario Outline: Servers that want more than they can run do not fall over
    Given <routers> routers before 8 brittle servers with <slots> slots that bear <rejects> rejects
    And <kind> to brittle servers
    When they are brittle for 14 seconds
    Then at most 2 + a tenth of their number fall over
    And at least 0.9 of what the servers can run is served
    And all refusals are true and told within 0.3 seconds

    Examples:
      | routers | slots | rejects | kind        |
      | 1       | 6     | 4       | plain calls |
      | 8       | 6     | 4       | plain calls |
      | 8       | 6     | 4       | streams     |
      | 20      | 6     | 4       | plain calls |
      | 195     | 6     | 4       | plain calls |
      | 8       | 2     | 4       | plain calls |
      | 8       | 24    | 4       | plain calls |
      | 8       | 6     | 0       | plain calls |
      | 8       | 6     | 1       | plain calls |
      | 8       | 6     | 999999999999 | plain calls |

  # Guards against places that are lost or given out twice when a router or a link fails.
  Scenario Outline: Trouble beside a brittle time
    Given <routers> routers before 8 brittle servers with 6 slots that bear 4 rejects
    And plain calls to brittle servers
    And 6 seconds into the brittle time <event>
    When they are brittle for 16 seconds
    Then at most 2 + a tenth of their number fall over

    Examples:
      | routers | event                                    |
      | 8       | the home of a server dies                |
      | 20      | three routers die                        |
      | 8       | all routers start again                  |
      | 20      | all routers start again                  |
      | 195     | all routers start again                  |
      | 8       | three routers start again one by one     |
      | 9       | three routers reach no other side        |
      | 20      | half of the routers reach no other side  |
      | 8       | no router reaches another one for 8 s    |
      | 20      | no router reaches another one for 8 s    |
      | 195     | no router reaches another one for 8 s    |
      | 8       | a server starts again                    |
      | 8       | a server falls over                      |
      | 8       | servers send junk for 2 s                |

  # Guards against places that stay unused, and refusals that are late, after a router or a link has failed.
  Scenario Outline: Places are used beside trouble in a brittle time
    Given <routers> routers before 8 brittle servers with 6 slots that bear 4 rejects
    And plain calls to brittle servers
    And 6 seconds into the brittle time <event>
    When they are brittle for 16 seconds
    Then at least 0.9 of what the servers can run is served
    And all refusals are true and told within 0.5 seconds

    Examples:
      | routers | event                                    |
      | 8       | the home of a server dies                |
      | 20      | three routers die                        |
      | 8       | all routers start again                  |
      | 20      | all routers start again                  |
      | 195     | all routers start again                  |
      | 8       | three routers start again one by one     |
      | 9       | three routers reach no other side        |
      | 20      | half of the routers reach no other side  |
      | 8       | no router reaches another one for 8 s    |
      | 20      | no router reaches another one for 8 s    |
      | 195     | no router reaches another one for 8 s    |
      | 8       | a server starts again                    |
      | 8       | a server falls over                      |
      | 8       | servers send junk for 2 s                |

  # Guards against places that are given out although the servers run fewer requests than they say.
  Scenario: Servers that run fewer requests than their entries say
    Given 8 routers before 8 brittle servers with 6 slots that bear 4 rejects
    And plain calls to brittle servers
    And 6 seconds into the brittle time servers run 4 requests
    When they are brittle for 16 seconds
    Then at most 2 + a tenth of their number fall over
    And all refusals are true and told within 0.3 seconds

  # Guards against a brittle time that goes on after the servers have ended it.
  Scenario: After the brittle time requests wait at the servers again
    Given 8 routers before 8 brittle servers with 6 slots that bear 4 rejects
    And plain calls to brittle servers
    When they are brittle for 8 seconds, and usual for 6 more
    Then no server is known as brittle
    And no place was asked for in the last 4 seconds

  # Guards against a deployment without brittle servers that pays for places.
  Scenario: Servers that are not brittle are served without places
    Given 8 routers before 8 brittle servers with 6 slots that bear 4 rejects
    And plain calls to brittle servers
    When they are never brittle for 6 seconds
    Then no place was asked for

  # Guards against an exception or an endless brittle time where the value cannot be read.
  Scenario Outline: A value that is no number makes no server brittle
    Given 8 routers before 8 brittle servers with 6 slots that bear 4 rejects
    And plain calls to brittle servers
    When their notice is '<value>' for 4 seconds
    Then no place was asked for
    And all requests have an answer

    Examples:
      | value |
      | nan   |
      | -1    |
      | many  |
      | 1e400 |
      | 99999999999999 |
