Feature: The router as a process on the platform
  The launcher, its settings, signals and the end of its grace, against the stand-in store.

  Scenario: A stop ends within its grace although a request does not end
    Given a router process with a grace of 4 seconds
    And a caller whose stream never ends
    When the process gets SIGTERM
    Then readiness is refused within 0.5 seconds
    And the process ends with code 0 after 2 to 3.8 seconds
    And the caller's stream is broken off

  Scenario: A stop with nothing to do ends soon, and SIGHUP ends nothing
    Given a router process with a grace of 8 seconds
    When the process gets SIGHUP
    And a request is answered
    And the process gets SIGTERM
    Then the process ends with code 0 after 2 to 4.5 seconds
    And its log tells its start, the settings checked again and its stop

  Scenario: Counters stand on the metrics address
    Given a router process with a grace of 4 seconds
    When a request is answered
    Then the metrics tell 1 answered request

  Scenario: SIGHUP while a process loads its packages ends nothing
    Given a router process with a grace of 4 seconds that is sent SIGHUP as soon as it may be
    Then SIGHUP was ignored before it was handled
    When a request is answered
    And the process gets SIGTERM
    Then the process ends with code 0 after 0 to 4 seconds

  Scenario: A stop does not wait for the interpreter to be taken apart
    Given a router process with a grace of 4 seconds whose interpreter takes 10 seconds to end
    When a request is answered
    And the process gets SIGTERM
    Then the process ends with code 0 after 2 to 4 seconds
