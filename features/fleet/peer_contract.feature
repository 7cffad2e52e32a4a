Feature: The contract of calls between routers
  A call returns the reply of the process that it was meant for, or says that it is unreachable.

  Scenario Outline: Replies, strangers and silence
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
      | pynng   | with bytes of noise       | is unreachable |
      | memory  | with bytes of noise       | is unreachable |
      | pynng   | while its handler fails   | is unreachable |
      | memory  | while its handler fails   | is unreachable |

  Scenario: Many calls at once each get their own reply
    Given two routers linked by pynng
    Then 200 calls at once each get their own reply
