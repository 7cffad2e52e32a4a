Feature: Logs and metrics explain failures afterwards
  Each line is one JSON object; volume is bounded and writing never waits.

  Scenario: A line carries time, level, part, event and its fields
    When a part logs "drew tokens" with a request id and an amount
    Then one line is written with part "budget", event "drew tokens" and both fields

  Scenario: A field of any type and an error's trace are written
    When a part logs an error with its trace and an exception as a field
    Then the line holds the trace and the exception's text

  Scenario: Lines of one kind are bounded a second, failures less tightly
    When 500 lines of one kind and 150 warnings are logged within a second
    Then 40 lines and 150 warnings are written
    And the next line tells how many were dropped

  Scenario Outline: A reader that stalls or ends does not hold up the process
    When nobody reads and 20000 lines are logged because the reader <fate>
    Then logging took less than 5 seconds
    And a reader that only stalled is told how many lines it missed

    Examples:
      | fate   |
      | stalls |
      | ends   |

  Scenario: Counters and latency histograms are told as text
    Given counters and durations
    Then the text names the counter, the gauge and the histogram's buckets

  Scenario: The story of a request is told from the logs of several routers
    Given logs of 2 routers with lines of a request, beliefs and broken lines
    Then its story has its lines in order of time and the beliefs of its routers
    And another request has no story

  Scenario Outline: The command line explains a request from logs
    Given logs of 2 routers with lines of a request, beliefs and broken lines
    When "<command>" is run
    Then its exit code is <code>

    Examples:
      | command              | code |
      | explain r1 LOGS      | 0    |
      | explain r9 LOGS      | 7    |
      | explain r1           | 2    |
      | explain r1 /nowhere  | 2    |
