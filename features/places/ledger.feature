Feature: The places of one brittle server at its home

  Background:
    Given a ledger of 6 slots that bears 4 rejects, at 8 routers
    And all routers have told it what they use

  # Guards against more requests at a server than it runs.
  Scenario: No more places than slots are given out
    When "a" asks for 8 places
    Then 6 places are in use

  # Guards against a server that has to reject again what it has just rejected.
  Scenario: The first rejection lowers the places at once
    When "a" asks for 6 places
    And "a" returns 1 place as rejected
    And "b" asks for 3 places
    Then 5 places are in use

  # Guards against a number of places that stays low after one rejection, and against a fast rise.
  Scenario: Places rise by one after two seconds without a rejection
    When "a" asks for 6 places
    And "a" returns 3 places as rejected
    And "b" asks for 3 places
    Then 3 places are in use
    When 2.1 seconds go by while "a" still holds its places
    And "b" asks for 3 places
    Then 4 places are in use

  # Guards against places that are given out at the beginning beside requests that nobody has told of.
  Scenario: After a rejection at the beginning routers use their own shares until all is told
    Given a ledger of 6 slots that bears 4 rejects, at 8 routers
    When "a" asks for 2 places
    Then it is known if there is a place
    When "a" returns 1 place as rejected
    Then it is not known if there is a place

  # Guards against a server that bears no rejection and falls over at each raise.
  Scenario: Places of a server that bears no rejection rise after half a minute only
    Given a ledger of 6 slots that bears 0 rejects, at 8 routers
    And all routers have told it what they use
    When "a" asks for 6 places
    And "a" returns 1 place as rejected
    And "b" asks for 1 place
    And 25 seconds go by while "a" still holds its places
    And "b" asks for 1 place
    Then 5 places are in use

  # Guards against a part of a place that is added to a level that has risen since it was drawn.
  Scenario: A part of a place is no place of its own after a rise
    Given a ledger of 5 slots that bears 4 rejects, at 2 routers
    When "a" asks for 1 place
    And "b" joins with 2 places and falls silent for 3.5 seconds
    And "a" asks for 9 places with the chance 0
    Then 3 places are in use
    When "b" joins with 0 places
    And "a" asks for 9 places with the chance 0
    Then 5 places are in use

  # Guards against places that are lost with their holder.
  Scenario: Places of a silent holder are free after three seconds
    When "a" asks for 6 places
    And 3.1 seconds go by at the home
    And "b" asks for 1 place
    Then 1 place is in use

  # Guards against a message that is lost: a place that is returned but stays in use.
  Scenario: Places that their holder does not name are free
    When "a" asks for 6 places
    And 1 second goes by while "a" holds 2 of its places
    Then 2 places are in use

  # Guards against a place that is leased after its request has ended, when messages cross.
  Scenario: A question that comes after the return of its place gets none
    When "a" returns 1 place before it asks for it
    Then 0 places are in use

  # Guards against two homes in a cut that both give out all places.
  Scenario: A home that takes over gives out the share of the routers that it hears
    Given a ledger of 8 slots that takes over, at 8 routers
    When 4 routers hold no places
    And 1.3 seconds go by at the home
    And "r0" asks for 8 places with the chance 1
    Then 4 places are in use

  # Guards against a home that takes over and does not know what is in use.
  Scenario: A home that takes over is learning until all routers have told what they use
    Given a ledger of 8 slots that takes over, at 4 routers
    When 3 routers hold no places
    Then it is not known if there is a place
    When 4 routers hold no places
    Then it is known if there is a place

  # Guards against a heartbeat that brings the end of a brittle time back, or a value that ends none.
  Scenario Outline: What routers tell each other of a brittle server
    Given the state <first> of a server, said <age> seconds ago
    When another router tells that it said <told> <told_age> seconds ago
    Then the server is known as <state>

    Examples:
      | first   | age | told    | told_age | state       |
      | nothing | 0   | 4       | 1        | brittle     |
      | 4       | 1   | the end | 3        | brittle     |
      | 4       | 3   | the end | 1        | not brittle |
      | the end | 1   | 4       | 3        | not brittle |
      | nothing | 0   | 4       | 16       | not brittle |
