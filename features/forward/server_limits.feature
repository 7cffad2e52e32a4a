Feature: Limits that servers name in their answers, across several routers
  A server in need names in its answers how many requests a second it takes from all routers
  together. The limit holds from 3 seconds after the first such answer, for the routers that had one
  half a second before, until the server names no limit any more.

  # Guards against a server that goes on to get as many requests as before it named a limit: the
  # routers together sent 16 in 4 seconds to one that takes one a second.
  Scenario Outline: A server gets no more requests than the limit that it has named
    Given 9 routers before 8 servers
    And <kind>
    And servers that name the limits <limits> after 3 seconds
    When <rate> requests a second come for 20 seconds
    Then no server gets more than one and a half times its limit and 5 requests in 4 seconds
    And servers with a limit get at least 0.7 times as many requests as it allows
    And at least <served> of the requests of the last 10 seconds are served

    Examples:
      | kind        | limits                  | rate | served |
      | streams     | 1                       | 60   | 0.99   |
      | plain calls | 1                       | 60   | 0.99   |
      | plain calls | 1.4 1                   | 60   | 0.99   |
      | streams     | 1.4                     | 150  | 0.99   |
      | streams     | 1 2 3 1 2 3             | 40   | 0.99   |
      | plain calls | 4 4 4 4 4 4 4 4         | 60   | 0.45   |
      | streams     | 4 4 4 4 4 4 4 4         | 60   | 0.45   |
      | streams     | 4 4 4 4 4 4 4 4         | 24   | 0.8    |

  # Guards against a limit that is kept although the server has ended it, also where it let no
  # requests through that could tell so.
  Scenario Outline: A limit ends with the first answers that name none
    Given 9 routers before 8 servers
    And <kind>
    And servers that name the limits <limits> after 3 seconds
    And all limits end after 12 seconds
    When 60 requests a second come for 30 seconds
    Then each server gets at least 0.6 times as many as without limits from second 20 on

    Examples:
      | kind        | limits                  |
      | plain calls | 1                       |
      | plain calls | 0                       |
      | plain calls | 0.01                    |
      | streams     | 0 0 0 0 0 0 0 0         |

  # Guards against a limit of zero that is taken for none, or for one that lets requests through.
  Scenario: A server with a limit of zero gets a request now and then, which can tell that it ended
    Given 9 routers before 8 servers
    And plain calls
    And servers that name the limits 0 after 3 seconds
    When 60 requests a second come for 20 seconds
    Then no server gets more than one and a half times its limit and 5 requests in 4 seconds
    And each server gets a request in each 6 seconds

  # Guards against an exception, or a limit given up, where the value is no number.
  Scenario Outline: A value that is no number changes no limit
    Given 9 routers before 8 servers
    And plain calls
    And servers that name the limits <first> after 3 seconds
    And servers that name '<value>' from the second 5 on
    When 60 requests a second come for 20 seconds
    Then at least 0.99 of the requests of the last 10 seconds are served
    And the limit of the first server is <kept>

    Examples:
      | first | value | kept     |
      | 1     | nan   | kept     |
      | 1     | -1    | kept     |
      | 1     | inf   | kept     |
      | 1     | many  | kept     |
      | 1     |       | kept     |
      | 1     | 1e400 | kept     |
      | 1     | 0x3   | kept     |
      | 1     | 1,5   | kept     |
      | none  | -1    | not kept |
      | none  | 1e400 | not kept |

  # Guards against a limit that each part of a cut fleet, or each router that starts, takes for itself.
  Scenario Outline: A limit holds beside trouble of the routers
    Given 9 routers before 8 servers
    And plain calls
    And servers that name the limits 2 1 after 3 seconds
    And after 6 seconds <event>
    When 60 requests a second come for 30 seconds
    Then no server gets more than one and a half times its limit and 5 requests in 4 seconds
    And at least 0.99 of the requests of the last 10 seconds are served

    Examples:
      | event                                   |
      | the routers start again one by one      |
      | three routers reach no other router     |
      | all routers but one are gone            |

  # Guards against refused callers that all come back at one moment.
  Scenario: Refused requests are told moments that follow each other
    Given 9 routers before 8 servers
    And plain calls
    And servers that name the limits 1 1 1 1 1 1 1 1 after 3 seconds
    When 20 requests a second come for 12 seconds
    Then requests were refused as not run, within 0.2 seconds or after the wait for a start
    And no more than 12 of them are told to return in the same second
