Feature: At-most-once execution of non-idempotent calls
  Guards against a booking that runs twice because a retry, another router or a store fault repeats
  it after a lost response, and against a response that says "not run" for a booking that ran. A
  booking whose outcome cannot be determined is reported as such.

  Background:
    Given a fleet of 3 routers, 2 model servers and a budget of 3000 tokens

  Scenario Outline: A fault of the order service never causes a second run
    Given the order service will <fault>
    When a booking with key b-1 is sent to router 1
    Then the booking <outcome>
    When the order service works again
    And a booking with key b-1 is sent to router 2
    Then the booking <retry outcome>
    And the order service ran b-1 <runs> times

    Examples:
      | fault                        | outcome              | retry outcome        | runs |
      | work                         | is answered          | is answered the same | 1    |
      | be down                      | is refused, not run  | is answered          | 1    |
      | break off after running it   | has unknown outcome  | has unknown outcome  | 1    |
      | go silent after running it   | has unknown outcome  | has unknown outcome  | 1    |

  Scenario Outline: A store fault never causes a second run
    Given the store <fault>
    When a booking with key b-1 is sent to router 1
    And the store is back
    And 5 seconds pass
    And a booking with key b-1 is sent to router 2
    Then the order service ran b-1 1 times
    And the budget's invariants hold

    Examples:
      | fault                     |
      | is down                   |
      | is slow                   |
      | loses every answer        |
      | loses half of the answers |
      | gives stale reads         |

  Scenario: The same booking sent to all routers concurrently runs once
    When a booking with key b-1 is sent to all routers at once, twice each
    Then the order service ran b-1 1 times
    And all bookings got the same answer

  Scenario: The outcome is unknown when the router dies after sending
    When router 2 dies 0.04 seconds after a booking with key b-1 was sent to it
    And a booking with key b-1 is sent to router 1
    Then the booking has unknown outcome
    And the order service ran b-1 1 times

  Scenario: The claim of a partitioned router is not taken over
    When a booking with key b-1 is sent to router 2, which is cut off while it runs
    And 600 seconds pass
    And a booking with key b-1 is sent to router 1
    Then the booking has unknown outcome
    And the order service ran b-1 1 times

  Scenario: An idempotent look-up is retried on another server
    Given the order service will break off after running it
    When a look-up is sent to router 1
    Then the booking is answered

  Scenario: A reused key with another body is rejected
    When a booking with key b-1 is sent to router 1
    And another booking with key b-1 is sent to router 2
    Then the booking is refused with KEY_REUSED
    And the order service ran b-1 1 times
