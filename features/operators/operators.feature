Feature: The HTTP frontend and the command line for operators
  Guards against calls without the operator token that are answered, and against patches that are
  invalid, outdated or retried and yet change the configuration. Reports must show bills, budgets and
  requests without secrets, and scripts must be able to tell errors apart by exit code.

  Background:
    Given a router that serves HTTP

  Scenario Outline: A call without the operator token is refused
    When an operator calls <path> with <token>
    Then the response has status 401 and code OPERATOR_UNAUTHORIZED, and says it did not run

    Examples:
      | path           | token         |
      | /configuration | no token      |
      | /state         | a wrong token |
      | /bills/w       | a caller key  |
      | /nothing       | no token      |

  Scenario Outline: An invalid patch is refused and does not change the configuration
    When an operator sends a patch with <fault>
    Then the response has status <status> and code <code>, and says it did not run
    And the configuration is unchanged

    Examples:
      | fault                     | status | code                  |
      | an outdated number        | 409    | CONFLICT              |
      | no number                 | 400    | INVALID_FIELD         |
      | broken JSON               | 400    | BROKEN_JSON           |
      | a negative budget         | 422    | INVALID_CONFIGURATION |
      | an unknown field          | 422    | INVALID_CONFIGURATION |
      | an unknown server         | 422    | INVALID_CONFIGURATION |
      | a key of two workspaces   | 422    | INVALID_CONFIGURATION |
      | a plain key               | 422    | INVALID_CONFIGURATION |
      | a list as document        | 422    | INVALID_CONFIGURATION |

  Scenario: A patch sent twice with the same id is applied once
    When an operator sends the same patch twice with one id
    Then the number has risen by 1

  Scenario: Reports show bills, budgets and requests
    When a correct chat request is sent for a whole answer
    Then the operators' reports show its bill, its budget and its request

  Scenario: The state dump contains no secrets
    When a correct chat request is sent for a whole answer
    Then the state dump holds neither keys nor tokens

  Scenario Outline: The command line reports errors by exit code
    When the command line is run with <arguments>
    Then it exits with <exit code>

    Examples:
      | arguments                              | exit code |
      | config show                            | 0         |
      | --format=json budget show              | 0         |
      | budget show w                          | 0         |
      | budget show nobody                     | 7         |
      | bills export w                         | 0         |
      | fleet show                             | 0         |
      | state dump                             | 0         |
      | evacuation list                        | 0         |
      | evacuation begin dc-1                  | 0         |
      | evacuation end dc-1                    | 0         |
      | evacuation begin                       | 2         |
      | config history                         | 0         |
      | explain request w r-1                  | 0         |
      | budget top-up w 100                    | 0         |
      | budget top-up w much                   | 2         |
      | --number=99 config patch PATCH         | 3         |
      | --number=1 config patch BROKEN         | 6         |
      | config patch PATCH                     | 2         |
      | fly away                               | 2         |
      | --router=http://127.0.0.1:9 fleet show | 4         |
      | --token_file=WRONG fleet show          | 5         |
      | key new                                | 0         |

  # Guards against a command that reports success and leaves the key of another data centre, or none.
  Scenario: The command line evacuates a data centre and withdraws it
    When the command line is run with evacuation begin dc/1é
    Then the store has the evacuations dc/1é
    When the command line is run with evacuation begin dc/1é
    Then the store has the evacuations dc/1é
    When the command line is run with evacuation end dc/1é
    Then the store has no evacuations
    When the command line is run with evacuation end dc/1é
    Then it exits with 0
