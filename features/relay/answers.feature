Feature: Answers through another router are those of the server
  Status, headers, bytes, end marker and the way in which an answer breaks off are unchanged.

  Scenario Outline: A relayed answer is the same as a direct one
    Given two routers on sockets, one of them cut off from a server that <behaviour>
    When the same request is sent directly and through the other router
    Then both answers are the same, to their end

    Examples:
      | behaviour                                   |
      | answers                                     |
      | answers in chunks                           |
      | answers without a length                    |
      | closes an answer with codings on two lines  |
      | resets an answer without a length           |
      | breaks off in the body                      |
      | breaks off in a chunk                       |
      | fails                                       |
      | refuses as full                             |
      | refuses the named request as full           |
      | runs it and repeats an earlier refusal      |
      | streams slowly                              |
      | streams without a length                    |
      | breaks off after 2 events and a half        |
      | closes after 2 events and a half            |
      | streams a large event without a length      |

  # Guards against a head that stops being completed on its way through another router.
  Scenario Outline: A head that stops is no answer, relayed or direct
    Given two routers on sockets, one of them cut off from a server that stops after <part> and <end>
    When the same request is sent directly and through the other router
    Then neither has an answer, and both exchanges end as a lost connection

    Examples:
      | part                                          | end    |
      | nothing                                       | closes |
      | nothing                                       | resets |
      | half the status line                          | closes |
      | half the status line                          | resets |
      | the first header lines                        | closes |
      | the first header lines                        | resets |
      | one digit of the length                       | closes |
      | one digit of the length                       | resets |
      | half the transfer coding                      | closes |
      | half the transfer coding                      | resets |
      | all but the last line feed, with a length     | closes |
      | all but the last line feed, with a length     | resets |
      | all but the last line feed of an empty answer | closes |
      | all but the last line feed of an empty answer | resets |
      | an interim head and the first header lines    | closes |
      | an interim head and the first header lines    | resets |
      | a refusal but for the empty line              | closes |
      | a refusal but for the empty line              | resets |

  # Guards against a head that breaks the protocol being passed on by another router.
  Scenario Outline: A head that breaks the protocol is no answer, relayed or direct
    Given two routers on sockets, one of them cut off from a server that <behaviour>
    When the same request is sent directly and through the other router
    Then neither has an answer, as the head is invalid

    Examples:
      | behaviour                       |
      | answers with the status 000 OK  |
      | streams with the status 000 OK  |
      | answers with the status 600 Odd |
      | answers with the line X A: 1    |
      | answers with the line \x20X-A: 1 |
      | streams with the line X-A\x20: 1 |
      | answers with the framing Content-Length\x20: 24 |
      | streams with the framing Transfer-Encoding\x20: chunked |
      | answers with the framing Transfer-Encoding: xchunked |
      | answers with the refusal 503 Content-Length\x20: 24 |

  # Guards against a router of an earlier release that passes on what its servers send.
  Scenario Outline: A relayed head is checked by the router that asked for it
    Given a router of an earlier release that relays a head with <fault>
    When a request is sent through that router
    Then it has no answer, as the head is invalid

    Examples:
      | fault          |
      | the status 0   |
      | the status 99  |
      | the status 600 |
      | the line X A: 1 |
      | the line X\x01A: 1 |
      | the line Transfer-Encoding: gzip |

  # Guards against a part of an answer without a length that the relaying router takes for whole.
  Scenario Outline: A part of an answer that is reset beside its upload is not complete
    Given two routers on sockets, one of them cut off from a server that <behaviour>
    When a request with a body of 4 MiB is sent through the other router
    Then its answer is not complete

    Examples:
      | behaviour                                            |
      | answers and resets before it has read the body       |
      | answers, ends and resets before it has read the body |

  # Guards against answers that are limited each, and together exceed the memory of the router that asked for them.
  # Readers drop an answer a moment after it gave way, so there may be as much again.
  Scenario Outline: Relayed answers without end share an account
    Given two routers on sockets, one of them cut off from a server that <behaviour>
    And the answers that the cut-off router receives may hold 1 MiB
    When 30 requests are sent through the other router, and each reader <way> its answer
    Then the cut-off router held at most 2 MiB of answers
    And answers gave way, and a further answer arrives whole

    Examples:
      | behaviour                                     | way           |
      | streams an event without end                  | keeps         |
      | streams an event without end                  | leaves unread |
      | sends a body without a length and without end | keeps         |
      | sends a body without a length and without end | leaves unread |

  # Guards against messages that are larger than the transport takes.
  Scenario: A request body of 4 MiB
    Given two routers on sockets, one of them cut off from a server that answers
    When a request with a body of 4 MiB is sent through the other router
    Then the server has received it, and its answer arrives

  # Guards against hanging connects that use up the deadline of a request.
  Scenario Outline: A hanging connect ends after the time that the call allows
    Given a port at which connections hang
    When a request with a connect timeout of <seconds> s is sent there
    Then it fails as not sent within <seconds> to <high> s

    Examples:
      | seconds | high |
      | 0.25    | 0.45 |
      | 0.5     | 0.7  |
