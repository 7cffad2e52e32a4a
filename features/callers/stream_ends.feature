Feature: How streams of chats end
  A stream that is given up must not end in the way of a whole one.

  # Guards against a stream that is given up being completed by the HTTP library.
  Scenario Outline: A stream that is given up does not look complete
    Given a router that serves HTTP
    When a caller of HTTP/<version> is too slow for the rest of its stream
    Then the caller has no end marker
    And the caller sees an answer that is <end>

    Examples:
      | version | end                   |
      | 1.1     | framed and incomplete |
      | 1.0     | reset                 |
