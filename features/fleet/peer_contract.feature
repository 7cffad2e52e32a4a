Feature: Contract of calls between routers
  Guards against a reply that comes from the wrong process, belongs to another call, or is missing
  without an error. The target may have ended or been replaced at its address, its handler may
  fail, and messages may be malformed or carry a wrong token. Both transports pass the same tests.

  Scenario Outline: A call returns the reply of its target or fails as unreachable
    Given two routers linked by <network>
    When the first calls the second <how>
    Then the call <outcome>

    Examples:
      | network | how                       | outcome        |
      | pynng   | as usual                  | is answered    |
      | memory  | as usual                  | is answered    |
      | pynng   | with a wrong token        | is unreachable |
      | memory  | with a wrong token        | is unreachable |
      | pynng   | by an old incarnation     | is unreachable |
      | memory  | by an old incarnation     | is unreachable |
      | pynng   | after it has ended        | is unreachable |
      | memory  | after it has ended        | is unreachable |
      | pynng   | with a malformed message  | is unreachable |
      | memory  | with a malformed message  | is unreachable |
      | pynng   | while its handler fails   | is unreachable |
      | memory  | while its handler fails   | is unreachable |

  # Guards against a value of another process that ends all heartbeats, since it cannot be encoded.
  Scenario Outline: A message that cannot be encoded fails like any other call, and later calls are answered
    Given two routers linked by memory
    When a message with <value> is sent to the second
    Then the call is unreachable
    When the first calls the second as usual
    Then the call is answered

    Examples:
      | value                   |
      | an integer of 400 digits |
      | a lone surrogate         |

  # Shows that the refusal of an earlier message, for a place, for tokens or to relay, is never taken for that of a later one.
  Scenario Outline: A reply to a call that was given up is no reply to a later call
    Given two routers linked by <network>
    When a call is given up before its reply, and further calls follow at once
    Then each further call gets its own reply

    Examples:
      | network |
      | pynng   |
      | memory  |

  Scenario: Concurrent calls each get their own reply
    Given two routers linked by pynng
    Then 200 calls at once each get their own reply
