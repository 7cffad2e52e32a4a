Feature: Placement by estimates learns from the requests that a router sends
  Guards against observations that are lost, that outlast their request, or that make a server which
  fails at once look fast. Requests pass through the sender, over loopback connections.

  Scenario Outline: No observation outlasts its request, whatever the server does
    Given placement by estimates
    And 2 servers of which the first <behaviour>
    When a caller sends a <kind> request with at most 2 attempts
    Then the response status is 200
    And no request counts as pending at any server
    And the line of the request says why its server was chosen

    Examples:
      | behaviour                         | kind       |
      | answers                           | idempotent |
      | refuses as full                   | idempotent |
      | does not listen                   | idempotent |
      | fails                             | idempotent |
      | resets                            | idempotent |
      | is silent                         | idempotent |
      | breaks off in the body            | idempotent |

  Scenario: A stream teaches the time to its first event, and leaves its prompt at the server
    Given placement by estimates
    And 2 servers of which the first streams
    When a caller sends a resumable stream request with at most 2 attempts
    Then the response status is 200
    And one server is assumed to hold the parts of its prompt

  Scenario: A server that fails at once does not look fast
    Given placement by estimates
    And 2 servers of which the first fails
    When a caller sends 20 idempotent requests one after the other
    Then the first server received at most 5 of them

  Scenario Outline: The setting selects the placement, and affinity is the default
    Given a router that forwards requests, started with <settings>
    Then its state dump has <estimates>
    And the question of an operator where a request would go is <outcome>

    Examples:
      | settings                     | estimates    | outcome  |
      | no settings                  | no estimates | refused  |
      | backend.placement = affinity | no estimates | refused  |
      | backend.placement = estimate | estimates    | answered |
