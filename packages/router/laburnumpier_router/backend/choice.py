"""Load-balancing policies: select the backend server for a request.

Policies are selected by name, so that the simple ones remain available as baselines. The
default policy estimates the time to first token at each server, from the runs in flight
relative to the concurrency limit and from the measured speed of the server, and subtracts the
time that a cached prompt prefix saves. Load data is stale, so the policy compares a few random
candidates and the server preferred for the prefix rather than all servers; otherwise routers
with the same data would all choose the same server.
"""

import dataclasses
import random

from laburnumpier_core.hashing import rank_by_rendezvous

from .server_state import ServerState

CACHED_PREFIX_SAVING_SHARE = 0.5
PREFIX_SERVER_MAX_RELATIVE_LOAD = 1.25
CANDIDATE_COUNT = 4
RUN_TIME_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RandomChoice:
    """Selects uniformly at random."""


@dataclasses.dataclass(slots=True, kw_only=True)
class RoundRobin:
    """Selects the servers in turn."""

    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeastOutstanding:
    """Selects the server with the fewest in-flight runs of this process; ties are random."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TwoChoices:
    """Selects the less loaded of two random servers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedWait:
    """Selects the shortest expected wait, less the prefix cache saving; the default."""


ChoicePolicy = RandomChoice | RoundRobin | LeastOutstanding | TwoChoices | ExpectedWait


def make_policy(name: str) -> ChoicePolicy:
    """Creates a policy from its name in the settings.

    Raises:
        ValueError: If the name is unknown.
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
    policy: ChoicePolicy,
    servers: list[ServerState],
    prefix_hash: str,
    random_source: random.Random,
) -> ServerState:
    """Selects the server for one request.

    Args:
        policy: Load-balancing policy.
        servers: Eligible servers; must not be empty.
        prefix_hash: Hash of the start of the prompt; empty if there is none.
        random_source: Random number generator.

    Returns:
        The selected server.
    """
    match policy:
        case RandomChoice():
            return random_source.choice(servers)
        case RoundRobin():
            policy.position += 1
            return servers[policy.position % len(servers)]
        case LeastOutstanding():
            return min(servers, key=lambda server: (server.in_flight, random_source.random()))
        case TwoChoices():
            pair = random_source.sample(servers, min(2, len(servers)))
            return min(pair, key=lambda server: server.outstanding)
        case ExpectedWait():
            return _choose_by_expected_wait(servers, prefix_hash, random_source)


def estimate_first_token_seconds(server: ServerState) -> float:
    """Estimates the time to first token of a request sent to a server now.

    The adaptive concurrency limit is this process's share of the server, so the ratio of runs
    in flight to the limit gives the utilization without a load report.
    """
    utilization = (server.in_flight + 1) / server.concurrency_limit
    first_token_seconds = server.first_token_seconds * (1.0 + utilization)
    return first_token_seconds + server.run_seconds * utilization * RUN_TIME_WEIGHT


def _choose_by_expected_wait(
    servers: list[ServerState], prefix_hash: str, random_source: random.Random
) -> ServerState:
    candidates = random_source.sample(servers, min(CANDIDATE_COUNT, len(servers)))
    preferred = _find_prefix_server(servers, prefix_hash)
    if preferred is not None and preferred not in candidates:
        candidates.append(preferred)

    def estimate_cost_seconds(server: ServerState) -> float:
        cost_seconds = estimate_first_token_seconds(server)
        if server is preferred:
            cost_seconds -= CACHED_PREFIX_SAVING_SHARE * server.best_first_token_seconds
        return cost_seconds

    return min(candidates, key=estimate_cost_seconds)


def _find_prefix_server(servers: list[ServerState], prefix_hash: str) -> ServerState | None:
    """Returns the first server in rendezvous order for the prefix whose load is within the bound.

    The bound is relative to the average load, as in consistent hashing with bounded loads.
    """
    if not prefix_hash:
        return None
    by_name = {server.name: server for server in servers}
    total_load = sum(server.outstanding for server in servers) + 1
    total_capacity = sum(server.capacity for server in servers)
    for name in rank_by_rendezvous(prefix_hash, by_name):
        server = by_name[name]
        max_load = PREFIX_SERVER_MAX_RELATIVE_LOAD * total_load * server.capacity / total_capacity
        if server.outstanding <= max(1.0, max_load):
            return server
    return None
