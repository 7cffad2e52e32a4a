Feature: Router processes keep their guarantees under external faults
  Guards against answers that are lost at a stop, requests that run twice or after they were reported as not executed,
  wrong responses and overspent budgets. Routers are killed, stopped, paused and reloaded, also several at once and in
  series, while the store and its connections fail and the configuration and servers change. Streams outlive the
  stops, and callers use their open connections until the process is gone. These are short runs; `make soak` performs
  longer ones with new seeds.

  # Guards against answers that look complete though their server broke them off, in the seeds with framings, and
  # against routers on which an older configuration is in force, in the seed with configurations, and against
  # servers that crash one after the other on the same part of prompts, in the seed with parts, or on the same
  # call, and servers that get more than the limits that they name, in the seed with requests and limits, and against
  # routers that end or learn of no server because of an entry of another writer, in the seed with entries.
  Scenario Outline: A soak with a fixed seed
    When a soak of <routers> routers with seed <seed> and <mixes> runs for <seconds> seconds
    Then callers were served and no guarantee was violated

    Examples:
      | routers | seed | seconds | mixes            |
      | 3       | 200  | 15      | no mixes         |
      | 4       | 300  | 20      | no mixes         |
      | 6       | 301  | 15      | no mixes         |
      | 4       | 302  | 15      | framing, endless |
      | 5       | 8200 | 20      | configuration    |
      | 5       | 8400 | 15      | parts            |
      | 4       | 3400 | 15      | requests, limits |
      | 4       | 4800 | 15      | entries          |

  # Guards against routers that do not start because an outgoing connection has taken their port.
  Scenario: Routers listen on ports that no outgoing connection can take
    When the ports of 60 routers are chosen
    Then they are all different and outside the range of outgoing connections

  # Guards against fleets of two runs that share a port, so that callers of one reach a router of the other.
  Scenario: Processes on one machine choose different ports
    When 6 processes choose the ports of 100 routers each
    Then they are all different and outside the range of outgoing connections
