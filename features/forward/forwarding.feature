Feature: Forwarded requests
  A request reaches a server unchanged, its answer comes back whole, and it is repeated only where
  that is harmless.

  Scenario Outline: What a caller gets when a server misbehaves
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with <tries> tries
    Then the answer is <status>
    And servers ran it <runs> times
    And at most <tries> servers were sent it

    Examples: Servers that answer
      | behaviour                            | kind           | tries | status | runs |
      | answers                              | idempotent     | 2     | 200    | 1    |
      | answers                              | non-idempotent | 1     | 200    | 1    |
      | answers without a length             | idempotent     | 2     | 200    | 1    |
      | answers without a length             | non-idempotent | 1     | 200    | 1    |
      | answers twice                        | non-idempotent | 1     | 200    | 1    |
      | answers in chunks                    | non-idempotent | 1     | 200    | 1    |
      | answers before it has read the body  | non-idempotent | 1     | 200    | 1    |

    Examples: Servers that did not run it
      | behaviour                            | kind           | tries | status | runs |
      | refuses as full                      | idempotent     | 2     | 200    | 1    |
      | refuses as full                      | non-idempotent | 2     | 200    | 1    |
      | refuses as full                      | non-idempotent | 1     | 503    | 0    |
      | is another server                    | non-idempotent | 2     | 200    | 1    |
      | is another server                    | non-idempotent | 1     | 503    | 0    |
      | does not listen                      | non-idempotent | 1     | 200    | 1    |

    Examples: Servers that may have run it
      | behaviour                            | kind           | tries | status | runs |
      | fails                                | idempotent     | 2     | 200    | 2    |
      | fails                                | idempotent     | 1     | 500    | 1    |
      | fails                                | non-idempotent | 2     | 500    | 1    |
      | resets                               | idempotent     | 2     | 200    | 2    |
      | resets                               | non-idempotent | 2     | 502    | 1    |
      | breaks off in the body               | idempotent     | 2     | 200    | 2    |
      | breaks off in the body               | non-idempotent | 2     | 502    | 1    |
      | resets an answer without a length    | idempotent     | 2     | 200    | 2    |
      | resets an answer without a length    | non-idempotent | 2     | 502    | 1    |
      | breaks off in a chunk                | non-idempotent | 2     | 502    | 1    |
      | answers another request              | idempotent     | 2     | 200    | 2    |
      | answers another request              | non-idempotent | 2     | 502    | 1    |
      | sends no HTTP                        | idempotent     | 2     | 200    | 2    |
      | sends no HTTP                        | non-idempotent | 2     | 502    | 1    |
      | is silent                            | idempotent     | 2     | 200    | 2    |
      | is silent                            | non-idempotent | 2     | 504    | 1    |

  Scenario Outline: Streams that break off go on at another server behind the last whole event
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with <tries> tries
    Then the answer is <status>
    And the caller's events are <events>
    And the answer <looks>
    And <tokens> tokens are charged

    Examples:
      | behaviour                            | kind             | tries | status | events    | looks           | tokens |
      | streams                              | resumable stream | 2     | 200    | 1 2 3 4 5 | is complete     | 115    |
      | streams                              | plain stream     | 1     | 200    | 1 2 3 4 5 | is complete     | 115    |
      | streams without a length             | plain stream     | 1     | 200    | 1 2 3 4 5 | is complete     | 115    |
      | breaks off after 2 events and a half | resumable stream | 2     | 200    | 1 2 3 4 5 | is complete     | 115    |
      | breaks off after 2 events and a half | resumable stream | 1     | 200    | 1 2       | is broken off   | 106    |
      | breaks off after 2 events and a half | plain stream     | 2     | 200    | 1 2       | is broken off   | 106    |
      | closes after 2 events and a half     | resumable stream | 2     | 200    | 1 2 3 4 5 | is complete     | 115    |
      | falls silent after 2 events          | resumable stream | 2     | 200    | 1 2 3 4 5 | is complete     | 115    |
      | falls silent after 2 events          | plain stream     | 2     | 200    | 1 2       | is broken off   | 106    |
      | is silent                            | resumable stream | 2     | 200    | 1 2 3 4 5 | is complete     | 115    |
      | resets                               | plain stream     | 2     | 502    | none      | is complete     | 100    |
      | refuses as full                      | plain stream     | 1     | 503    | none      | is complete     | 0      |
      | does not listen                      | plain stream     | 1     | 200    | 1 2 3 4 5 | is complete     | 115    |

  Scenario: A caller that holds events already gets those behind them
    Given 2 servers of which the first streams
    When a caller that holds 3 events sends a resumable stream request
    Then the caller's events are 4 5
    And 106 tokens are charged

  Scenario Outline: A caller that leaves ends the work at the server
    Given 2 servers of which the first <behaviour>
    When a caller of a <kind> request leaves after 0.2 seconds
    Then the server's connection is closed within 0.5 seconds
    And <tokens> tokens are charged

    Examples:
      | behaviour                   | kind             | tokens |
      | is silent                   | plain stream     | 100    |
      | falls silent after 2 events | resumable stream | 106    |

  Scenario: The limit of the route ends a wait although the caller would wait longer
    Given 2 servers of which the first is silent
    When a caller sends a non-idempotent request with a route limit of 0.4 seconds
    Then the answer is 504
    And it took at most 0.65 seconds

  Scenario: Headers of the routers and secrets do not pass, everything else does
    Given 2 servers of which the first answers
    When a caller sends a non-idempotent request with headers of the routers
    Then the server got the caller's method, path, query and body unchanged
    And the server got the router's own headers and no secret

  Scenario Outline: Requests that the configuration does not allow
    Given 2 servers of which the first answers
    When a caller sends a request with <fault>
    Then the answer is <status>
    And servers ran it 0 times

    Examples:
      | fault                   | status |
      | an unknown key          | 401    |
      | no key                  | 401    |
      | an unknown path         | 404    |
      | an unknown host         | 404    |
      | two attempt ids         | 400    |
      | unreadable token counts | 400    |

  Scenario: Before the first configuration nothing is refused for good
    Given 2 servers of which the first answers
    And no configuration in force
    When a caller sends a non-idempotent request with 1 tries
    Then the answer is 503

  Scenario: A request that the budget cannot pay is refused before it is sent
    Given 2 servers of which the first streams
    And a budget that cannot be reached
    When a caller sends a plain stream request with 1 tries
    Then the answer is 503
    And servers ran it 0 times

  Scenario: A stopping router answers what it has and then closes its connections
    Given 2 servers of which the first answers
    When the router begins to stop
    Then readiness is 503
    And a request on an open connection is answered 200 and the connection closed
    And after the balancer has turned away, a request is answered 503
    And the router is idle within 4.0 seconds

  Scenario Outline: One line tells how each request ended, and which servers were tried in order
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with <tries> tries
    Then its line has the outcome <outcome> and the servers <servers>

    Examples:
      | behaviour                   | kind             | tries | outcome         | servers           |
      | answers                     | idempotent       | 2     | answered        | i-0               |
      | fails                       | idempotent       | 2     | answered        | i-0:status_500,i-1 |
      | does not listen             | non-idempotent   | 1     | answered        | i-0:unreached,i-1 |
      | refuses as full             | non-idempotent   | 1     | server_refused  | i-0:refused_503   |
      | resets                      | non-idempotent   | 2     | outcome_unknown | i-0:broke_off     |
      | is silent                   | non-idempotent   | 2     | deadline_passed | i-0:time_over     |
      | falls silent after 2 events | plain stream     | 2     | broken_off      | i-0:time_over     |
      | falls silent after 2 events | resumable stream | 2     | answered        | i-0:silent,i-1    |
