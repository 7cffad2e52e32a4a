Feature: How answers of plain services end
  The answer of a service is read as a whole, given to the caller with a length, and stored for
  retries with the same key. All of this may only happen to an answer that is whole.

  # Guards against a broken answer that is given a length, billed, and replayed to every retry.
  Scenario Outline: A service's answer that <fault> does not look complete
    Given a router that serves HTTP
    And a service that <behaviour>
    When a caller <action> the service with key k1
    Then the caller has no complete success
    When a caller <action> the service with key k1
    Then the caller has no complete success

    Examples:
      | fault                        | behaviour                         | action   |
      | is reset without a length    | resets an answer without a length | posts to |
      | is reset without a length    | resets an answer without a length | gets     |
      | is closed without a length   | closes an answer without a length | posts to |
      | breaks off within its length | breaks off in the body            | posts to |

  # Guards against a head that stops being given a length, billed, and replayed to every retry.
  Scenario Outline: A service's answer whose head stops is no answer
    Given a router that serves HTTP
    And a service that stops after <part> and <end>
    When a caller <action> the service with key k1
    Then the caller has no success, and is not told that nothing ran
    When a caller <action> the service with key k1
    Then the caller has no success, and is not told that nothing ran
    And the service has run at most <runs> of these calls

    Examples:
      | part                                          | end    | action   | runs |
      | nothing                                       | closes | posts to | 1    |
      | nothing                                       | resets | posts to | 1    |
      | the status line without its line break        | closes | posts to | 1    |
      | the status line without its line break        | resets | posts to | 1    |
      | the first header lines                        | closes | posts to | 1    |
      | the first header lines                        | resets | posts to | 1    |
      | one digit of the length                       | closes | posts to | 1    |
      | one digit of the length                       | resets | posts to | 1    |
      | all but the last line feed of an empty answer | closes | posts to | 1    |
      | all but the last line feed of an empty answer | resets | posts to | 1    |
      | an interim head and the first header lines    | closes | posts to | 1    |
      | an interim head and the first header lines    | resets | posts to | 1    |
      | nothing                                       | closes | gets     | 8    |
      | the first header lines                        | closes | gets     | 8    |
      | the first header lines                        | resets | gets     | 8    |

  # Guards against a chat that looks whole, or not run, though its engine stopped within a head.
  Scenario Outline: A chat whose engine stops within the head of its answer has no answer
    Given a router that serves HTTP
    And a chat engine that stops its stream after <part> and <end>
    When a caller asks for a <kind> chat
    Then the caller has no success, and is not told that nothing ran

    Examples:
      | part                                          | end    | kind     |
      | nothing                                       | closes | whole    |
      | the first header lines                        | closes | whole    |
      | the first header lines                        | resets | streamed |
      | all but the last line feed of an empty answer | closes | streamed |

  # Guards against a promise that nothing ran, made for a chat that an engine may be running.
  Scenario Outline: A chat that is open when its router closes is not said to be not run
    Given a router that serves HTTP
    And a chat engine that is silent
    When the router closes while a caller waits for a <kind> chat
    Then the caller has no success, and is not told that nothing ran

    Examples:
      | kind     |
      | whole    |
      | streamed |
