Feature: Start, signals and stop of the router process on the platform
  Guards against a router process that outlives its grace period or dies from a signal. The platform's
  launcher starts the process against a stand-in of the platform's store. A stop can hang on a request
  that never ends or on threads that keep the interpreter from shutting down; SIGHUP terminates a
  process that has not installed its handler yet.

  Scenario: A stop ends within the grace period although a request does not end
    Given a router process with a grace period of 4 seconds
    And a caller whose stream never ends
    When the process receives SIGTERM
    Then the readiness check fails within 0.5 seconds
    And the process exits with code 0 after 3.6 to 3.8 seconds
    And the caller's stream is aborted

  Scenario: A stop without open requests ends soon, and SIGHUP does not end the process
    Given a router process with a grace period of 8 seconds
    When the process receives SIGHUP
    And a request is answered
    And the process receives SIGTERM
    Then the process exits with code 0 after 2 to 4.5 seconds
    And its log reports the start, the settings check and the stop in this order

  Scenario: The metrics address serves the counters
    Given a router process with a grace period of 4 seconds
    When a request is answered
    Then the metrics report 1 answered request

  Scenario: SIGHUP does not end a process that is still importing its packages
    Given a router process with a grace period of 4 seconds that receives SIGHUP as early as possible
    Then SIGHUP was ignored before its handler was installed
    When a request is answered
    And the process receives SIGTERM
    Then the process exits with code 0 after 0 to 4 seconds

  Scenario: A stop does not wait for the interpreter to shut down
    Given a router process with a grace period of 4 seconds whose interpreter takes 10 seconds to shut down
    When a request is answered
    And the process receives SIGTERM
    Then the process exits with code 0 after 2 to 4 seconds

  # Guards against a stop signal that arrives between two runs of the event loop and is never handled.
  Scenario: A stop signal just after the start is not lost
    Given a router process with a grace period of 4 seconds that receives SIGTERM just after its start
    Then the process exits with code 0 after 0 to 4 seconds

  # Guards against a promise that a request has not run, made by whatever went wrong after it was sent.
  Scenario: A request that fails unexpectedly after it was sent may have run
    Given a router process with a grace period of 4 seconds that fails unexpectedly when it reads answers
    When a request is sent
    Then it ran, and its caller got 500 and is told that it may have run
