"""Demonstrates a fleet of three routers and prints the result of every step.

Starts the simulated platform, two model engines, an order service and three routers as processes
on loopback, and terminates all of them at the end. The exit code is 0 if every step passed.
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
    """Outcome of one step, a line of the printed table."""

    step: str
    passed: bool
    observation: str


class Demo:
    """Runs the steps of the demonstration in order."""

    def __init__(self, *, fleet: LocalFleet):
        """Creates a demo on an empty fleet; `set_up` starts its processes."""
        self._fleet = fleet
        self._engines: list[StandInProcess] = []
        self._orders: StandInProcess | None = None
        self.results: list[StepResult] = []

    async def set_up(self) -> None:
        """Starts all processes and applies the first configuration."""
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
        await self._submit_patch(self._fleet.routers[0], 0, document)
        await self._fleet.wait_for_configuration(1)
        # Routers send requests to a new server only after a successful probe.
        await asyncio.sleep(1.5)

    async def run_steps(self) -> None:
        """Runs all steps in order; a failed step does not prevent the next ones."""
        steps: list[tuple[str, Callable[[], Awaitable[tuple[bool, str]]]]] = [
            ("whole chat answer", self._check_chat),
            ("streamed chat answer", self._check_streamed_chat),
            ("booking runs once, also when retried at another router", self._check_booking_retry),
            ("request refused at an exhausted budget", self._check_exhausted_budget),
            ("top-up, then the same request is served", self._check_top_up),
            ("patch with an outdated number is refused", self._check_outdated_patch),
            ("patch with the current number is in force on all", self._check_current_patch),
            ("graceful stop keeps an open stream whole", self._check_graceful_stop),
            ("each request is billed once", self._check_bills),
        ]
        for name, step in steps:
            try:
                passed, observation = await step()
            except (aiohttp.ClientError, TimeoutError, KeyError, ValueError) as error:
                passed, observation = False, repr(error)
            self.results.append(StepResult(step=name, passed=passed, observation=observation))

    async def _check_chat(self) -> tuple[bool, str]:
        status, answer = await self._send_chat(0, "office", words=20)
        words = len(answer["choices"][0]["message"]["content"].split())
        return status == 200 and words == 20, f"{words} words, usage {answer['usage']}"

    async def _check_streamed_chat(self) -> tuple[bool, str]:
        words, is_complete = await self._read_stream(1, "office", words=30)
        return is_complete and words == 30, f"{words} words, end seen: {is_complete}"

    async def _check_booking_retry(self) -> tuple[bool, str]:
        first = await self._send_booking(1, "round-17")
        second = await self._send_booking(2, "round-17")
        order_ledger = await self._get_json(self._orders.url + "/ledger")
        booking_count = len(order_ledger["bookings"])
        passed = first == second and first[0] == 201 and booking_count == 1
        return passed, f"answers {first[1]} and {second[1]}, booked {booking_count} time"

    async def _check_exhausted_budget(self) -> tuple[bool, str]:
        status, answer = await self._send_chat(0, "vans", words=200)
        code = answer.get("result_code")
        return status == 402 and answer["ran"] == "no", f"code {code}, ran {answer.get('ran')}"

    async def _check_top_up(self) -> tuple[bool, str]:
        for _ in range(2):
            _, answer = await self._fleet.call_operator(
                self._fleet.routers[1],
                "POST",
                "/budgets/vans/top-ups",
                {"tokens": 5000, "id": "top-up-1"},
            )
        await self._fleet.wait_for_configuration(answer["number"])
        chat_status, _ = await self._send_chat(0, "vans", words=200)
        passed = answer["budget_tokens"] == 5060 and chat_status == 200
        return passed, f"sent twice, budget {answer['budget_tokens']}, chat {chat_status}"

    async def _check_outdated_patch(self) -> tuple[bool, str]:
        status, answer = await self._submit_patch(self._fleet.routers[2], 1, {"workspaces": {}})
        return status == 409, f"code {answer.get('result_code')}"

    async def _check_current_patch(self) -> tuple[bool, str]:
        _, current = await self._fleet.call_operator(
            self._fleet.routers[0], "GET", "/configuration"
        )
        started = time.monotonic()
        patch = {"workspaces": {"office": {"priority": 7}}}
        status, answer = await self._submit_patch(self._fleet.routers[2], current["number"], patch)
        in_force = status == 200 and await self._fleet.wait_for_configuration(answer["number"])
        seconds = time.monotonic() - started
        return in_force, f"number {answer.get('number')} everywhere in {seconds:.1f} s"

    async def _check_graceful_stop(self) -> tuple[bool, str]:
        stream = asyncio.create_task(self._read_stream(2, "office", words=40))
        await asyncio.sleep(0.3)
        exit_code = await self._fleet.stop_router(self._fleet.routers[2])
        words, is_complete = await stream
        passed = exit_code == 0 and is_complete and words == 40
        return passed, f"{words} words, end seen: {is_complete}, exit code {exit_code}"

    async def _check_bills(self) -> tuple[bool, str]:
        billed_tokens, request_ids = 0, []
        for workspace in ("office", "vans"):
            _, answer = await self._fleet.call_operator(
                self._fleet.routers[0], "GET", f"/bills/{workspace}"
            )
            billed_tokens += sum(bill["tokens"] for bill in answer["bills"])
            request_ids.extend(bill["request_id"] for bill in answer["bills"])
        _, budgets = await self._fleet.call_operator(self._fleet.routers[0], "GET", "/budgets")
        settled = sum(budget["settled"] for budget in budgets["budgets"])
        passed = len(request_ids) == len(set(request_ids)) == 5 and settled == billed_tokens
        return (
            passed,
            f"{len(request_ids)} bills, {billed_tokens} tokens billed, {settled} settled",
        )

    async def _send_chat(
        self, index: int, workspace: str, words: int
    ) -> tuple[int, dict[str, Any]]:
        async with self._post_chat(index, workspace, words, stream=False) as answer:
            return answer.status, await answer.json()

    async def _read_stream(self, index: int, workspace: str, words: int) -> tuple[int, bool]:
        word_count, is_complete = 0, False
        async with self._post_chat(index, workspace, words, stream=True) as answer:
            async for line in answer.content:
                if line.startswith(b"data: [DONE]"):
                    is_complete = True
                elif line.startswith(b"data:"):
                    choices = json.loads(line[5:])["choices"]
                    word_count += 1 if choices and choices[0]["delta"].get("content") else 0
        return word_count, is_complete

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

    async def _send_booking(self, index: int, key: str) -> tuple[int, dict[str, Any]]:
        assert self._fleet.session is not None
        async with self._fleet.session.post(
            self._fleet.routers[index].callers_url + "/services/orders/bookings",
            json={"litres": 12},
            headers={"Authorization": "Bearer key-office", "Idempotency-Key": key},
        ) as answer:
            return answer.status, await answer.json()

    async def _submit_patch(
        self, router: RouterProcess, number: int, patch: Any
    ) -> tuple[int, dict[str, Any]]:
        headers = {"If-Match": f'"{number}"'}
        return await self._fleet.call_operator(router, "PATCH", "/configuration", patch, headers)

    async def _get_json(self, url: str) -> dict[str, Any]:
        assert self._fleet.session is not None
        async with self._fleet.session.get(url) as answer:
            return await answer.json()


async def run_demo() -> bool:
    """Runs the demo, prints the results and returns whether every step passed."""
    async with LocalFleet() as fleet:
        demo = Demo(fleet=fleet)
        await demo.set_up()
        await demo.run_steps()
    width = max(len(result.step) for result in demo.results)
    for result in demo.results:
        status = "ok" if result.passed else "FAILED"
        print(f"{status:6}  {result.step:{width}}  {result.observation}")
    return all(result.passed for result in demo.results)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(run_demo()) else 1)
