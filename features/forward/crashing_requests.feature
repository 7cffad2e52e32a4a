Feature: Requests that crash servers, across several routers
  A request crashes each server that begins to run it. It comes again with the same path, caller and
  body, at any router. Servers are back after 1.5 to 3 seconds, and lose what else runs there.

  # Guards against a request that goes on to crash servers: one attempt ended three of them, and it
  # was sent 4 and 9 times more later than 3 seconds after its third crash.
  Scenario Outline: A request that crashes servers is kept from them, and sound ones are served
    Given 8 routers before 8 servers
    And <kind> without prompts
    And <count> requests that crash servers
    When 60 sound requests a second come for 25 seconds and those each 0.33 seconds
    Then at most 4 servers crash under each of them
    And at most 3 of each reach a server later than 3 seconds after its third crash
    And no attempt has crashed more than 2 servers
    And sound requests are served 0.97 times as often as before, 6 seconds after the first crash

    Examples:
      | kind                              | count |
      | idempotent calls                  | 1     |
      | streams                           | 1     |
      | calls that must not run twice     | 1     |
      | idempotent calls                  | 6     |

  # Guards against a request that hides behind sound parts of its prompt.
  Scenario: A request whose prompt shares its parts with sound ones is kept from servers
    Given 8 routers before 8 servers
    And streams with prompts
    And 1 requests that crash servers
    When 60 sound requests a second come for 25 seconds and those each 0.33 seconds
    Then at most 4 servers crash under each of them
    And at most 3 of each reach a server later than 3 seconds after its third crash
    And no shared part is blocked at the end
    And sound requests are served 0.97 times as often as before, 6 seconds after the first crash

  # Guards against a small service that one request keeps down as a whole.
  Scenario: One request does not end a service of three servers again and again
    Given 9 routers before 3 servers
    And idempotent calls without prompts
    And 1 requests that crash servers
    When 30 sound requests a second come for 25 seconds and those each 0.33 seconds
    Then at most 4 servers crash under each of them
    And at most 3 of each reach a server later than 3 seconds after its third crash
    And sound requests are served 0.97 times as often as before, 6 seconds after the first crash

  # Guards against blocking what many callers send, since it is lost in each crash.
  Scenario: A popular request that is lost in the crashes of another one is served
    Given 8 routers before 8 servers
    And idempotent calls without prompts
    And 6 requests that crash servers
    And 0.4 of the sound requests have the same body
    When 60 sound requests a second come for 25 seconds and those each 0.33 seconds
    Then the popular request is never refused as blocked, and served 0.97 times as often as before, 6 seconds after the first crash

  # Guards against the block of sound requests that meet two crashes by chance.
  Scenario: Servers that crash by themselves block no request for long
    Given 8 routers before 8 servers
    And idempotent calls without prompts
    When 60 requests a second are sent again and again for 30 seconds while servers crash each second
    Then at most 0.005 of the requests are refused as blocked

  # Guards against a block that is lost with the routers that know it.
  Scenario Outline: A blocked request stays blocked beside trouble of the routers
    Given 8 routers before 8 servers
    And idempotent calls without prompts
    And 1 requests that crash servers
    And <event>, 8 seconds after the begin
    When 60 sound requests a second come for 25 seconds and those each 0.33 seconds
    Then at most <count> servers crash under each of them

    Examples:
      | event                                      | count |
      | all routers but one have started again     | 5     |
      | a router is cut off for 6 seconds          | 6     |
      | all routers have started again             | 7     |

  # Guards against a request that stays refused after the servers were mended.
  Scenario: A request that no longer crashes servers is served again
    Given 8 routers before 8 servers
    And idempotent calls without prompts
    And 1 requests that crash servers
    When 60 sound requests a second come for 10 seconds and those each 0.33 seconds
    And the servers are mended
    And 60 sound requests a second come for 40 seconds and those each 0.33 seconds
    Then the last of those is served

  # Guards against a refusal that promises what is not so, and against requests that only look alike.
  Scenario: What a blocked request is told, and others with its path or body are served
    Given 8 routers before 8 servers
    And idempotent calls without prompts
    And 1 requests that crash servers
    When 60 sound requests a second come for 10 seconds and those each 0.33 seconds
    Then each refused one has reached no server, took 0.1 seconds at most and is told a time
    And the same body on another path is served
