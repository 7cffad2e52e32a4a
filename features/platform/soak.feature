Feature: Router processes keep their promises under faults from outside
  A short run of the soak; `make soak` plays longer ones with fresh seeds.

  Scenario Outline: A seeded soak
    When a soak of <routers> routers plays seed <seed> for <seconds> seconds
    Then callers were served and no promise was broken

    Examples:
      | routers | seed | seconds |
      | 3       | 200  | 5       |
