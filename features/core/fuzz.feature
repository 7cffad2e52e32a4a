Feature: Arbitrary input
  Whatever arrives, a parser returns or raises its own error, and a peer gets a reply.

  Scenario Outline: Parsers never fail in another way
    Then 300 arbitrary inputs to the <parser> are accepted or refused with a result code

    Examples:
      | parser                  |
      | chat body               |
      | idempotency key         |
      | deadline                |
      | configuration document  |
      | settings file           |

  Scenario: A router replies to arbitrary bytes from a peer
    Then 300 arbitrary messages to a router each get a reply

  Scenario: A merge patch follows its definition
    Then for 300 arbitrary pairs of documents a merge patch removes nulls and keeps the rest

  Scenario Outline: The example files are valid
    Then the example <name> is valid

    Examples:
      | name                 |
      | halib.ini            |
      | instituto.ini        |
      | halib-first.json     |
      | instituto-first.json |
