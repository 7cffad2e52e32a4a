"""The operator changes the configuration, and one route has a name with a space.

The platform's store accepts it. The routers take neither this version nor a later one.
"""

import asyncio
import itertools
import pathlib
import sys

from review.common.caller import Answer, send
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
SERVERS = 2
HOST = "planner.example"
REVOCATION_SECONDS = 5.5
"""More than `RevokeTimeoutMs`, 5,000, and `ConfigApplyMs`, 2,000, from the ack of the store."""
LATER_SECONDS = 10.0
"""Time from the second version to the third."""
REQUESTS = 12
OLD_KEY, NEW_KEY = "old-office-key", "new-office-key"


def make_route(name: str, prefix: str) -> dict[str, object]:
    """Returns a route."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": "streaming",
        "Resumable": True,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 1000,
        "TargetGapMs": 400,
        "MaxAttempts": 2,
        "Service": "model-servers",
    }


def make_configuration(version: int, keys: list[str], *, plan_name: str) -> dict[str, object]:
    """Returns a configuration; from the second version on it has the route of the plans."""
    routes = [make_route("digest", "/digest/")]
    if version > 1:
        routes.append(make_route(plan_name, "/plan/"))
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": "model-servers",
                "InferenceEngine": {"Slots": 128, "Stride": TOKENS_PER_EVENT},
            }
        ],
        "Tenants": [{"Name": "office", "ApiKeys": keys, "Prepaid": 10_000_000}],
    }


async def send_requests(
    installation: Installation, numbers: itertools.count, path: str, key: str
) -> list[Answer]:
    """Sends requests to all routers in turn and returns the answers."""
    answers = []
    for _ in range(REQUESTS):
        number = next(numbers)
        router = installation.routers[number % ROUTERS]
        answer = await send(
            router.ports[0],
            attempt=f"{number:016x}",
            host=HOST,
            path=path,
            headers={
                "Authorization": f"Token {key}",
                "X-Model": "m",
                "X-Token-Usage": "540,30",
                "X-Prompt-Prefix": f"5c1e07a2:170,{number:08x}:370",
                "X-Deadline-Ms": "8000",
            },
        )
        result_code = answer.headers.get("x-result-code", "")
        installation.record.write(
            f"{path} with {key}, {answer.attempt} at {router.name}: {answer.status} {result_code}"
        )
        answers.append(answer)
    return answers


def count_run(installation: Installation, answers: list[Answer]) -> int:
    """Returns how many requests ran at a server."""
    ran = {run.attempt for server in installation.servers for run in server.runs}
    return sum(answer.attempt in ran for answer in answers)


async def run_case(record: Record) -> int:
    """Plays the case and returns the exit status."""
    plan_name = "round plan" if has_trouble() else "round-plan"
    async with make_installation(record) as installation:
        for number in range(1, SERVERS + 1):
            server = EngineStandIn(
                server_id=f"i-{number}",
                service="model-servers",
                version="1",
                event_seconds=0.01,
            )
            await installation.add_server(server)
        first = make_configuration(1, [OLD_KEY], plan_name=plan_name)
        await installation.open(first, ROUTERS)
        numbers = itertools.count(1)
        await asyncio.sleep(3.0)
        before = await send_requests(installation, numbers, "/digest/1", OLD_KEY)
        keys = [OLD_KEY, NEW_KEY]
        installation.configure(make_configuration(2, keys, plan_name=plan_name))
        record.write(f"version 2: the route {plan_name!r} and a new key come")
        await asyncio.sleep(LATER_SECONDS)
        plans = await send_requests(installation, numbers, "/plan/1", OLD_KEY)
        installation.configure(make_configuration(3, [NEW_KEY], plan_name=plan_name))
        record.write("version 3: the old key goes")
        await asyncio.sleep(REVOCATION_SECONDS)
        dropped = await send_requests(installation, numbers, "/digest/1", OLD_KEY)
        new = await send_requests(installation, numbers, "/digest/1", NEW_KEY)
        count_before = count_run(installation, before)
        record.write(
            f"before: {count_before} of {REQUESTS} run; on the new route: "
            f"{count_run(installation, plans)}; with the dropped key: "
            f"{count_run(installation, dropped)}; with the new key: {count_run(installation, new)}"
        )
        if count_before < REQUESTS // 2:
            return EXIT_NOT_RUN
        return EXIT_BROKEN if count_run(installation, dropped) else EXIT_HELD


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
