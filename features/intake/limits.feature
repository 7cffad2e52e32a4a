Feature: Limits of callers that come with a configuration
  Guards against limits that cost routes, and against records that routers of other releases cannot
  read while an upgrade replaces one machine after the other.

  # Guards against a configuration that is ignored because of an odd limit.
  Scenario Outline: An odd limit counts as not stated
    When a configuration of the platform has <limits>
    Then its routes are in force
    And a caller may send bodies of <body> bytes and heads of <head> bytes

    Examples:
      | limits                                             | body | head |
      | no limits                                          | 4096 | 2048 |
      | {"MaxBodyBytes": 99}                               | 99   | 2048 |
      | {"MaxBodyBytes": 99, "MaxHeaderBytes": 77}         | 99   | 77   |
      | {"MaxBodyBytes": -1, "MaxHeaderBytes": 77}         | 4096 | 77   |
      | {"MaxBodyBytes": 0, "MaxHeaderBytes": null}        | 4096 | 2048 |
      | {"MaxBodyBytes": "99", "MaxHeaderBytes": [77]}     | 4096 | 2048 |
      | {"MaxBodyBytes": 1e300, "MaxHeaderBytes": true}    | 4096 | 2048 |
      | {"MaxBodyBytes": 99.5, "New": {"a": 1}}            | 99   | 2048 |
      | [1, 2]                                             | 4096 | 2048 |
      | "none"                                             | 4096 | 2048 |

  # Guards against the limits of callers at the addresses of operators, metrics and readiness.
  Scenario: Limits of the configuration are those of callers only
    When a configuration of the platform has {"MaxBodyBytes": 99}
    Then a caller may send bodies of 99 bytes and heads of 2048 bytes
    And listeners that callers do not use keep a limit of 4096 bytes

  # Guards against routers that cannot read each other's configurations during an upgrade.
  Scenario: Records with limits and records of an earlier release
    Given a configuration of the platform with a limit of 99 bytes for bodies
    Then a router of an earlier release reads its record, from a message and from the store
    And a record of an earlier release leaves a limit of 99 bytes in force

  # Guards against limits that stay out of force since an earlier release told of the configuration.
  Scenario: The store's record behind that of a router of an earlier release
    Given a configuration of the platform with a limit of 99 bytes for bodies
    When a router gets its record without limits from another router, and then from the store
    Then the configuration service has a limit of 99 bytes
