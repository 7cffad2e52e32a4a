Feature: What servers say of themselves in their answers
  A server that leaves says so in all its answers, though its registry entry may still be ready. A
  server that rejects a request may name a time in which it wants none from that router.

  # Guards against requests that go on to a leaving server: 8 of 8 routers sent 103 of them later
  # than 3 seconds after they had passed on an answer that said so.
  Scenario Outline: A server that says that it leaves gets no further requests
    Given <routers> routers before 8 servers
    And <kind>
    And server 1 answers with the header Server-Leaving: 1 after 3 seconds
    When <rate> requests a second come for 20 seconds
    Then no router sends a request to server 1 later than 2 seconds after such an answer
    And server 1 gets no request later than 8 seconds after the first such answer
    And at least 0.99 of the requests of the last 10 seconds are served

    Examples:
      | routers | kind        | rate |
      | 1       | streams     | 20   |
      | 8       | streams     | 80   |
      | 8       | plain calls | 80   |
      | 20      | plain calls | 200  |

  # Guards against a notice that only a heartbeat or a connected router keeps.
  Scenario: A router that is cut off from the others keeps what a server has told it
    Given 8 routers before 8 servers
    And plain calls
    And server 1 answers with the header Server-Leaving: 1 after 3 seconds
    And after 5 seconds three routers reach no other router
    When 80 requests a second come for 20 seconds
    Then no router sends a request to server 1 later than 2 seconds after such an answer

  # Guards against a server that gets no requests any more although it has started again.
  Scenario: A server that starts again gets requests again
    Given 8 routers before 8 servers
    And plain calls
    And server 1 answers with the header Server-Leaving: 1 after 3 seconds
    And server 1 starts again after 8 seconds
    When 80 requests a second come for 20 seconds
    Then server 1 gets at least 50 requests from second 10 on

  # Guards against a value that takes a server away although it does not leave.
  Scenario Outline: A value that cannot be read changes nothing
    Given 8 routers before 8 servers
    And plain calls
    And server 1 answers with the header <header>: <value> after 3 seconds
    When 80 requests a second come for 20 seconds
    Then server 1 gets at least 50 requests from second 10 on
    And at least 0.99 of the requests of the last 10 seconds are served

    Examples:
      | header         | value  |
      | Server-Leaving | 0      |
      | Server-Leaving | yes    |
      | Server-Leaving | 11     |
      | Retry-After    | -5     |
      | Retry-After    | soon   |
      | Retry-After    | 1e9    |
      | Retry-After    | 30     |
      | Server-Brittle | many   |

  # Guards against requests to a server within the time in which it wants none.
  Scenario Outline: A server that names a time gets no requests from that router
    Given <routers> routers before 8 servers
    And plain calls
    And server 1 rejects all requests with Retry-After: <value> after 3 seconds
    When <rate> requests a second come for 20 seconds
    Then each router sends at most 2 requests to server 1 within the <seconds> seconds that it names
    And at least 0.99 of the requests of the last 10 seconds are served

    Examples:
      | routers | rate | value | seconds |
      | 1       | 20   | 3     | 3       |
      | 8       | 80   | 3     | 3       |
      | 2       | 80   | 2.5   | 2.5     |
      | 20      | 200  | 3     | 3       |
      | 195     | 200  | 4     | 4       |
      | 8       | 80   | 7200  | 60      |

  # Guards against callers that wait, or come back in vain, while all servers name a time.
  Scenario: Callers are refused at once while all servers name a time
    Given 8 routers before 8 servers
    And plain calls
    And all servers reject all requests with Retry-After: 3 after 3 seconds
    When 200 requests a second come for 12 seconds
    Then each router sends at most 2 requests to server 1 within the 3 seconds that it names
    And requests with the code SERVERS_HELD_OFF were refused within 0.05 seconds
    And they are told to return after at most 3 seconds, when a server takes requests again
