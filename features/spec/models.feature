Feature: The protocol's specification
  Every state of the small models is explored, and every seeded fault is found.

  Scenario Outline: A model holds in all its states
    When the model <model> is explored
    Then all its states were explored and every invariant holds

    Examples:
      | model          |
      | budget_hold    |
      | budget_release |
      | claim          |

  Scenario Outline: A seeded fault is found
    When the mutant <mutant> is explored
    Then the invariant <invariant> is found broken

    Examples:
      | mutant                                | invariant          |
      | budget_take_back_by_timeout           | never_overspent    |
      | budget_transfer_credited_twice        | never_overspent    |
      | budget_bill_repeated_after_lost_answer | never_billed_twice |
      | budget_closed_before_last_bills       | every_bill_paid    |
      | budget_late_credit_not_refused        | never_overspent    |
      | budget_draw_credited_without_record   | never_overspent    |
      | claim_takeover_by_timeout             | runs_at_most_once  |
      | claim_lost_answer_counts_as_granted   | runs_at_most_once  |
      | claim_sent_before_claim               | runs_at_most_once  |
      | claim_sent_again_after_silence        | runs_at_most_once  |
      | claim_released_after_sending          | not_run_is_true    |
