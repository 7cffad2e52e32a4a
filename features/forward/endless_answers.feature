Feature: Forwarded requests at servers that send without end
  Guards against a faulty server that takes the router's memory, or a caller's time, with a
  response that never ends. The connection to the server is closed, and the caller gets an error or
  a response that looks broken off, or the answer of another server.

  # Guards against a head or a body of any size that is read into memory.
  Scenario Outline: Responses to plain calls are limited in bytes and time
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with at most 2 attempts
    Then the response status is <status>
    And servers ran the request <runs> times
    And the request took at most 1.5 seconds
    And the server's connection is closed before it has sent <mebibytes> MiB
    And the log record has the outcome <outcome> and the servers <servers>

    Examples: Bodies
      | behaviour                                     | kind           | status | runs | mebibytes | outcome         | servers                   |
      | sends a body without a length and without end | non-idempotent | 502    | 1    | 16        | outcome_unknown | i-0:body_too_large        |
      | sends a body without a length and without end | idempotent     | 200    | 2    | 16        | answered        | i-0:body_too_large,i-1    |
      | sends a body in chunks without end            | non-idempotent | 502    | 1    | 16        | outcome_unknown | i-0:body_too_large        |
      | announces a body of a gigabyte                | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:body_too_large        |
      | fails with a body without end                 | non-idempotent | 502    | 1    | 16        | outcome_unknown | i-0:body_too_large        |
      | fails with a body without end                 | idempotent     | 200    | 2    | 16        | answered        | i-0:body_too_large,i-1    |

    Examples: Heads and framing
      | behaviour                                     | kind           | status | runs | mebibytes | outcome         | servers                   |
      | sends interim heads without end               | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:head_too_large        |
      | sends interim heads without end               | idempotent     | 200    | 2    | 8         | answered        | i-0:head_too_large,i-1    |
      | sends header lines without end                | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:broke_off             |
      | sends a chunk extension without end           | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:framing_too_large     |
      | sends chunk extensions without end            | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:framing_too_large     |
      | sends a chunk extension without end           | idempotent     | 200    | 2    | 8         | answered        | i-0:framing_too_large,i-1 |
      | sends a body in tiny chunks without end       | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:framing_too_large     |
      | sends trailers without end                    | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:broke_off             |
      | switches protocols and sends without end      | non-idempotent | 502    | 1    | 8         | outcome_unknown | i-0:broke_off             |

    Examples: Whole answers
      | behaviour                                     | kind           | status | runs | mebibytes | outcome         | servers                   |
      | sends answers without end                     | non-idempotent | 200    | 1    | 8         | answered        | i-0                       |

  # Guards against a response to a stream's request that is no stream and never ends.
  Scenario Outline: Bodies without end in the place of a stream
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with at most 2 attempts
    Then the response status is <status>
    And the request took at most 1.5 seconds
    And the server's connection is closed before it has sent <mebibytes> MiB
    And the log record has the outcome <outcome> and the servers <servers>

    Examples:
      | behaviour                                     | kind             | status | mebibytes | outcome         | servers                |
      | sends a body without a length and without end | plain stream     | 502    | 16        | outcome_unknown | i-0:body_too_large     |
      | sends a body in chunks without end            | resumable stream | 200    | 16        | answered        | i-0:body_too_large,i-1 |
      | sends interim heads without end               | plain stream     | 502    | 8         | outcome_unknown | i-0:head_too_large     |
      | sends interim heads without end               | resumable stream | 200    | 8         | answered        | i-0:head_too_large,i-1 |

  # Guards against events that are passed on until the deadline, far beyond the request's tokens.
  Scenario Outline: Streams are limited by the output tokens that the request states
    Given 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with at most 2 attempts
    Then the response status is <status>
    And the response <looks>
    And the caller receives at most 30 events with ids
    And the request took at most 2.0 seconds
    And the server's connection is closed before it has sent <mebibytes> MiB
    And the log record has the outcome <outcome> and the servers <servers>

    Examples:
      | behaviour                                | kind             | status | looks       | mebibytes | outcome         | servers                 |
      | streams events without end               | plain stream     | 200    | is aborted  | 8         | broken_off      | i-0:too_many_events     |
      | streams events without end               | resumable stream | 200    | is aborted  | 8         | broken_off      | i-0:too_many_events     |
      | streams the same event without end       | plain stream     | 200    | is aborted  | 8         | broken_off      | i-0:too_many_events     |
      | streams events without ids and without end | plain stream   | 200    | is aborted  | 8         | broken_off      | i-0:too_many_events     |
      | streams an event without end             | plain stream     | 502    | is complete | 8         | outcome_unknown | i-0:event_too_large     |
      | streams an event without end             | resumable stream | 200    | is complete | 8         | answered        | i-0:event_too_large,i-1 |

  # Guards against a stream whose request states no tokens and which is passed on until the deadline.
  Scenario: Streams of requests that state no tokens are limited in bytes
    Given 2 servers of which the first streams large events without end
    When a caller sends a plain stream request that states no tokens
    Then the response is aborted
    And the request took at most 2.0 seconds
    And the server's connection is closed before it has sent 16 MiB

  # Guards against a stream that is buffered without end for a caller that does not read it.
  Scenario: A stream is not read faster than its caller reads it
    Given 2 servers of which the first streams large events without end
    When a caller of a plain stream reads nothing for 1.5 seconds
    Then the first server has sent at most 32 MiB

  # Guards against many bodies at the same time that together take the memory of a small VM.
  Scenario: Large bodies that are read at the same time share a limit
    Given 2 servers of which the first sends most of a large body and waits
    When 16 callers send non-idempotent requests at the same time
    Then at most 8 of them wait for the end of the body, the others get 502 at once
    And a request with a small answer beside them gets 200

  # Guards against memory that grows with what servers send; the smallest VMs have 150 MB.
  Scenario Outline: The memory of a router process is bounded while its server sends without end
    Given a router process with a grace period of 4 seconds
    And its server <behaviour>
    When 12 callers send it requests with a time limit of 6.0 seconds
    Then its memory had at most 150 MB at its peak
    And each caller got 502 if the server ran its request, and 503 if not

    Examples:
      | behaviour                                     |
      | sends a body without a length and without end |
      | sends a body in chunks without end            |
      | sends a body in tiny chunks without end       |
      | sends interim heads without end               |
      | streams an event without end                  |
