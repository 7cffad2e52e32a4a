Feature: Answers whose end nobody stated
  A server's answer without a length ends with its connection, and so does its copy to the caller.
  Such an end says nothing of the rest; whatever is known to be missing must still be seen.

  # Guards against an orderly close although the next server has begun an event that follows.
  Scenario Outline: A stream of which more is known to follow does not look complete
    Given a server that closes a stream without a length after 2 events and one that <next>
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then the caller has the events 1 2
    And the caller sees an answer that is reset

    Examples:
      | next                                |
      | breaks off before its first event   |
      | breaks off within its first event   |
      | falls silent within its first event |

  # Guards against the system's orderly close of a killed router's connections, which looks like the
  # end of a response that has no length or chunks.
  Scenario Outline: A stream whose router is killed does not look complete
    Given a router process with a grace period of 4 seconds
    And a caller of HTTP/<version> that has 2 events of a server that <behaviour>
    When the process receives SIGKILL
    Then the caller's answer ends
    And the caller has the events 1 2
    And the caller sees an answer that is <end>

    Examples:
      | version | behaviour                                    | end                   |
      | 1.1     | falls silent after 2 events                  | framed and incomplete |
      | 1.1     | falls silent after 2 events without a length | reset                 |
      | 1.0     | falls silent after 2 events                  | reset                 |

  # Guards against a request that outlives its deadline and a stop: the end of its response is
  # waited for once more, without a limit, after its time is over.
  Scenario Outline: A stream without a length ends at its deadline although its caller takes nothing
    Given a server that streams without a length and one that <next>
    When a caller that does not take the end sends a <kind> request with a limit of 1 second
    Then the request has ended within 1.5 seconds, and its response is aborted

    Examples:
      | kind             | next      |
      | plain stream     | streams   |
      | resumable stream | is silent |

  # Guards against a stream that is sent twice: events without ids cannot be taken up after the last.
  Scenario Outline: A stream without ids or a length is not sent twice
    Given a server that <behaviour> and one that <behaviour>
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then its events hold each piece once at most
    And the caller sees an answer that is <end>

    Examples:
      | behaviour                                                 | end                   |
      | streams without ids or a length                           | closed                |
      | breaks off a stream without ids after 2 events and a half | framed and incomplete |

  # Guards against a last chunk that the server did not send: the last coding of all lines decides.
  Scenario Outline: An answer whose last transfer coding is not chunked ends with its connection
    Given a server that <behaviour> and one that answers
    When a caller of HTTP/1.1 sends a non-idempotent request with at most 1 attempts
    Then the caller sees no answer that is complete

    Examples:
      | behaviour                                      |
      | closes an answer with codings on two lines     |
      | closes an answer with two codings on one line  |
      | closes an answer with a coding of another name |

  # Guards against a request body that the HTTP library decodes although its coding is passed on:
  # the server gets other bytes, and a part of a coded body looks whole.
  Scenario Outline: A request body with a content coding reaches the server unchanged
    Given a server that answers and one that answers
    When a caller sends a body that is coded with gzip and <state>
    Then the server has the bytes of the caller, or no request

    Examples:
      | state     |
      | whole     |
      | cut short |

  # Guards against retries that are used up by asking for ends, so that none is left for failures.
  Scenario: Streams that break off go on in a service whose whole streams have no length
    Given a server that streams without a length and one that streams without a length
    When callers send 100 resumable stream requests with at most 2 attempts
    And the first server breaks off after 2 events and a half from now on, and the second streams
    And callers send 10 resumable stream requests with at most 2 attempts
    Then no caller has fewer than 5 events in any answer

  # Guards against retries that are spent on an end of which two servers have said the same.
  Scenario: A whole stream without a length is asked for at one other server
    Given a server that streams without a length and one that streams without a length
    And a third server that streams without a length
    When callers send 10 resumable stream requests with at most 3 attempts
    Then no caller has fewer than 5 events in an answer that looks complete
    And the third server was not asked

  # Guards against the end of a process that drops the rest of a response and closes its connection
  # in order.
  Scenario Outline: A stream whose rest a stopping router still holds does not look complete
    Given a router process whose sockets hold few bytes, with a grace period of 4 seconds
    And a caller of HTTP/<version> that takes nothing of a server that <behaviour>
    When the process receives SIGTERM
    Then the caller sees the whole stream, or an answer that is <end>

    Examples:
      | version | behaviour                              | end   |
      | 1.1     | streams a large event without a length | reset |
      | 1.0     | streams a large event without a length | reset |

  # Guards against a whole answer that is made of two runs: only a resumable stream can go on elsewhere.
  Scenario: A stream in answer to an idempotent call is not joined from two runs
    Given a server that breaks off after 2 events and a half and one that streams
    When a caller of HTTP/1.1 sends a idempotent request with at most 2 attempts
    Then the caller has the events 1 2
    And the caller sees an answer that is framed and incomplete

  # Guards against the orderly end of a stream of which half an event was seen, at a server that says that nothing follows.
  Scenario Outline: A stream that broke off ends as whole only if nothing more had begun
    Given a server that <behaviour> and one that <next>
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then the caller has the events 1 2
    And the caller sees an answer that is <end>

    Examples: Within an event, which the next answer contradicts
      | behaviour                            | next                             | end                   |
      | breaks off after 2 events and a half | streams nothing                  | framed and incomplete |
      | breaks off after 2 events and a half | streams nothing in chunks        | framed and incomplete |
      | breaks off after 2 events and a half | streams nothing without a length | framed and incomplete |
      | breaks off after 2 events and a half | streams only a comment           | framed and incomplete |
      | closes after 2 events and a half     | streams nothing                  | reset                 |
      | closes after 2 events and a half     | streams nothing in chunks        | reset                 |
      | closes after 2 events and a half     | streams nothing without a length | reset                 |
      | closes after 2 events and a half     | streams only a comment           | reset                 |

    Examples: After whole events, when a whole answer may say that nothing follows
      | behaviour                                       | next                             | end                   |
      | breaks off after 2 events                       | streams nothing                  | framed and complete   |
      | breaks off after 2 events                       | streams nothing in chunks        | framed and complete   |
      | breaks off after 2 events                       | streams nothing without a length | framed and incomplete |
      | breaks off after 2 events and half a comment    | streams nothing                  | framed and complete   |
      | breaks off after 2 events and a half text       | streams nothing                  | framed and complete   |
      | resets a stream without a length after 2 events | streams nothing                  | closed                |
      | resets a stream without a length after 2 events | streams nothing in chunks        | closed                |
      | resets a stream without a length after 2 events | streams nothing without a length | closed                |

  # Guards against the end of a stream at a server without its rest although another one has it.
  Scenario Outline: Another server is asked for the rest of an event of which half was seen
    Given a server that <behaviour> and one that <next>
    And a third server that streams
    When a caller of HTTP/1.1 sends a resumable stream request with at most 3 attempts
    Then the caller has nothing but the events 1 2 3 4 5
    And the caller sees an answer that is <end>

    Examples:
      | behaviour                                       | next                              | end                 |
      | breaks off after 2 events and a half            | streams nothing                   | framed and complete |
      | closes after 2 events and a half                | streams nothing in chunks         | closed              |
      | closes after 2 events and a half                | streams nothing without a length  | closed              |
      | closes a stream without a length after 2 events | breaks off within its first event | closed              |

  # Guards against an orderly end at the second of two servers that hold nothing, after half an event at a third.
  Scenario: A stream of which half an event was seen does not end with two servers that hold nothing
    Given a server that closes after 2 events and a half and one that streams nothing without a length
    And a third server that streams nothing without a length
    When a caller of HTTP/1.1 sends a resumable stream request with at most 3 attempts
    Then the caller has nothing but the events 1 2
    And the caller sees an answer that is reset

  # Guards against an empty stream as the whole answer although its first event had begun elsewhere.
  Scenario: A stream whose first event had begun is not answered with an empty one
    Given a server that breaks off within its first event and one that streams nothing
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then the caller sees no answer that is complete

  # Guards against a whole answer that is refused for the half event of another run, of which its caller has nothing.
  Scenario: An idempotent call is answered with the stream of its second run, whatever the first had begun
    Given a server that breaks off within its first event and one that streams nothing
    When a caller of HTTP/1.1 sends a idempotent request with at most 2 attempts
    Then the caller sees an answer that is framed and complete

  # Guards against the text of an error, or its whole head, in the middle of a stream that another server had begun.
  Scenario Outline: A stream that broke off goes on with events only
    Given a server that <behaviour> and one that <next>
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then the caller has nothing but the events 1 2
    And the caller sees an answer that is <end>

    Examples: Answers that are no stream
      | behaviour                                       | next                               | end                   |
      | breaks off after 2 events and a half            | fails with a text                  | framed and incomplete |
      | breaks off after 2 events and a half            | rejects it with a text             | framed and incomplete |
      | breaks off after 2 events and a half            | fails with a head in its text      | framed and incomplete |
      | breaks off after 2 events and a half            | fails with an event stream         | framed and incomplete |
      | breaks off after 2 events and a half            | answers with a text                | framed and incomplete |
      | breaks off after 2 events and a half            | answers with a text without a type | framed and incomplete |
      | closes after 2 events and a half                | fails with a text                  | reset                 |
      | closes after 2 events and a half                | rejects it with a text             | reset                 |
      | closes after 2 events and a half                | fails with a head in its text      | reset                 |
      | closes after 2 events and a half                | fails with an event stream         | reset                 |
      | closes after 2 events and a half                | answers with a text                | reset                 |
      | closes after 2 events and a half                | answers with a text without a type | reset                 |
      | breaks off after 2 events                       | fails with a text                  | framed and incomplete |
      | breaks off after 2 events                       | rejects it with a text             | framed and incomplete |
      | breaks off after 2 events                       | fails with a head in its text      | framed and incomplete |
      | breaks off after 2 events                       | fails with an event stream         | framed and incomplete |
      | breaks off after 2 events                       | answers with a text                | framed and incomplete |
      | breaks off after 2 events                       | answers with a text without a type | framed and incomplete |
      | resets a stream without a length after 2 events | fails with a text                  | reset                 |
      | resets a stream without a length after 2 events | rejects it with a text             | reset                 |
      | resets a stream without a length after 2 events | fails with a head in its text      | reset                 |
      | resets a stream without a length after 2 events | fails with an event stream         | reset                 |
      | resets a stream without a length after 2 events | answers with a text                | reset                 |
      | resets a stream without a length after 2 events | answers with a text without a type | reset                 |

    Examples: Streams that hold something else than events
      | behaviour                                       | next                             | end                   |
      | breaks off after 2 events and a half            | streams the text of an error     | framed and incomplete |
      | breaks off after 2 events and a half            | streams the head of an error     | framed and incomplete |
      | breaks off after 2 events and a half            | streams a head before its events | framed and incomplete |
      | breaks off after 2 events and a half            | streams an object with an error  | framed and incomplete |
      | closes after 2 events and a half                | streams the text of an error     | reset                 |
      | closes after 2 events and a half                | streams the head of an error     | reset                 |
      | closes after 2 events and a half                | streams a head before its events | reset                 |
      | closes after 2 events and a half                | streams an object with an error  | reset                 |
      | breaks off after 2 events                       | streams the text of an error     | framed and incomplete |
      | breaks off after 2 events                       | streams the head of an error     | framed and incomplete |
      | breaks off after 2 events                       | streams a head before its events | framed and incomplete |
      | breaks off after 2 events                       | streams an object with an error  | framed and incomplete |
      | resets a stream without a length after 2 events | streams the text of an error     | reset                 |
      | resets a stream without a length after 2 events | streams the head of an error     | reset                 |
      | resets a stream without a length after 2 events | streams a head before its events | reset                 |
      | resets a stream without a length after 2 events | streams an object with an error  | reset                 |
      | breaks off after 2 events                       | streams a text after an event    | framed and incomplete |
      | closes a stream without a length after 2 events | streams the text of an error     | reset                 |

  # Guards against the end of a stream at a server that has an error instead of its rest.
  Scenario: A third server is asked for the rest if the second one streams an error
    Given a server that breaks off after 2 events and one that streams the head of an error
    And a third server that streams
    When a caller of HTTP/1.1 sends a resumable stream request with at most 3 attempts
    Then the caller has nothing but the events 1 2 3 4 5
    And the caller sees an answer that is framed and complete

  # Guards against a rest that is refused for what event streams may hold beside numbered events.
  Scenario: Comments, other fields and a last event without an id are parts of the rest
    Given a server that breaks off after 2 events and one that streams what events may hold
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then the caller has the events 1 2 3 4 5
    And the caller sees an answer that is framed and complete
