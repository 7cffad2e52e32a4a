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
