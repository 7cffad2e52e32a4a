Feature: Streams at a router that is out of step while servers of another version join
  A router that was cut off or stood still knows servers as they were. Streams that began meanwhile at
  servers of a version that it has not heard of break off, and their callers take them up there. It must
  not conclude from what it knows that only one version can have begun them.

  # Guards against streams that go on at another version because the router knows of one version only.
  Scenario Outline: A router that is cut off does not guess the version of a stream
    Given 3 routers that can be cut off and servers of the software versions v1 v1
    When router 3 loses contact to <others>
    And <seconds> seconds pass for the routers
    And a server of v1.2 joins, and the others see it
    And callers at router 1 leave streams of v1.2 after 2 events
    And the callers come back at router 3
    Then every caller has events of one version only
    And no caller misses an event or has one twice

    Examples:
      | others                          | seconds |
      | the store and the other routers | 0       |
      | the store and the other routers | 0.5     |
      | the store and the other routers | 1.5     |
      | the other routers               | 0       |
      | the other routers               | 2       |
      | the store                       | 0       |
      | the store                       | 2       |

  # Guards against a router that is connected again and has not heard yet of what it missed.
  Scenario Outline: A router that is connected again does not guess the version of a stream
    Given 3 routers that can be cut off and servers of the software versions v1 v1
    When router 3 loses contact to <others>
    And a server of v1.2 joins, and the others see it
    And callers at router 1 leave streams of v1.2 after 2 events
    And <event>
    And router 3 is connected again while the callers come back there
    Then every caller has events of one version only
    And no caller misses an event or has one twice

    Examples:
      | others                          | event                                    |
      | the store and the other routers | 0.1 seconds pass for the routers         |
      | the store and the other routers | 1.5 seconds pass for the routers         |
      | the store and the other routers | the server of v1.2 is gone without notice |
      | the store and the other routers | the other routers are killed             |

  # Guards against a stream that goes on at a server which is back at another version under its id.
  Scenario Outline: A router out of step does not rely on the versions that it knows of servers
    Given 3 routers that can be cut off and servers of the software versions v1 v1
    When callers at router 1 leave streams of v1 after 2 events
    And 0.5 seconds pass for the routers
    And router 3 loses contact to <others>
    And all servers start again at v1.2 under their ids
    And the callers come back at router 3
    Then every caller has events of one version only

    Examples:
      | others                          |
      | the store and the other routers |
      | the store                       |

  Scenario: A router that is connected again does not rely on the versions that it knew of servers
    Given 3 routers that can be cut off and servers of the software versions v1 v1
    When callers at router 1 leave streams of v1 after 2 events
    And 0.5 seconds pass for the routers
    And router 3 loses contact to the store and the other routers
    And all servers start again at v1.2 under their ids
    And router 3 is connected again while the callers come back there
    Then every caller has events of one version only

  # Guards against a router that stood still, which finds its callers' requests and the news at the same time.
  Scenario Outline: A process that stood still does not guess the version of a stream
    Given 3 router processes and servers of the software versions v1 v1
    When process 3 stands still for <seconds> seconds while a server of v1.2 joins
    And callers at process 1 leave streams of v1.2 after 2 events
    And <event>
    And the callers come back at process 3, which goes on
    Then every caller has events of one version only
    And no caller misses an event or has one twice

    Examples:
      | seconds | event                       |
      | 0.5     | nothing else happens        |
      | 2       | nothing else happens        |
      | 2       | the other processes are killed |

  # Guards against refusals of all streams, or a call to the store for each, where one version serves.
  Scenario: Streams of unknown origin go on at a router in step, with few calls to the store
    Given 3 routers that can be cut off and servers of the software versions v1 v1
    When callers take up streams of unknown origin at router 3
    Then all of them go on
    And the routers have read from the store at most 8 times for them
