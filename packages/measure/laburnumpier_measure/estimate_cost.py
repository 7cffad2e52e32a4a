"""Measures the processor time of placement by estimates: one choice, and one observed request.

Usage: python -m laburnumpier_measure.estimate_cost
"""

import asyncio
import random
import statistics
import time

from laburnumpier_core.clock import SystemClock
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.estimates.estimate_placement import EstimatePlacement
from laburnumpier_router.estimates.request_estimate import EstimateRequest
from laburnumpier_router.forward.servers import ServerLoad
from laburnumpier_router.ports.dialect import PromptPart, ResponseHead
from laburnumpier_router.ports.server_registry import RegisteredServer

SERVERS = 70
PREFIXES = 40
WARM_UP_REQUESTS = 3000
MEASURED_REQUESTS = 2000
EVENTS = 60


def _make_request(number: int) -> EstimateRequest:
    prefix = number % PREFIXES
    return EstimateRequest(
        prompt_parts=(
            PromptPart(part_id="system", tokens=2500),
            PromptPart(part_id=f"subject-{prefix}", tokens=3800),
            PromptPart(part_id=f"own-{number}", tokens=2890),
        ),
        prompt_tokens=9190,
        max_output_tokens=200,
        target_gap_seconds=0.2,
    )


def _measure(
    *, requests: int, first: int, loads: list[ServerLoad], estimates: EstimatePlacement
) -> dict[str, list[float]]:
    """Returns the seconds of processor time of each choice, and of what follows a choice."""
    clock, head = SystemClock(), ResponseHead(attempt_id="a", not_executed=False, work_percent=100)
    times: dict[str, list[float]] = {"choice": [], "request": []}
    for number in range(first, first + requests):
        request = _make_request(number)
        start = time.process_time()
        load = estimates.choose(loads, request)
        chosen = time.process_time()
        observer = estimates.begin(load, request)
        load.record_start(request.prompt_tokens)
        load.record_report(number % 20, 0, clock.monotonic_seconds())
        observer.record_head(head)
        for _ in range(EVENTS):
            observer.record_progress()
        observer.close()
        load.record_finish()
        times["choice"].append(chosen - start)
        times["request"].append(time.process_time() - chosen)
    return times


async def _main() -> None:
    loads = [
        ServerLoad(
            entry=RegisteredServer(
                server_id=f"i-{n}", service="s", address=f"10.0.0.{n}:80", slots=32, started_ms=1
            )
        )
        for n in range(SERVERS)
    ]
    estimates = EstimatePlacement(
        clock=SystemClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        find_cache_tokens=lambda service: 579_242,
        count_routers=lambda: 1,
    )
    _measure(requests=WARM_UP_REQUESTS, first=0, loads=loads, estimates=estimates)
    times = _measure(
        requests=MEASURED_REQUESTS, first=WARM_UP_REQUESTS, loads=loads, estimates=estimates
    )
    for name, values in times.items():
        median_ms = statistics.median(values) * 1000
        p99_ms = statistics.quantiles(values, n=100)[98] * 1000
        print(f"{name}: median {median_ms:.3f} ms, p99 {p99_ms:.3f} ms, {SERVERS} servers")


if __name__ == "__main__":
    asyncio.run(_main())
