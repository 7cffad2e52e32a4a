Feature: Callers keep their answers while a router stops
  Guards against the incident of docs/incidents/answers-lost-at-a-stop.md: answers that a stop cuts although
  their server is at work, and requests on open connections that are read and never answered. The router is a
  real process; callers use their open connections until it is gone.

  Background:
    Given a stopping router with a grace period of 4 seconds

  # Guards against the release of tokens taking its time from callers: streams were cut at 2.2 of 4 seconds.
  Scenario: A stream that needs nearly the whole grace period is whole
    Given a stream that ends 3.3 seconds after SIGTERM
    When the router receives SIGTERM and callers use their open connections until it is gone
    Then the stream is whole
    And the process has exited with code 0 within the grace period

  # Guards against a silent store that cuts answers or delays the exit: the exit came 1.3 seconds later.
  Scenario: A stream that needs nearly the whole grace period is whole although the store is silent
    Given a stream that ends 3.3 seconds after SIGTERM
    And connections to the store are silent from SIGTERM on
    When the router receives SIGTERM and callers use their open connections until it is gone
    Then the stream is whole
    And the process has exited with code 0 within the grace period

  # Guards against bytes dropped while connections close: requests were read in the last 0.2 seconds and not answered.
  Scenario: Every request that is read on an open connection is answered
    Given a stream that never ends
    When the router receives SIGTERM and callers use their open connections until it is gone
    Then every request begun 0.1 seconds before its connection was closed was answered
    And no request that was not answered ran at a server
    And the process has exited with code 0 within the grace period

  # Guards against a request whose body comes while connections close: it was dropped although it was sent whole.
  Scenario: A request whose body arrives while the router stops is answered
    Given a stream that never ends
    And callers that send their bodies 0.3 seconds after their heads
    When the router receives SIGTERM and callers use their open connections until it is gone
    Then every request begun 0.1 seconds before its connection was closed was answered
    And no request that was not answered ran at a server

  # Guards against the default action of a repeated signal: a second SIGTERM killed the process at once.
  Scenario: Further signals during a stop cut no answer
    Given a stream that ends 3.3 seconds after SIGTERM
    When the router receives SIGTERM, then SIGTERM, SIGHUP and SIGINT every 0.2 seconds
    Then the stream is whole
    And the process has exited with code 0 within the grace period

  # Guards against waits of a fixed length: a process paused while it closed connections dropped what they held.
  Scenario Outline: A process that is paused during its stop answers what it has read
    Given a stream that never ends
    When the router receives SIGTERM, is paused after <seconds> seconds for 0.5 seconds, and callers go on
    Then every request begun 0.1 seconds before its connection was closed was answered
    And no request that was not answered ran at a server

    Examples:
      | seconds |
      | 1.8     |
      | 3.0     |

  # Guards against waits of a fixed length: a process that gets little processor time uses them up without working.
  Scenario: A process that runs late answers what it has read
    Given a stream that never ends
    When the router receives SIGTERM and runs for 20 of 120 milliseconds only
    Then every request begun 0.2 seconds before its connection was closed was answered
    And no request that was not answered ran at a server

  # Guards against a start that SIGTERM cannot interrupt, or that it ends without a stop.
  Scenario: SIGTERM during a start with a silent store ends the process soon
    Given a second router that starts while the store is silent
    When the second router receives SIGTERM
    Then the second router exits with code 0 within 3 seconds
