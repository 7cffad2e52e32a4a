Feature: Answers that are none reach no caller
  A head that cannot be believed is no answer, whatever its status says. The request counts as lost
  after it was sent: it runs at most once, or goes on elsewhere if it may be repeated, and its
  caller gets 502 in the end. What is odd but valid passes.

  # Guards against an answer with a status that does not exist, framed as whole.
  Scenario Outline: An answer without a valid status is no answer
    Given a router process and <count> servers
    When callers send a request of each kind, answered with the status <status>
    Then each of them ran once at each server that it may go to, and got 502 of the router

    Examples:
      | status    | count |
      | 000 OK    | 1     |
      | 000 OK    | 2     |
      | 001 OK    | 1     |
      | 099 OK    | 1     |
      | 600 OK    | 1     |
      | 999 OK    | 2     |

  # Guards against a valid answer that is not passed on since it is unusual.
  Scenario Outline: An answer with an unusual status or reason is passed on
    Given a router process and 1 servers
    When callers send a request of each kind, answered with the status <line>
    Then each of them got the answer of the server, with the status <status>

    Examples:
      | line           | status |
      | 299 Unusual    | 299    |
      | 200            | 200    |
      | 200 \xd6k\x21  | 200    |
