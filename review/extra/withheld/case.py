"""A loss of power ends all routers, and the store comes back from a copy that is seconds old.

No router of before can say any more what it drew, so the tokens of all tenants stay withheld.
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
TENANTS = ("office", "vans")
PREPAID_TOKENS = 1_000_000
"""The requests of the whole case take less than a twentieth of it."""
REQUESTS = 42
REQUEST_INTERVAL_SECONDS = 0.3
COPY_AGE_SECONDS = 5.0
STORE_AWAY_SECONDS = 1.0
DOWN_SECONDS = 1.4
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
        "Tenants": [
            {"Name": name, "ApiKeys": [f"{name}-key"], "Prepaid": PREPAID_TOKENS}
            for name in TENANTS
        ],
    }


async def send_requests(
    installation: Installation, numbers: itertools.count, moment: str
) -> float:
    """Sends requests of all tenants to all routers and returns the share that was served."""
    served = 0
    for _ in range(REQUESTS):
        number = next(numbers)
        router = installation.routers[number % ROUTERS]
        tenant = TENANTS[number % len(TENANTS)]
        answer = await send(
            router.ports[0],
            attempt=f"{number:016x}",
            host=HOST,
            path="/plan/1",
            headers={
                "Authorization": f"Token {tenant}-key",
                "X-Model": "m",
                "X-Token-Usage": "540,30",
                "X-Prompt-Prefix": f"5c1e07a2:170,{number:08x}:370",
                "X-Deadline-Ms": "8000",
            },
        )
        served += answer.status == 200 and answer.is_whole
        result_code = answer.headers.get("x-result-code", "")
        installation.record.write(
            f"{tenant} {answer.attempt} at {router.name}: {answer.status} {result_code}"
        )
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    installation.record.write(f"{moment}: {served} of {REQUESTS} are served")
    return served / REQUESTS


async def run_case(record: Record) -> int:
    """Plays the case and returns the exit status."""
    async with make_installation(record) as installation:
        for number in (1, 2):
            server = EngineStandIn(
                server_id=f"i-{number}",
                service="model-servers",
                version="1",
                event_seconds=0.005,
            )
            await installation.add_server(server)
        await installation.open(make_configuration(), ROUTERS)
        numbers = itertools.count(1)
        await asyncio.sleep(3.0)
        share_before = await send_requests(installation, numbers, "before")
        if has_trouble():
            await lose_power(installation)
        await asyncio.sleep(RECOVERY_SECONDS)
        share_after = await send_requests(installation, numbers, "after RecoveryTimeS")
        if share_before < 0.25:
            return EXIT_NOT_RUN
        return EXIT_BROKEN if share_after < 0.25 else EXIT_HELD


async def lose_power(installation: Installation) -> None:
    """Ends all routers and the store; the store comes back from a copy, then the routers start."""
    store = installation.store
    store.is_silent = True
    installation.kill_routers()
    installation.record.write("power is lost: all routers are killed, the store is away")
    await asyncio.sleep(STORE_AWAY_SECONDS)
    lost = store.rewind(seconds=COPY_AGE_SECONDS + STORE_AWAY_SECONDS)
    store.is_silent = False
    installation.record.write(f"the store is back from a copy; {lost} writes are lost")
    await asyncio.sleep(DOWN_SECONDS - STORE_AWAY_SECONDS)
    await installation.start_routers()


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
