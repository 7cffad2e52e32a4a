"""Chooses the server of a forwarded request by the expected time to its first event.

Weighs, for each server, what it holds of the prompt against the wait there and against what the
request costs others. Feeds on what this router observes of its own sends only; no requests are
sent to learn something, and nothing is stored.
"""

import collections
import random
from collections.abc import Callable
from typing import Any

from laburnumpier_core.clock import Clock
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..forward.placement import REMOTE_PENALTY_REQUESTS, get_affinity_key
from ..forward.servers import ServerLoad
from ..ports.server_registry import RegisteredServer
from .observation import SendObserver
from .request_estimate import (
    HOMES,
    EstimateBasis,
    EstimateRequest,
    RequestEstimate,
    add_side_costs,
    credit_home,
    estimate_request,
)
from .send_observation import SendObservation
from .server_estimate import SLOW_FACTOR, PendingSend, ServerEstimate
from .service_speed import ServiceSpeed

MAX_SERVERS = 1024
"""Server processes whose estimates are kept; the least recently chosen are forgotten first."""
MAX_SERVICES = 256
MAX_HOMES = 4096
"""Prompts whose preferred servers are kept; they are found again when all are forgotten."""
HOMES_KEPT_SECONDS = 5.0
"""Time for which they are kept, so that all routers agree again soon after a server has joined, or
has been passed over for a while."""
NEAR_EQUAL_SHARE = 0.05
"""Costs up to this share above the least one are near equal. Routers that have read the same
report spread over such servers."""
REFINED_CHOICES = 6
"""Servers of the least time to the first event whose side costs are weighed; the walk through
their caches takes longer than the other estimates."""
RECOVERED_FACTOR = 1.5
"""Slowness below which a slow server is no longer called so."""

_log = get_part_logger("estimates")


