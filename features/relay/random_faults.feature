Feature: Relaying under random faults
  Cuts of all kinds, lost and doubled messages, servers that go down and slow answers, together.

  # Guards against requests that run twice, false refusals and state that stays.
  Scenario Outline: Random faults break no promise
    Given 6 routers that may relay before 4 servers
    And <kind> requests to relay
    When random faults happen for 40 seconds with seed <seed>
    Then all requests after the faults are served
    And <promise>
    And each refusal that says not run is true
    And no router holds anything for others
    And no part of a router has failed

    Examples:
      | kind           | seed | promise               |
      | non-idempotent | 1    | no request runs twice |
      | non-idempotent | 2    | no request runs twice |
      | non-idempotent | 3    | no request runs twice |
      | stream         | 1    | each finished answer is whole |
      | stream         | 2    | each finished answer is whole |
      | idempotent     | 1    | each finished answer is whole |
