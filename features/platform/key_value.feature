Feature: Contract of the key-value service port
  Guards against an adapter that behaves differently from the in-memory stand-in of the other tests,
  above all against reporting a write as failed that may have taken effect, because its response
  was lost.

  Scenario Outline: Reads, conditional writes and leases
    Given the <service> key-value service
    Then a key that was never written is absent
    And a write that expects it absent succeeds once, and the second finds the first
    And several keys are written together or not at all
    And listing a prefix returns its keys in order
    And a key that is removed is absent, also if it is removed again
    And a key bound to a lease disappears with the lease
    And waiting for a change returns the new value, or nothing when the time is up

    Examples:
      | service   |
      | in-memory |
      | HTTP      |
      | platform  |

  Scenario Outline: Reported outcome of calls when the service fails
    Given the <service> key-value service
    When the service <fault>
    Then a read <read outcome>
    And a write <write outcome>
    And the value after recovery is <value>

    Examples:
      | service   | fault         | read outcome   | write outcome           | value |
      | in-memory | is down       | is unavailable | is known to have failed | old   |
      | HTTP      | is down       | is unavailable | is known to have failed | old   |
      | in-memory | loses answers | returns        | has an unknown outcome  | new   |
      | HTTP      | loses answers | returns        | has an unknown outcome  | new   |
      | HTTP      | has gone      | is unavailable | is known to have failed | old   |
      | platform  | is down       | is unavailable | is known to have failed | old   |
      | platform  | loses answers | returns        | has an unknown outcome  | new   |
      | platform  | has gone      | is unavailable | is known to have failed | old   |

  Scenario Outline: The service comes back from an older copy
    Given the <service> key-value service
    When it returns to a copy from before its last 2 writes
    Then the lost writes are absent, and the era has risen
    And a write on a condition of the earlier era fails without being sent
    And a wait from a position of the earlier era returns the present value at once
    And a lease of the earlier era has ended

    Examples:
      | service   |
      | in-memory |
      | platform  |

  Scenario Outline: A response of an earlier era is treated as lost
    Given the <service> key-value service
    When a new era is known before the response to a write arrives
    Then the write has an unknown outcome, and a read is unavailable

    Examples:
      | service   |
      | in-memory |
      | platform  |

  # Guards against calls whose number grows while nobody can tell why they are made.
  Scenario: Calls to the platform's store are counted by kind, area and cause
    Given the platform key-value service
    When a key under op/ is read twice to confirm it and once for no named cause
    And the keys under servers/ are listed and watched
    And a key under accounts/ is written with a lease
    Then the store calls are counted as
      | name            | count |
      | read.op.confirm | 2     |
      | read.op         | 1     |
      | list.servers    | 1     |
      | watch.servers   | 1     |
      | write.accounts  | 1     |
      | lease           | 1     |
