Feature: Requests that the active configuration does not allow
  A router that does not know of a change refuses what the change allows. Callers do not send a
  request again after 401 or 404, so such a refusal has to be explained afterwards, and must not
  rest on a configuration that nobody has confirmed for long.

  # Guards against refusals that no log names: served requests used up the limit of lines a second.
  Scenario: Each refusal has a line with its path and the age of the configuration, whatever is served
    Given 2 servers of which the first answers
    When 60 requests are served and 5 are refused within a second
    Then 5 lines explain the refusals

  # Guards against a 401 or 404 from a configuration that was replaced before the request was sent.
  Scenario: A request that only the newest configuration allows is served
    Given 2 servers of which the first answers
    And the store has a newer configuration with the route of the request
    When a caller sends a request with an unknown path
    Then the response status is 200

  # Guards against a 401 or 404, which callers do not repeat, by a router that nobody has confirmed.
  Scenario Outline: A router that cannot confirm its configuration refuses for the moment
    Given 2 servers of which the first answers
    And a configuration that cannot be confirmed
    When a caller sends a request with <fault>
    Then the response status is 503
    And the refusal has code 4008 and says when to come back
    And servers ran the request 0 times

    Examples:
      | fault           |
      | an unknown path |
      | an unknown host |
      | an unknown key  |
      | no key          |
