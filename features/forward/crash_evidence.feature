Feature: Deciding which parts of prompts crash servers
  Evidence comes from crashes, each of which has many suspects, and from answers that begin. A part
  that is blocked too late crashes one server after the other; one that is blocked wrongly stops
  the requests that share it.

  # Guards against one server after the other that crashes on the same part.
  Scenario: A part with which no answer has begun is blocked at its second crash
    Given crashes of servers 1 and 2 at 10.0 and 12.0 seconds under the part x
    Then the part x is blocked

  # Guards against blocking the parts that nearly all requests share.
  Scenario: A part with which answers begin is not blocked, however many servers crash
    Given answers with the part x that begin each second
    And crashes of 20 servers under the part x, 0.7 seconds apart
    Then the part x is not blocked

  # Guards against blocking a part by one crash that several routers report.
  Scenario: Reports of several routers about one crash count once
    Given crashes of servers 1 and 1 at 10.0 and 10.4 seconds under the part x
    Then the part x is not blocked

  # Guards against a part that was sound and crashes servers since a moment ago.
  Scenario: A part with which answers began before is blocked at its third crash
    Given an answer with the part x that begins at 5.0 seconds
    And crashes of servers 1 and 2 at 10.0 and 12.0 seconds under the part x
    Then the part x is not blocked
    Given crashes of servers 3 and 4 at 13.0 and 14.0 seconds under the part x
    Then the part x is blocked

  # Guards against a block of all parts, as a router that has just started has seen no answer with any.
  Scenario Outline: A router that has seen few answers needs a third crash
    Given a router that has <state>
    And crashes of servers 1 and 2 at 10.0 and 12.0 seconds under the part x
    Then the part x is not blocked
    Given crashes of servers 3 and 4 at 13.0 and 14.0 seconds under the part x
    Then the part x is blocked

    Examples:
      | state           |
      | just started    |
      | seen 29 answers |
      | seen many answers to prompts without shared parts |

  # Guards against a service that stands still because all its servers have crashed for a while: the
  # parts of all requests are blocked then.
  Scenario: Parts that many requests have are tried every few seconds
    Given 100 requests of which 2 in 5 have the part x
    And a part x that was common, blocked at 100 seconds
    When each trial that is due crashes a server
    Then the first trials are at 101 105 109 113 117 121 seconds

  # Guards against a common part that counts as rare, as the calls without parts outnumber the prompts.
  Scenario: Requests without shared parts do not count for the share of a part
    Given 100 requests of which 2 in 5 have the part x
    And 1000 requests without shared parts
    And a part x that was common, blocked at 100 seconds
    When each trial that is due crashes a server
    Then the first trials are at 101 105 109 113 117 121 seconds

  # Guards against trials that crash one server after the other.
  Scenario Outline: Trials become rarer with each crash
    Given a part x that was <before>, blocked at 100 seconds
    When each trial that is due crashes a server
    Then the trials within an hour are at <times> seconds

    Examples:
      | before | times                                    |
      | new    | 110 150 310 910 1510 2110 2710 3310      |
      | known  | 101 105 121 185 441 1041 1641 2241 2841 3441 |

  # Guards against a part that stays blocked although the servers were mended.
  Scenario: An answer that begins ends the block
    Given crashes of servers 1 and 2 at 10.0 and 12.0 seconds under the part x
    And the part x is blocked
    And an answer with the part x that begins at 30.0 seconds
    Then the part x is not blocked

  # Guards against two trials of one part at the same time.
  Scenario: Only one request is let through until it shows whether it begins
    Given a part x that was new, blocked at 100 seconds
    Then of 50 requests between 110 and 114 seconds 1 is let through

  # Guards against a sound part that stays blocked, as each trial also has the part that crashes servers.
  Scenario: A request with one blocked part is let through before one with two
    Given a part x that was new, blocked at 100 seconds
    And a part y that was new, blocked at 100 seconds
    Then a request with the parts x,y is let through at 120 seconds
    And a request with the parts y is let through at 110 seconds

  # Guards against a block that another router still tells after an answer has begun here.
  Scenario: A block from before an answer began is not taken over
    Given an answer with the part x that begins at 30.0 seconds
    When another router tells of a block with crashes at 10.0 and 12.0 seconds
    Then the part x is not blocked

  # Guards against routers that do not know of a block because they were not there.
  Scenario: A block is taken over with the evidence that it rests on
    When another router tells of a block with crashes at 10.0 and 12.0 seconds
    Then the part x is blocked
    And a request with the parts x is let through at 22 seconds

  # Guards against memory that grows with the number of prompts.
  Scenario: Only a bounded number of parts is remembered
    Given crashes and answers with 20000 different parts
    Then at most 8192 begun and 2048 suspected parts are remembered
