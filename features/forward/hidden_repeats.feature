Feature: Requests that the HTTP library must not repeat
  A server reads a request and crashes. Whether the request is sent again is the router's decision,
  with its limits, its evidence and its word to the caller.

  # Guards against a call that ran and is told as not run: the library had sent it again, to a port
  # where nothing listened any more, and the crash was no evidence against it.
  Scenario Outline: A call is sent once to a server that breaks off, and counts as lost
    Given a port at which a server resets its first connection and <then>
    When the client of <kind> sends a <method> to it
    Then the server has got 1 request, and the outcome is unknown

    Examples:
      | kind              | method | then            |
      | forwarded calls   | GET    | does not listen |
      | forwarded calls   | GET    | answers         |
      | forwarded calls   | PUT    | answers         |
      | forwarded calls   | DELETE | does not listen |
      | forwarded calls   | POST   | answers         |
      | own service calls | GET    | does not listen |
      | own service calls | GET    | answers         |
      | own service calls | PUT    | answers         |
