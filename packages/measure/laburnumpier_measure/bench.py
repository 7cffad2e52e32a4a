"""Measures one router on loopback: added latency at a steady rate, and chats a second on one core.

Prints a line for the direct call and one for the call through the router beside it, each as
the median over rounds that take turns, so that drift of the machine meets both alike.
"""

import asyncio
import statistics
import sys
import time

import aiohttp

from .local_fleet import LocalFleet, make_configuration

RATE_PER_SECOND = 50
ROUND_SECONDS = 3.0
ROUNDS = 4
PEAK_CLIENTS = 48
PEAK_SECONDS = 6.0
WORDS = 4
ADDED_LIMIT_MS = 3.0
PEAK_LIMIT_PER_SECOND = 500.0
CHAT_PATH = "/v1/chat/completions"


def make_body() -> dict:
    """Returns a short chat request."""
    return {
        "model": "dairy",
        "messages": [{"role": "user", "content": "Is there milk left?"}],
        "max_tokens": WORDS,
    }


async def send_chat(session: aiohttp.ClientSession, url: str, body: dict) -> float:
    """Sends one chat, reads its whole answer and returns the seconds that it took."""
    started = time.perf_counter()
    async with session.post(
        url + CHAT_PATH, json=body, headers={"Authorization": "Bearer key-office"}
    ) as answer:
        await answer.read()
        if answer.status != 200:
            raise RuntimeError(f"status {answer.status}")
    return time.perf_counter() - started


async def measure_steady(session: aiohttp.ClientSession, url: str, body: dict) -> list[float]:
    """Sends chats at the steady rate and returns how long each took."""
    tasks = []
    for _ in range(int(RATE_PER_SECOND * ROUND_SECONDS)):
        tasks.append(asyncio.create_task(send_chat(session, url, body)))
        await asyncio.sleep(1.0 / RATE_PER_SECOND)
    return list(await asyncio.gather(*tasks))


async def measure_peak(session: aiohttp.ClientSession, url: str) -> float:
    """Keeps many chats open for a while and returns the chats served a second."""
    end = time.perf_counter() + PEAK_SECONDS
    served = 0

    async def loop() -> None:
        nonlocal served
        while time.perf_counter() < end:
            await send_chat(session, url, make_body())
            served += 1

    started = time.perf_counter()
    await asyncio.gather(*(loop() for _ in range(PEAK_CLIENTS)))
    return served / (time.perf_counter() - started)


def read_cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


async def run_bench() -> bool:
    """Runs the measurement; returns whether both limits are met."""
    settings = {"budget.grant_minimum_tokens": "200000", "log.log_level": "WARNING"}
    async with LocalFleet(settings=settings) as fleet:
        await fleet.start_platform()
        engines = [
            await fleet.start_engine("dairy", token_seconds=0.0, words=WORDS) for _ in range(3)
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
            direct_body = {**make_body(), "stream": True}
            direct: list[float] = []
            routed: list[float] = []
            await measure_steady(session, router.callers_url, make_body())
            for _ in range(ROUNDS):
                direct += await measure_steady(session, engines[0].url, direct_body)
                routed += await measure_steady(session, router.callers_url, make_body())
            cpu_before = read_cpu_seconds(router.process.pid)
            peak = await measure_peak(session, router.callers_url)
            cores = (read_cpu_seconds(router.process.pid) - cpu_before) / PEAK_SECONDS
    direct_ms = statistics.median(direct) * 1000
    routed_ms = statistics.median(routed) * 1000
    added_ms = routed_ms - direct_ms
    print(f"bench call=direct rate_per_s={RATE_PER_SECOND} p50_ms={direct_ms:.2f}")
    print(
        f"bench call=routed rate_per_s={RATE_PER_SECOND} p50_ms={routed_ms:.2f} "
        f"added_p50_ms={added_ms:.2f} limit_ms={ADDED_LIMIT_MS}"
    )
    print(
        f"bench call=peak chats_per_s={peak:.0f} router_cores={cores:.2f} "
        f"limit_chats_per_s={PEAK_LIMIT_PER_SECOND:.0f}"
    )
    return added_ms < ADDED_LIMIT_MS and peak >= PEAK_LIMIT_PER_SECOND


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(run_bench()) else 1)
