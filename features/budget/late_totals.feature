Feature: A running total that arrives late changes nothing
  A change that one writer holds back may be written by another one first, and again by the first
  after newer changes of the same process.

  Scenario: An older return makes no tokens
    Given an account of 1000 tokens with a grant of 600 tokens
    When returns with the totals 100, 300, 100, 350 are written
    Then the grant holds 250 tokens and 0 tokens are settled

  Scenario: An older report settles nothing twice
    Given an account of 1000 tokens with a grant of 600 tokens
    When reports of spending with the totals 100, 300, 100, 350 are written
    Then the grant holds 250 tokens and 350 tokens are settled
