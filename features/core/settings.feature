Feature: Settings
  A mistyped key, an invalid value or a value out of range must not be ignored or replaced by the
  default. All problems are reported at once, with section, key, value and the allowed values.

  Scenario: A valid file is accepted
    When the settings are loaded
    Then no problems are reported

  Scenario: Several problems are reported together
    When the settings are loaded with
      | section  | key              | value     |
      | router   | callers_address  | host:0    |
      | fleet    | heartbeat_second | 1         |
      | budget   | account_shards   | many      |
      | budget   | in_doubt_policy  | maybe     |
      | platform | store_url        | ftp://x   |
    Then these problems are reported
      | section  | key              |
      | router   | callers_address  |
      | fleet    | heartbeat_second |
      | budget   | account_shards   |
      | budget   | in_doubt_policy  |
      | platform | store_url        |

  Scenario Outline: Values that are malformed or out of range are rejected
    When the settings are loaded with
      | section   | key   | value   |
      | <section> | <key> | <value> |
    Then these problems are reported
      | section   | key   |
      | <section> | <key> |

    Examples:
      | section  | key                     | value        |
      | router   | vm                      | a b          |
      | router   | peers_address           | 127.0.0.1    |
      | platform | store_timeout_seconds   | -1           |
      | platform | store_writes_per_second | 0            |
      | fleet    | seed_addresses          | 10.0.0.1 x:1 |
      | budget   | grant_minimum_tokens    | 1.5          |
      | request  | max_body_bytes          | 10           |
      | log      | log_level               | LOUD         |
      | tls      | tls_key_file            | missing.pem  |
