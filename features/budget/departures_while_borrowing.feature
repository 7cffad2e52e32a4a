Feature: The fleet changes while tokens are borrowed
  Loans are requested from all peers at once. One of them may be recorded as departed before the
  others have replied. All requests that wait for the loan would fail with the attempt.

  Scenario: A peer departs while the replies of the others are awaited
    Given a router with 3 peers, of which each holds 100 free tokens
    When it borrows 150 tokens and the last peer is recorded as departed before it replies
    Then it holds 150 free tokens
    And the attempt reports that not all peers answered

  Scenario: A background task that fails is logged and counted
    When a background task fails with an unexpected error
    Then the failure is logged as an error and counted
