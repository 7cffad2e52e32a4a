Feature: Fleet membership
  Guards against views that do not converge, against keys that move although their router is live,
  and against a wrong view that overspends a budget, bills a chat twice or leaves grants open. The
  views of routers differ for a while after kills, replacements, a partition or a store outage.

  Background:
    Given a fleet of 6 routers, 2 model servers and a budget of 9000 tokens

  Scenario: Every router sees all others as live peers
    Then every router sees 5 live peers
    And all routers agree on the home of 100 keys

  Scenario: Views diverge during a partition and converge after it heals
    When router 1 and the store are cut off from the other routers
    And 60 seconds pass
    Then router 1 sees 0 live peers
    When the partition heals
    And 20 seconds pass
    Then every router sees 5 live peers
    And all routers agree on the home of 100 keys

  Scenario: A router that stops gracefully is no longer a live peer
    When router 3 stops gracefully
    And 10 seconds pass
    Then every router sees 4 live peers

  # Guards against a router that does not start, or loses sight of the others, because of one bad value.
  Scenario Outline: An unreadable record of a VM keeps no router from joining the others
    Given the member record of VM vm-<vm> is <content>
    When router 7 starts
    And 20 seconds pass
    Then every router sees 6 live peers
    And router 7 has the same configuration number as the others

    Examples:
      | vm | content                          |
      | 3  | no MessagePack                   |
      | 3  | a record of an unknown format    |
      | 7  | no MessagePack                   |
      | 7  | a record of an unknown format    |
      | 99 | empty                            |

  Scenario: The death of a router moves only the keys placed on it
    When the homes of 300 keys are recorded
    And router 4 is killed
    And 30 seconds pass
    Then only keys that were placed on router 4 have moved

  Scenario: All routers are replaced one after the other under load
    When every router is replaced gracefully while chats are sent
    And 60 seconds pass
    Then every chat is served whole or refused as not run
    And at least 60 chats were served whole
    And every served chat is billed once
    And the budget's invariants hold
    And no grant of a dead router is open

  Scenario: All routers restart at the same time
    When all routers are killed and started again
    And 60 seconds pass
    Then every router sees 5 live peers
    When chats of 100 tokens are sent to router 1 until one is refused
    Then the budget's invariants hold
    And no grant of a dead router is open

  Scenario: A router that starts during a store outage fetches the newest configuration from peers
    Given the configuration was patched 3 times
    And the store is down
    When router 7 starts
    And 20 seconds pass
    Then router 7 has the same configuration number as the others

  # Guards against watchers that send what they see to a few routers only, while the others watch the
  # store themselves, and against needless calls by each router that starts: the needed ones create its
  # record, take a lease and write it, list the records and read the configuration.
  Scenario Outline: Routers that send to all of their data centre know it soon after a start of all
    When <routers> other routers start at the same time in <centres> data centres
    And 3 seconds pass
    Then the first 2 routers of each data centre know all routers there
    And the store received at most 5.5 calls for each of them

    Examples:
      | routers | centres |
      | 30      | 1       |
      | 90      | 3       |

  # Guards against a look at all members for each entry of each heartbeat, which made the processor time
  # of a router grow with the fleet and that of the fleet with its square.
  Scenario: An entry about a live member costs no look at all members
    When a view of 418 members merges 4 newer entries about each, all within a second
    Then the members were looked at all together at most 430 times
    And the view has 418 live members
    When 100 of them are silent for longer than the suspicion timeout while the others are not
    Then the view has 318 live members
