"""The estimate of the time to the first event of one request at one server, and of its cost."""

import dataclasses
import math

from ..forward.servers import ServerLoad
from ..ports.dialect import PromptPart
from .server_estimate import ServerEstimate
from .service_speed import MIN_ANSWER_SECONDS, ServiceSpeed

READ_COST_WEIGHT = 6.0
"""Cost to others of a second of reading, in seconds to the first event: it delays the requests
that come after it and all streams beside it. In the model of engines, lower weights had long
prompts read at more servers than affinity does."""
HOMES = 2
"""Servers that all routers prefer for a prompt, the second one when the first is busy."""
EVICTION_WEIGHT = 0.5
"""Share of the evicted parts in repeated use that are expected to be read again."""
PAUSE_COST_WEIGHT = 0.5
"""Cost of a second by which a stream's pause passes its target, in seconds to the first event."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EstimateRequest:
    """Properties of a request that its estimates depend on.

    Attributes:
        prompt_parts: Parts of the prompt; empty for plain calls.
        prompt_tokens: Tokens of the whole prompt.
        max_output_tokens: Upper limit of tokens in the response.
        urgency: From 0, the most urgent, to 9.
        target_gap_seconds: Target for pauses between events; 0 if there is none.
    """

    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    urgency: int = 5
    target_gap_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class RequestEstimate:
    """What a request would meet at one server.

    Created for each server of each choice; its fields are positional because that is faster.

    Attributes:
        server: The server.
        estimate: What is known of it.
        held_tokens: Tokens of the prompt that the server is assumed to hold.
        read_tokens: Tokens of the prompt that it has to read.
        load: Other requests expected there.
        usual_seconds: Time to the first event if its work took as long as usual.
        slowness: How much longer work took there lately, as a multiple of what is usual.
        work_factor: How long work takes there now, also by the server's own word.
        first_event_seconds: Expected time to the first event.
        cost_seconds: That time, and what the choice costs other requests.
    """

    server: ServerLoad
    estimate: ServerEstimate
    held_tokens: int
    read_tokens: int
    load: float
    usual_seconds: float
    slowness: float
    work_factor: float
    first_event_seconds: float
    cost_seconds: float


class EstimateBasis:
    """What the estimates of one request have in common at all servers of a service.

    Read once for each choice, because a choice estimates up to 70 servers on half a core.

    Attributes:
        request: The request.
        service: What is known of the service.
        now_seconds: Present monotonic time.
        base_seconds: Usual time to the first event of a request without anything to read.
        token_seconds: Usual time for each token to read.
        request_seconds: Usual time for each other request.
        others_load: Mean requests of other routers at a server.
        pause_seconds: Usual time between events.
        run_seconds: Time for which a request takes a slot.
        memory_places: Requests for which the memory of a server has room.
    """

    __slots__ = (
        "base_seconds",
        "memory_places",
        "now_seconds",
        "others_load",
        "pause_seconds",
        "request",
        "request_seconds",
        "run_seconds",
        "service",
        "token_seconds",
    )

    def __init__(
        self,
        *,
        request: EstimateRequest,
        service: ServiceSpeed,
        cache_tokens: int,
        now_seconds: float,
    ):
        """Reads what is known of a service.

        Args:
            request: The request.
            service: What is known of the service.
            cache_tokens: Size of its engines' memory; 0 if unknown.
            now_seconds: Present monotonic time.
        """
        self.request = request
        self.service = service
        self.now_seconds = now_seconds
        self.base_seconds = service.first_event.base_seconds
        self.token_seconds = service.first_event.seconds_per_token
        self.request_seconds = service.first_event.seconds_per_request
        self.others_load = service.others_load.value
        self.pause_seconds = service.pause_seconds.value
        self.run_seconds = service.estimate_run(now_seconds)
        request_tokens = service.request_tokens.value
        has_places = cache_tokens and request_tokens
        self.memory_places = max(1.0, cache_tokens / request_tokens) if has_places else math.inf


def estimate_request(
    server: ServerLoad, estimate: ServerEstimate, basis: EstimateBasis
) -> RequestEstimate:
    """Estimates the time to the first event: wait for a slot, then reading what is not held.

    Answers the loads of prompts with shared parts beside busy and unequal servers. The requests
    that this router has sent count at once; those of others as the server last reported. Running
    requests and held parts share the memory, so places may be fewer than slots.
    """
    if server.reported_seconds != estimate.reported_seconds:
        estimate.take_report(server, basis.service)
    request, now_seconds = basis.request, basis.now_seconds
    read_tokens = request.prompt_tokens
    held_tokens = 0
    if request.prompt_parts and not estimate.held.is_empty:
        held_tokens = min(read_tokens, estimate.held.count_held(request.prompt_parts, now_seconds))
        read_tokens -= held_tokens
    load = server.in_flight + estimate.estimate_others(basis.others_load, now_seconds)
    usual_seconds = (
        basis.base_seconds
        + basis.token_seconds * (estimate.pending_tokens + read_tokens)
        + basis.request_seconds * load
    )
    places = min(server.entry.slots, basis.memory_places) or 1
    if load >= places:
        usual_seconds += (load - places + 1.0) / places * basis.run_seconds
    if usual_seconds < MIN_ANSWER_SECONDS:
        usual_seconds = MIN_ANSWER_SECONDS
    slowness = estimate.estimate_slowness(basis.pause_seconds, now_seconds)
    work_factor = slowness * estimate.estimate_work(now_seconds)
    read_cost_seconds = READ_COST_WEIGHT * read_tokens * basis.token_seconds
    return RequestEstimate(
        server,
        estimate,
        held_tokens,
        read_tokens,
        load,
        usual_seconds,
        slowness,
        work_factor,
        usual_seconds * work_factor,
        (usual_seconds + read_cost_seconds) * work_factor,
    )


def add_side_costs(found: RequestEstimate, basis: EstimateBasis) -> None:
    """Adds what the request costs others there: evicted parts, and pauses of running streams.

    Answers the loads of long prompts beside short urgent ones, and of caches that are full.
    """
    estimate, request = found.estimate, basis.request
    token_seconds = basis.token_seconds * found.work_factor
    evicted_tokens = estimate.held.count_evicted(found.read_tokens + request.max_output_tokens)
    found.cost_seconds += EVICTION_WEIGHT * evicted_tokens * token_seconds
    target_seconds = basis.service.tightest_gap_seconds
    if not target_seconds:
        return
    pause_seconds = estimate.estimate_pause(basis.pause_seconds, basis.now_seconds) + (
        (found.read_tokens + estimate.pending_tokens) * token_seconds
    )
    if pause_seconds <= target_seconds:
        return
    streams = count_urgent_streams(found, request.urgency)
    found.cost_seconds += PAUSE_COST_WEIGHT * streams * (pause_seconds - target_seconds)


def credit_home(
    found: RequestEstimate, basis: EstimateBasis, rank: int, router_count: int
) -> None:
    """Lowers the cost at a home of a prompt, which rendezvous hashing names.

    Answers the load of several routers with the same new prompts: they do not hear of each other's
    sends, so without a common preference each would have the prompt read at another server. The
    more routers there are, the likelier one of them has sent the shared parts to the home.

    Args:
        found: The estimate at the home.
        basis: What the estimates have in common.
        rank: 0 for the first home.
        router_count: Number of routers.
    """
    held_share = (1.0 - 1.0 / (1.0 + router_count)) ** (rank + 1)
    shared_tokens = sum(part.tokens for part in basis.request.prompt_parts[:-1])
    unknown_tokens = max(0, shared_tokens - found.held_tokens)
    token_seconds = basis.token_seconds * found.work_factor
    saved_seconds = held_share * unknown_tokens * token_seconds
    found.cost_seconds -= (1.0 + READ_COST_WEIGHT) * saved_seconds


def count_urgent_streams(found: RequestEstimate, urgency: int) -> float:
    """Returns the expected streams at a server that are at least as urgent as a request.

    The urgency of other routers' streams is unknown; their mix is taken to be that of own ones.
    """
    counts = found.estimate.stream_counts
    own = sum(counts.values())
    if not own:
        return found.load
    urgent = sum(count for level, count in counts.items() if level <= urgency)
    return urgent / own * max(own, found.load)
