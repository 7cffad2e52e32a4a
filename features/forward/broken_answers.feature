Feature: Answers that are none reach no caller
  A head that cannot be believed is no answer, whatever its status says. The request counts as lost
  after it was sent: it runs at most once, or goes on elsewhere if it may be repeated, and its
  caller gets 502 in the end. What is odd but valid passes.

  # Guards against an answer with a status that does not exist, framed as whole.
  Scenario Outline: An answer without a valid status is no answer
    Given a router process and <count> servers
    When callers send a request of each kind, answered with the status <status>
    Then each of them ran once at each server that it may go to, and got 502 of the router

    Examples:
      | status    | count |
      | 000 OK    | 1     |
      | 000 OK    | 2     |
      | 001 OK    | 1     |
      | 099 OK    | 1     |
      | 600 OK    | 1     |
      | 999 OK    | 2     |

  # Guards against a valid answer that is not passed on since it is unusual.
  Scenario Outline: An answer with an unusual status or reason is passed on
    Given a router process and 1 servers
    When callers send a request of each kind, answered with the status <line>
    Then each of them got the answer of the server, with the status <status>

    Examples:
      | line           | status |
      | 299 Unusual    | 299    |
      | 200            | 200    |
      | 200 \xd6k\x21  | 200    |

  # Guards against a field that is passed on, or that says where the body ends, with a broken name.
  Scenario Outline: An answer with a field whose name is none is no answer
    Given a router process and <count> servers
    When callers send a request of each kind, answered with the <answer>
    Then each of them ran once at each server that it may go to, and got 502 of the router

    Examples: Names
      | answer                             | count |
      | line X A: 1                        | 1     |
      | line X-A\x20: 1                    | 1     |
      | line X-A\x09: 1                    | 1     |
      | line X\x01A: 1                     | 1     |
      | line X\x00A: 1                     | 1     |
      | line X\x7fA: 1                     | 1     |
      | line \x20X-A: 1                    | 1     |
      | line X-A: 1\r\n\x09X-B: 2          | 2     |
      | first \x20X-A: 1                   | 1     |
      | interim X A: 1                     | 1     |
      | interim Content-Length\x20: 1      | 1     |
      | interim \x20X-A: 1                 | 1     |

    Examples: Names of fields that say where the body ends
      | answer                             | count |
      | framing Content-Length\x20: 24     | 2     |
      | framing Content-Length\x09: 24     | 1     |
      | framing Content-Length\x01: 24     | 1     |
      | framing \x20Content-Length: 24     | 1     |
      | framing Transfer-Encoding\x20: chunked | 2 |
      | framing \x20Transfer-Encoding: chunked | 1 |

    Examples: Refusals, which promise nothing
      | answer                             | count |
      | refusal 503 X A: 1                 | 1     |
      | refusal 503 Content-Length\x20: 24 | 2     |
      | refusal 421 Content-Length\x20: 24 | 1     |
      | refusal 429 \x20X-A: 1             | 1     |
      | refusal 408 X\x01A: 1              | 1     |

  # Guards against bytes of the framing that reach a caller as the body.
  Scenario Outline: An answer whose head does not tell where its body ends is no answer
    Given a router process and 1 servers
    When callers send a request of each kind, answered with the framing <line>
    Then each of them ran once at each server that it may go to, and got 502 of the router

    Examples:
      | line                                            |
      | Transfer-Encoding: xchunked                     |
      | Transfer-Encoding: chunked, gzip                |
      | Transfer-Encoding: gzip, chunked                |
      | Transfer-Encoding: \x0bchunked                  |
      | Transfer-Encoding: chunked;a=b                  |
      | Transfer-Encoding:                              |
      | Transfer-Encoding: chunked\r\nContent-Length: 5 |
      | Content-Length: 2 4                             |
      | Content-Length: +24                             |
      | Content-Length: 0{5000}24                       |
      | Content-Length: 9{25}                           |

  # Guards against a valid answer that is not passed on since it is unusual.
  Scenario Outline: An answer with unusual fields is passed on
    Given a router process and 1 servers
    When callers send a request of each kind, answered with the <answer>
    Then each of them got the answer of the server, with the status 200

    Examples:
      | answer                             |
      | line X-A: \xe9\xff                 |
      | line x!#$%&'*+-.^_`~1:a            |
      | line X-A:                          |
      | line X-A: a\x09b                   |
      | interim X-A: 1                     |
      | framing Transfer-Encoding: Chunked |
      | framing TRANSFER-ENCODING:\x09chunked\x20 |
      | trailer X-A: 1                     |

  # Guards against a request that ends with 500, or waits, as nobody is told of a broken chunk.
  Scenario Outline: An answer with a chunk that is none is no answer
    Given a router process and 1 servers
    When callers send a request of each kind, answered with the chunk <line>
    Then each of them ran once at each server that it may go to, and got 502 of the router
    And each of them took at most 1.5 seconds

    Examples:
      | line                |
      | zz                  |
      | -5                  |
      | fffffffffffffffffff |
      | 2                   |

  # Guards against a part of an answer without a length that looks whole, as its server answered a
  # long upload at once and reset the connection.
  Scenario Outline: A part of an answer that is reset beside its upload is not complete
    Given a router process and 1 servers
    When a caller sends a <kind> request with <size> bytes and the server <behaviour>
    Then the caller has no answer that looks complete, and its request ran once

    Examples:
      | kind           | size    | behaviour                                            |
      | idempotent     | 1000000 | answers and resets before it has read the body       |
      | non-idempotent | 1000000 | answers and resets before it has read the body       |
      | non-idempotent | 4000000 | answers and resets before it has read the body       |
      | plain stream   | 4000000 | answers and resets before it has read the body       |
      | non-idempotent | 1000000 | answers, ends and resets before it has read the body |
      | idempotent     | 4000000 | answers, ends and resets before it has read the body |
      | non-idempotent | 4000000 | answers, ends and resets before it has read the body |

  # Guards against a reset that arrives together with the answer and looks like its end.
  Scenario Outline: A part of an answer that arrives together with a reset is not complete
    Given a router process and 1 servers
    When a caller sends a <kind> request with <size> bytes, and the process is frozen while its server <behaviour>
    Then the caller has no answer that looks complete, and its request ran once

    Examples:
      | kind             | size    | behaviour          |
      | idempotent       | 5       | answers and resets |
      | non-idempotent   | 5       | answers and resets |
      | non-idempotent   | 1000000 | answers and resets |
      | plain stream     | 5       | streams and resets |
      | resumable stream | 5       | streams and resets |

  # Guards against a sound early answer that is taken for a part.
  Scenario Outline: An early answer without a length is passed on to its end
    Given a router process and 1 servers
    When a caller sends a <kind> request with <size> bytes and the server answers, ends and drains before it has read the body
    Then the caller has the answer up to its close

    Examples:
      | kind           | size    |
      | non-idempotent | 1000000 |
      | idempotent     | 4000000 |

  # Guards against a stream that goes on, or ends as whole, with the answer of a server that has none.
  Scenario Outline: A stream does not go on with an answer that is none
    Given a router process and 2 servers
    When a caller sends a resumable stream request to a server that breaks off after 2 events and one that streams with the <answer>
    Then the caller has the events 1 2
    And the caller sees an answer that is framed and incomplete
    And each of the servers ran it once

    Examples:
      | answer                                 |
      | status 000 OK                          |
      | line \x20X-A: 1                        |
      | framing Transfer-Encoding\x20: chunked |
      | refusal 503 \x20X-A: 1                 |
      | chunk zz                               |
