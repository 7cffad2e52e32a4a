Feature: Chats keep their answers while a router stops
  Guards the router's own interface against the causes of docs/incidents/answers-lost-at-a-stop.md. The router, the
  platform and the engine are real processes.

  # Guards against signals and a silent store that cut answers: the second signal killed the process and its chats.
  Scenario: Streams are whole although signals follow and the store is silent
    Given a router process with its own interface and an engine
    And chats that stream for 1 and 3 seconds
    When the store falls silent and the router receives SIGTERM, then SIGTERM, SIGHUP and SIGINT
    Then a new chat is refused as not run and its connection closes
    And all chats are whole
    And the router process exits with code 0 within 6 seconds after them

  # Guards against a chat that counts as early by its head: its body came after SIGTERM, and the chat ran on in the stop.
  Scenario: A chat whose body comes after SIGTERM is refused as not run
    Given a router process with its own interface and an engine
    When the head of a chat arrives, the router receives SIGTERM, and the body arrives 0.3 seconds later
    Then that chat is refused as not run and its connection closes
    And the router process exits with code 0 within 3 seconds after it
