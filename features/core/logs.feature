Feature: Logs and metrics
  Each log line is one JSON object. A burst of lines must not flood the log, a slow or closed reader
  must not block the router, and dropped lines are counted. Logs of several routers are merged into
  the timeline of a request.

  Scenario: A log line has the time, level, part, event and fields
    When "drew tokens" is logged for the part "budget" with a request id and an amount
    Then one line is written with part "budget", event "drew tokens" and both fields

  Scenario: Fields of any type and tracebacks are written
    When an error is logged with its traceback and an exception as a field
    Then the line contains the traceback and the exception's text

  Scenario: The rate of lines with the same event is limited, with a higher limit for warnings
    When 500 lines and 150 warnings with the same event each are logged within a second
    Then 40 lines and 150 warnings are written
    And the next line reports the number of dropped lines

  Scenario Outline: A stalled or closed reader does not block the process
    When 20000 lines are logged and the reader <reader_state>
    Then logging took less than 5 seconds
    And a stalled reader receives the number of lines it missed

    Examples:
      | reader_state |
      | stalls       |
      | is closed    |

  Scenario: Counters, gauges and histograms are exported as text
    Given a counter, a gauge and a duration
    Then the metrics text contains the counter, the gauge and the histogram buckets

  Scenario: The timeline of a request is built from the logs of several routers
    Given logs of 2 routers with lines of a request, state changes and malformed lines
    Then the timeline has the lines of the request and the state changes of its routers by time
    And the timeline of an unknown request is empty

  Scenario: The report of refusals tells when, why and of which budget requests were refused
    Given logs of 2 routers with 3 served and 2 refused requests of a budget of 1000 tokens
    Then the report has 2 refused requests in the second interval of 2 seconds
    And the report has 1 refused requests of route r-plan with a mean cost of 400
    And the report has 600 spent, 150 drawable and 250 other tokens of the budget

  Scenario Outline: The explain command prints the timeline of a request
    Given logs of 2 routers with lines of a request, state changes and malformed lines
    When the command "<command>" is run
    Then the exit code is <code>

    Examples:
      | command              | code |
      | explain r1 LOGS      | 0    |
      | explain r9 LOGS      | 7    |
      | explain r1           | 2    |
      | explain r1 /nowhere  | 2    |
      | refusals LOGS        | 0    |
      | refusals             | 2    |
      | refusals /nowhere    | 2    |
