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
      | length_a           | held_a | length_b              | held_b | given_up |
      | states no length   | 40     | states 512 KiB        | 80     | A        |
      | states 512 KiB     | 40     | states no length      | 20     | B        |
      | states no length   | 10     | states 512 KiB        | 400    | B        |
      | states no length   | 40     | states more than 1 GB | 80     | B        |
      | states no length   | 80     | states no length      | 40     | A        |
      | is relayed with no length | 40 | is relayed with one | 80     | A        |
      | is relayed with no length | 10 | is relayed with one | 400    | B        |
