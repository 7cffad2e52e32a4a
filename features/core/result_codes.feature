Feature: Result codes
  Scripts depend on the numbers, so the table in the documentation must match the code. A code that
  is added or changed in only one of them fails here.

  Scenario: The documented table matches the table in the code
    Then docs/RESULT_CODES.md lists every result code with its HTTP status and meaning
