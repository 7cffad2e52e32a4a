Feature: Versions that may have begun a stream of unknown origin
  A router may go on with a stream of unknown origin only if one version alone has served for as long
  as a caller may hold its events. What served before its start it learns from one record in the store,
  which costs no call for a request.

  # Guards against a record that is written by every router, or again and again.
  Scenario: A version that comes and goes costs three writes at most each time, and one read a router
    Given 8 routers that watch servers of v1
    When 20 seconds of watching pass
    And a server of v1.2 serves for 10 seconds and 600 seconds of watching pass
    Then the store received at most 9 writes and 8 reads of the record
    And every router finds v1 alone

  # Guards against the belief that a version which has just gone cannot have begun a stream.
  Scenario: A version counts for as long as callers may hold its events
    Given 2 routers that watch servers of v1
    When a server of v1.2 serves for 10 seconds and 59 seconds of watching pass
    Then no router finds a version alone
    When 2 seconds of watching pass
    Then every router finds v1 alone

  # Guards against a version that never ages, because each reading of the record counts as seeing it.
  Scenario: A version that has gone ages although the record is read for each stream
    Given 2 routers that watch servers of v1
    When a server of v1.2 serves for 10 seconds and 30 seconds of watching pass
    And every router reads the record once a second for 29 seconds
    Then no router finds a version alone
    When every router reads the record once a second for 2 seconds
    Then every router finds v1 alone

  # Guards against a router that takes what it has seen since its start for all that has served.
  Scenario: A router that starts counts the versions of the record
    Given 2 routers that watch servers of v1
    When a server of v1.2 serves for 10 seconds and 30 seconds of watching pass
    And all routers end and another one starts
    And 55 seconds of watching pass
    Then no router finds a version alone
    When 10 seconds of watching pass
    Then every router finds v1 alone

  # Guards against a decision on what a router knew before it lost the registry or the store.
  Scenario Outline: A router that cannot know what serves finds no version alone
    Given 2 routers that watch servers of v1
    When 5 seconds of watching pass
    And <fault>
    Then no router finds a version alone
    When the fault ends and 5 seconds of watching pass
    Then every router finds v1 alone

    Examples:
      | fault                                                      |
      | the registry does not confirm the servers                  |
      | all routers end and another one starts while the store is down |

  # Guards against a version that is lost with the last seconds of the store.
  Scenario: The record is written again after the store came back from an older copy
    Given 2 routers that watch servers of v1
    When 20 seconds of watching pass
    And a server of v1.2 serves for 2 seconds and 1 seconds of watching pass
    And the store returns to its copy of 10 seconds before
    And 5 seconds of watching pass
    And all routers end and another one starts
    And 5 seconds of watching pass
    Then no router finds a version alone

  # Guards against a read by each router of a large fleet at each start and after each lost connection.
  Scenario: Only some routers of a large fleet read the record before it is needed
    Given 195 routers that watch servers of v1
    When 5 seconds of watching pass
    Then the store received at most 9 writes and 20 reads of the record
    When every router is asked, and 2 seconds of watching pass
    Then every router finds v1 alone
