Feature: Requests through another router while a router is cut off from servers
  From 2 s after the start of a cut the callers' first attempts are served through other routers.

  # Guards against routers that fail all requests while others reach the servers.
  Scenario Outline: First attempts at routers that are cut off are served
    Given <routers> routers that may relay before 5 servers
    And <kind> requests to relay
    And a cut of <cut> routers in which connections <mode>
    When callers send requests to all routers before, in and after the cut
    Then from 2 s on 0.95 of the requests at the cut routers are served as at the others
    And the relayed requests take at most 30 ms longer at the median
    And no request runs twice
    And each refusal that says not run is true
    And no server is reported as crashed
    And a second after the cut all requests are sent directly again

    Examples:
      | routers | cut | mode             | kind           |
      | 6       | 1   | hang             | non-idempotent |
      | 6       | 2   | reset            | non-idempotent |
      | 6       | 2   | accept and hang  | non-idempotent |
      | 6       | 2   | accept and reset | non-idempotent |
      | 6       | 2   | refuse new ones  | non-idempotent |
      | 12      | 11  | hang             | non-idempotent |
      | 12      | 11  | accept and hang  | non-idempotent |
      | 12      | 11  | reset            | non-idempotent |
      | 20      | 16  | accept and reset | non-idempotent |
      | 88      | 60  | hang             | non-idempotent |
      | 88      | 80  | accept and hang  | non-idempotent |

  # Guards against routers that count as cut off themselves because one server is down.
  Scenario: A server is down while routers are cut off
    Given 6 routers that may relay before 5 servers
    And server i-0 is down
    And a cut of 3 routers in which connections hang
    When callers send requests to all routers before, in and after the cut
    Then from 2 s on 0.95 of the requests at the cut routers are served as at the others
    And no request runs twice
    And each refusal that says not run is true

  # Guards against places at brittle servers that requests keep which no server took: routers that were cut
  # off took those of the whole fleet, and nearly all requests at all routers were refused.
  Scenario Outline: Requests are served while servers are brittle and routers are cut off
    Given 8 routers that may relay before 8 servers
    And <kind> requests to relay
    And servers that are brittle and run 4 requests at a time, each for 0.1 s
    And a cut of <cut> routers in which connections <mode>
    When callers send 25 requests a second to each router before, in and after the cut
    Then from 2 s on 0.95 of the requests at the cut routers are served as at the others
    And from 2 s on 0.9 of all requests in the cut are served
    And no server has to reject more than 4 requests in a second
    And no request that must not be repeated runs twice

    Examples:
      | cut | mode             | kind           |
      | 3   | accept and hang  | idempotent     |
      | 6   | accept and hang  | idempotent     |
      | 6   | accept and hang  | non-idempotent |
      | 6   | accept and hang  | stream         |
      | 6   | hang             | non-idempotent |
      | 6   | accept and reset | idempotent     |
      | 6   | refuse new ones  | non-idempotent |

  # Guards against callers that leave before a silent connection counts as failed.
  Scenario: Callers that wait only for a short time
    Given 6 routers that may relay before 5 servers
    And callers that wait 0.6 s
    And a cut of 2 routers in which connections accept and hang
    When callers send requests to all routers before, in and after the cut
    Then from 2 s on 0.95 of the requests at the cut routers are served as at the others
    And no request runs twice

  # Guards against requests that are sent to silent or resetting servers while a check is running.
  Scenario Outline: Few requests are lost at the start of a cut
    Given 6 routers that may relay before 5 servers
    And <kind> requests to relay
    And a cut of 1 routers in which connections <mode>
    When callers send requests to all routers before, in and after the cut
    Then at most <count> requests at the cut routers are lost

    Examples:
      | kind           | mode             | count |
      | non-idempotent | hang             | 0     |
      | non-idempotent | reset            | 0     |
      | non-idempotent | accept and reset | 1     |
      | non-idempotent | accept and hang  | 4     |
      | idempotent     | accept and reset | 0     |
      | idempotent     | accept and hang  | 0     |
      | stream         | accept and reset | 0     |

  # Guards against relaying that adds load while nobody reaches the servers.
  Scenario: Servers that are down for all cause no relay storm
    Given 12 routers that may relay before 5 servers
    When all servers are down and callers send requests for 6 seconds
    Then at most 1 requests are handed over a router and second
    And the routers ask and probe at most 20 times a router and second
    And all requests in the outage are refused as not run within 1.5 s
    And no router holds anything for others

  # Guards against hanging connections that use up the deadline.
  Scenario Outline: A request of which nothing was sent goes on through another router
    Given 6 routers that may relay before 5 servers
    When router r0 gets a request when its connections <mode>
    Then the request is served within 1.5 s
    And the request has run once

    Examples:
      | mode            |
      | hang            |
      | reset           |
      | refuse new ones |

  # Guards against a router that needs requests of before the cut, or busy peers, to find out.
  Scenario Outline: The first request of a router that starts in a cut
    Given 6 routers that may relay before 5 servers
    And router r0 starts while connections <mode> there, and the others are idle
    When router r0 gets a request
    Then the request is served within 1.5 s
    And the request has run once

    Examples:
      | mode            |
      | hang            |
      | reset           |
      | refuse new ones |

  # Guards against requests that wait for routers which do not know the messages.
  Scenario: All others are of an earlier release
    Given 6 routers that may relay before 5 servers
    And router r0 starts while connections reset there, and the others are idle
    And all routers but r0 are of an earlier release
    When router r0 gets a request
    Then the request is refused as not run within 1.5 s
    And the request has not run

  # Guards against requests that are relayed although they may have run.
  Scenario Outline: A request that may have run is not relayed
    Given 6 routers that may relay before 5 servers
    When router r0 gets a request when its connections <mode>
    Then the outcome is reported as unknown within 4.1 s
    And the request has not run

    Examples:
      | mode             |
      | accept and hang  |
      | accept and reset |

  Scenario Outline: Lost and doubled messages between the routers
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    And the next <fault> of type <kind> <count> times
    When router r0 gets a request
    Then the request is served within <seconds> s
    And the request has run once
    And no request runs twice

    Examples:
      | fault           | kind          | count | seconds |
      | lost message    | KeepRequest   | 1     | 0.5     |
      | lost message    | KeepRequest   | 2     | 0.8     |
      | lost reply      | KeepRequest   | 1     | 0.5     |
      | doubled message | KeepRequest   | 1     | 0.5     |
      | lost message    | StartExchange | 1     | 1.3     |
      | lost reply      | StartExchange | 1     | 1.3     |
      | doubled message | StartExchange | 1     | 0.5     |

  # Guards against a request that runs again at another router when the first one may have run it.
  Scenario: A router that dies after it was told to start
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    And a router that dies after a message of type StartExchange
    And the next lost reply of type StartExchange 1 times
    When router r0 gets a request
    Then the outcome is reported as unknown within 4.1 s
    And the request has run once

  Scenario: A router that dies before it was told to start
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    And a router that dies after a message of type KeepRequest
    And the next lost reply of type KeepRequest 1 times
    When router r0 gets a request
    Then the request is served within 0.5 s
    And the request has run once

  # Guards against routers that go on handing requests to one that has died.
  Scenario: A router dies while it relays
    Given 4 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    When router r0 gets 10 requests a second for 4 s, and r1 dies after 1 s
    Then at most 1 of them are lost
    And requests are handed to r1 at most once a second after its death
    And no request runs twice

  # Guards against waiting replies that take all places of the transport, so that heartbeats wait.
  Scenario: Many requests through one router
    Given 2 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    When router r0 gets 100 requests at once that take 1 s each
    Then all are served within 1.3 s
    And at most 32 replies waited at once
    And no request runs twice

  # Guards against crashes that nobody notices because all servers are down with them.
  Scenario Outline: Refused connections are evidence of a crash unless this router is cut off
    Given 3 routers that may relay before 5 servers
    When <fault> and router r0 has failed requests
    Then a refusing server is <verdict> at router r0

    Examples:
      | fault                                    | verdict   |
      | new connections of router r0 are refused | not known |
      | all servers are down                     | refusing  |

  Scenario: An answer with very many header lines
    Given 3 routers that may relay before 5 servers
    And answers with 5000 header lines
    And router r0 knows that connections hang there
    When router r0 gets a request
    Then the outcome is reported as unknown within 1 s

  # Guards against servers that go on for callers who have left, and against memory that is kept.
  Scenario: A caller that leaves
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    When router r0 gets a request whose caller leaves after 0.5 s
    Then the server's connection is closed
    And no router holds anything for others

  Scenario: An asking router that dies
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    When router r0 gets a request and dies after 0.5 s
    Then the server's connection is closed
    And no router holds anything for others

  Scenario: Some routers are busy
    Given 3 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    And some routers are busy with requests of others
    When router r0 gets a request
    Then the request is served within 0.5 s

  # Guards against requests that wait for a router with room until their deadline.
  Scenario: All routers are busy
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    And all routers are busy with requests of others
    When router r0 gets a request
    Then the request is refused as not run within 0.2 s
    And the request has not run

  # Guards against requests to servers that leave or must not get requests.
  Scenario Outline: A server that the other router does not use
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    And server i-0 is <state> at the others
    When router r0 gets a request
    Then the request is refused as not run within 0.5 s
    And the request has not run

    Examples:
      | state    |
      | unknown  |
      | excluded |

  Scenario: Junk messages change nothing
    Given 2 routers that may relay before 5 servers
    When router r1 gets junk messages
    Then nothing ran but the valid request, and router r1 still relays

  Scenario: Bodies of 4 MiB in both directions
    Given 6 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    When router r0 gets a request with a body of 4 MiB that is sent back
    Then the request is served within 2 s
    And the request has run once
    And the server got the body unchanged
    And no router holds anything for others

  Scenario Outline: Streams come event by event and with their end
    Given 6 routers that may relay before 5 servers
    And stream requests to relay
    And answers with repeated and undecodable headers that end by <marker>
    And router r0 knows that connections hang there
    When router r0 gets a request
    Then the answer has the headers, end marker and events of the server

    Examples:
      | marker |
      | chunks |
      | close  |

  # Guards against an end that the server did not send.
  Scenario: A stream that its servers break off
    Given 6 routers that may relay before 5 servers
    And stream requests to relay
    And router r0 knows that connections hang there
    And servers break off after their last piece
    When router r0 gets a request
    Then the answer is broken off after all events

  # Guards against exchanges that end as silent while a caller is slow, and against buffers without
  # a limit.
  Scenario: A slow caller
    Given 6 routers that may relay before 5 servers
    And stream requests to relay
    And router r0 knows that connections hang there
    And events of 60000 bytes, 20 at once, and a caller that takes one in 2.5 s
    When router r0 passes them on to the slow caller
    Then the caller gets all events, and the buffers stay within their limits

  # Guards against routers that relay, or probe all the time, for lack of patience.
  Scenario Outline: What is no cut
    Given 6 routers that may relay before 5 servers
    When <fault> while callers send <rate> requests a second for 10 seconds
    Then all are served directly, with at most <probes> probes a router and second

    Examples:
      | fault                            | rate | probes |
      | nothing happens                  | 10   | 0      |
      | one server is down               | 4    | 1      |
      | all servers take 1.5 s to answer | 1    | 5      |
      | all servers take 1.5 s to answer | 10   | 5      |

  Scenario: Routers that stop serve what they relay, and keep nothing new
    Given 3 routers that may relay before 5 servers
    And router r0 knows that connections hang there
    When router r0 gets a request, and all others begin to stop after 0.2 s
    Then the request is served within 1.5 s
    And a request after it is refused as not run

  Scenario: Open connections that live on are no evidence
    Given 6 routers that may relay before 5 servers
    And stream requests to relay
    When a stream runs at router r0 while new connections are refused there
    Then both streams are whole, the second one through another router
