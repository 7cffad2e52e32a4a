"""Chooses the server of a forwarded request.

Engines receive a few long prompts with large shared parts among many short ones. Requests with the
same prompt prefix go to one server, by rendezvous hashing of the last shared part with bounded
loads: a server that is far busier than the others is passed over. Processing a prompt that is not
in a server's cache delays all requests that run there.

Servers of plain services have few slots and receive short calls from many routers that do not see
each other's calls. The least loaded server is chosen; servers in other data centres are used when
the local ones are busy.
"""

import dataclasses
import random

from laburnumpier_core.hashing import rank_by_rendezvous

from ..ports.dialect import PromptPart
from .servers import ServerLoad

MAX_LOAD_FACTOR = 1.5
"""Load up to which the preferred server of a prompt prefix is used, as a factor of the mean."""
LOAD_SLACK_REQUESTS = 3
"""Requests allowed above that bound, so that requests with one prompt prefix stay together at low
load."""
UNHEALTHY_FAILURE_SHARE = 0.35
"""Failure share from which other servers are preferred; a service whose own errors affect one call
in seven stays below it."""
REMOTE_PENALTY_REQUESTS = 0.25
"""Load added to a server in another data centre, in requests per four slots."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """Properties of a request that affect its placement.

    Attributes:
        prompt_parts: Parts of the prompt; empty for plain calls.
        data_centre: Data centre of this router.
        exclude: Ids of servers that are not chosen, because they were tried before.
    """

    prompt_parts: tuple[PromptPart, ...]
    data_centre: str
    exclude: frozenset[str] = frozenset()


def choose_server(
    servers: list[ServerLoad],
    request: PlacementRequest,
    now_seconds: float,
    random_source: random.Random,
) -> ServerLoad | None:
    """Returns the server for a request, or None if no server is left.

    Args:
        servers: Servers of the service that accept new requests.
        request: Properties of the request.
        now_seconds: Current monotonic time.
        random_source: Breaks ties.
    """
    untried = [server for server in servers if server.entry.server_id not in request.exclude]
    candidates = prefer_healthy(untried, now_seconds)
    if not candidates:
        return None
    affinity_key = get_affinity_key(request.prompt_parts)
    if affinity_key:
        return _choose_by_affinity(candidates, affinity_key, now_seconds)
    return _choose_least_loaded(candidates, request.data_centre, now_seconds, random_source)


def prefer_certain_versions(
    servers: list[ServerLoad], request: PlacementRequest, now_seconds: float
) -> list[ServerLoad]:
    """Removes servers that may have started again at another version, unless no others are left.

    A registry entry lags behind its server, so a stream that goes on could meet a version that the
    entry does not show yet.

    Args:
        servers: Servers whose entries have the version at which a stream goes on.
        request: Properties of the request; servers that were tried before are not left.
        now_seconds: Current monotonic time.
    """
    certain = [
        server
        for server in servers
        if now_seconds >= server.restart_suspected_until_seconds
        and server.entry.server_id not in request.exclude
    ]
    return certain or servers


def get_affinity_key(parts: tuple[PromptPart, ...]) -> str:
    """Returns the id of the last shared part of a prompt; empty if there is no prompt.

    The last part of a prompt is not shared, unless it is the only one.
    """
    if not parts:
        return ""
    return parts[-2].part_id if len(parts) > 1 else parts[0].part_id


def prefer_healthy(servers: list[ServerLoad], now_seconds: float) -> list[ServerLoad]:
    """Removes failing and unreachable servers, unless no others are left."""
    reachable = [server for server in servers if now_seconds >= server.backoff_until_seconds]
    healthy = [server for server in reachable if server.failure_share < UNHEALTHY_FAILURE_SHARE]
    return healthy or reachable or servers


def _choose_by_affinity(
    servers: list[ServerLoad], affinity_key: str, now_seconds: float
) -> ServerLoad:
    by_id = {server.entry.server_id: server for server in servers}
    loads = {server_id: server.estimate_load(now_seconds) for server_id, server in by_id.items()}
    max_load = MAX_LOAD_FACTOR * sum(loads.values()) / len(loads) + LOAD_SLACK_REQUESTS
    for server_id in rank_by_rendezvous(affinity_key, by_id):
        if loads[server_id] <= max_load:
            return by_id[server_id]
    return by_id[min(loads, key=loads.__getitem__)]


def _choose_least_loaded(
    servers: list[ServerLoad], data_centre: str, now_seconds: float, random_source: random.Random
) -> ServerLoad:
    def score(server: ServerLoad) -> tuple[float, float]:
        penalty = REMOTE_PENALTY_REQUESTS if server.entry.data_centre != data_centre else 0.0
        load = server.estimate_load(now_seconds) / max(1, server.entry.slots) * 4
        return (load + penalty, random_source.random())

    return min(servers, key=score)
