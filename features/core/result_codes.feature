Feature: Result codes
  Scripts act on the numbers, so the table in the docs and the code must agree.

  Scenario: The documented table equals the table in the code
    Then docs/RESULT_CODES.md lists every result code with its HTTP status and meaning
