Feature: Measured scenarios
  One seed of each kind of fault must keep every promise; the whole table is made by `make measure`.

  Scenario Outline: No promise is broken
    When scenario <scenario> is played for <deployment> with design <design> and seed <seed>
    Then no promise is broken
    And at least <served> percent of the requests were served

    Examples:
      | scenario                 | deployment | design            | seed | served |
      | last_tokens              | instituto  | ours              | 1    | 50     |
      | answers_lost             | halib      | ours              | 2    | 99     |
      | partition_store_one_side | instituto  | ours              | 3    | 90     |
      | router_death             | halib      | ours              | 4    | 99     |
      | store_down_router_death  | halib      | ours              | 5    | 70     |

  Scenario Outline: A wait whose rest is shorter than a tick of the clock ends
    When scenario <scenario> is played for <deployment> with design <design> and seed <seed>
    Then no promise is broken

    Examples:
      | scenario   | deployment | design            | seed |
      | store_slow | halib      | write_per_request | 2    |
      | store_slow | halib      | write_per_request | 10   |
