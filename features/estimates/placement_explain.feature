Feature: Operators ask where a request would go
  Guards against questions that send something or that end in an internal error.

  Background:
    Given a router that serves HTTP

  Scenario: A router tells what a request would meet at each server
    Given it places requests to 4 servers of orders by estimates
    Then an operator is told the estimates of "orders" at 4 servers, the least cost first
    And an operator is told the tokens to read of a prompt with 1000 tokens
    And nothing was sent

  Scenario Outline: A question that cannot be answered is refused
    Given it places requests to 4 servers of orders by estimates
    Then the question "<question>" is refused with <status>

    Examples:
      | question                     | status |
      | none                         | 404    |
      | orders ?parts=a              | 400    |
      | orders ?parts=a:-1           | 400    |
      | orders ?parts=:5             | 400    |
      | orders ?output_tokens=many   | 400    |

  Scenario: A router that places by affinity has no answer
    Then the question "orders" is refused with 404

  Scenario Outline: The command line asks the router
    Given it places requests to 4 servers of orders by estimates
    When the command line is run with <arguments>
    Then it exits with <code>

    Examples:
      | arguments                              | code |
      | placement explain orders a:600,b:400 5 | 0    |
      | placement explain orders               | 0    |
      | placement explain none                 | 7    |
      | placement explain                      | 2    |
