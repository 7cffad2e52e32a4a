"""Many users come at once, each with a long request that the configured limits allow.

They come one after the other within seconds, and keep their channels. The platform ends a process
whose memory exceeds `MemoryMb`.
"""

import asyncio
import itertools
import pathlib
import sys

from laburnumpier_platform_standin.launch import PlatformRouterProcess

from review.common.caller import Answer, Channel
from review.common.engine import TOKENS_PER_EVENT, EngineStandIn
from review.common.installation import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Installation,
    Record,
    has_trouble,
    make_installation,
)

FOLDER = pathlib.Path(__file__).resolve().parent
ROUTERS = 2
SERVERS = 4
HOST = "planner.example"
USUAL_CALLERS = 8
"""Callers of each router without the burst; the sheet of Talamanca has 53 for 7 routers."""
BURST_CALLERS = 30
SEND_INTERVAL_SECONDS = 0.3
"""Time between two requests at a router, 13 MB a second; its link carries 1,000 Mbit/s."""
OUTPUT_TOKENS = 267
"""89 events, as an answer of the advisory line has."""
EVENT_SECONDS = 0.05
TIME_LIMIT_MS = 15_000
MEMORY_BYTES = 150 * 1024 * 1024
MEMORY_POLL_SECONDS = 0.005
MAX_BODY_BYTES = 4_194_304
BODY = b"x" * 4_000_000
MAX_LOST = 3
"""Requests that a machine may lose in this way."""


def make_configuration() -> dict[str, object]:
    """Returns the configuration."""
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "advisory",
                "Host": HOST,
                "Prefix": "/advisory/",
                "Kind": "streaming",
                "Resumable": True,
                "TimeoutMs": TIME_LIMIT_MS,
                "TargetLatencyMs": 1000,
                "TargetGapMs": 400,
                "MaxAttempts": 2,
                "Service": "nivo-modelo",
            }
        ],
        "Services": [
            {
                "Name": "nivo-modelo",
                "InferenceEngine": {"Slots": 128, "Stride": TOKENS_PER_EVENT},
            }
        ],
        "Tenants": [{"Name": "office", "ApiKeys": ["office-key"], "Prepaid": 10_000_000}],
        "Limits": {
            "MaxHeaderBytes": 32768,
            "MaxBodyBytes": MAX_BODY_BYTES,
            "HeaderTimeoutMs": 10000,
            "IdleTimeoutMs": 60000,
        },
    }


def read_memory_bytes(router: PlatformRouterProcess) -> int:
    """Returns the present resident memory of a router; 0 if it does not run."""
    try:
        status = pathlib.Path(f"/proc/{router.process.pid}/statm").read_text()
    except OSError:
        return 0
    return int(status.split()[1]) * 4096


async def limit_memory(installation: Installation, ended: set[str]) -> None:
    """Kills each router whose memory exceeds the limit, as the platform does."""
    while True:
        for router in installation.routers:
            memory_bytes = read_memory_bytes(router) if router.is_running else 0
            if memory_bytes > MEMORY_BYTES and router.name not in ended:
                ended.add(router.name)
                installation.record.write(
                    f"{router.name} is killed: {memory_bytes / 1e6:.0f} MB of memory"
                )
                await router.kill()
        await asyncio.sleep(MEMORY_POLL_SECONDS)


class Caller:
    """A caller with a kept channel to one router."""

    def __init__(self, router: PlatformRouterProcess, numbers: itertools.count):
        """Creates a caller that is not connected."""
        self.router = router
        self.answers: list[Answer] = []
        self._numbers = numbers
        self._channel = Channel(port=router.ports[0], host=HOST)

    async def send(self, body: bytes) -> None:
        """Sends a request on the kept channel."""
        number = next(self._numbers)
        answer = await self._channel.send(
            attempt=f"{number:016x}",
            path="/advisory/1",
            headers={
                "Authorization": "Token office-key",
                "X-Model": "m",
                "X-Token-Usage": f"540,{OUTPUT_TOKENS}",
                "X-Prompt-Prefix": f"5c1e07a2:170,{number:08x}:370",
                "X-Deadline-Ms": str(TIME_LIMIT_MS),
            },
            body=body,
        )
        self.answers.append(answer)

    def close(self) -> None:
        """Closes the channel."""
        self._channel.close()


def count_lost(installation: Installation, callers: list[Caller]) -> dict[str, int]:
    """Returns, by router, the requests that reached a server and have no answer at all."""
    arrived = set().union(*(server.arrivals for server in installation.servers))
    lost: dict[str, int] = {}
    for caller in callers:
        for answer in caller.answers:
            is_lost = answer.attempt in arrived and not answer.is_whole
            lost[caller.router.name] = lost.get(caller.router.name, 0) + is_lost
            installation.record.write(
                f"{answer.attempt} at {caller.router.name}: {answer.status}, "
                f"whole {answer.is_whole}, at a server {answer.attempt in arrived}"
            )
    return lost


async def run_case(record: Record) -> int:
    """Plays the case and returns the exit status."""
    async with make_installation(record) as installation:
        for number in range(1, SERVERS + 1):
            server = EngineStandIn(
                server_id=f"i-{number}",
                service="nivo-modelo",
                version="1",
                event_seconds=EVENT_SECONDS,
            )
            await installation.add_server(server)
        await installation.open(make_configuration(), ROUTERS)
        await asyncio.sleep(2.0)
        ended: set[str] = set()
        limiter = asyncio.create_task(limit_memory(installation, ended))
        numbers = itertools.count(1)
        callers = [
            Caller(router, numbers)
            for _ in range(BURST_CALLERS if has_trouble() else USUAL_CALLERS)
            for router in installation.routers
        ]
        await asyncio.gather(*(caller.send(b"") for caller in callers))
        record.write(f"callers send {len(BODY)} bytes each, one after the other")
        rounds = zip(*(callers[i::ROUTERS] for i in range(ROUTERS)), strict=True)
        sends = []
        for senders in rounds:
            sends.extend(asyncio.create_task(caller.send(BODY)) for caller in senders)
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        await asyncio.gather(*sends)
        lost = count_lost(installation, callers)
        limiter.cancel()
        for caller in callers:
            caller.close()
        record.write(f"killed: {sorted(ended)}; lost by router: {lost}")
        if not any(caller.answers[0].is_whole for caller in callers):
            return EXIT_NOT_RUN
        return EXIT_BROKEN if max(lost.values()) > MAX_LOST else EXIT_HELD


def main() -> int:
    """Runs the case and returns the exit status."""
    record = Record(FOLDER / "record.txt")
    try:
        status = asyncio.run(run_case(record))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        status = EXIT_NOT_RUN
    record.write(f"exit status {status}")
    record.close()
    return status


if __name__ == "__main__":
    sys.exit(main())
