Feature: Callers of the own interface that do not behave
  Guards against callers that together make a router process hold more than its VM has, at the
  addresses of callers and of operators.

  # Guards against bodies that are read into memory for callers that never send their last byte.
  Scenario Outline: Bodies of the own interface that stop short of their end
    Given a router process with its own interface on a VM with 100 MB of memory
    When 80 callers send <body> to <path> and stop before its end
    Then the router process runs
    And its memory was within 100 MB
    And an ordinary chat is answered

    Examples:
      | body                                 | path                 |
      | a body of 1 MiB with a length        | /v1/chat/completions |
      | a body of 1 MiB in chunks of 64 KiB  | /v1/chat/completions |
      | a body of 1 MiB with a length        | /services/orders/x   |

  # Guards against bodies whose decoded form is many times their size.
  Scenario: Bodies of the own interface that decode to much more
    Given a router process with its own interface on a VM with 100 MB of memory
    When 20 callers send a chat of 900 kB that decodes to many objects
    Then the router process runs
    And its memory was within 100 MB
    And an ordinary chat is answered

  # Guards against heads and requests sent ahead at each address.
  Scenario Outline: Heads without an end and requests sent ahead at the own interface
    Given a router process with its own interface on a VM with 100 MB of memory
    When 60 callers of the <address> send <sent>
    Then the router process runs
    And its memory was within 100 MB
    And an ordinary chat is answered

    Examples:
      | address   | sent                                       |
      | callers   | a head of 120 lines of 8 kB without an end |
      | operators | a head of 120 lines of 8 kB without an end |
      | callers   | 200 requests of 10 kB ahead                |
      | operators | 200 requests of 10 kB ahead                |

  # Guards against connections that leave no descriptor for the store, engines and other routers.
  Scenario Outline: Connections without a request at the own interface
    Given a router process with its own interface on a VM with 100 MB of memory and 400 descriptors
    When 450 callers of the <address> send nothing
    Then the router process runs
    And its open descriptors were at most 350
    And an ordinary chat is answered

    Examples:
      | address   |
      | callers   |
      | operators |

  # Guards against the limit of callers' bodies for the patches of operators.
  Scenario: An operator's patch may be larger than the bodies of callers
    Given a router process with its own interface whose callers may send 1024 bytes
    When an operator sends a patch of 5000 bytes
    Then the patch is applied
