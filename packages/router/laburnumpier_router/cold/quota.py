"""How many requests a second each router that gives permits may allow a cold server.

Load answered: any number of routers that want to send to a cold server at once, connected or not.
The permits of a server come from two fixed VMs, each of which has half of the server's rate for
itself. Neither takes over the part of the other one, so no cut and no death can double the sum.
"""

import dataclasses

from laburnumpier_core.hashing import rank_by_rendezvous

GRANTORS_PER_SERVER = 2
"""VMs that give out the permits of a server. One that is gone leaves half of the rate."""
ARRIVAL_JITTER_SECONDS = 0.5
"""Time by which requests may reach a server later than their permits say, so that those of
1.5 s can arrive within a second. A permit is not used later than this."""
BURST_REQUESTS = 0.5
"""Requests by which a grantor may be ahead of an even spacing."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdBound:
    """What all routers together may send to a cold server in any one second.

    Attributes:
        overshoot: Factor of the rate that the service names.
        slack_requests: Requests that are allowed beside it.
    """

    overshoot: float
    slack_requests: float


def find_grantor_vms(server_id: str, vms: list[str]) -> list[str]:
    """Returns the VMs that give out the permits of a server.

    They follow from the names of the known VMs alone, whether their routers live or not, so that
    all routers that know the same VMs agree at all times.
    """
    return rank_by_rendezvous(f"cold/{server_id}", vms)[:GRANTORS_PER_SERVER]


def compute_grantor_rate(per_second: float, bound: ColdBound, grantors: int) -> float:
    """Returns the requests a second that one grantor of a server allows.

    A grantor allows at most `rate * 1.5 s + 0.5 + 1` requests that arrive within a second, and all
    of them no more than the bound. 0 where the bound has no room for that.

    Args:
        per_second: Rate that the cold server bears, from the service.
        bound: Bound of all routers together.
        grantors: Number of grantors of the server.
    """
    allowed = per_second * bound.overshoot + bound.slack_requests
    spare = allowed / grantors - BURST_REQUESTS - 1.0
    window_seconds = 1.0 + ARRIVAL_JITTER_SECONDS
    return max(0.0, min(per_second / grantors, spare / window_seconds))
