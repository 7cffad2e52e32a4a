Feature: Requests that the active configuration does not allow
  A router that does not know of a change refuses what the change allows. Callers do not send a
  request again after 401 or 404, so such a refusal has to be explained afterwards, and must not
  rest on a configuration that nobody has confirmed for long.

  # Guards against refusals that no log names: served requests used up the limit of lines a second.
  Scenario: Each refusal has a line with its path and the age of the configuration, whatever is served
    Given 2 servers of which the first answers
    When 60 requests are served and 5 are refused within a second
    Then 5 lines explain the refusals
