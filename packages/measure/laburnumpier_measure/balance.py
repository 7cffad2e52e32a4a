"""Compares server selection policies with slow servers, a flapping server and stale load reports.

Prints one line per policy and load. A load factor is a share of the servers' total capacity. A
request counts towards goodput if its complete answer arrives before its deadline.
"""

import argparse
import asyncio
import concurrent.futures
import dataclasses
import logging
import random
import statistics
import sys

from laburnumpier_router.backend.choice import make_policy
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import ChatOutcome, MemoryFleet
from laburnumpier_standins.virtual_loop import run_in_virtual_time

POLICIES = ("random", "round_robin", "least_outstanding", "two_choices", "expected_wait")
LOAD_FACTORS = (0.5, 0.9, 1.3)
ROUTER_COUNT = 3
SLOTS_PER_SERVER = 8
TOKEN_SECONDS = 0.01
PREFILL_SECONDS = 0.1
MEAN_ANSWER_TOKENS = 60  # mean of the lengths that `_generate_load` draws
SLOWDOWN_FACTORS = (1.0, 1.0, 1.0, 2.0, 2.0, 4.0)
REPORT_LAG_SECONDS = 5.0
OUTAGE_SECONDS = 5.0
RUN_SECONDS = 60.0
DEADLINE_SECONDS = 10.0
MAX_PREFIX_INDEX = 24
DEFAULT_SEED_COUNT = 5
DEFAULT_WORKER_COUNT = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalanceCase:
    """Parameters of one simulated run."""

    policy: str
    load_factor: float
    seed: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalanceResult:
    """Figures of one run.

    Attributes:
        offered_requests: Requests sent, including those that failed.
        failed_requests: Requests that were refused or failed.
        first_token_seconds: Time to the first token of each successful request.
        total_seconds: Time to the complete answer of each successful request.
        prefix_hit_share: Share of the runs whose prompt prefix was in the server's cache.
    """

    offered_requests: int
    goodput_per_s: float
    failed_requests: int
    first_token_seconds: list[float]
    total_seconds: list[float]
    prefix_hit_share: float


def compute_capacity_per_second() -> float:
    """Returns the total request rate that the servers can sustain, without prefix cache hits."""
    seconds = PREFILL_SECONDS + MEAN_ANSWER_TOKENS * TOKEN_SECONDS
    return sum(SLOTS_PER_SERVER / (seconds * factor) for factor in SLOWDOWN_FACTORS)


def run_case(case: BalanceCase) -> BalanceResult:
    """Runs one case on a virtual clock."""
    logging.disable(logging.CRITICAL)
    return run_in_virtual_time(simulate(case))


async def simulate(case: BalanceCase) -> BalanceResult:
    """Starts routers and servers, generates the load and returns the figures."""
    random_source = random.Random(f"balance/{case.load_factor}/{case.seed}")
    fleet = MemoryFleet(seed=case.seed)
    for index in range(ROUTER_COUNT):
        await fleet.start_router(f"vm-{index}", "dc", make_policy(case.policy))
    servers = [
        MemoryServer(
            name=f"s{index}",
            capacity=SLOTS_PER_SERVER,
            token_seconds=TOKEN_SECONDS * factor,
            prefill_seconds=PREFILL_SECONDS * factor,
            report_lag_seconds=REPORT_LAG_SECONDS,
        )
        for index, factor in enumerate(SLOWDOWN_FACTORS)
    ]
    urls = {server.name: fleet.add_server(server) for server in servers}
    document = {
        "servers": {name: {"url": url} for name, url in urls.items()},
        "models": {"m": {"servers": list(urls)}},
        "workspaces": {"w": {"budget_tokens": 10**9, "models": ["m"]}},
    }
    await fleet.configure("vm-0", document)
    await asyncio.sleep(8)
    outages = asyncio.create_task(_run_periodic_outages(servers[0]))
    outcomes = await _generate_load(
        fleet, random_source, case.load_factor * compute_capacity_per_second()
    )
    outages.cancel()
    await fleet.close()
    successful = [outcome for outcome in outcomes if outcome.error is None]
    started_runs = sum(len(server.started) for server in servers)
    return BalanceResult(
        offered_requests=len(outcomes),
        goodput_per_s=len(successful) / RUN_SECONDS,
        failed_requests=len(outcomes) - len(successful),
        first_token_seconds=[outcome.first_event_seconds for outcome in successful],
        total_seconds=[outcome.seconds for outcome in successful],
        prefix_hit_share=sum(server.prefix_hits for server in servers) / max(1, started_runs),
    )


async def _run_periodic_outages(server: MemoryServer) -> None:
    """Makes a server refuse all streams for a quarter of the time."""
    while True:
        await asyncio.sleep(OUTAGE_SECONDS * 3)
        server.refuse = True
        await asyncio.sleep(OUTAGE_SECONDS)
        server.refuse = False


async def _generate_load(
    fleet: MemoryFleet, random_source: random.Random, requests_per_second: float
) -> list[ChatOutcome]:
    loop = asyncio.get_running_loop()
    end_seconds = loop.time() + RUN_SECONDS
    tasks = []
    while loop.time() < end_seconds:
        await asyncio.sleep(random_source.expovariate(requests_per_second))
        prefix_index = min(int(random_source.expovariate(0.25)), MAX_PREFIX_INDEX)
        prompt = f"{prefix_index:02d}" * 128 + " question"
        chat = fleet.chat(
            f"vm-{random_source.randrange(ROUTER_COUNT)}",
            "w",
            prompt=prompt,
            max_tokens=120,
            words=random_source.randrange(20, 101),
            deadline=DEADLINE_SECONDS,
        )
        tasks.append(asyncio.create_task(chat))
    return list(await asyncio.gather(*tasks))


def _compute_percentile_ms(seconds: list[float], percentile: int) -> float:
    return statistics.quantiles(seconds, n=100)[percentile - 1] * 1000 if len(seconds) > 1 else 0.0


def main() -> int:
    """Runs all policies and loads and prints one line for each combination."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEED_COUNT)
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKER_COUNT)
    parser.add_argument(
        "--policy",
        action="append",
        help="policy to run, may be given several times; default: all policies",
    )
    arguments = parser.parse_args()
    capacity_per_second = compute_capacity_per_second()
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        combinations = [
            (load, name) for load in LOAD_FACTORS for name in arguments.policy or POLICIES
        ]
        futures_per_combination = [
            [
                pool.submit(run_case, BalanceCase(policy=name, load_factor=load, seed=seed))
                for seed in range(arguments.seeds)
            ]
            for load, name in combinations
        ]
        for (load, name), futures in zip(combinations, futures_per_combination, strict=True):
            results = [future.result() for future in futures]
            first_token_seconds = [
                value for result in results for value in result.first_token_seconds
            ]
            goodput_per_second = statistics.mean(result.goodput_per_s for result in results)
            prefix_hit_share = statistics.mean(result.prefix_hit_share for result in results)
            print(
                f"measure scenario=balance_load_{int(load * 100)} design={name} "
                f"seeds={len(results)} "
                f"requests={sum(result.offered_requests for result in results)} "
                f"refused={sum(result.failed_requests for result in results)} "
                f"goodput_share_of_capacity={goodput_per_second / capacity_per_second:.3f} "
                f"first_token_p50_ms={_compute_percentile_ms(first_token_seconds, 50):.0f} "
                f"first_token_p95_ms={_compute_percentile_ms(first_token_seconds, 95):.0f} "
                f"prefix_hit_share={prefix_hit_share:.3f}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
