Feature: Confirming that a router has heard of all versions that serve
  A stream of unknown origin goes on only after the registry and the record of versions were read by calls
  that began after it was taken up. An earlier reading may have missed the version that began it.

  # Guards against a reading that began before the request, and against a reading for each request.
  Scenario: Requests share a reading that begins after them
    Given a confirmation whose readings take 0.05 seconds
    When 50 requests ask within 0.1 seconds
    Then all are confirmed by readings that began after they had asked
    And there were at most 2 readings

  Scenario: A steady arrival of requests does not make a steady load
    Given a confirmation whose readings take 0.05 seconds
    When 100 requests ask within 4 seconds
    Then all are confirmed by readings that began after they had asked
    And there were at most 21 readings

  # Guards against a confirmation by a reading that failed, or that only a part of succeeded.
  Scenario Outline: A reading that fails confirms nothing
    Given a confirmation whose readings take 0.05 seconds
    When the <part> cannot be read
    And 10 requests ask within 0.1 seconds
    Then none is confirmed, and each knows within 0.9 seconds
    When all can be read again
    And 10 requests ask within 0.1 seconds
    Then all are confirmed by readings that began after they had asked

    Examples:
      | part     |
      | registry |
      | record   |

  Scenario: A reading that never ends confirms nothing
    Given a confirmation whose readings take 60 seconds
    When 10 requests ask within 0.1 seconds
    Then none is confirmed, and each knows within 0.9 seconds

  # Guards against requests that wait in vain for a reading that ended with the request that began it.
  Scenario: The reading of a request that its caller gives up is repeated for the others
    Given a confirmation whose readings take 0.05 seconds
    When a request asks and is given up 0.02 seconds later
    And 10 requests ask within 0.1 seconds
    Then all are confirmed by readings that began after they had asked

  # Guards against a watch that was waiting and brings back what a later reading has replaced.
  Scenario: A change that was read beside a waiting watch is not undone by the watch
    Given a follower whose watch waits, and has seen a server of v1
    When the server is read at v1.2 beside the watch
    And the watch returns with the server at v1.1
    Then the server is known at v1.2
    And the next watch begins behind what was read
