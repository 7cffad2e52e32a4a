"""One caller states the largest 64-bit number as the most output tokens that it wants.

Each router that gets such a request can draw no tokens for the tenant any more.
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
ROUTERS = 7
HOST = "planner.example"
TENANTS = tuple(f"tenant-{number}" for number in range(10))
HIT_TENANT = TENANTS[0]
REQUESTS_PER_TENANT = 42
USUAL_USAGE = "540,30"
LARGEST_USAGE = f"540,{2**64 - 1}"
REPEATS = 3
LATER_SECONDS = 5.0


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
        "Tenants": [
            {"Name": name, "ApiKeys": [f"{name}-key"], "Prepaid": 1_000_000} for name in TENANTS
        ],
    }


async def send_to_all(
    installation: Installation, numbers: itertools.count, tenant: str, usage: str, count: int
) -> float:
    """Sends requests of a tenant to all routers in turn and returns the share that was served."""
    served = 0
    for _ in range(count):
        number = next(numbers)
        router = installation.routers[number % ROUTERS]
        answer = await send(
            router.ports[0],
            attempt=f"{number:016x}",
            host=HOST,
            path="/plan/1",
            headers={
                "Authorization": f"Token {tenant}-key",
                "X-Model": "m",
                "X-Token-Usage": usage,
                "X-Prompt-Prefix": f"5c1e07a2:170,{number:08x}:370",
                "X-Deadline-Ms": "8000",
            },
        )
        served += answer.status == 200 and answer.is_whole
        result_code = answer.headers.get("x-result-code", "")
        installation.record.write(
            f"{tenant} {usage} {answer.attempt} at {router.name}: {answer.status} {result_code}"
        )
    return served / count


async def run_case(record: Record) -> int:
    """Plays the case and returns the exit status."""
    async with make_installation(record) as installation:
        for number in (1, 2):
            server = EngineStandIn(
                server_id=f"i-{number}",
                service="model-servers",
                version="1",
                event_seconds=0.001,
            )
            await installation.add_server(server)
        await installation.open(make_configuration(), ROUTERS)
        numbers = itertools.count(1)
        await asyncio.sleep(3.0)
        before = await send_to_all(installation, numbers, HIT_TENANT, USUAL_USAGE, ROUTERS)
        for _ in range(REPEATS if has_trouble() else 0):
            await send_to_all(installation, numbers, HIT_TENANT, LARGEST_USAGE, ROUTERS)
            await asyncio.sleep(1.0)
        # What the routers hold already pays for some requests.
        await send_to_all(installation, numbers, HIT_TENANT, USUAL_USAGE, 60 * ROUTERS)
        await asyncio.sleep(LATER_SECONDS)
        shares = [
            await send_to_all(installation, numbers, name, USUAL_USAGE, REQUESTS_PER_TENANT)
            for name in TENANTS
        ]
        share_of_all = sum(shares) / len(shares)
        record.write(f"served: {shares[0]:.2f} of {HIT_TENANT}, {share_of_all:.2f} of all")
        if before < 1.0:
            return EXIT_NOT_RUN
        return EXIT_BROKEN if shares[0] < share_of_all / 4 else EXIT_HELD


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
