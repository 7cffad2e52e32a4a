"""Chooses the server of a forwarded request.

Load pattern of engines: a few long prompts with large shared parts among many short ones. The
requests about one subject share most of their prompt, so they go to one server, found by
hashing the subject's part, unless that server is far busier than the others; reading a prompt
anew delays everything that runs there.

Load pattern of plain services: few slots and short calls from many routers that do not see each
other's calls. The less loaded of the servers near by is taken, and those far away when near ones
are busy.
"""

import dataclasses
import random

from laburnumpier_core.hashing import rank_by_rendezvous

from ..ports.dialect import PromptPart
from .servers import ServerLoad

LOAD_BOUND = 1.5
"""How far above the mean load the subject's own server may be, as a factor."""
SPARE_REQUESTS = 3
"""Requests above the mean that a server may hold in any case, so that a quiet fleet keeps
subjects together."""
UNHEALTHY_SHARE = 0.35
"""Share of failures from which others are preferred; a service's own errors, one call in seven,
stay below it."""
FAR_PENALTY = 0.25
"""Requests by which a server in another data centre counts as busier."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What a choice depends on.

    Attributes:
        parts: Parts of the prompt; empty for plain calls.
        data_centre: Where this router stands.
        exclude: Servers that were tried before.
    """

    parts: tuple[PromptPart, ...]
    data_centre: str
    exclude: frozenset[str] = frozenset()


def choose_server(
    servers: list[ServerLoad],
    request: PlacementRequest,
    now_seconds: float,
    source: random.Random,
) -> ServerLoad | None:
    """Returns the server for one request, or None when there is none.

    Args:
        servers: Servers of the service that may get new work.
        request: What the choice depends on.
        now_seconds: Monotonic time.
        source: Random numbers.
    """
    fresh = [server for server in servers if server.entry.server_id not in request.exclude]
    candidates = _prefer_healthy(fresh, now_seconds)
    if not candidates:
        return None
    subject = find_subject(request.parts)
    if subject:
        return _choose_by_subject(candidates, subject, now_seconds)
    return _choose_least_loaded(candidates, request.data_centre, now_seconds, source)


def find_subject(parts: tuple[PromptPart, ...]) -> str:
    """Returns the last shared part of a prompt, which requests on one subject have in common."""
    if not parts:
        return ""
    return parts[-2].part_id if len(parts) > 1 else parts[0].part_id


def _prefer_healthy(servers: list[ServerLoad], now_seconds: float) -> list[ServerLoad]:
    """Leaves out servers that fail or cannot be reached, as long as others are left."""
    reachable = [server for server in servers if now_seconds >= server.blocked_until_seconds]
    healthy = [server for server in reachable if server.failure_share < UNHEALTHY_SHARE]
    return healthy or reachable or servers


def _choose_by_subject(servers: list[ServerLoad], subject: str, now_seconds: float) -> ServerLoad:
    by_id = {server.entry.server_id: server for server in servers}
    loads = {name: server.estimate_load(now_seconds) for name, server in by_id.items()}
    bound = LOAD_BOUND * sum(loads.values()) / len(loads) + SPARE_REQUESTS
    for name in rank_by_rendezvous(subject, by_id):
        if loads[name] <= bound:
            return by_id[name]
    return by_id[min(loads, key=loads.__getitem__)]


def _choose_least_loaded(
    servers: list[ServerLoad], data_centre: str, now_seconds: float, source: random.Random
) -> ServerLoad:
    def score(server: ServerLoad) -> tuple[float, float]:
        far = FAR_PENALTY if server.entry.data_centre != data_centre else 0.0
        load = server.estimate_load(now_seconds) / max(1, server.entry.slots) * 4
        return (load + far, source.random())

    return min(servers, key=score)
