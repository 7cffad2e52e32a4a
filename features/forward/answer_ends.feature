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
