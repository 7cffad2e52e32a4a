Feature: Cold servers get no more requests than they bear
  A cold server bears ColdPerS requests a second and crashes well above that. All routers together, connected
  or not, may send it at most ColdPerS x 1.5 + 5 requests in any one second, counted at arrival.

  # Guards against a crash of a cold server by routers that do not know of each other's requests: two homes of
  # one server, equal shares that come at one moment, and permits that are given out anew after a restart.
  Scenario Outline: All routers together keep within the bound, whatever happens to them
    Given <routers> routers before a server that is cold for 20 s and bears 7.1 a second
    And after 5 s <trouble>
    When all routers try to send to it as often as they may
    Then it gets at most 15.65 requests in any one second
    And it gets at least <used> of the requests that it bears

    Examples:
      | routers | trouble                                     | used |
      | 1       | nothing happens                             | 0.7  |
      | 20      | nothing happens                             | 0.7  |
      | 85      | nothing happens                             | 0.7  |
      | 195     | nothing happens                             | 0.7  |
      | 20      | one router that gives permits is silent     | 0.4  |
      | 85      | one router that gives permits is silent     | 0.4  |
      | 85      | both routers that give permits are silent   | 0.1  |
      | 20      | the fleet is cut in two                     | 0.4  |
      | 85      | the fleet is cut in two                     | 0.4  |
      | 85      | the fleet is cut between those that give    | 0.4  |
      | 20      | all routers are cut off from each other     | 0.1  |
      | 85      | all routers are cut off from each other     | 0.1  |
      | 1       | all routers restart at once                 | 0.4  |
      | 20      | all routers restart at once                 | 0.4  |
      | 85      | all routers restart at once                 | 0.4  |
      | 20      | the routers restart one by one              | 0.4  |
      | 85      | those that give permits restart again and again | 0.1 |
      | 85      | routers on new VMs start, known to others late  | 0.4 |
      | 85      | answers of those that give permits are late | 0.1  |

  # Guards against a bound that the settings do not leave any room for, and against rates of all sizes.
  Scenario Outline: What the routers allow stays within what the settings say
    Given <routers> routers before a server that is cold for 20 s and bears <rate> a second
    And the settings allow a factor of <factor> and <slack> requests
    And after 5 s <trouble>
    When all routers try to send to it as often as they may
    Then it gets at most <bound> requests in any one second

    Examples:
      | routers | rate | factor | slack | trouble                                 | bound |
      | 20      | 7.1  | 1      | 0     | all routers restart at once             | 7.1   |
      | 20      | 0.5  | 1.5    | 5     | the fleet is cut in two                 | 5.75  |
      | 20      | 0.5  | 1      | 0     | nothing happens                         | 0.5   |
      | 85      | 60   | 1.5    | 5     | all routers are cut off from each other | 95    |
      | 85      | 60   | 1.5    | 5     | nothing happens                         | 95    |

  # Guards against statements that are missed, and against one that makes a warm server cold.
  Scenario Outline: What makes a server cold, and for how long
    Given a service whose cold servers bear <rate> requests a second
    When <statement>
    Then the server is cold for <seconds> s

    Examples:
      | rate | statement                                                  | seconds |
      | 7.1  | its registry entry says 3000 ms                            | 3       |
      | 7.1  | its registry entry says 0 ms                               | 0       |
      | 0    | its registry entry says 3000 ms                            | 0       |
      | 7.1  | its registry entry says 3000 ms and is removed after 2 s   | 3       |
      | 7.1  | its registry entry says 3000 ms and 3000 ms again after 2 s | 5      |
      | 7.1  | its registry entry says 3000 ms and 0 ms after 2 s         | 3       |
      | 7.1  | its registry entry says 86400000 ms                        | 30      |
      | 7.1  | an answer says 2.5 s                                       | 2.5     |
      | 7.1  | an answer says 0 s                                         | 0       |
      | 7.1  | another router says 2000 ms                                | 2       |
      | 7.1  | another router says -5 ms                                  | 0       |
      | 7.1  | another router says 86400000 ms                            | 30      |
      | 7.1  | another router says 2000 ms of an earlier start            | 0       |

  # Guards against two routers that prolong a cold time by telling it to each other.
  Scenario: Routers that tell each other do not prolong a cold time
    Given a service whose cold servers bear 7.1 requests a second
    When an answer says 3 s, and two routers tell each other every 0.1 s with a delay of 0.05 s
    Then no router treats the server as cold after 3.5 s

  # Guards against a path of requests that needs no permit, against waiting callers, and against a Retry-After of 30 s
  # for servers that are warm in 6 s (callers are spread over half of that more).
  Scenario Outline: Requests go to warm servers beside cold ones, and are refused where all are cold
    Given 9 routers before 4 servers
    And <kind>
    And <cold> of them are cold for 6 s and bear 7.1 requests a second
    When <rate> requests a second come for 5 seconds in which servers are cold
    Then no cold server gets more than 15.65 requests in any one second
    And at least <served> of the requests are served
    And the others are refused as not run within 0.6 s with a Retry-After of at most 9 s

    Examples:
      | kind        | cold | rate | served |
      | plain calls | 1    | 100  | 1      |
      | streams     | 1    | 100  | 1      |
      | plain calls | 4    | 100  | 0.1    |
      | streams     | 4    | 100  | 0.1    |
