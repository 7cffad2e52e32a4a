Feature: Router processes keep their guarantees under external faults
  Guards against requests that run twice or after they were reported as not executed, wrong responses
  and overspent budgets. Routers are killed, stopped, paused and reloaded while the store and its
  connections fail and the configuration and servers change. This is a short run; `make soak`
  performs longer ones with new seeds.

  Scenario Outline: A soak with a fixed seed
    When a soak of <routers> routers with seed <seed> runs for <seconds> seconds
    Then callers were served and no guarantee was violated

    Examples:
      | routers | seed | seconds |
      | 3       | 200  | 5       |
