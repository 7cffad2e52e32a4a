Feature: The account of what servers' answers hold
  Guards against an account that lets faulty servers shut out sound ones. A server may stall or send
  without end, and sound answers must go on beside it.

  Scenario Outline: Those give way that held most for longest, and less so if they state a length
    Given an account of 1000 KiB for the answers of servers
    And an answer A that <length_a> holds 480 KiB for <held_a> ms
    And an answer B that <length_b> holds 480 KiB for <held_b> ms
    When a further answer holds 128 KiB
    Then only answer <given_up> has given way

    Examples:
      | length_a                  | held_a | length_b              | held_b | given_up |
      | states no length          | 40     | states 512 KiB        | 80     | A        |
      | states 512 KiB            | 40     | states no length      | 20     | B        |
      | states no length          | 10     | states 512 KiB        | 400    | B        |
      | states no length          | 40     | states more than 1 GB | 80     | B        |
      | states no length          | 80     | states no length      | 40     | A        |
      | is relayed with no length | 40     | is relayed with one   | 80     | A        |
      | is relayed with no length | 10     | is relayed with one   | 400    | B        |

  # Guards against a body that stalls, is slow or has given way, and keeps all others from being read.
  Scenario Outline: Bodies take turns while little memory is left
    Given bodies that lose their turns after 0.5 s without progress and after 1 s, of which A has one
    When B, which states no length, and C, which states one, wait and <event>
    Then C may be read further after <c> s and B after <b> s

    Examples:
      | event                  | c   | b   |
      | A ends                 | 0   | 0.5 |
      | A stalls               | 0.5 | 1   |
      | A goes on              | 1   | 2.5 |
      | C gives way            | 0   | 0.5 |
      | A ends and leaves room | 0   | 0   |
      | B begins first         | 0.5 | 1   |
