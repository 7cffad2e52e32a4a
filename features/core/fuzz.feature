Feature: Arbitrary input
  Generated input guards against unhandled exceptions: a parser returns a result or raises its own
  error, and a router replies to every message. Merge patches are compared with RFC 7396.

  Scenario Outline: Parsers raise only their own errors
    Then 300 arbitrary inputs to the <parser> are accepted or raise the parser's own error

    Examples:
      | parser                  |
      | chat body               |
      | idempotency key         |
      | deadline                |
      | configuration document  |
      | settings file           |

  Scenario: A router replies to arbitrary bytes from a peer
    Then 300 arbitrary messages to a router each receive a reply

  Scenario: Merge patches follow RFC 7396
    Then merge patches of 300 arbitrary document pairs equal a reference implementation

  Scenario Outline: The example files are valid
    Then the example <name> is valid

    Examples:
      | name                 |
      | halib.ini            |
      | instituto.ini        |
      | halib-first.json     |
      | instituto-first.json |
