Feature: Routing, placement and retry decisions about forwarded requests
  Guards against wrong routes, the choice of overloaded or failing servers, retries beyond the
  allowance, incomplete events and wrong budget accounts. Each module is tested without a network.

  Scenario Outline: A request takes the route with the longest matching prefix of its host
    Given routes "/" and "/a/" and "/a/b/" at "h.example"
    Then "<path>" at "<host>" is routed to <route>

    Examples:
      | host           | path         | route |
      | h.example      | /a/b/c       | /a/b/ |
      | h.example      | /a/b         | /a/   |
      | H.Example:8080 | /a/x?q=/a/b/ | /a/   |
      | h.example      | /ab/         | /     |
      | h.example      | /a/b/        | /a/b/ |
      | g.example      | /a/b/        | none  |

  Scenario: Traffic is split by weight, and an attempt id always selects the same service
    Given a route with weights 90 and 10
    Then of 2000 attempts between 160 and 240 go to the second service

  Scenario: Requests that share a prompt prefix go to the engine that has processed it
    Given 6 idle engines
    When 200 requests with 40 distinct prompt prefixes arrive one after the other
    Then each prompt prefix was processed by one engine

  Scenario: A frequent prompt prefix does not overload its engine
    Given 6 idle engines
    When 120 requests with one prompt prefix are in progress at once
    Then no engine has more than twice the mean number of requests

  Scenario: Calls go to servers in the router's data centre until these are busy
    Given 3 servers of a plain service with 6 slots, one of them in the local data centre
    When 18 calls are in progress at once
    Then each server has from 4 to 8 calls

  Scenario Outline: Servers that fail repeatedly are avoided and later probed again; one error does not matter
    Given 3 servers of a plain service with 6 slots, one of them in the local data centre
    When the local server has <fault>
    Then the next call goes to <place>

    Examples:
      | fault                                  | place            |
      | failed once                            | the local server |
      | failed 3 times in a row                | another server   |
      | been unreachable                       | another server   |
      | been unreachable, and 0.6 seconds pass | the local server |

  Scenario: When all servers are unreachable, one is tried nevertheless
    Given 3 servers of a plain service with 6 slots, one of them in the local data centre
    When every server has been unreachable
    Then a call is still assigned a server

  Scenario: Retries of all routers stay within the fleet's allowance
    Given 9 routers that share a retry budget of 0.2 per request plus 58 in 10 seconds
    When each sends 10 requests a second and tries to retry all of them for 30 seconds
    Then in any 10 seconds the fleet retried at most 0.2 of the requests plus 58

  Scenario: A router that loses contact with its peers does not take their share of the retry budget
    Given 9 routers that share a retry budget of 0.2 per request plus 58 in 10 seconds
    When they lose contact with each other and each tries to retry 50 requests
    Then in any 10 seconds the fleet retried at most 0.2 of the requests plus 58

  Scenario Outline: Streams are split into complete events
    Given a caller whose last event id is <last_id>
    When the chunks <chunks> arrive
    Then the events <events> are forwarded, and <rest> is buffered

    Examples:
      | last_id | chunks                       | events | rest             |
      | none    | id: 1/a// + id: 2/b//        | 1 2    | nothing          |
      | none    | id: 1/a/ + /id: 2/b          | 1      | part of an event |
      | none    | i + d: 1/a/ + / + id: 2/b//  | 1 2    | nothing          |
      | 1       | id: 1/a//id: 2/b//           | 2      | nothing          |
      | none    | x: 7/id: 1/a//               | 1      | nothing          |
      | none    | id: 1/a//id:9{5000}/data:b// | 1      | nothing          |

  Scenario: Spending is reported as totals, so that a repeated report counts once
    Given an account of 1000 tokens with a grant of 400
    When 100 tokens are spent and reported twice, and then 50 more
    Then the account has 150 settled, 250 granted and 600 available

  Scenario: Spending is counted once when tokens of a used-up grant are returned and spent
    Given an account of 1000 tokens with a grant of 400
    When all 400 are spent and reported, and 30 lent tokens are returned and spent
    Then no tokens are held and the spending total of the grant continued

  Scenario: Spending of a grant that was closed stays in doubt
    Given an account of 1000 tokens with a grant of 400
    When the grant is closed in doubt and 100 tokens of it are reported
    Then the account has 0 settled, 400 in doubt and 600 available

  Scenario: A rate measured over a short time is not underestimated
    Given a demand of 100 tokens a second for 5 seconds
    Then the measured rate is from 80 to 130 tokens a second

  Scenario: One very large request does not make a budget appear nearly exhausted
    Given requests of 1000 tokens and one of 40000
    Then the typical request costs at most 6000 tokens

  Scenario: A later process on a VM closes the grants of an earlier one, and of no other VM
    Given an account of 1000 tokens with a grant of 400
    When a later process on the holder's VM draws 100, and one on another VM 50
    Then the grant is in doubt, 150 are granted to the two and 450 are available
    And a repeated draw of the later process changes nothing

  Scenario Outline: Only a process that started later on the same VM is a successor
    Then process "<later>" <verdict> a successor of "<earlier>"

    Examples:
      | later | earlier | verdict |
      | a@2   | a@1     | is      |
      | a@1   | a@2     | is not  |
      | a@1   | a@1     | is not  |
      | b@2   | a@1     | is not  |
      | a     | a@1     | is not  |
