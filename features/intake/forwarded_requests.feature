Feature: Callers of forwarded requests that do not behave
  Guards against callers that together make a router process hold more than its VM has. The process
  lives, its memory and descriptors stay within those of the VM, and an ordinary request is
  answered while the callers still hold their connections.

  # Guards against bodies that are read into memory for callers that never send their last byte.
  Scenario Outline: Bodies that stop short of their end
    Given a router process on a VM with 88 MB of memory
    When 30 callers send <body> and stop before its end
    Then the router process runs
    And its memory was within 88 MB
    And an ordinary request is answered

    Examples:
      | body                                              |
      | a body of 4 MiB with a length                     |
      | a body of 4 MiB in chunks of 64 KiB               |
      | a body of 4 MiB in chunks of 1 KiB                |
      | a body of 4 MiB with a length and an unknown key  |

  # Guards against pieces that take many times the memory of the bytes that they hold.
  Scenario: Bodies in chunks of one byte that stop short of their end
    Given a router process on a VM with 88 MB of memory
    When 100 callers send a body of 33 kB in chunks of 1 byte and stop before its end
    Then the router process runs
    And its memory was within 88 MB
    And an ordinary request is answered

  # Guards against whole bodies that are kept while their servers are slow.
  Scenario: Bodies that wait at servers
    Given a router process on a VM with 88 MB of memory
    And the platform's server keeps the crowd's requests
    When 30 callers send a body of 4 MiB with a length
    Then the router process runs
    And its memory was within 88 MB
    And an ordinary request is answered

  # Guards against requests that are parsed ahead, or kept in sockets, while answers are not read.
  Scenario: Requests sent ahead
    Given a router process on a VM with 88 MB of memory
    When 100 callers send 200 requests of 10 kB ahead and read no answer
    Then the router process runs
    And its memory was within 88 MB
    And an ordinary request is answered

  # Guards against answers that are kept for callers that do not read them.
  Scenario: Large answers that are not read
    Given a router process on a VM with 88 MB of memory
    And the platform's server answers with 1 MiB
    When 40 callers send 40 requests of 1 kB ahead and read no answer
    Then the router process runs
    And its memory was within 88 MB
    And an ordinary request is answered

  # Guards against heads that are kept for callers that never end them.
  Scenario Outline: Heads without an end
    Given a router process on a VM with 88 MB of memory
    When 40 callers send <head> without an end
    Then the router process runs
    And its memory was within 88 MB
    And an ordinary request is answered

    Examples:
      | head                          |
      | a head of 100 lines of 32 kB  |
      | a head of 120 lines of 8 kB   |

  # Guards against connections that leave no descriptor for the store, servers and other routers.
  Scenario Outline: Connections without a whole request
    Given a router process on a VM with 88 MB of memory and 400 descriptors
    When 450 callers send <sent> and wait
    Then the router process runs
    And its open descriptors were at most 350
    And its memory was within 88 MB
    And an ordinary request is answered

    Examples:
      | sent        |
      | nothing     |
      | half a head |

  # Guards against callers that keep their connections by one whole request each.
  Scenario: Connections that are kept open behind an answer
    Given a router process on a VM with 88 MB of memory and 400 descriptors
    When 450 callers send a whole request and wait
    Then the router process runs
    And its open descriptors were at most 350
    And its memory was within 88 MB
    And an ordinary request is answered

  # Guards against limits of the configuration that nothing enforces.
  Scenario Outline: Callers that are slower than the configuration allows
    Given a router process whose configuration has a header timeout of 1 s and an idle timeout of 2 s
    When 20 callers send <sent> and wait
    Then the router closes their connections
    And the router process runs
    And an ordinary request is answered

    Examples:
      | sent            |
      | nothing         |
      | half a head     |
      | a whole request |

  # Guards against heads that are larger than the configuration allows.
  Scenario Outline: Heads that are larger than the configuration allows
    Given a router process whose configuration limits heads to 2048 bytes and bodies to 65536 bytes
    When a lone caller sends a request with <what>
    Then the lone caller gets <status> with the result code <code>
    And an ordinary request is answered

    Examples:
      | what                      | status | code |
      | a head of 4000 bytes      | 431    | 2013 |
      | a body of 65537 bytes     | 413    | 2005 |
      | a body of 65536 bytes     | 200    | none |

  # Guards against a refusal of a head that is taken for the answer to the request before it.
  Scenario: A head that is too large behind a request
    Given a router process on a VM with 88 MB of memory
    When a lone caller sends a whole request and a head of 40000 bytes behind it
    Then the lone caller gets 200
    And the lone caller gets one answer

  # Guards against limits that stay as they were for callers who keep their connections.
  Scenario: A limit that changes holds for connections that are open
    Given a router process whose configuration limits heads to 2048 bytes and bodies to 65536 bytes
    When a caller with an open connection sends 2000 bytes after the limit of bodies became 1000 bytes
    Then that caller gets 413
    And an ordinary request is answered

  # Guards against limits that refuse what callers may send, on the smallest VM in calm.
  Scenario Outline: A request of the largest size is served on the smallest VM
    Given a router process on a VM with 88 MB of memory
    When a lone caller sends <body> to its end
    Then the lone caller gets 200
    And the server has received that body
    And its memory was within 88 MB

    Examples:
      | body                                |
      | a body of 4 MiB with a length       |
      | a body of 4 MiB in chunks of 64 KiB |
      | a body of 4 MiB in chunks of 1 KiB  |
      | a body of 1 MiB in chunks of 1 byte |

  # Guards against an account that counts a request and its answer more often than they are held.
  Scenario: A request and an answer of the largest size on the smallest VM
    Given a router process on a VM with 88 MB of memory
    And the platform's server answers with 4 MiB
    When a lone caller sends a body of 4 MiB with a length to its end
    Then the lone caller gets 200
    And its memory was within 88 MB
    And an ordinary request is answered

  # Guards against small requests that are refused once large ones have used up the memory.
  Scenario: Small requests beside large bodies that wait at servers
    Given a router process on a VM with 88 MB of memory
    And the platform's server keeps the crowd's large requests
    When 30 callers send a body of 4 MiB with a length
    Then an ordinary request is answered
    And the router process runs
    And its memory was within 88 MB

  # Guards against a refusal that is lost with the connection, and against the rest of a refused
  # body that is taken for a request.
  Scenario: Refusals of large bodies reach their callers
    Given a router process on a VM with 88 MB of memory
    And the platform's server keeps the crowd's requests
    When 30 callers send bodies of 4 MiB that are full of requests
    Then each caller whose body did not reach the server gets 503 with the result code 4009
    And servers received no request that no caller sent
    And its memory was within 88 MB
