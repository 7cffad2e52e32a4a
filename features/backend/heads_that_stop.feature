Feature: Calls to backend servers that stop within the head of their answer
  A head that stops is no answer, however much of it arrived. A call that it leaves open has an
  unknown outcome: the server may have run it.

  # Guards against a head that stops being taken for a whole one: a success with an empty body.
  Scenario Outline: A head that stops is no answer to a call of the router's own
    Given a server that stops after <part> and <end>
    When a call <call>
    Then the call ends with <outcome> within 1.0 seconds

    Examples:
      | part                                          | end    | call                  | outcome                   |
      | nothing                                       | closes | calls it as a service | ServerConnectionLostError |
      | nothing                                       | resets | calls it as a service | ServerConnectionLostError |
      | the status line without its line break        | closes | calls it as a service | ServerConnectionLostError |
      | the status line without its line break        | resets | calls it as a service | ServerConnectionLostError |
      | the first header lines                        | closes | calls it as a service | ServerConnectionLostError |
      | the first header lines                        | resets | calls it as a service | ServerConnectionLostError |
      | one digit of the length                       | closes | calls it as a service | ServerConnectionLostError |
      | one digit of the length                       | resets | calls it as a service | ServerConnectionLostError |
      | all but the last line feed of an empty answer | closes | calls it as a service | ServerConnectionLostError |
      | all but the last line feed of an empty answer | resets | calls it as a service | ServerConnectionLostError |
      | an interim head                               | closes | calls it as a service | ServerConnectionLostError |
      | an interim head                               | resets | calls it as a service | ServerConnectionLostError |
      | an interim head and the first header lines    | closes | calls it as a service | ServerConnectionLostError |
      | an interim head and the first header lines    | resets | calls it as a service | ServerConnectionLostError |
      | nothing                                       | closes | starts a run          | ServerConnectionLostError |
      | nothing                                       | resets | starts a run          | ServerConnectionLostError |
      | the status line without its line break        | closes | starts a run          | ServerConnectionLostError |
      | the status line without its line break        | resets | starts a run          | ServerConnectionLostError |
      | the first header lines                        | closes | starts a run          | ServerConnectionLostError |
      | the first header lines                        | resets | starts a run          | ServerConnectionLostError |
      | one digit of the length                       | closes | starts a run          | ServerConnectionLostError |
      | one digit of the length                       | resets | starts a run          | ServerConnectionLostError |
      | all but the last line feed of an empty answer | closes | starts a run          | ServerConnectionLostError |
      | all but the last line feed of an empty answer | resets | starts a run          | ServerConnectionLostError |
      | an interim head                               | closes | starts a run          | ServerConnectionLostError |
      | an interim head                               | resets | starts a run          | ServerConnectionLostError |
      | an interim head and the first header lines    | closes | starts a run          | ServerConnectionLostError |
      | an interim head and the first header lines    | resets | starts a run          | ServerConnectionLostError |
      | nothing                                       | closes | sends it an order     | ServerConnectionLostError |
      | nothing                                       | resets | sends it an order     | ServerConnectionLostError |
      | the status line without its line break        | closes | sends it an order     | ServerConnectionLostError |
      | the status line without its line break        | resets | sends it an order     | ServerConnectionLostError |
      | the first header lines                        | closes | sends it an order     | ServerConnectionLostError |
      | the first header lines                        | resets | sends it an order     | ServerConnectionLostError |
      | one digit of the length                       | closes | sends it an order     | ServerConnectionLostError |
      | one digit of the length                       | resets | sends it an order     | ServerConnectionLostError |
      | all but the last line feed of an empty answer | closes | sends it an order     | ServerConnectionLostError |
      | all but the last line feed of an empty answer | resets | sends it an order     | ServerConnectionLostError |
      | an interim head                               | closes | sends it an order     | ServerConnectionLostError |
      | an interim head                               | resets | sends it an order     | ServerConnectionLostError |
      | an interim head and the first header lines    | closes | sends it an order     | ServerConnectionLostError |
      | an interim head and the first header lines    | resets | sends it an order     | ServerConnectionLostError |
      | nothing                                       | closes | asks for its load     | nothing                   |
      | nothing                                       | resets | asks for its load     | nothing                   |
      | the status line without its line break        | closes | asks for its load     | nothing                   |
      | the status line without its line break        | resets | asks for its load     | nothing                   |
      | the first header lines                        | closes | asks for its load     | nothing                   |
      | the first header lines                        | resets | asks for its load     | nothing                   |
      | one digit of the length                       | closes | asks for its load     | nothing                   |
      | one digit of the length                       | resets | asks for its load     | nothing                   |
      | all but the last line feed of an empty answer | closes | asks for its load     | nothing                   |
      | all but the last line feed of an empty answer | resets | asks for its load     | nothing                   |
      | an interim head                               | closes | asks for its load     | nothing                   |
      | an interim head                               | resets | asks for its load     | nothing                   |
      | an interim head and the first header lines    | closes | asks for its load     | nothing                   |
      | an interim head and the first header lines    | resets | asks for its load     | nothing                   |
      | nothing                                       | closes | has it count tokens   | nothing                   |
      | nothing                                       | resets | has it count tokens   | nothing                   |
      | the status line without its line break        | closes | has it count tokens   | nothing                   |
      | the status line without its line break        | resets | has it count tokens   | nothing                   |
      | the first header lines                        | closes | has it count tokens   | nothing                   |
      | the first header lines                        | resets | has it count tokens   | nothing                   |
      | one digit of the length                       | closes | has it count tokens   | nothing                   |
      | one digit of the length                       | resets | has it count tokens   | nothing                   |
      | all but the last line feed of an empty answer | closes | has it count tokens   | nothing                   |
      | all but the last line feed of an empty answer | resets | has it count tokens   | nothing                   |
      | an interim head                               | closes | has it count tokens   | nothing                   |
      | an interim head                               | resets | has it count tokens   | nothing                   |
      | an interim head and the first header lines    | closes | has it count tokens   | nothing                   |
      | an interim head and the first header lines    | resets | has it count tokens   | nothing                   |

  # Guards against a chat that is served empty, or said not to have run, after a head that stopped.
  Scenario Outline: A chat whose engine stops within its head fails as one that may have run
    Given a server that stops its stream after <part> and <end>
    When a chat with 30 tokens is run there
    Then the chat fails as one that may have run

    Examples:
      | part                                          | end    |
      | nothing                                       | closes |
      | nothing                                       | resets |
      | the status line without its line break        | closes |
      | the status line without its line break        | resets |
      | the first header lines                        | closes |
      | the first header lines                        | resets |
      | one digit of the length                       | closes |
      | one digit of the length                       | resets |
      | all but the last line feed of an empty answer | closes |
      | all but the last line feed of an empty answer | resets |
      | an interim head                               | closes |
      | an interim head                               | resets |
      | an interim head and the first header lines    | closes |
      | an interim head and the first header lines    | resets |
