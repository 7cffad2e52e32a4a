"""An entry of the registry that another writer wrote cannot be read, and all processes are killed.

The entry breaks off within arrays in arrays and has two kilobytes. A router that lists the entries
fails at it each time, so that it knows none of the sound servers either.
"""

import asyncio
import itertools
import pathlib
import sys

from review.common.caller import send
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
ROUTERS = 3
SERVERS = 3
HOST = "planner.example"
REQUESTS = 40
REQUEST_INTERVAL_SECONDS = 0.1
NESTING = 2_000
"""Arrays that begin within each other in the entry."""
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
"""`RecoveryTimeS`: from then on a quarter of the requests has to be served."""


def make_configuration() -> dict[str, object]:
    """Returns the configuration."""
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "plan",
                "Host": HOST,
                "Prefix": "/plan/",
                "Kind": "streaming",
                "Resumable": True,
                "TimeoutMs": 8000,
                "TargetLatencyMs": 1000,
                "TargetGapMs": 400,
                "MaxAttempts": 2,
                "Service": "model-servers",
            }
        ],
        "Services": [
            {
                "Name": "model-servers",
                "InferenceEngine": {"Slots": 128, "Stride": TOKENS_PER_EVENT},
            }
        ],
        "Tenants": [{"Name": "office", "ApiKeys": ["office-key"], "Prepaid": 10_000_000}],
    }


def make_unreadable_entry() -> bytes:
    """Returns an entry of another writer, whose bytes are no JSON."""
    return b'{"Service": "model-servers", "State": "ready", "Owner": ' + b"[" * NESTING


async def send_requests(
    installation: Installation, numbers: itertools.count, moment: str
) -> float:
    """Sends requests to all routers in turn and returns the share that was served."""
    served = 0
    for _ in range(REQUESTS):
        number = next(numbers)
        router = installation.routers[number % ROUTERS]
        answer = await send(
            router.ports[0],
            attempt=f"{number:016x}",
            host=HOST,
            path="/plan/1",
            headers={
                "Authorization": "Token office-key",
                "X-Model": "m",
                "X-Token-Usage": "540,30",
                "X-Prompt-Prefix": f"5c1e07a2:170,{number:08x}:370",
                "X-Deadline-Ms": "8000",
            },
        )
        is_served = answer.status == 200 and answer.is_whole
        served += is_served
        result_code = answer.headers.get("x-result-code", "")
        installation.record.write(
            f"{answer.attempt} at {router.name}: {answer.status} {result_code}"
        )
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    installation.record.write(f"{moment}: {served} of {REQUESTS} are served")
    return served / REQUESTS


async def run_case(record: Record) -> int:
    """Plays the case and returns the exit status."""
    async with make_installation(record) as installation:
        for number in range(1, SERVERS + 1):
            server = EngineStandIn(
                server_id=f"i-{number}",
                service="model-servers",
                version="1",
                event_seconds=0.01,
            )
            await installation.add_server(server)
        await installation.open(make_configuration(), ROUTERS)
        numbers = itertools.count(1)
        await asyncio.sleep(2.0)
        share_before = await send_requests(installation, numbers, "before")
        if has_trouble():
            installation.store.put("servers/i-other", make_unreadable_entry())
            record.write("another writer writes an entry that cannot be read")
        await asyncio.sleep(1.0)
        installation.kill_routers()
        record.write("all processes are killed")
        await asyncio.sleep(DOWN_SECONDS)
        await installation.start_routers()
        await asyncio.sleep(RECOVERY_SECONDS)
        share_after = await send_requests(installation, numbers, "after RecoveryTimeS")
        if share_before < 0.25:
            return EXIT_NOT_RUN
        return EXIT_BROKEN if share_after < 0.25 else EXIT_HELD


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
