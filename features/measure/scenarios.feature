Feature: Measurement scenarios keep the invariants
  Overspending, duplicate runs, lost or mixed answers and wrong bills can appear when stores, networks
  or routers fail while requests are in progress. Each example runs nine routers on a virtual clock
  with one seed and one combination of faults. `make measure` runs all scenarios with all seeds.

  Scenario Outline: Invariants hold under faults
    When measurement scenario <scenario> runs for deployment <deployment> with design <design> and seed <seed>
    Then the run violates no invariant
    And at least <served> percent of the requests were served

    Examples:
      | scenario                 | deployment | design            | seed | served |
      | last_tokens              | instituto  | ours              | 1    | 50     |
      | answers_lost             | halib      | ours              | 2    | 99     |
      | partition_store_one_side | instituto  | ours              | 3    | 90     |
      | router_death             | halib      | ours              | 4    | 99     |
      | store_down_router_death  | halib      | ours              | 5    | 70     |

  # The rate limiter for store writes sleeps until the next write is available. If it sleeps for
  # less than the clock resolution, time does not advance and the wait becomes a busy loop, which the
  # virtual event loop ends with an error. Both seeds reproduce such a wait.
  Scenario Outline: A wait shorter than the clock resolution does not become a busy loop
    When measurement scenario <scenario> runs for deployment <deployment> with design <design> and seed <seed>
    Then the run violates no invariant

    Examples:
      | scenario   | deployment | design            | seed |
      | store_slow | halib      | write_per_request | 2    |
      | store_slow | halib      | write_per_request | 10   |
