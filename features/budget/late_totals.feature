Feature: An outdated running total has no effect
  A change that is delayed at one writer may be written by another one, and is then written again
  by the first after newer changes of the same process. If the older total counted as a negative
  amount, it would create tokens.

  Scenario: An outdated return creates no tokens
    Given an account of 1000 tokens with a grant of 600 tokens
    When returns with the totals 100, 300, 100, 350 are written
    Then the grant has 250 open tokens and 0 tokens are settled

  Scenario: An outdated spending report settles nothing twice
    Given an account of 1000 tokens with a grant of 600 tokens
    When spending reports with the totals 100, 300, 100, 350 are written
    Then the grant has 250 open tokens and 350 tokens are settled
