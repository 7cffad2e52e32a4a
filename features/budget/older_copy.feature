Feature: The store comes back from an older copy
  Guards against tokens that are granted a second time because the store lost the record of their
  draw, and against records that only look unchanged because revisions are given out again.

  Scenario: A lost draw is stated again, with what was spent and returned of it
    Given an account of 1000 tokens with a grant of 600 tokens
    When router b@1 states that it drew 300 tokens, spent 120 and returned 50
    Then 150 tokens are available and 120 are settled
    When router b@1 states that it drew 300 tokens, spent 120 and returned 50
    Then 150 tokens are available and 120 are settled

  Scenario: A late total of an earlier era changes nothing
    Given an account of 1000 tokens with a grant of 600 tokens
    When spending reports with the totals 100, 300 are written
    And router a@1 states that it drew 600 tokens, spent 350 and returned 0
    And spending reports with the totals 100, 300 are written
    Then the grant has 250 open tokens and 350 tokens are settled

  Scenario: A grant that was used up before the copy was made is not added again
    Given an account of 1000 tokens with a grant of 600 tokens
    When spending reports with the totals 600 are written
    And router a@1 states that it drew 600 tokens, spent 600 and returned 0
    Then 400 tokens are available and 600 are settled

  Scenario: Tokens that unheard routers may have drawn are withheld until enough have answered
    Given an account of 1000 tokens with a grant of 600 tokens
    When the available tokens are withheld because routers b@1, c@1, d@1 are unheard
    Then 0 tokens are available and 0 are settled
    When router b@1 states that it drew 300 tokens, spent 120 and returned 50
    Then 150 tokens are available and 120 are settled

  Scenario: The copy with the most writes wins, whatever revision it has
    Given copies of a shard with 7 writes in era 1, 9 writes in era 1 and 3 writes in era 2
    Then the newest copy has 3 writes

  Scenario Outline: No budget is overspent, whatever happens beside the returns
    When seed <seed> of returns of the store is played with the trouble <trouble>
    Then no tokens are overspent
    And at most <refused> of 100 payable requests were refused after the returns

    # Draws are closed for up to 1.25 of the ten seconds: a writer pauses for up to 0.75 s after a
    # failed call, and a rebuild waits up to 0.5 s for a silent router.
    Examples: refusals in the ten seconds after a return; killed routers strand tokens themselves
      | seed | trouble        | refused |
      | 1    | none           | 10      |
      | 1    | cuts           | 20      |
      | 4    | cut_from_peers | 20      |
      | 0    | one_killed     | 100     |
      | 0    | one_lost       | 10      |
      | 2    | all_killed     | 100     |
