Feature: Prompts that crash servers, across several routers
  Requests with one part crash each server that begins to answer them. They come at any router, and
  other requests share their caller and their other parts. Servers are back after 1.5 to 3 seconds.
  The routers have to find the part from the crashes that each of them sees.

  # Guards against requests that go on to crash servers: more than three of them reached servers more
  # than 3 seconds after the fifth crash, and sound requests began half as often as before.
  Scenario Outline: Requests that crash servers are kept from them, and sound ones are served
    Given 5 routers before 8 servers
    And servers that crash on <guilty>
    When 60 sound requests a second and 4 with a part that crashes servers are sent for 30 seconds
    Then at most 8 servers crash for each of the parts
    And at most 3 requests with each part reach a server later than 3 seconds after its fifth crash
    And sound requests begin at least 0.9 times as often as before, 6 seconds after the first crash

    Examples:
      | guilty                         |
      | one new part in streams        |
      | one new part in plain calls    |
      | one known part in streams      |
      | two new parts in streams       |
      | one new part after two events  |

  # Guards against the service that is stopped by blocking parts which all requests share, as servers
  # crash for other reasons.
  Scenario Outline: Servers that crash by themselves block no part
    Given 5 routers before 8 servers
    And prompts of <documents> documents
    When 60 sound requests a second are sent for 30 seconds while a server crashes each 2 seconds
    Then no part is blocked at the end, and few requests were refused for one
    And sound requests begin at least 0.9 times as often as before, 6 seconds after the first crash

    Examples:
      | documents |
      | 20        |
      | 300       |

  # Guards against a service that stays refused after its servers crashed on whatever they got.
  Scenario: A service whose servers all crashed for 20 seconds is served again soon after
    Given 5 routers before 8 servers
    And prompts of 20 documents
    When 60 sound requests a second are sent for 20 seconds while servers crash on all of them
    And the servers are mended
    And 60 sound requests a second are sent for 30 seconds
    Then sound requests begin at least 0.9 times as often as before, 10 seconds after the mending

  # Guards against a block of what all requests share by routers that have seen no answer yet.
  Scenario: Routers that have just started block nothing because servers crash by themselves
    Given 5 routers before 8 servers
    When all routers are started again each 5 seconds
    And 60 sound requests a second are sent for 30 seconds while a server crashes each 1 seconds
    Then no part is blocked at the end, and few requests were refused for one

  # Guards against evidence that is lost with a router, or that a router has not heard of.
  Scenario Outline: A block outlives the routers that know it
    Given 5 routers before 8 servers
    And servers that crash on one new part in streams
    And after 8 seconds <event>
    When 60 sound requests a second and 4 with a part that crashes servers are sent for 30 seconds
    Then at most 8 servers crash for each of the parts
    And at most 3 requests with each part reach a server later than 3 seconds after its fifth crash

    Examples:
      | event                             |
      | all routers but one start again   |
      | router 1 is cut off for 6 seconds |

  # Guards against a part that stays blocked after the servers were mended.
  Scenario: A part that no longer crashes servers is served again
    Given 5 routers before 8 servers
    And servers that crash on one new part in streams
    When 60 sound requests a second and 4 with a part that crashes servers are sent for 10 seconds
    And the servers are mended
    And 60 sound requests a second and 4 with that part are sent for 30 seconds
    Then no part is blocked at the end

  # Guards against a refusal that says too much, and against a second server for the request.
  Scenario: The caller of a blocked prompt is told at once that it was not run
    Given 5 routers before 8 servers
    And servers that crash on one new part in streams
    When 60 sound requests a second and 4 with a part that crashes servers are sent for 6 seconds
    Then each refusal for a blocked part has reached no server, took 0.5 seconds at most and names a time
    And no request of the part was sent to two servers

  # Guards against a request that is sent although its part was blocked while it waited for tokens.
  Scenario: A request whose part is blocked while it waits for tokens reaches no server
    Given 5 routers before 8 servers
    And tokens that are granted after 1 second
    When a request waits for tokens while its part is blocked
    Then it is refused for a blocked part and has reached no server

  # Guards against answers that are broken off because a sound part was blocked by chance.
  Scenario: An answer that has arrived in part is not broken off by a block
    Given 5 routers before 8 servers
    When a part is blocked 0.05 seconds after the first event of an answer with it
    Then the answer is whole, and the part is no longer blocked

  # Guards against a trial that is used up by a request that is never sent, so that a sound part stays blocked.
  Scenario: A request without tokens is not the trial of a blocked part
    Given 5 routers before 8 servers
    And a part that is blocked and due for its trial
    When 20 requests with the part get no tokens and then one does
    Then the answer of the last one is whole, and the part is no longer blocked
