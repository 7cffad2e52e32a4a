Feature: Settings
  All mistakes of a settings file are reported at once, with section, key, value and what is allowed.

  Scenario: A correct file is accepted
    When the settings are read
    Then there are no mistakes

  Scenario: Several mistakes are reported together
    When the settings are read with
      | section  | key              | value     |
      | router   | callers_address  | host:0    |
      | fleet    | heartbeat_second | 1         |
      | budget   | account_shards   | many      |
      | budget   | in_doubt_policy  | maybe     |
      | platform | store_url        | ftp://x   |
    Then these mistakes are reported
      | section  | key              |
      | router   | callers_address  |
      | fleet    | heartbeat_second |
      | budget   | account_shards   |
      | budget   | in_doubt_policy  |
      | platform | store_url        |

  Scenario Outline: Values outside their range are refused
    When the settings are read with
      | section   | key   | value   |
      | <section> | <key> | <value> |
    Then these mistakes are reported
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
