Feature: How answers end
  A caller must be able to tell a whole answer from one that its server broke off. An answer is
  complete only if a server said so; a router adds no such claim of its own.

  # Guards against an answer that breaks off after a retry being completed by the HTTP library.
  Scenario Outline: A stream that breaks off after the retry of an error does not look complete
    Given a server that fails and one that <behaviour>
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then the caller has the events <events>
    And the caller sees an answer that is <end>

    Examples:
      | behaviour                            | events | end                   |
      | breaks off after 2 events and a half | 1 2    | framed and incomplete |
      | closes after 2 events and a half     | 1 2    | reset                 |

  # Guards against a retry after an error that is the last one although attempts are left.
  Scenario: A stream that breaks off after the retry of an error goes on at the next server
    Given a server that fails and one that breaks off after 2 events and a half
    And a third server that streams
    When a caller of HTTP/1.1 sends a resumable stream request with at most 3 attempts
    Then the caller has the events 1 2 3 4 5
    And the caller sees an answer that is framed and complete

  # Guards against a length or a last chunk that the server did not send: the end of a connection
  # is the end of a whole answer, or a crash.
  Scenario Outline: An answer without a length is passed on without one
    Given a server that <behaviour> and one that answers
    When a caller of HTTP/1.1 sends a <kind> request with at most 1 attempts
    Then the caller sees an answer that is closed
    And its body is <body>

    Examples:
      | behaviour                         | kind           | body  |
      | answers without a length          | idempotent     | hello |
      | answers without a length          | non-idempotent | hello |
      | closes an answer without a length | idempotent     | hel   |
      | closes an answer without a length | non-idempotent | hel   |

  # Guards against a stream that a crashing server ended between two events and the router completed.
  Scenario Outline: A stream without a length is passed on without an end of its own
    Given a server that <behaviour> and one that streams
    When a caller of HTTP/1.1 sends a plain stream request with at most 1 attempts
    Then the caller has the events <events>
    And the caller sees an answer that is <end>

    Examples:
      | behaviour                                       | events    | end    |
      | streams without a length                        | 1 2 3 4 5 | closed |
      | closes a stream without a length after 2 events | 1 2       | closed |
      | resets a stream without a length after 2 events | 1 2       | reset  |
      | closes after 2 events and a half                | 1 2       | reset  |

  # Guards against losing the rest of a stream whose server crashed between two events.
  Scenario Outline: A resumable stream without a length is asked for at another server
    Given a server that <behaviour> and one that <next>
    When a caller of HTTP/1.1 sends a resumable stream request with at most <attempts> attempts
    Then the caller has the events <events>
    And the caller sees an answer that is <end>

    Examples:
      | behaviour                                       | next                                            | attempts | events    | end                   |
      | closes a stream without a length after 2 events | streams                                         | 2        | 1 2 3 4 5 | closed                |
      | streams without a length                        | streams                                         | 2        | 1 2 3 4 5 | closed                |
      | closes a stream without a length after 2 events | does not listen                                 | 2        | 1 2       | closed                |
      | closes a stream without a length after 2 events | fails                                           | 2        | 1 2       | closed                |
      | closes a stream without a length after 2 events | refuses as full                                 | 2        | 1 2       | closed                |
      | closes a stream without a length after 2 events | resets a stream without a length after 2 events | 2        | 1 2 3 4   | reset                 |
      | breaks off after 2 events and a half            | streams without a length                        | 2        | 1 2 3 4 5 | framed and incomplete |

  # Guards against an orderly close that looks like the end to callers who know no chunks.
  Scenario Outline: A caller of HTTP/1.0 sees whether a stream was broken off
    Given a server that <behaviour> and one that streams
    When a caller of HTTP/1.0 sends a <kind> request with at most <attempts> attempts
    Then the caller has the events <events>
    And the caller sees an answer that is <end>

    Examples:
      | behaviour                            | kind             | attempts | events    | end    |
      | streams                              | plain stream     | 1        | 1 2 3 4 5 | closed |
      | breaks off after 2 events and a half | plain stream     | 1        | 1 2       | reset  |
      | breaks off after 2 events and a half | resumable stream | 1        | 1 2       | reset  |
      | breaks off after 2 events and a half | resumable stream | 2        | 1 2 3 4 5 | closed |
      | falls silent after 2 events          | plain stream     | 1        | 1 2       | reset  |

  # Guards against a reset that is not seen because the answer came before the request was sent.
  Scenario: An answer that is reset before the request is sent is not complete
    Given a server that answers and resets before it has read the body
    When a request with a body of 8000000 bytes is sent to it
    Then the exchange ends as a lost connection

  # Guards against a head that stops being taken for a whole one: a 200 with an empty or short body.
  Scenario Outline: An answer whose head stops is no answer
    When callers send a request of each kind, with at most 1 attempts, where the first server stops after <part> and <end>
    Then no caller has a success
    And each request ran once, and no caller is told that it did not

    Examples:
      | part                                                          | end    |
      | nothing                                                       | closes |
      | nothing                                                       | resets |
      | half the status line                                          | closes |
      | half the status line                                          | resets |
      | the status line without its line break                        | closes |
      | the status line without its line break                        | resets |
      | the status line                                               | closes |
      | the status line                                               | resets |
      | the first header lines                                        | closes |
      | the first header lines                                        | resets |
      | half a header name                                            | closes |
      | half a header name                                            | resets |
      | half a header value                                           | closes |
      | half a header value                                           | resets |
      | one digit of the length                                       | closes |
      | one digit of the length                                       | resets |
      | half the transfer coding                                      | closes |
      | half the transfer coding                                      | resets |
      | all but the empty line, with a length                         | closes |
      | all but the empty line, with a length                         | resets |
      | all but the empty line, in chunks                             | closes |
      | all but the empty line, in chunks                             | resets |
      | all but the last line feed, with a length                     | closes |
      | all but the last line feed, with a length                     | resets |
      | all but the last line feed, in chunks                         | closes |
      | all but the last line feed, in chunks                         | resets |
      | all but the last line feed of an empty answer                 | closes |
      | all but the last line feed of an empty answer                 | resets |
      | all but the last line feed, without a length                  | closes |
      | all but the last line feed, without a length                  | resets |
      | half an interim head                                          | closes |
      | half an interim head                                          | resets |
      | an interim head                                               | closes |
      | an interim head                                               | resets |
      | an interim head and half the status line                      | closes |
      | an interim head and half the status line                      | resets |
      | an interim head and the status line                           | closes |
      | an interim head and the status line                           | resets |
      | an interim head and the first header lines                    | closes |
      | an interim head and the first header lines                    | resets |
      | an interim head and one digit of the length                   | closes |
      | an interim head and one digit of the length                   | resets |
      | an interim head and all but the last line feed, with a length | closes |
      | an interim head and all but the last line feed, with a length | resets |
      | a refusal but for the empty line                              | closes |
      | a refusal but for the empty line                              | resets |

  # Guards against a head that stops being the answer although another server could give a whole one.
  Scenario Outline: A request whose answer's head stops goes on at another server only if it may be repeated
    When callers send a request of each kind, with at most 2 attempts, where the first server stops after <part> and <end>
    Then callers whose requests may be repeated have the whole answer of the second server
    And the other callers have no success, and their requests ran once
    And no caller is told that its request did not run

    Examples:
      | part                                                          | end    |
      | nothing                                                       | closes |
      | nothing                                                       | resets |
      | half the status line                                          | closes |
      | half the status line                                          | resets |
      | the status line without its line break                        | closes |
      | the status line without its line break                        | resets |
      | the status line                                               | closes |
      | the status line                                               | resets |
      | the first header lines                                        | closes |
      | the first header lines                                        | resets |
      | half a header name                                            | closes |
      | half a header name                                            | resets |
      | half a header value                                           | closes |
      | half a header value                                           | resets |
      | one digit of the length                                       | closes |
      | one digit of the length                                       | resets |
      | half the transfer coding                                      | closes |
      | half the transfer coding                                      | resets |
      | all but the empty line, with a length                         | closes |
      | all but the empty line, with a length                         | resets |
      | all but the empty line, in chunks                             | closes |
      | all but the empty line, in chunks                             | resets |
      | all but the last line feed, with a length                     | closes |
      | all but the last line feed, with a length                     | resets |
      | all but the last line feed, in chunks                         | closes |
      | all but the last line feed, in chunks                         | resets |
      | all but the last line feed of an empty answer                 | closes |
      | all but the last line feed of an empty answer                 | resets |
      | all but the last line feed, without a length                  | closes |
      | all but the last line feed, without a length                  | resets |
      | half an interim head                                          | closes |
      | half an interim head                                          | resets |
      | an interim head                                               | closes |
      | an interim head                                               | resets |
      | an interim head and half the status line                      | closes |
      | an interim head and half the status line                      | resets |
      | an interim head and the status line                           | closes |
      | an interim head and the status line                           | resets |
      | an interim head and the first header lines                    | closes |
      | an interim head and the first header lines                    | resets |
      | an interim head and one digit of the length                   | closes |
      | an interim head and one digit of the length                   | resets |
      | an interim head and all but the last line feed, with a length | closes |
      | an interim head and all but the last line feed, with a length | resets |
      | a refusal but for the empty line                              | closes |
      | a refusal but for the empty line                              | resets |

  # Guards against a begun stream that looks whole because its next server stopped within its head.
  Scenario Outline: A stream that breaks off, and whose next server stops within its head, does not look whole
    Given a server that <behaviour> and one that stops its stream after <part> and <end>
    When a caller of HTTP/<version> sends a resumable stream request with at most 2 attempts
    Then the caller has the events 1 2
    And the caller sees an answer that is <seen>

    Examples:
      | behaviour                                       | part                                  | end    | version | seen                  |
      | closes after 2 whole events in chunks           | nothing                               | closes | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | nothing                               | resets | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | the status line                       | closes | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | the status line                       | resets | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | the first header lines                | closes | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | the first header lines                | resets | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | half the transfer coding              | closes | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | half the transfer coding              | resets | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | all but the last line feed, in chunks | closes | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | all but the last line feed, in chunks | resets | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | an interim head                       | closes | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | an interim head                       | resets | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | nothing                               | closes | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | nothing                               | resets | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | the status line                       | closes | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | the status line                       | resets | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | the first header lines                | closes | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | the first header lines                | resets | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | half the transfer coding              | closes | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | half the transfer coding              | resets | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | all but the last line feed, in chunks | closes | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | all but the last line feed, in chunks | resets | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | an interim head                       | closes | 1.1     | framed and incomplete |
      | breaks off after 2 events and a half            | an interim head                       | resets | 1.1     | framed and incomplete |
      | closes after 2 whole events in chunks           | the first header lines                | closes | 1.0     | reset                 |
      | resets a stream without a length after 2 events | the first header lines                | closes | 1.1     | reset                 |
      | closes after 2 whole events in chunks           | the first header lines                | resets | 1.0     | reset                 |
      | resets a stream without a length after 2 events | the first header lines                | resets | 1.1     | reset                 |
      | closes after 2 whole events in chunks           | all but the last line feed, in chunks | closes | 1.0     | reset                 |
      | resets a stream without a length after 2 events | all but the last line feed, in chunks | closes | 1.1     | reset                 |
      | closes after 2 whole events in chunks           | all but the last line feed, in chunks | resets | 1.0     | reset                 |
      | resets a stream without a length after 2 events | all but the last line feed, in chunks | resets | 1.1     | reset                 |

  # Guards against a head that stops ending a stream that a further server could complete.
  Scenario Outline: A stream goes on at the server after one that stopped within its head
    Given a server that closes after 2 whole events in chunks and one that stops its stream after <part> and <end>
    And a third server that streams
    When a caller of HTTP/1.1 sends a resumable stream request with at most 3 attempts
    Then the caller has the events 1 2 3 4 5
    And the caller sees an answer that is framed and complete

    Examples:
      | part                                  | end    |
      | nothing                               | closes |
      | nothing                               | resets |
      | the first header lines                | closes |
      | the first header lines                | resets |
      | all but the last line feed, in chunks | closes |
      | all but the last line feed, in chunks | resets |
