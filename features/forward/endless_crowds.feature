Feature: Many requests at servers that send without end
  Guards against faulty servers that together make a router process hold more than its VM has, by
  bytes that are no answers. The process lives, and sound servers serve requests.

  Scenario Outline: The memory of a router process is bounded while servers send without end
    Given a router process on a VM with <megabytes> MB and 2 servers
    When <callers> callers send <kind> requests to servers of which each <behaviour>
    Then the memory of the process was within <megabytes> MB
    And no caller got a success or was told that its request did not run while it did
    And a request to a sound server is answered

    Examples:
      | megabytes | callers | kind             | behaviour                                     |
      | 88        | 40      | non-idempotent   | sends zero bytes without end                  |
      | 88        | 40      | idempotent       | sends a body without a length and without end |
      | 88        | 40      | idempotent       | sends a body in chunks without end            |
      | 88        | 40      | idempotent       | sends interim heads without end               |
      | 88        | 40      | idempotent       | fails with a body without end                 |
      | 88        | 40      | resumable stream | streams an event without end                  |
      | 150       | 120     | non-idempotent   | sends zero bytes without end                  |
      | 150       | 120     | idempotent       | sends a body without a length and without end |
      | 150       | 120     | idempotent       | sends interim heads without end               |
      | 150       | 120     | idempotent       | fails with a body without end                 |
      | 150       | 200     | resumable stream | streams an event without end                  |

  # Guards against an account that lets faulty servers shut out sound ones.
  Scenario Outline: Sound answers are received beside those without end
    Given a router process on a VM with 88 MB and 2 servers
    When 40 callers send <kind> requests to a server that <first> and one that <second>
    Then the memory of the process was within 88 MB
    And each caller got the status 200

    Examples:
      | kind             | first                                         | second                         |
      | idempotent       | sends a body without a length and without end | answers                        |
      | idempotent       | sends a body without a length and without end | answers with 256 KiB           |
      | resumable stream | streams an event without end                  | streams slowly                 |
      | non-idempotent   | answers with 256 KiB                          | answers with 256 KiB           |
      | idempotent       | sends a body without a length and without end | answers with 128 KiB           |
      | non-idempotent   | answers with 256 KiB in chunks                | answers with 256 KiB in chunks |
      | idempotent       | sends a body without a length and without end | answers with 256 KiB in chunks |
