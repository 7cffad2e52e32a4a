Feature: Finding out whether a router is cut off from servers
  A router is cut off when new connections to several servers failed within the last 2 seconds, none
  succeeded, and another router reaches servers.

  Scenario Outline: The belief follows from outcomes and reports
    Given a router with <usable> usable servers
    When these things happen: <events>
    Then at <at> s it believes <belief>

    Examples: No contact
      | usable | events                                                          | at  | belief   |
      | 4      | 1 fails a; 1.2 fails b; 1.2 peer p1 100                         | 1.3 | cut_off  |
      | 1      | 1 fails a; 1.05 peer p1 10                                      | 1.1 | cut_off  |
      | 4      | 1 peer p1 100; 1 fails a; 1.2 fails b                           | 1.3 | all_fail |
      | 4      | 1 fails a; 1.2 fails b                                          | 1.3 | all_fail |
      | 4      | 1 peer p1 failing; 1 fails a; 1.2 fails b                       | 1.3 | all_fail |
      | 4      | 1 fails a; 1.1 fails b; 1.1 peer p1 0; 1.2 peer p1 failing      | 1.3 | all_fail |
      | 4      | 1 fails a; 1.2 fails b; 1.2 peer p9 100                         | 1.3 | all_fail |
      | 4      | 1 peer p1 2900; 1 fails a; 1.3 fails b                          | 1.3 | all_fail |
      | 4      | 1 fails a; 1.2 fails b; 1.3 judges; 1.4 peer p2 50              | 1.5 | cut_off  |
      | 4      | 1 fails a; 1.2 fails b; 1.2 peer p1 0; 1.3 judges               | 4.3 | all_fail |
      | 4      | 1 fails a; 1.2 fails b; 1.2 peer p1 0; 1.3 judges; 4 peer p1 9  | 4.1 | cut_off  |

    # A single dead server, an old failure, and an answer on a newer connection are no cut.
    Examples: Contact
      | usable | events                                                          | at  | belief   |
      | 4      | 1 fails a; 1.1 fails a; 1.2 fails a; 1.2 peer p1 10             | 1.3 | reached  |
      | 4      | 1 fails a; 3.5 fails b; 3.5 peer p1 10                          | 3.6 | reached  |
      | 4      | 1 fails a; 1.2 answers; 1.3 fails b; 1.3 peer p1 10             | 1.4 | reached  |
      | 4      | 1 answers; 1.2 fails a 0.9; 1.3 fails b 0.8; 1.3 peer p1 10     | 1.4 | reached  |
      | 4      | 1 fails a; 1.2 fails b; 1.2 peer p1 10; 1.3 judges; 2 answers   | 2.1 | reached  |

    # An answer on a connection that was opened before the cut is no evidence.
    Examples: Open connections that live on
      | usable | events                                                          | at  | belief   |
      | 4      | 1 fails a; 1.2 fails b; 1.2 peer p1 10; 1.3 answers 0.5         | 1.4 | cut_off  |
      | 4      | 1 fails a; 1.2 fails b; 1.3 judges; 2 answers 0.5; 2 peer p1 9  | 2.1 | cut_off  |

  # Guards against detours to other data centres, and against few routers that get the requests of
  # a whole data centre.
  Scenario Outline: Which router is asked first
    Given a router with 4 usable servers
    When these things happen: <events>
    Then at 2 s it asks <first> first, of <live>, where <near> are near

    Examples:
      | events                                                               | first    | live        | near     |
      | 1.5 peer a 100; 1.5 peer b 100                                       | a        | a b         | a        |
      | 1.5 peer a 100; 1.5 peer b 100                                       | a or b   | a b         | -        |
      | 1.5 peer a 900; 1.5 peer b 100                                       | b        | a b         | a        |
      | 1.5 peer b 100                                                       | b        | a b         | a        |
      | 1.5 peer a 9; 1.5 peer b 9; 1 peer c failing; 1 peer d failing       | a or b   | a b c d     | a c d    |
      | 1.5 peer a 9; 1.5 peer b 9; 1 peer c failing                         | a        | a b c       | a c      |
