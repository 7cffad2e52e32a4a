Feature: What a router learns of each server, and how it chooses by that
  Guards against wrong assumptions of what a server holds, against figures that outlive their truth,
  and against single answers that turn a choice. Each rule is tested without a network.

  Scenario: A part counts as held only if all parts before it are held
    Given the cache of a server that has read the prompt "a b c"
    Then of the prompt "a b x" it holds 2 parts
    And of the prompt "x b c" it holds 0 parts

  Scenario: The least recently used parts are evicted first
    Given a cache with room for 3 parts that has read the prompts "a", "b", "c", "a", "d"
    Then it holds the parts "a c d"

  Scenario: What a server holds is forgotten when the server starts again
    Given two idle engines, and a prompt that one of them has read
    When that engine starts again
    Then it is assumed to hold nothing

  Scenario: What was not used while the server's traffic filled its memory once is no longer held
    Given the cache of a server that has read the prompt "a b c"
    And its memory is filled by traffic in 8 seconds
    When 9 seconds pass without use
    Then of the prompt "a b c" it holds 0 parts

  Scenario: Of two idle engines the one that holds the prompt is chosen
    Given two idle engines, and a prompt that one of them has read
    Then all of 20 requests with the prompt would go there

  Scenario: A long wait outweighs a held prefix
    Given two idle engines, and a prompt that one of them has read
    When that engine has 12 requests with long prompts to read
    Then a request with the prompt would go to the other engine

  Scenario: A server whose requests get no event stops attracting work before any of them is answered
    Given 4 engines whose speed is learnt
    When one of them does not answer any more and a request is sent each 0.02 seconds
    Then it gets no request from 1 second on, but a try in each 2 seconds at most

  Scenario: One late answer does not turn requests away
    Given 4 engines whose speed is learnt
    When one answer of an engine takes 30 times as long as usual
    Then its estimate is within 1.5 times that of the others

  Scenario: A new server has the first guess of the others
    Given 4 engines whose speed is learnt
    When a server joins
    Then its estimate is within 1.5 times that of the others

  Scenario: A server that reports no load although it is slow is found out
    Given 4 engines whose speed is learnt
    When one of them answers 4 times later and reports that it is idle and work is quick
    Then it gets at most 1 of 20 requests after 1 second

  Scenario: A report of the load gives way to the mean of the service within a second
    Given 4 engines whose speed is learnt
    When one of them reports 30 requests of other routers
    Then requests avoid it at first
    And after 1.1 seconds its load is estimated as that of the service

  Scenario: Routers with the same reports spread over near equals
    Given 40 routers that know 6 idle servers of a plain service alike
    When each sends one request
    Then no server gets more than 14 of them

  Scenario: Long prompts keep away from servers with many urgent streams
    Given two engines whose speed is learnt, one of them with 20 urgent streams
    Then a long prompt would go to the engine without streams

  Scenario: Parts in repeated use that would be evicted count against a server
    Given two engines with full memory, one of them with parts in repeated use
    Then a new prompt would go to the other engine

  Scenario: A rejection turns requests away at once
    Given 4 engines whose speed is learnt
    When an engine rejects 3 requests
    Then the next 10 requests go to other engines

  Scenario: Of near equals the one in the router's data centre is preferred
    Given 2 idle servers of a plain service with 6 slots, one of them in another data centre
    Then calls go to the near one until it has 1 request more

  Scenario Outline: Three late requests are enough to take a server for slow
    Given 4 engines whose speed is learnt
    When one of them <fault>
    Then its estimate is at least 3 times that of another with the same requests

    Examples:
      | fault                                            |
      | has had 3 requests without an answer for 1 second |
      | has answered 3 requests 5 times later             |
