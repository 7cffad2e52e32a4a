Feature: Servers of several software versions in one service
  What two versions write does not fit together, and servers do not check it. A stream may go on only
  at the version that began it, at any router that its caller takes it up at, and callers name the
  attempt that brought the first event. A router that cannot know that version refuses.

  # Guards against an answer whose later events are of another version than its first ones.
  Scenario Outline: An interrupted stream goes on only at the version that began it
    Given 1 routers and servers of the software versions <versions>
    And the server i-0 <behaviour>
    When a caller's stream begins at i-0
    Then the response status is 200
    And the caller receives the events <events>
    And all its events are of <version>
    And the response <looks>

    Examples: Events were sent
      | versions   | behaviour                            | events    | version | looks       |
      | v1 v1.2    | breaks off after 2 events and a half | 1 2       | v1      | is aborted  |
      | v1 v1.2 v1 | breaks off after 2 events and a half | 1 2 3 4 5 | v1      | is complete |
      | v1 v1.2    | falls silent after 2 events          | 1 2       | v1      | is aborted  |
      | v1 v1.2 v1 | falls silent after 2 events          | 1 2 3 4 5 | v1      | is complete |

    Examples: An entry without a version
      | versions       | behaviour                            | events    | version | looks       |
      | none v1        | breaks off after 2 events and a half | 1 2       | none    | is aborted  |
      | v1 none        | breaks off after 2 events and a half | 1 2       | v1      | is aborted  |
      | none v1 none   | breaks off after 2 events and a half | 1 2 3 4 5 | none    | is complete |

    Examples: No event was sent
      | versions | behaviour | events    | version | looks       |
      | v1 v1.2  | resets    | 1 2 3 4 5 | v1.2    | is complete |

  # Guards against an answer that goes on at the version to which its server's entry changed meanwhile.
  Scenario: A stream keeps its version although its server comes back at another one between two events
    Given 1 routers and servers of the software versions v1 v1.2
    And the server i-0 streams until told to break off
    When a caller's stream begins at i-0, which comes back at v1.2 before it breaks off
    Then the caller receives the events 1 2
    And all its events are of v1
    And the response is aborted

  # Guards against a caller whose events of two tries, at two routers, are of two versions.
  Scenario: A stream that its caller takes up at another router goes on at the version that began it
    Given 3 routers and servers of the software versions v1 v1.2 v1 v1.2
    When callers at router 1 leave their streams after 2 events
    And the callers come back at router 2
    Then every caller has events of one version only
    And no caller misses an event or has one twice
    And the share of streams that go on is at least half of that of new streams that begin

  # Guards against a third router that knows only of the second try and not of the first.
  Scenario: A stream that is taken up for the third time goes on at the version that began it
    Given 3 routers and servers of the software versions v1 v1.2 v1 v1.2
    When callers at router 1 leave their streams after 1 events
    And the callers come back at router 2 and leave after 1 events
    And the callers come back at router 3
    Then every caller has events of one version only
    And no caller misses an event or has one twice
    And the share of streams that go on is at least half of that of new streams that begin

  # Guards against a version that only the router of the first try knew, which is gone.
  Scenario: A stream whose first router was killed goes on at the version that began it
    Given 3 routers and servers of the software versions v1 v1.2 v1 v1.2
    When callers at router 1 leave their streams after 2 events
    And router 1 is killed without notice
    And the callers come back at router 3
    Then every caller has events of one version only
    And no caller misses an event or has one twice
    And the share of streams that go on is at least half of that of new streams that begin

  # Guards against callers who are all turned away since only the routers knew where their streams began.
  Scenario: Streams go on after all routers were killed while two versions serve
    Given 3 routers and servers of the software versions v1 v1.2 v1 v1.2
    When callers at router 1 leave their streams after 2 events
    And 1 seconds pass for the routers
    And all routers are killed and 3 others start
    And the callers come back at router 5, again 2 times if they are refused
    Then every caller has events of one version only
    And no caller misses an event or has one twice
    And the share of streams that go on is at least half of that of new streams that begin

  # Guards against a later version that goes on with the streams of one that has just left.
  Scenario: No stream goes on after all routers were killed and its version has left
    Given 3 routers and servers of the software versions v1 v1.2
    When callers at router 1 leave their streams after 2 events
    And 1 seconds pass for the routers
    And all routers are killed, the server i-0 leaves and 3 others start
    And the callers come back at router 4
    Then every caller has events of one version only
    And no caller misses an event or has one twice
    And every caller whose stream began at v1 was refused as not run

  # Guards against a caller's tries at several routers that all had to be told by the store.
  Scenario: A stream goes on for the third time after two kills of all routers
    Given 3 routers and servers of the software versions v1 v1.2 v1 v1.2
    When callers at router 1 leave their streams after 1 events
    And 1 seconds pass for the routers
    And all routers are killed and 3 others start
    And 1 seconds pass for the routers
    And the callers come back at router 4 and leave after 1 events
    And 1 seconds pass for the routers
    And all routers are killed and 3 others start
    And the callers come back at router 8, again 2 times if they are refused
    Then every caller has events of one version only
    And no caller misses an event or has one twice
    And the share of streams that go on is at least half of that of new streams that begin

  # Guards against writes for each stream, or while there is nothing to keep.
  Scenario Outline: Origins are written to the store only while several versions serve, many in one call
    Given 3 routers and servers of the software versions <versions>
    When callers at router 1 leave their streams after 2 events
    And 2 seconds pass for the routers
    Then the store holds origins of streams in <least> to <most> values

    Examples:
      | versions | least | most |
      | v1 v1    | 0     | 0    |
      | v1 v1.2  | 1     | 4    |

  # Guards against work that is started again, or given up, because its server does not report for a while.
  Scenario Outline: A stream goes on at a server whose entry is gone or that is said to leave
    Given 2 routers and servers of the software versions v1 v1
    And the server i-0 streams over two seconds
    When a caller's stream at i-0 has begun and <event>
    Then the response status is 200
    And the caller receives the events 1 2 3 4 5
    And the response is complete
    And servers ran the request 1 times

    Examples:
      | event                                     |
      | the entry of i-0 lapses                   |
      | the entry of i-0 says that it is leaving  |
      | the store falls silent                    |

  # Guards against a stream that goes on elsewhere because no server of its version is left.
  Scenario: A stream whose version has no server any more is refused as not run
    Given 2 routers and servers of the software versions v1
    When callers at router 1 leave their streams after 2 events
    And the server i-0 comes back at v1.2
    And the callers come back at router 2
    Then the refusal says that nothing ran and when to come back
    And every caller has events of one version only

  # Guards against a server that is back at another version under its id while its entry is the old one.
  Scenario: After a reset the stream goes on at another server of its version while the entry may lag
    Given 1 routers and servers of the software versions v1 v1
    And the route allows 1 attempts within 4000 ms
    And the server i-0 breaks off after 2 events and a half
    When a caller's stream begins at i-0
    And the server i-0 starts again at v1.2 and its entry lags
    And the caller comes back at router 1
    Then the response status is 200
    And every caller has events of one version only
    And no caller misses an event or has one twice

  # Guards against a guess where two versions serve and nobody knows which of them began the stream.
  Scenario Outline: A stream of unknown origin is refused while two versions serve
    Given 2 routers and servers of the software versions v1 v1.2
    When a caller takes up a stream after event 2 with <resumes>
    Then the refusal says that nothing ran and when to come back
    And servers ran the request 0 times

    Examples:
      | resumes            |
      | an unknown attempt |
      | no attempt named   |

  # Guards against refusals where only one version can have begun the stream.
  Scenario Outline: A stream of unknown origin goes on while no other version can have begun it
    Given 2 routers and servers of the software versions v1 v1
    When a caller takes up a stream after event 2 with <resumes>
    Then the response status is 200
    And the caller receives the events 3 4 5

    Examples:
      | resumes            |
      | an unknown attempt |
      | no attempt named   |

  # Guards against the conclusion that the only version left has begun the stream.
  Scenario: A version that served until just now can have begun a stream of unknown origin
    Given 2 routers and servers of the software versions v1 v1.2
    And the route allows 3 attempts within 1500 ms
    When the server i-0 leaves the service
    And a caller takes up a stream after event 2 with an unknown attempt
    Then the refusal says that nothing ran and when to come back
    When 4 seconds pass for the routers
    And a caller takes up a stream after event 2 with an unknown attempt
    Then the response status is 200
    And the caller receives the events 3 4 5

  # Guards against a router that takes what it has seen since its start for all that has served.
  Scenario: A router that has just started knows of versions that served before
    Given 2 routers and servers of the software versions v1 v1.2
    When the server i-0 leaves the service
    And router 3 joins the others
    And a caller takes up a stream after event 2 with an unknown attempt
    Then the refusal says that nothing ran and when to come back

  # Guards against refusals of callers that have no event yet, whose streams may begin anywhere.
  Scenario Outline: A caller without an event is free to begin at any version
    Given 1 routers and servers of the software versions v1 v1.2
    When a caller that has no event sends a stream with <header>
    Then the response status is 200
    And the caller receives the events 1 2 3 4 5

    Examples:
      | header           |
      | Last-Event-Id 0  |
      | no Last-Event-Id |