class EstimatePlacement:
    """The estimates of all servers, and the choice by them."""

    __slots__ = (
        "_clock",
        "_count_routers",
        "_data_centre",
        "_estimates",
        "_find_cache_tokens",
        "_homes",
        "_homes_until_seconds",
        "_metrics",
        "_random",
        "_services",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        find_cache_tokens: Callable[[str], int],
        count_routers: Callable[[], int],
        data_centre: str = "",
    ):
        """Creates it without any observation.

        Args:
            clock: Source of time.
            metrics: Counters and a gauge.
            random_source: Selects among near equals.
            find_cache_tokens: Returns the cache size of a service's engines; 0 if unknown.
            count_routers: Returns the number of routers that share the servers.
            data_centre: Data centre of this router.
        """
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._find_cache_tokens = find_cache_tokens
        self._count_routers = count_routers
        self._data_centre = data_centre
        self._estimates: collections.OrderedDict[str, ServerEstimate] = collections.OrderedDict()
        self._homes_until_seconds = float("-inf")
        self._homes: dict[str, list[str]] = {}
        self._services: dict[str, ServiceSpeed] = {}

    def choose(self, servers: list[ServerLoad], request: EstimateRequest) -> ServerLoad | None:
        """Returns the server with the least cost; None if there is none.

        Of near equals, two are drawn at random and the one with fewer requests is chosen; a
        server in another data centre counts as slightly busier.

        Args:
            servers: Servers of one service that may get the request.
            request: Properties of the request.
        """
        ranked = self.rank(servers, request)
        if not ranked:
            return None
        max_cost = ranked[0].cost_seconds * (1.0 + NEAR_EQUAL_SHARE)
        equals = [found for found in ranked if found.cost_seconds <= max_cost]
        if len(equals) > 2:
            equals = self._random.sample(equals, 2)
        return min(equals, key=self._get_busyness).server

    def rank(self, servers: list[ServerLoad], request: EstimateRequest) -> list[RequestEstimate]:
        """Returns the estimates of the servers that come into question, the least cost first."""
        if not servers:
            return []
        basis = self._make_basis(servers[0].entry.service, request)
        get_estimate = self._get_estimate
        found = [estimate_request(server, get_estimate(server.entry), basis) for server in servers]
        for estimate in found:
            if (estimate.slowness > SLOW_FACTOR) is not estimate.estimate.is_slow:
                self._note_slowness(estimate)
        if not request.prompt_parts:
            return sorted(found, key=_get_cost)
        router_count = self._count_routers()
        for rank, home in enumerate(self._find_homes(found, request)):
            credit_home(home, basis, rank, router_count)
        found.sort(key=_get_cost)
        refined = found[:REFINED_CHOICES]
        for estimate in refined:
            add_side_costs(estimate, basis)
        refined.sort(key=_get_cost)
        return refined

    def begin(self, server: ServerLoad, request: EstimateRequest) -> SendObserver:
        """Starts to observe a request that is sent to a server now.

        Args:
            server: The server; its load does not count the request yet.
            request: Properties of the request.
        """
        basis = self._make_basis(server.entry.service, request)
        service, now = basis.service, basis.now_seconds
        estimate = self._get_estimate(server.entry)
        self._estimates.move_to_end(server.entry.server_id)
        found = estimate_request(server, estimate, basis)
        service.first_sent_seconds = min(service.first_sent_seconds, now)
        service.note_gap_target(request.target_gap_seconds)
        service.new_tokens.add(found.read_tokens + request.max_output_tokens)
        service.request_tokens.add(request.prompt_tokens + request.max_output_tokens)
        self._bound_cache(found, service)
        self._count(found)
        return SendObservation(
            server=server,
            estimate=estimate,
            service=service,
            pending=PendingSend(
                sent_seconds=now,
                usual_seconds=found.usual_seconds,
                is_measured=service.first_event.is_learnt,
                tokens=found.read_tokens,
                ahead_tokens=estimate.pending_tokens + found.read_tokens,
            ),
            load=found.load,
            prompt_parts=request.prompt_parts,
            urgency=request.urgency,
            reason=_describe_choice(found),
            clock=self._clock,
        )

    def explain(self, servers: list[ServerLoad], request: EstimateRequest) -> list[dict[str, Any]]:
        """Returns what the request would meet at each server, the least cost first."""
        return [
            {
                "server": found.server.entry.server_id,
                "cost_ms": round(found.cost_seconds * 1000, 1),
                "first_event_ms": round(found.first_event_seconds * 1000, 1),
                "held": found.held_tokens,
                "read": found.read_tokens,
                "load": round(found.load, 1),
                "work": round(found.work_factor, 2),
            }
            for found in self.rank(servers, request)
        ]

    def describe(self) -> dict[str, Any]:
        """Returns what is known of each service and server, for the state dump."""
        now = self._clock.monotonic_seconds()
        services = {
            name: {
                "base_ms": round(speed.first_event.base_seconds * 1000, 2),
                "token_us": round(speed.first_event.seconds_per_token * 1e6, 2),
                "request_ms": round(speed.first_event.seconds_per_request * 1000, 2),
                "run_ms": round(speed.run_seconds.value * 1000, 1),
                "pause_ms": round(speed.pause_seconds.value * 1000, 1),
            }
            for name, speed in self._services.items()
        }
        servers = {
            server_id: {
                "slowness": round(estimate.estimate_slowness(0.0, now), 2),
                "work": round(estimate.estimate_work(now), 2),
                "share": round(estimate.own_share.value, 3),
                "held_tokens": estimate.held.total_tokens,
                "held_parts": estimate.held.part_count,
                "pending": len(estimate.pending),
                "pending_tokens": estimate.pending_tokens,
            }
            for server_id, estimate in self._estimates.items()
        }
        return {"services": services, "servers": servers}

    def _make_basis(self, service: str, request: EstimateRequest) -> EstimateBasis:
        return EstimateBasis(
            request=request,
            service=self._get_service(service),
            cache_tokens=self._find_cache_tokens(service),
            now_seconds=self._clock.monotonic_seconds(),
        )

    def _find_homes(
        self, found: list[RequestEstimate], request: EstimateRequest
    ) -> list[RequestEstimate]:
        """Returns the estimates of the servers that all routers prefer for a prompt's parts."""
        key = get_affinity_key(request.prompt_parts)
        by_id = {estimate.server.entry.server_id: estimate for estimate in found}
        now = self._clock.monotonic_seconds()
        if now >= self._homes_until_seconds or len(self._homes) >= MAX_HOMES:
            self._homes.clear()
            self._homes_until_seconds = now + HOMES_KEPT_SECONDS
        homes = self._homes.get(key)
        if homes is None or any(home not in by_id for home in homes):
            homes = rank_by_rendezvous(key, by_id)[:HOMES]
            self._homes.setdefault(key, homes)
        return [by_id[home] for home in homes]

    def _get_busyness(self, found: RequestEstimate) -> tuple[float, float]:
        """Returns the order of near equals: by requests for each slot, remote servers later."""
        entry = found.server.entry
        is_remote = entry.data_centre != self._data_centre
        penalty = REMOTE_PENALTY_REQUESTS / 4 if is_remote else 0.0
        return (found.load / max(1, entry.slots) + penalty, self._random.random())

    def _get_service(self, name: str) -> ServiceSpeed:
        speed = self._services.get(name)
        if speed is None:
            if len(self._services) >= MAX_SERVICES:
                self._services.pop(next(iter(self._services)))
            speed = self._services[name] = ServiceSpeed()
        return speed

    def _get_estimate(self, entry: RegisteredServer) -> ServerEstimate:
        """Returns the estimate of a server process; a new start has nothing of the last one."""
        estimate = self._estimates.get(entry.server_id)
        if estimate is not None and estimate.started_ms == entry.started_ms:
            return estimate
        if estimate is not None:
            self._metrics.count("estimates.forgotten")
            _log.info("server estimate forgotten", fields={"server": entry.server_id})
        elif len(self._estimates) >= MAX_SERVERS:
            self._estimates.popitem(last=False)
        estimate = self._estimates[entry.server_id] = ServerEstimate(started_ms=entry.started_ms)
        return estimate

    def _bound_cache(self, found: RequestEstimate, service: ServiceSpeed) -> None:
        """Bounds what the server is assumed to hold by its memory and the traffic of all routers.

        This router's prompts get its share of the memory, by the share of the requests there that
        are its own. A part that was not used while the traffic filled the memory once is gone.
        """
        cache_tokens = self._find_cache_tokens(found.server.entry.service)
        if not cache_tokens:
            return
        least_share = 1.0 / max(1, self._count_routers())
        share = max(least_share, found.estimate.own_share.value)
        run_seconds = service.run_seconds.value
        tokens_per_second = 0.0
        if run_seconds:
            tokens_per_second = (found.load + 1.0) * service.new_tokens.value / run_seconds
        kept_seconds = cache_tokens / tokens_per_second if tokens_per_second else float("inf")
        found.estimate.held.set_limits(
            capacity_tokens=round(cache_tokens * share), kept_seconds=kept_seconds
        )

    def _note_slowness(self, found: RequestEstimate) -> None:
        """Logs when a server begins or ceases to be slow in the eyes of this router."""
        estimate, fields = found.estimate, {"server": found.server.entry.server_id}
        if found.slowness > SLOW_FACTOR:
            _log.info(
                "server slower than usual",
                fields={**fields, "slowness": round(found.slowness, 1), "load": found.load},
            )
        elif found.slowness < RECOVERED_FACTOR:
            _log.info("server no longer slow", fields=fields)
        else:
            return
        estimate.is_slow = found.slowness > SLOW_FACTOR
        slow_count = sum(known.is_slow for known in self._estimates.values())
        self._metrics.set_gauge("estimates.slow_servers", slow_count)

    def _count(self, found: RequestEstimate) -> None:
        self._metrics.count("estimates.sends")
        if found.held_tokens:
            self._metrics.count("estimates.held_tokens", found.held_tokens)
        if found.read_tokens:
            self._metrics.count("estimates.read_tokens", found.read_tokens)


def _get_cost(found: RequestEstimate) -> float:
    return found.cost_seconds


def _describe_choice(found: RequestEstimate) -> str:
    """Returns the estimate of a send in short: `212ms read=2890 held=6300 load=5 work=1.0`."""
    parts = [f"{found.first_event_seconds * 1000:.0f}ms"]
    if found.read_tokens or found.held_tokens:
        parts.append(f"read={found.read_tokens} held={found.held_tokens}")
    parts.append(f"load={found.load:.0f} work={found.work_factor:.1f}")
    return " ".join(parts)
