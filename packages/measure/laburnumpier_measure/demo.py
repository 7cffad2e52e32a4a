"""Plays a small day on a fleet of three routers and prints what happened.

It starts the stand-in platform, two model engines, one order service and three routers as
processes on loopback, and ends all of them. The exit code is 0 only when every step went as it
should.
"""

import asyncio
import dataclasses
import json
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from .local_fleet import LocalFleet, RouterProcess, StandInProcess, make_configuration

DATA_CENTRES = ("ain-sebaa", "hay-riad", "sidi-maarouf")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StepResult:
    """One line of the demo's table."""

    step: str
    passed: bool
    seen: str


class Demo:
    """The steps of the day."""

    def __init__(self, *, fleet: LocalFleet):
        """Creates the demo over a fleet whose routers are started by `set_up`."""
        self._fleet = fleet
        self._engines: list[StandInProcess] = []
        self._orders: StandInProcess | None = None
        self.results: list[StepResult] = []

    async def set_up(self) -> None:
        """Starts all processes and puts the first configuration in force."""
        await self._fleet.start_platform()
        for _ in range(2):
            self._engines.append(
                await self._fleet.start_engine("dairy", token_seconds=0.02, words=40)
            )
        self._orders = await self._fleet.start_order_service()
        for index, data_centre in enumerate(DATA_CENTRES):
            await self._fleet.start_router(f"vm-{index + 1}", data_centre)
        document = make_configuration(
            engines={f"engine-{i}": engine.url for i, engine in enumerate(self._engines)},
            services={"orders-0": self._orders.url},
            budgets={"office": 100_000, "vans": 60},
        )
        await self._patch(self._fleet.routers[0], 0, document)
        await self._fleet.wait_for_number(1)
        # Every router probes the new servers before it gives them work.
        await asyncio.sleep(1.5)

    async def play(self) -> None:
        """Plays all steps in order; a failed one does not keep the next from being played."""
        steps: list[tuple[str, Callable[[], Awaitable[tuple[bool, str]]]]] = [
            ("whole chat answer", self._chat_whole),
            ("streamed chat answer", self._chat_streamed),
            ("booking runs once, also when retried at another router", self._book_twice),
            ("request refused at an exhausted budget", self._refuse_exhausted),
            ("top-up, then the same request is served", self._top_up),
            ("patch with an outdated number is refused", self._patch_outdated),
            ("patch with the current number is in force on all", self._patch_current),
            ("graceful stop keeps an open stream whole", self._stop_gracefully),
            ("each request is billed once", self._check_bills),
        ]
        for name, step in steps:
            try:
                passed, seen = await step()
            except (aiohttp.ClientError, TimeoutError, KeyError, ValueError) as error:
                passed, seen = False, repr(error)
            self.results.append(StepResult(step=name, passed=passed, seen=seen))

    async def _chat_whole(self) -> tuple[bool, str]:
        status, answer = await self._chat(0, "office", words=20)
        words = len(answer["choices"][0]["message"]["content"].split())
        return status == 200 and words == 20, f"{words} words, usage {answer['usage']}"

    async def _chat_streamed(self) -> tuple[bool, str]:
        words, whole = await self._read_stream(1, "office", words=30)
        return whole and words == 30, f"{words} words, end seen: {whole}"

    async def _book_twice(self) -> tuple[bool, str]:
        first = await self._book(1, "round-17")
        second = await self._book(2, "round-17")
        ledger = await self._get(self._orders.url + "/ledger")
        runs = len(ledger["bookings"])
        passed = first == second and first[0] == 201 and runs == 1
        return passed, f"answers {first[1]} and {second[1]}, booked {runs} time"

    async def _refuse_exhausted(self) -> tuple[bool, str]:
        status, answer = await self._chat(0, "vans", words=200)
        code = answer.get("result_code")
        return status == 402 and answer["ran"] == "no", f"code {code}, ran {answer.get('ran')}"

    async def _top_up(self) -> tuple[bool, str]:
        for _ in range(2):
            _, answer = await self._fleet.call_operator(
                self._fleet.routers[1],
                "POST",
                "/budgets/vans/top-ups",
                {"tokens": 5000, "id": "top-up-1"},
            )
        await self._fleet.wait_for_number(answer["number"])
        chat_status, _ = await self._chat(0, "vans", words=200)
        passed = answer["budget_tokens"] == 5060 and chat_status == 200
        return passed, f"sent twice, budget {answer['budget_tokens']}, chat {chat_status}"

    async def _patch_outdated(self) -> tuple[bool, str]:
        status, answer = await self._patch(self._fleet.routers[2], 1, {"workspaces": {}})
        return status == 409, f"code {answer.get('result_code')}"

    async def _patch_current(self) -> tuple[bool, str]:
        _, current = await self._fleet.call_operator(
            self._fleet.routers[0], "GET", "/configuration"
        )
        started = time.monotonic()
        patch = {"workspaces": {"office": {"priority": 7}}}
        status, answer = await self._patch(self._fleet.routers[2], current["number"], patch)
        in_force = status == 200 and await self._fleet.wait_for_number(answer["number"])
        seconds = time.monotonic() - started
        return in_force, f"number {answer.get('number')} everywhere in {seconds:.1f} s"

    async def _stop_gracefully(self) -> tuple[bool, str]:
        stream = asyncio.create_task(self._read_stream(2, "office", words=40))
        await asyncio.sleep(0.3)
        exit_code = await self._fleet.stop_router(self._fleet.routers[2])
        words, whole = await stream
        passed = exit_code == 0 and whole and words == 40
        return passed, f"{words} words, end seen: {whole}, exit code {exit_code}"

    async def _check_bills(self) -> tuple[bool, str]:
        total, ids = 0, []
        for workspace in ("office", "vans"):
            _, answer = await self._fleet.call_operator(
                self._fleet.routers[0], "GET", f"/bills/{workspace}"
            )
            total += sum(bill["tokens"] for bill in answer["bills"])
            ids.extend(bill["request_id"] for bill in answer["bills"])
        _, budgets = await self._fleet.call_operator(self._fleet.routers[0], "GET", "/budgets")
        settled = sum(budget["settled"] for budget in budgets["budgets"])
        passed = len(ids) == len(set(ids)) == 5 and settled == total
        return passed, f"{len(ids)} bills, {total} tokens billed, {settled} settled"

    async def _chat(self, index: int, workspace: str, words: int) -> tuple[int, dict[str, Any]]:
        async with self._post_chat(index, workspace, words, stream=False) as answer:
            return answer.status, await answer.json()

    async def _read_stream(self, index: int, workspace: str, words: int) -> tuple[int, bool]:
        seen, whole = 0, False
        async with self._post_chat(index, workspace, words, stream=True) as answer:
            async for line in answer.content:
                if line.startswith(b"data: [DONE]"):
                    whole = True
                elif line.startswith(b"data:"):
                    choices = json.loads(line[5:])["choices"]
                    seen += 1 if choices and choices[0]["delta"].get("content") else 0
        return seen, whole

    def _post_chat(self, index: int, workspace: str, words: int, *, stream: bool):
        assert self._fleet.session is not None
        body = {
            "model": "dairy",
            "messages": [{"role": "user", "content": "Plan the dawn round."}],
            "max_tokens": words,
            "stream": stream,
        }
        return self._fleet.session.post(
            self._fleet.routers[index].callers_url + "/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer key-{workspace}"},
        )

    async def _book(self, index: int, key: str) -> tuple[int, dict[str, Any]]:
        assert self._fleet.session is not None
        async with self._fleet.session.post(
            self._fleet.routers[index].callers_url + "/services/orders/bookings",
            json={"litres": 12},
            headers={"Authorization": "Bearer key-office", "Idempotency-Key": key},
        ) as answer:
            return answer.status, await answer.json()

    async def _patch(
        self, router: RouterProcess, number: int, patch: Any
    ) -> tuple[int, dict[str, Any]]:
        headers = {"If-Match": f'"{number}"'}
        return await self._fleet.call_operator(router, "PATCH", "/configuration", patch, headers)

    async def _get(self, url: str) -> dict[str, Any]:
        assert self._fleet.session is not None
        async with self._fleet.session.get(url) as answer:
            return await answer.json()


async def run_demo() -> bool:
    """Runs the demo; returns whether every step passed."""
    async with LocalFleet() as fleet:
        demo = Demo(fleet=fleet)
        await demo.set_up()
        await demo.play()
    width = max(len(result.step) for result in demo.results)
    for result in demo.results:
        verdict = "ok" if result.passed else "FAILED"
        print(f"{verdict:6}  {result.step:{width}}  {result.seen}")
    return all(result.passed for result in demo.results)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(run_demo()) else 1)
