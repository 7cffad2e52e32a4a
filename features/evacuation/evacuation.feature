Feature: Evacuated data centres get no new requests
  An operator evacuates a data centre by a key of the store. From 5 s after the store has acknowledged it,
  no router that is connected to the store may choose a server there, until the key is removed.

  # Guards against requests that a router still sends 5 s after the acknowledgement, against calls to the store
  # for it, and against a data centre that stays unused after the withdrawal.
  Scenario Outline: An evacuation is in force everywhere in time, and so is its withdrawal
    Given <routers> routers in <centres> data centres with servers in each
    When the operator evacuates dc-0 and 8 s pass
    Then no router used dc-0 from 5 s after the acknowledgement on
    And the other data centres were used all the time
    When the operator withdraws it and 8 s pass
    Then every router used dc-0 within 2 s
    And the store received at most <calls> more calls than in a quiet time

    Examples:
      | routers | centres | calls |
      | 1       | 1       | 4     |
      | 9       | 3       | 36    |
      | 27      | 3       | 24    |
      | 81      | 3       | 24    |

  # Guards against an evacuation that is forgotten, or not learnt, because of trouble in between.
  Scenario Outline: An evacuation holds beside trouble
    Given <routers> routers in 3 data centres with servers in each
    When <trouble> as the operator evacuates dc-0, and 25 s pass
    Then no router used dc-0 from 5 s after the acknowledgement on
    When the operator withdraws it and 12 s pass
    Then every router used dc-0 within 2 s

    Examples:
      | routers | trouble                                            |
      | 9       | a router restarts every second                     |
      | 27      | a router restarts every second                     |
      | 9       | all routers are killed and start again             |
      | 27      | all routers are killed and start again             |
      | 9       | all routers are cut off from each other            |
      | 27      | all routers are cut off from each other            |
      | 9       | three routers are cut off from all for 6 s         |
      | 27      | three routers are cut off from all for 6 s         |
      | 27      | all watchers are cut off from the store            |
      | 9       | the store is down from 2 s on, and a router starts |
      | 27      | the store is down from 2 s on, and a router starts |
      | 9       | the store loses its history                        |

  # Guards against an evacuation that is given up when the store that told it does not answer.
  Scenario: An evacuation known before an outage of the store stays in force
    Given 9 routers in 3 data centres with servers in each
    When the operator evacuates dc-0 and 8 s pass
    And the store is down for 120 s
    Then no router used dc-0 from 5 s after the acknowledgement on

  # Guards against a wait for servers that may not be used.
  Scenario: A request whose servers are all evacuated is refused at once as not run
    Given a router before servers that are all in an evacuated data centre
    Then all requests are refused as not run within 0.05 s, and none reached a server

  # Guards against requests before a starting router knows whether a data centre is evacuated.
  Scenario Outline: What a starting router may begin with
    Given a router that knows no evacuations and <store> the store
    When it is told of evacuations that are <age> s old
    Then it <uses> servers of other data centres

    Examples:
      | store          | age | uses         |
      | reaches        | 1   | uses         |
      | reaches        | 4   | does not use |
      | does not reach | 400 | uses         |

  Scenario: A starting router that is told of nothing uses no server
    Given a router that knows no evacuations and reaches the store
    Then it does not use servers of other data centres

  # Guards against what is older, repeated or malformed and would change what a router knows.
  Scenario Outline: A told list that is not newer or not valid changes nothing
    Given a router that knows at position 1/5 that dc-0 is evacuated
    When it is told <told>
    Then dc-0 is evacuated and <invalid> invalid lists are counted

    Examples:
      | told                            | invalid |
      | nothing                         | 0       |
      | an empty list at position 1/4   | 0       |
      | a list with an age of -1 ms     | 1       |
      | a list of 257 data centres      | 1       |
      | a list with a name of 201 signs | 1       |
      | a list with an empty name       | 1       |

  # Guards against an evacuation that ends because the store came back from a copy without it.
  Scenario: An evacuation that a new era of the store lacks stays in force for 5 s
    Given a router that knows at position 1/5 that dc-0 is evacuated
    When it is told an empty list at position 2/3
    Then dc-0 is evacuated for 5 s and then no longer
