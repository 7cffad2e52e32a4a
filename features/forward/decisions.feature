Feature: Decisions about forwarded requests, without a network
  Each module answers one pattern of load or trouble.

  Scenario Outline: The longest prefix of the host decides
    Given routes "/" and "/a/" and "/a/b/" at "h.example"
    Then "<path>" at "<host>" takes <route>

    Examples:
      | host           | path         | route |
      | h.example      | /a/b/c       | /a/b/ |
      | h.example      | /a/b         | /a/   |
      | H.Example:8080 | /a/x?q=/a/b/ | /a/   |
      | h.example      | /ab/         | /     |
      | h.example      | /a/b/        | /a/b/ |
      | g.example      | /a/b/        | none  |

  Scenario: Traffic is split by weight, and the same attempt always goes the same way
    Given a route with weights 90 and 10
    Then of 2000 attempts between 160 and 240 go to the second service

  Scenario: Requests on one subject meet the server that has read it
    Given 6 idle engines
    When 200 requests on 40 subjects come one after the other
    Then each subject was read by one engine

  Scenario: A hot subject does not drown its engine
    Given 6 idle engines
    When 120 requests on one subject are in progress at once
    Then no engine holds more than twice the mean

  Scenario: Calls go to near servers until these are busy
    Given 3 plain servers with 6 slots, one of them near
    When 18 calls are in progress at once
    Then each server holds from 4 to 8 calls

  Scenario Outline: Servers that fail are left alone, never by one error, and probed again
    Given 3 plain servers with 6 slots, one of them near
    When the near one has <trouble>
    Then the next call goes to <place>

    Examples:
      | trouble                                | place   |
      | failed once                            | the near one |
      | failed 3 times in a row                | another |
      | not been reached                       | another |
      | not been reached, and 0.6 seconds pass | the near one |

  Scenario: When all servers are in trouble, one is tried all the same
    Given 3 plain servers with 6 slots, one of them near
    When no server has been reached
    Then a call still finds a server

  Scenario: Repeats of all routers stay within the fleet's allowance
    Given 9 routers that share an allowance of 0.2 and 58 in 10 seconds
    When each sends 10 first requests a second and tries to repeat all of them for 30 seconds
    Then in no 10 seconds the fleet repeated more than 0.2 of the first requests and 58

  Scenario: A router that no longer sees its peers does not take their part
    Given 9 routers that share an allowance of 0.2 and 58 in 10 seconds
    When they lose sight of each other and each tries to repeat 50 requests
    Then in no 10 seconds the fleet repeated more than 0.2 of the first requests and 58

  Scenario Outline: Streams are cut into whole events
    Given a caller that holds <held> events
    When the parts <parts> arrive
    Then the events <events> are passed on, and <rest> is held back

    Examples:
      | held | parts                          | events | rest    |
      | no   | id: 1/a// + id: 2/b//          | 1 2    | nothing |
      | no   | id: 1/a/ + /id: 2/b            | 1      | a part  |
      | no   | i + d: 1/a/ + / + id: 2/b//    | 1 2    | nothing |
      | 1    | id: 1/a//id: 2/b//             | 2      | nothing |
      | no   | x: 7/id: 1/a//                 | 1      | nothing |

  Scenario: Spending is reported in totals that may be repeated
    Given an account of 1000 tokens with a grant of 400
    When 100 tokens are spent and reported twice, and then 50 more
    Then the account has 150 settled, 250 granted and 600 available

  Scenario: Spending of a grant that came, went and came again is counted once
    Given an account of 1000 tokens with a grant of 400
    When all 400 are spent and reported, and 30 lent ones come back and are spent
    Then nothing more is held and the totals of the grant went on

  Scenario: Spending of a grant that was closed stays in doubt
    Given an account of 1000 tokens with a grant of 400
    When the grant is closed in doubt and 100 tokens of it are reported
    Then the account has 0 settled, 400 in doubt and 600 available

  Scenario: A young rate is not taken for a low one
    Given a demand of 100 tokens a second for 5 seconds
    Then the measured rate is from 80 to 130 tokens a second

  Scenario: One very large request does not make a budget look near its end
    Given requests of 1000 tokens and one of 40000
    Then the typical request costs at most 6000 tokens

  Scenario: A later process on a VM closes what an earlier one held, and nobody else's
    Given an account of 1000 tokens with a grant of 400
    When a later process on the holder's VM draws 100, and one on another VM 50
    Then the grant is in doubt, 150 are granted to the two and 450 are available
    And a repeated draw of the later process changes nothing

  Scenario Outline: Only a later start on the same VM is a successor
    Then process "<later>" <verdict> a successor of "<earlier>"

    Examples:
      | later | earlier | verdict |
      | a@2   | a@1     | is      |
      | a@1   | a@2     | is not  |
      | a@1   | a@1     | is not  |
      | b@2   | a@1     | is not  |
      | a     | a@1     | is not  |
