"""Benchmarks one router on loopback: added latency at a constant rate, and peak rate on one core.

Prints the median latency of direct and of routed calls. Rounds of both kinds alternate, so that
changes in the load of the machine affect both medians alike. The peak rate is printed with the
processor cores that the router used.
"""

import asyncio
import statistics
import sys
import time

import aiohttp

from .local_fleet import LocalFleet, make_configuration

CHATS_PER_SECOND = 50
ROUND_SECONDS = 3.0
ROUND_COUNT = 4
PEAK_CLIENTS = 48
PEAK_SECONDS = 6.0
ANSWER_WORDS = 4
ADDED_LATENCY_LIMIT_MS = 3.0
MIN_PEAK_CHATS_PER_SECOND = 500.0
CHAT_PATH = "/v1/chat/completions"


def make_chat_body() -> dict:
    """Returns the body of a short chat request."""
    return {
        "model": "dairy",
        "messages": [{"role": "user", "content": "Is there milk left?"}],
        "max_tokens": ANSWER_WORDS,
    }


async def send_chat(session: aiohttp.ClientSession, url: str, body: dict) -> float:
    """Sends one chat, reads the complete answer and returns the duration in seconds."""
    started = time.perf_counter()
    async with session.post(
        url + CHAT_PATH, json=body, headers={"Authorization": "Bearer key-office"}
    ) as answer:
        await answer.read()
        if answer.status != 200:
            raise RuntimeError(f"chat request failed with HTTP status {answer.status}")
    return time.perf_counter() - started


async def measure_latencies_seconds(
    session: aiohttp.ClientSession, url: str, body: dict
) -> list[float]:
    """Sends chats at a constant rate and returns the duration of each."""
    tasks = []
    for _ in range(int(CHATS_PER_SECOND * ROUND_SECONDS)):
        tasks.append(asyncio.create_task(send_chat(session, url, body)))
        await asyncio.sleep(1.0 / CHATS_PER_SECOND)
    return list(await asyncio.gather(*tasks))


async def measure_peak_rate(session: aiohttp.ClientSession, url: str) -> float:
    """Sends chats from concurrent clients for a fixed time and returns the chats per second."""
    end_seconds = time.perf_counter() + PEAK_SECONDS
    served = 0

    async def send_chats() -> None:
        nonlocal served
        while time.perf_counter() < end_seconds:
            await send_chat(session, url, make_chat_body())
            served += 1

    started = time.perf_counter()
    await asyncio.gather(*(send_chats() for _ in range(PEAK_CLIENTS)))
    return served / (time.perf_counter() - started)


def read_cpu_seconds(pid: int) -> float:
    """Returns the user and system processor time of a process, from clock ticks of 10 ms."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


async def run_bench() -> bool:
    """Runs the benchmark; returns whether added latency and peak rate meet their limits."""
    settings = {"budget.grant_minimum_tokens": "200000", "log.log_level": "WARNING"}
    async with LocalFleet(settings=settings) as fleet:
        await fleet.start_platform()
        engines = [
            await fleet.start_engine("dairy", token_seconds=0.0, words=ANSWER_WORDS)
            for _ in range(3)
        ]
        orders = await fleet.start_order_service()
        router = await fleet.start_router("vm-1", "ain-sebaa")
        document = make_configuration(
            engines={f"engine-{i}": engine.url for i, engine in enumerate(engines)},
            services={"orders-0": orders.url},
            budgets={"office": 100_000_000},
        )
        await fleet.call_operator(router, "PATCH", "/configuration", document, {"If-Match": '"0"'})
        await asyncio.sleep(2)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            direct_body = {**make_chat_body(), "stream": True}
            direct_seconds: list[float] = []
            routed_seconds: list[float] = []
            await measure_latencies_seconds(session, router.callers_url, make_chat_body())
            for _ in range(ROUND_COUNT):
                direct_seconds += await measure_latencies_seconds(
                    session, engines[0].url, direct_body
                )
                routed_seconds += await measure_latencies_seconds(
                    session, router.callers_url, make_chat_body()
                )
            cpu_seconds_before = read_cpu_seconds(router.process.pid)
            peak_rate = await measure_peak_rate(session, router.callers_url)
            router_cores = (
                read_cpu_seconds(router.process.pid) - cpu_seconds_before
            ) / PEAK_SECONDS
    direct_ms = statistics.median(direct_seconds) * 1000
    routed_ms = statistics.median(routed_seconds) * 1000
    added_ms = routed_ms - direct_ms
    print(f"bench call=direct rate_per_s={CHATS_PER_SECOND} p50_ms={direct_ms:.2f}")
    print(
        f"bench call=routed rate_per_s={CHATS_PER_SECOND} p50_ms={routed_ms:.2f} "
        f"added_p50_ms={added_ms:.2f} limit_ms={ADDED_LATENCY_LIMIT_MS}"
    )
    print(
        f"bench call=peak chats_per_s={peak_rate:.0f} router_cores={router_cores:.2f} "
        f"limit_chats_per_s={MIN_PEAK_CHATS_PER_SECOND:.0f}"
    )
    return added_ms < ADDED_LATENCY_LIMIT_MS and peak_rate >= MIN_PEAK_CHATS_PER_SECOND


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(run_bench()) else 1)
