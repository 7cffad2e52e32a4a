Feature: Requests that come late in a stop are answered or refused
  Guards against the report of docs/incidents/late-requests-of-a-stop.md: requests that a stopping router takes late,
  passes on and cuts at the end of its grace period. The router is a real process; callers use open connections.

  Background:
    Given a stopping router with a grace period of 8 seconds
    And events that come every 0.25 seconds

  # Guards against late requests that are passed on though the end of the stop cuts them before their time is over.
  Scenario: No request that comes late in a stop reaches a server and is cut
    When the router receives SIGTERM and callers send requests of all kinds throughout the stop
    Then every request sent later than 3 seconds after SIGTERM was answered, refused or had its time
    And some of them were answered, some refused without a run, and some ended at their time limit

  # Guards against requests that count as early by their head: their body came late, and the end of the stop cut them.
  Scenario: A request whose body comes late in a stop counts as late
    Given callers that send their bodies 1.5 seconds after their heads
    When the router receives SIGTERM and callers send requests of all kinds throughout the stop
    Then every request sent later than 3 seconds after SIGTERM was answered, refused or had its time
    And some of them were answered, some refused without a run, and some ended at their time limit
