Feature: Answers whose end nobody stated
  A server's answer without a length ends with its connection, and so does its copy to the caller.
  Such an end says nothing of the rest; whatever is known to be missing must still be seen.

  # Guards against an orderly close although the next server has begun an event that follows.
  Scenario Outline: A stream of which more is known to follow does not look complete
    Given a server that closes a stream without a length after 2 events and one that <next>
    When a caller of HTTP/1.1 sends a resumable stream request with at most 2 attempts
    Then the caller has the events 1 2
    And the caller sees an answer that is reset

    Examples:
      | next                                |
      | breaks off within its first event   |
      | falls silent within its first event |

  # Guards against the system's orderly close of a killed router's connections, which looks like the
  # end of a response that has no length or chunks.
  Scenario Outline: A stream whose router is killed does not look complete
    Given a router process with a grace period of 4 seconds
    And a caller of HTTP/<version> that has 2 events of a server that <behaviour>
    When the process receives SIGKILL
    Then the caller's answer ends
    And the caller has the events 1 2
    And the caller sees an answer that is <end>

    Examples:
      | version | behaviour                                    | end                   |
      | 1.1     | falls silent after 2 events                  | framed and incomplete |
      | 1.1     | falls silent after 2 events without a length | reset                 |
      | 1.0     | falls silent after 2 events                  | reset                 |
