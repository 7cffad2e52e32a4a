"""Compares ways of choosing a server, with slow and flapping servers and stale load reports.

Prints a line for each way and load. Loads are shares of what the servers can serve together; a
request counts as goodput when its whole answer arrives before its deadline.
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
LOADS = (0.5, 0.9, 1.3)
ROUTERS = 3
SLOTS = 8
TOKEN_SECONDS = 0.01
PREFILL_SECONDS = 0.1
MEAN_TOKENS = 60
SPEED_FACTORS = (1.0, 1.0, 1.0, 2.0, 2.0, 4.0)
REPORT_LAG_SECONDS = 5.0
FLAP_SECONDS = 5.0
RUN_SECONDS = 60.0
DEADLINE_SECONDS = 10.0
PREFIXES = 24
DEFAULT_SEEDS = 5
DEFAULT_WORKERS = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalanceCase:
    """One run."""

    policy: str
    load: float
    seed: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalanceResult:
    """Figures of one run; times in seconds."""

    offered: int
    goodput_per_s: float
    refused: int
    first_token: list[float]
    total: list[float]
    prefix_hit_share: float


def count_capacity_per_s() -> float:
    """Returns the requests a second that all servers can serve together."""
    seconds = PREFILL_SECONDS + MEAN_TOKENS * TOKEN_SECONDS
    return sum(SLOTS / (seconds * factor) for factor in SPEED_FACTORS)


def play_case(case: BalanceCase) -> BalanceResult:
    """Plays one run on a virtual clock."""
    logging.disable(logging.CRITICAL)
    return run_in_virtual_time(play(case))


async def play(case: BalanceCase) -> BalanceResult:
    """Starts routers and servers, sends the load and counts."""
    source = random.Random(f"balance/{case.load}/{case.seed}")
    fleet = MemoryFleet(seed=case.seed)
    for index in range(ROUTERS):
        await fleet.start_router(f"vm-{index}", "dc", make_policy(case.policy))
    servers = [
        MemoryServer(
            name=f"s{index}",
            capacity=SLOTS,
            token_seconds=TOKEN_SECONDS * factor,
            prefill_seconds=PREFILL_SECONDS * factor,
            report_lag_seconds=REPORT_LAG_SECONDS,
        )
        for index, factor in enumerate(SPEED_FACTORS)
    ]
    urls = {server.name: fleet.add_server(server) for server in servers}
    document = {
        "servers": {name: {"url": url} for name, url in urls.items()},
        "models": {"m": {"servers": list(urls)}},
        "workspaces": {"w": {"budget_tokens": 10**9, "models": ["m"]}},
    }
    await fleet.configure("vm-0", document)
    await asyncio.sleep(8)
    flapping = asyncio.create_task(_flap(servers[0]))
    outcomes = await _send_load(fleet, source, case.load * count_capacity_per_s())
    flapping.cancel()
    await fleet.close()
    good = [outcome for outcome in outcomes if outcome.error is None]
    started = sum(len(server.started) for server in servers)
    return BalanceResult(
        offered=len(outcomes),
        goodput_per_s=len(good) / RUN_SECONDS,
        refused=len(outcomes) - len(good),
        first_token=[outcome.first_event_seconds for outcome in good],
        total=[outcome.seconds for outcome in good],
        prefix_hit_share=sum(server.prefix_hits for server in servers) / max(1, started),
    )


async def _flap(server: MemoryServer) -> None:
    """Takes a server down and up again, a quarter of the time down."""
    while True:
        await asyncio.sleep(FLAP_SECONDS * 3)
        server.refuse = True
        await asyncio.sleep(FLAP_SECONDS)
        server.refuse = False


async def _send_load(fleet: MemoryFleet, source: random.Random, rate: float) -> list[ChatOutcome]:
    loop = asyncio.get_running_loop()
    end = loop.time() + RUN_SECONDS
    tasks = []
    while loop.time() < end:
        await asyncio.sleep(source.expovariate(rate))
        prefix = min(int(source.expovariate(0.25)), PREFIXES)
        prompt = f"{prefix:02d}" * 128 + " question"
        chat = fleet.chat(
            f"vm-{source.randrange(ROUTERS)}",
            "w",
            prompt=prompt,
            max_tokens=120,
            words=source.randrange(20, 101),
            deadline=DEADLINE_SECONDS,
        )
        tasks.append(asyncio.create_task(chat))
    return list(await asyncio.gather(*tasks))


def _quantile_ms(seconds: list[float], percent: int) -> float:
    return statistics.quantiles(seconds, n=100)[percent - 1] * 1000 if len(seconds) > 1 else 0.0


def main() -> int:
    """Plays all ways and loads and prints a line for each."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    parser.add_argument("--policy", action="append", help="name of a way; default all")
    arguments = parser.parse_args()
    capacity = count_capacity_per_s()
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        groups = [(load, name) for load in LOADS for name in arguments.policy or POLICIES]
        pending = [
            [
                pool.submit(play_case, BalanceCase(policy=name, load=load, seed=seed))
                for seed in range(arguments.seeds)
            ]
            for load, name in groups
        ]
        for (load, name), futures in zip(groups, pending, strict=True):
            results = [future.result() for future in futures]
            first = [value for result in results for value in result.first_token]
            goodput = statistics.mean(result.goodput_per_s for result in results)
            hits = statistics.mean(result.prefix_hit_share for result in results)
            print(
                f"measure scenario=balance_load_{int(load * 100)} design={name} "
                f"seeds={len(results)} requests={sum(r.offered for r in results)} "
                f"refused={sum(r.refused for r in results)} "
                f"goodput_share_of_capacity={goodput / capacity:.3f} "
                f"first_token_p50_ms={_quantile_ms(first, 50):.0f} "
                f"first_token_p95_ms={_quantile_ms(first, 95):.0f} prefix_hit_share={hits:.3f}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
