Feature: Placement by estimates under load, compared with placement by affinity
  Guards against late first events where waiting is the loss, and against prompts that are read again
  because requests leave the servers that hold them. Both placements are played through the same
  loads in a deterministic model of engines, three seeds each.

  Scenario Outline: Placement by estimates is not worse than by affinity in any load
    When the load "<load>" is played with both placements
    Then estimates have at least the share of first events within the target
    And estimates have no more tokens read again

    Examples:
      | load                                |
      | one hot prompt                      |
      | many long prompts beside short ones |
      | long prompts beyond the memory      |
      | engines of unequal speed            |
      | a stale report                      |
      | a server that slows down fourfold   |
      | a plain service with a slow server  |

  Scenario: Placement by estimates is not later than by affinity at two routers with the same reports
    When the load "two routers with the same reports" is played with both placements
    Then estimates have at least the share of first events within the target

  Scenario: Placement by estimates has no more tokens read again at two routers with the same reports
    When the load "two routers with the same reports" is played with both placements
    Then estimates have no more tokens read again

  Scenario Outline: Placement by estimates is better than by affinity where waiting is the loss
    When the load "<load>" is played with both placements
    Then estimates have a larger share of first events within the target

    Examples:
      | load                                |
      | one hot prompt                      |
      | many long prompts beside short ones |
      | engines of unequal speed            |
      | a server that slows down fourfold   |
      | a plain service with a slow server  |

  Scenario: A server that slows down fourfold stops attracting work within a second, and is tried sparingly
    When the load "a server that slows down fourfold" is played with estimates
    Then from 1 second after the slowdown it gets at most 1 request in 20
