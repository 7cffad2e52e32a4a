Feature: Stores that stop within the head of their response
  A registry without servers, a key without a value or a write without effect is said only by a
  whole response.

  # Guards against a head that stops being taken for an empty listing, by which all servers are gone.
  Scenario Outline: A head that stops is no response to a store call
    Given a server that stops after <part> and <end>
    When the client of the <store> store <call>
    Then the call ends with <outcome> within 1.5 seconds

    Examples:
      | part                                          | end    | store    | call              | outcome                  |
      | nothing                                       | closes | platform | reads all servers | StoreUnavailableError    |
      | nothing                                       | closes | platform | writes a key      | WriteOutcomeUnknownError |
      | nothing                                       | resets | platform | reads all servers | StoreUnavailableError    |
      | nothing                                       | resets | platform | writes a key      | WriteOutcomeUnknownError |
      | the status line without its line break        | closes | platform | reads all servers | StoreUnavailableError    |
      | the status line without its line break        | closes | platform | writes a key      | WriteOutcomeUnknownError |
      | the status line without its line break        | resets | platform | reads all servers | StoreUnavailableError    |
      | the status line without its line break        | resets | platform | writes a key      | WriteOutcomeUnknownError |
      | the first header lines                        | closes | platform | reads all servers | StoreUnavailableError    |
      | the first header lines                        | closes | platform | writes a key      | WriteOutcomeUnknownError |
      | the first header lines                        | resets | platform | reads all servers | StoreUnavailableError    |
      | the first header lines                        | resets | platform | writes a key      | WriteOutcomeUnknownError |
      | one digit of the length                       | closes | platform | reads all servers | StoreUnavailableError    |
      | one digit of the length                       | closes | platform | writes a key      | WriteOutcomeUnknownError |
      | one digit of the length                       | resets | platform | reads all servers | StoreUnavailableError    |
      | one digit of the length                       | resets | platform | writes a key      | WriteOutcomeUnknownError |
      | all but the last line feed of an empty answer | closes | platform | reads all servers | StoreUnavailableError    |
      | all but the last line feed of an empty answer | closes | platform | writes a key      | WriteOutcomeUnknownError |
      | all but the last line feed of an empty answer | resets | platform | reads all servers | StoreUnavailableError    |
      | all but the last line feed of an empty answer | resets | platform | writes a key      | WriteOutcomeUnknownError |
      | an interim head and the first header lines    | closes | platform | reads all servers | StoreUnavailableError    |
      | an interim head and the first header lines    | closes | platform | writes a key      | WriteOutcomeUnknownError |
      | an interim head and the first header lines    | resets | platform | reads all servers | StoreUnavailableError    |
      | an interim head and the first header lines    | resets | platform | writes a key      | WriteOutcomeUnknownError |
      | the first header lines                        | closes | platform | reads a key       | StoreUnavailableError    |
      | the first header lines                        | closes | platform | watches servers   | StoreUnavailableError    |
      | the first header lines                        | closes | etcd     | reads a key       | StoreUnavailableError    |
      | the first header lines                        | closes | etcd     | writes a key      | WriteOutcomeUnknownError |
      | the first header lines                        | closes | etcd     | watches a key     | StoreUnavailableError    |
      | the first header lines                        | closes | VM-list  | reads the list    | StoreUnavailableError    |
      | the first header lines                        | resets | platform | reads a key       | StoreUnavailableError    |
      | the first header lines                        | resets | platform | watches servers   | StoreUnavailableError    |
      | the first header lines                        | resets | etcd     | reads a key       | StoreUnavailableError    |
      | the first header lines                        | resets | etcd     | writes a key      | WriteOutcomeUnknownError |
      | the first header lines                        | resets | etcd     | watches a key     | StoreUnavailableError    |
      | the first header lines                        | resets | VM-list  | reads the list    | StoreUnavailableError    |
      | all but the last line feed of an empty answer | closes | platform | reads a key       | StoreUnavailableError    |
      | all but the last line feed of an empty answer | closes | platform | watches servers   | StoreUnavailableError    |
      | all but the last line feed of an empty answer | closes | etcd     | reads a key       | StoreUnavailableError    |
      | all but the last line feed of an empty answer | closes | etcd     | writes a key      | WriteOutcomeUnknownError |
      | all but the last line feed of an empty answer | closes | etcd     | watches a key     | StoreUnavailableError    |
      | all but the last line feed of an empty answer | closes | VM-list  | reads the list    | StoreUnavailableError    |
      | all but the last line feed of an empty answer | resets | platform | reads a key       | StoreUnavailableError    |
      | all but the last line feed of an empty answer | resets | platform | watches servers   | StoreUnavailableError    |
      | all but the last line feed of an empty answer | resets | etcd     | reads a key       | StoreUnavailableError    |
      | all but the last line feed of an empty answer | resets | etcd     | writes a key      | WriteOutcomeUnknownError |
      | all but the last line feed of an empty answer | resets | etcd     | watches a key     | StoreUnavailableError    |
      | all but the last line feed of an empty answer | resets | VM-list  | reads the list    | StoreUnavailableError    |
      | a status of 404 but for the empty line        | closes | platform | reads a key       | StoreUnavailableError    |
      | a status of 404 but for the empty line        | resets | platform | reads a key       | StoreUnavailableError    |
      | a refusal but for the empty line              | closes | platform | writes a key      | WriteOutcomeUnknownError |
      | a refusal but for the empty line              | resets | platform | writes a key      | WriteOutcomeUnknownError |
