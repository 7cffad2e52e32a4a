Feature: Forwarded requests
  A request is forwarded unchanged, its response is returned complete, and it is retried only where
  that is safe. A retry after a lost response could run a non-idempotent request twice, and a
  response that was cut off must not look complete to the caller.

  Scenario Outline: What a caller gets when a server misbehaves
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with at most <attempts> attempts
    Then the response status is <status>
    And servers ran the request <runs> times
    And at most <attempts> servers received the request

    Examples: Servers that respond
      | behaviour                           | kind           | attempts | status | runs |
      | answers                             | idempotent     | 2        | 200    | 1    |
      | answers                             | non-idempotent | 1        | 200    | 1    |
      | answers without a length            | idempotent     | 2        | 200    | 1    |
      | answers without a length            | non-idempotent | 1        | 200    | 1    |
      | answers twice                       | non-idempotent | 1        | 200    | 1    |
      | answers in chunks                   | non-idempotent | 1        | 200    | 1    |
      | answers before it has read the body | non-idempotent | 1        | 200    | 1    |

    Examples: Servers that did not run it
      | behaviour         | kind           | attempts | status | runs |
      | refuses as full   | idempotent     | 2        | 200    | 1    |
      | refuses as full   | non-idempotent | 2        | 200    | 1    |
      | refuses as full   | non-idempotent | 1        | 503    | 0    |
      | is another server | non-idempotent | 2        | 200    | 1    |
      | is another server | non-idempotent | 1        | 503    | 0    |
      | does not listen   | non-idempotent | 1        | 200    | 1    |

    Examples: Servers that refuse this very request
      | behaviour                          | kind           | attempts | status | runs |
      | refuses the named request as full  | non-idempotent | 2        | 200    | 1    |
      | refuses the named request as full  | non-idempotent | 1        | 503    | 0    |

    # Guards against a refusal of an earlier request that is taken for that of this one: the request ran at a second
    # server as well, or its caller was told that it had not run.
    Examples: Servers that have run it and repeat an earlier refusal
      | behaviour                                           | kind           | attempts | status | runs |
      | runs it and repeats an earlier refusal              | non-idempotent | 2        | 502    | 1    |
      | runs it and repeats an earlier refusal              | non-idempotent | 1        | 502    | 1    |
      | runs it and repeats an earlier refusal              | idempotent     | 2        | 200    | 2    |
      | runs it and repeats an earlier refusal as busy      | non-idempotent | 2        | 502    | 1    |
      | runs it and repeats an earlier refusal of an address | non-idempotent | 2        | 502    | 1    |
      | runs it and repeats an earlier refusal of an address | non-idempotent | 1        | 502    | 1    |

    # Guards against entries of other writers: requests to such hosts ended with an unknown error, or as ones that may have run.
    Examples: Servers that no connection can be opened to
      | behaviour                             | kind           | attempts | status | runs |
      | has an empty label in its host        | non-idempotent | 1        | 200    | 1    |
      | has a label of 64 letters in its host | non-idempotent | 1        | 200    | 1    |
      | has an impossible IP address          | non-idempotent | 1        | 200    | 1    |

    Examples: Servers that may have run it
      | behaviour                         | kind           | attempts | status | runs |
      | fails                             | idempotent     | 2        | 200    | 2    |
      | fails                             | idempotent     | 1        | 500    | 1    |
      | fails                             | non-idempotent | 2        | 500    | 1    |
      | resets                            | idempotent     | 2        | 200    | 2    |
      | resets                            | non-idempotent | 2        | 502    | 1    |
      | breaks off in the body            | idempotent     | 2        | 200    | 2    |
      | breaks off in the body            | non-idempotent | 2        | 502    | 1    |
      | resets an answer without a length | idempotent     | 2        | 200    | 2    |
      | resets an answer without a length | non-idempotent | 2        | 502    | 1    |
      | breaks off in a chunk             | non-idempotent | 2        | 502    | 1    |
      | answers another request           | idempotent     | 2        | 200    | 2    |
      | answers another request           | non-idempotent | 2        | 502    | 1    |
      | answers without naming a request  | idempotent     | 2        | 200    | 2    |
      | answers without naming a request  | non-idempotent | 2        | 502    | 1    |
      | sends no HTTP                     | idempotent     | 2        | 200    | 2    |
      | sends no HTTP                     | non-idempotent | 2        | 502    | 1    |
      | is silent                         | idempotent     | 2        | 200    | 2    |
      | is silent                         | non-idempotent | 2        | 504    | 1    |

  # A refusal without an id is believed, as servers that shed send none. It can be no earlier one, because each request
  # has a connection of its own.
  Scenario: Each request to a server has a connection of its own
    Given 2 servers of which the first answers
    When a caller sends 3 idempotent requests on one connection
    Then the first server was connected to 3 times

  # Guards against what an answer to another request says of its server: a limit, a load and a time to hold off.
  Scenario: A refusal of an earlier request says nothing of the server
    Given 2 servers of which the first runs it and repeats an earlier refusal
    When a caller sends a non-idempotent request with at most 1 attempts
    Then the response status is 502
    And nothing is noted of the first server but a failure

  Scenario Outline: Interrupted streams resume at another server after the last complete event
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with at most <attempts> attempts
    Then the response status is <status>
    And the caller receives the events <events>
    And the response <looks>
    And <tokens> tokens are charged

    Examples:
      | behaviour                            | kind             | attempts | status | events    | looks       | tokens |
      | streams                              | resumable stream | 2        | 200    | 1 2 3 4 5 | is complete | 115    |
      | streams                              | plain stream     | 1        | 200    | 1 2 3 4 5 | is complete | 115    |
      | streams without a length             | plain stream     | 1        | 200    | 1 2 3 4 5 | is complete | 115    |
      | breaks off after 2 events and a half | resumable stream | 2        | 200    | 1 2 3 4 5 | is complete | 115    |
      | breaks off after 2 events and a half | resumable stream | 1        | 200    | 1 2       | is aborted  | 106    |
      | breaks off after 2 events and a half | plain stream     | 2        | 200    | 1 2       | is aborted  | 106    |
      | closes after 2 events and a half     | resumable stream | 2        | 200    | 1 2 3 4 5 | is complete | 115    |
      | falls silent after 2 events          | resumable stream | 2        | 200    | 1 2 3 4 5 | is complete | 115    |
      | falls silent after 2 events          | plain stream     | 2        | 200    | 1 2       | is aborted  | 106    |
      | is silent                            | resumable stream | 2        | 200    | 1 2 3 4 5 | is complete | 115    |
      | resets                               | plain stream     | 2        | 502    | none      | is complete | 100    |
      | refuses as full                      | plain stream     | 1        | 503    | none      | is complete | 0      |
      | does not listen                      | plain stream     | 1        | 200    | 1 2 3 4 5 | is complete | 115    |

  # Guards against the end of a slow answer that nobody else can complete.
  Scenario Outline: A server that is only slow is kept while no other one can take over
    Given 2 servers of which the first <behaviour>
    And <obstacle>
    When a caller sends a <kind> request with at most 2 attempts
    Then the response status is 200
    And the caller receives the events <events>
    And the response is complete
    And servers ran the request 1 times

    Examples:
      | behaviour                               | kind             | obstacle                        | events    |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server cannot be reached | 1 2 3 4 5 |
      | pauses for 2 seconds after 2 events     | resumable stream | the retry budget is used up     | 1 2 3 4 5 |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server has just failed to connect | 1 2 3 4 5 |
      | streams its first event after 2 seconds | resumable stream | the second server cannot be reached | 1 2 3 4 5 |
      | answers after a second                  | idempotent       | the second server cannot be reached | none      |
      | answers after a second                  | idempotent       | the retry budget is used up     | none      |

  # Guards against a stream that is given up at a sound server before another one has taken it: a router
  # broke streams off at a server that was silent for 1.6 seconds, as the other one was full (LOST).
  Scenario Outline: A server that falls silent is kept until another one has taken the request
    Given 2 servers of which the first <behaviour>
    And <obstacle>
    When a caller sends a <kind> request with at most 2 attempts
    Then the response status is 200
    And the caller receives the events <events>
    And the response is complete

    Examples:
      | behaviour                               | kind             | obstacle                                    | events    |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server has no room               | 1 2 3 4 5 |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server fails                     | 1 2 3 4 5 |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server resets what it gets       | 1 2 3 4 5 |
      | pauses for 2 seconds within its third event | resumable stream | the second server resets what it gets   | 1 2 3 4 5 |
      | streams its first event after 2 seconds | resumable stream | the second server has no room               | 1 2 3 4 5 |
      | answers after a second                  | idempotent       | the second server has no room               | none      |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server is silent as well         | 1 2 3 4 5 |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server resets streams            | 1 2 3 4 5 |
      | pauses for 2 seconds after 2 events     | resumable stream | the second server fails and stops within its body | 1 2 3 4 5 |
      | pauses for 1.6 seconds after 2 events   | resumable stream | the second server keeps what it gets        | 1 2 3 4 5 |
      | answers after a second                  | idempotent       | the second server is silent as well         | none      |
      | answers after half a second             | idempotent       | the second server keeps what it gets        | none      |
      | answers after a second                  | idempotent       | the second server fails and stops within its body | none |

  # Guards against a first server whose bytes are judged like those of another one that was tried and failed.
  Scenario: A server that goes on after another one has failed is passed on as it is
    Given 2 servers of which the first streams a text after a pause of 2 seconds
    And the second server resets streams
    When a caller sends a resumable stream request with at most 2 attempts
    Then the response status is 200
    And the response is complete

  # Guards against prompts that crash servers: what is tried at one server is not handed to a second one.
  Scenario Outline: A request that may crash servers is not tried at another one while a server is silent
    Given 2 servers of which the first pauses for 2 seconds after 2 events
    And <suspicion>
    When a caller sends a resumable stream request with at most 2 attempts
    Then the caller receives the events 1 2 3 4 5
    And servers ran the request 1 times

    Examples:
      | suspicion                                              |
      | the request is the trial of a blocked prompt           |
      | a part of the prompt is blocked 1 second after its start |

  # Guards against an attempt at another server that outlives its request, or a place that is never returned.
  Scenario: A caller that leaves while another server is tried leaves both servers
    Given 2 servers of which the first falls silent after 2 events
    And the second server keeps what it gets
    When a caller of a resumable stream request disconnects after 1.65 seconds
    Then the server's connection is closed within 0.5 seconds
    And the second server's connection is closed as well
    And no request holds a place

  # Guards against a stalled server that looks alive because of single bytes.
  Scenario: A stream that brings bytes but no whole event goes on at another server
    Given 2 servers of which the first sends a byte now and then after 2 events
    When a caller sends a resumable stream request with at most 2 attempts
    Then the caller receives the events 1 2 3 4 5
    And the response is complete
    And the request took at most 2.3 seconds

  Scenario: A caller that already has events receives only the later ones
    Given 2 servers of which the first streams
    When a caller with the last event id 3 sends a resumable stream request
    Then the caller receives the events 4 5
    And 106 tokens are charged

  Scenario Outline: When a caller disconnects, the request at the server is cancelled
    Given 2 servers of which the first <behaviour>
    When a caller of a <kind> request disconnects after 0.2 seconds
    Then the server's connection is closed within 0.5 seconds
    And <tokens> tokens are charged

    Examples:
      | behaviour                   | kind             | tokens |
      | is silent                   | plain stream     | 100    |
      | falls silent after 2 events | resumable stream | 106    |

  Scenario: The time limit of the route applies although the caller's deadline is later
    Given 2 servers of which the first is silent
    When a caller sends a non-idempotent request with a route time limit of 0.4 seconds
    Then the response status is 504
    And the request took at most 0.65 seconds

  Scenario: Headers reserved for routers and credentials are not forwarded; all others are
    Given 2 servers of which the first answers
    When a caller sends a non-idempotent request with headers reserved for routers
    Then the server received the caller's method, path, query and body unchanged
    And the server received the router's own headers and no credentials

  Scenario Outline: Requests that the configuration does not allow
    Given 2 servers of which the first answers
    When a caller sends a request with <fault>
    Then the response status is <status>
    And servers ran the request 0 times

    Examples:
      | fault                   | status |
      | an unknown key          | 401    |
      | no key                  | 401    |
      | an unknown path         | 404    |
      | an unknown host         | 404    |
      | two attempt ids         | 400    |
      | unreadable token counts | 400    |

    # Guards against values of one caller that no message between routers can hold: a router that got one could draw no
    # tokens for the workspace any more, and lost the origins of other callers' streams.
    Examples: Values out of range
      | fault                                       | status |
      | X-Token-Usage 540,18446744073709551615      | 400    |
      | X-Token-Usage 540,9007199254740993          | 400    |
      | X-Token-Usage 9007199254740993,1            | 400    |
      | X-Token-Usage of 5000 digits                | 400    |
      | X-Prompt-Prefix ab:18446744073709551616     | 400    |
      | X-Prompt-Prefix ab:-1                       | 400    |
      | X-Prompt-Prefix \xff:10                     | 400    |
      | Last-Event-Id 18446744073709551616          | 400    |
      | X-Deadline-Ms nan                           | 400    |
      | X-Attempt-Id a\xff                          | 400    |
      | Resumes a\xff                               | 400    |

  Scenario: Before the first configuration is loaded, requests are refused as retryable
    Given 2 servers of which the first answers
    And no configuration in force
    When a caller sends a non-idempotent request with at most 1 attempts
    Then the response status is 503

  Scenario: A request whose tokens cannot be reserved is refused before it is sent
    Given 2 servers of which the first streams
    And an unreachable budget
    When a caller sends a plain stream request with at most 1 attempts
    Then the response status is 503
    And servers ran the request 0 times

  Scenario: A stopping router finishes its requests and then closes its connections
    Given 2 servers of which the first answers
    When the router begins to stop
    Then the readiness check returns 503
    And a request on an open connection gets 200 and the connection is closed
    And a request after the load balancer's switch-over gets 503 if it may outlast the stop
    And a request after the load balancer's switch-over gets 200 if it ends before the stop does
    And the router is idle within 4.0 seconds

  Scenario Outline: One log record per request has the outcome and the servers tried, in order
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with at most <attempts> attempts
    Then the log record has the outcome <outcome> and the servers <servers>

    Examples:
      | behaviour                   | kind             | attempts | outcome         | servers            |
      | answers                     | idempotent       | 2        | answered        | i-0                |
      | fails                       | idempotent       | 2        | answered        | i-0:status_500,i-1 |
      | does not listen             | non-idempotent   | 1        | answered        | i-0:unreached,i-1  |
      | refuses as full             | non-idempotent   | 1        | server_refused  | i-0:refused_503    |
      | resets                      | non-idempotent   | 2        | outcome_unknown | i-0:broke_off      |
      | is silent                   | non-idempotent   | 2        | deadline_passed | i-0:time_over      |
      | falls silent after 2 events | plain stream     | 2        | broken_off      | i-0:time_over      |
      | falls silent after 2 events | resumable stream | 2        | answered        | i-0:silent,i-1     |
