"""Chooses among eligible servers.

The policies are plain data and chosen by name, so that the simple ones stay runnable as
baselines. The default estimates how long a request would wait at each server, from lagging
reports corrected by what was sent since, weighted by each server's measured speed, and
subtracts what a cached prompt prefix would save. Because views are stale, it compares two
random candidates and the prefix's own server instead of all, so that routers with the same
view do not all run to the same server.
"""

import dataclasses
import random

from laburnumpier_core.hashing import rank_by_rendezvous

from .server_state import ServerState

PREFIX_SAVING_SHARE = 0.5
PREFIX_LOAD_BOUND = 1.25
CANDIDATES = 4
BUSY_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RandomChoice:
    """Any server, all alike."""


@dataclasses.dataclass(slots=True, kw_only=True)
class RoundRobin:
    """One server after another."""

    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeastOutstanding:
    """The server with the fewest runs of this process."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TwoChoices:
    """The less loaded of two random servers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedWait:
    """The smallest expected wait less the expected prefix saving; the default."""


ChoicePolicy = RandomChoice | RoundRobin | LeastOutstanding | TwoChoices | ExpectedWait


def make_policy(name: str) -> ChoicePolicy:
    """Returns a new policy by its name in the settings.

    Raises:
        ValueError: If there is no such policy.
    """
    policies = {
        "random": RandomChoice,
        "round_robin": RoundRobin,
        "least_outstanding": LeastOutstanding,
        "two_choices": TwoChoices,
        "expected_wait": ExpectedWait,
    }
    if name not in policies:
        raise ValueError(name)
    return policies[name]()


def choose_server(
    policy: ChoicePolicy, servers: list[ServerState], prefix: str, source: random.Random
) -> ServerState:
    """Chooses the server for one request.

    Args:
        policy: How to choose.
        servers: Eligible servers, at least one.
        prefix: Hash of the prompt's first part; empty when it has none.
        source: Random numbers.

    Returns:
        One of the servers.
    """
    match policy:
        case RandomChoice():
            return source.choice(servers)
        case RoundRobin():
            policy.position += 1
            return servers[policy.position % len(servers)]
        case LeastOutstanding():
            return min(servers, key=lambda server: (server.in_flight, source.random()))
        case TwoChoices():
            pair = source.sample(servers, min(2, len(servers)))
            return min(pair, key=lambda server: server.outstanding)
        case ExpectedWait():
            return _choose_by_expected_wait(servers, prefix, source)


def estimate_wait_seconds(server: ServerState) -> float:
    """Returns the expected time to the first token of a request sent to a server now.

    The adaptive limit is this process's share of the server, so runs in flight against the
    limit tell how busy it is without any report.
    """
    busy = (server.in_flight + 1) / server.concurrency_limit
    return server.first_token_seconds * (1.0 + busy) + server.run_seconds * busy * BUSY_WEIGHT


def _choose_by_expected_wait(
    servers: list[ServerState], prefix: str, source: random.Random
) -> ServerState:
    candidates = source.sample(servers, min(CANDIDATES, len(servers)))
    preferred = _find_prefix_server(servers, prefix)
    if preferred is not None and preferred not in candidates:
        candidates.append(preferred)

    def score(server: ServerState) -> float:
        wait = estimate_wait_seconds(server)
        if server is preferred:
            wait -= PREFIX_SAVING_SHARE * server.best_first_token_seconds
        return wait

    return min(candidates, key=score)


def _find_prefix_server(servers: list[ServerState], prefix: str) -> ServerState | None:
    """Returns the first server in the prefix's order whose load is within the bound."""
    if not prefix:
        return None
    by_name = {server.name: server for server in servers}
    total_load = sum(server.outstanding for server in servers) + 1
    total_capacity = sum(server.capacity for server in servers)
    for name in rank_by_rendezvous(prefix, by_name):
        server = by_name[name]
        bound = PREFIX_LOAD_BOUND * total_load * server.capacity / total_capacity
        if server.outstanding <= max(1.0, bound):
            return server
    return None
