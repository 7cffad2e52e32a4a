Feature: When refused callers come again
  A request whose tokens could not be reached in time comes again at another router.

  # Guards against callers of a crowded router that are told to wait for two seconds, longer than their
  # target, although the lender answers and other routers have tokens.
  Scenario Outline: The time depends on whether tokens can be reached at all
    Given a budget about which the store or a lender answered <age> seconds ago
    When a request for it is refused as its tokens were not reached in time
    Then its caller is told to come again after <seconds> seconds

    Examples:
      | age   | seconds |
      | 0.2   | 0.3     |
      | 1.0   | 0.3     |
      # A cut or an outage: until it ends, no router can pay.
      | 1.5   | 2       |
      | never | 2       |
