"""A model engine for tests: streamed chat answers with resume, cancel, load report and run ledger.

Each event of a run carries one token. A run continues when its connection breaks, and a client
resumes it with `Last-Event-ID` and the same request id. The ledger lists the runs that were
executed. `POST /faults` injects a fault into the next streams: `break_after` aborts the
connection after an event, `stall_after` stops sending after an event and leaves the connection
open, `refuse` answers 503, `overrun` generates twice the token limit, and `skip` omits an event.
"""

import argparse
import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

from .process import serve_on_loopback


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineRun:
    """One run and the events that it has generated.

    Attributes:
        finished: Whether the run generates no further events.
        changed: Set and replaced whenever an event is added or the run finishes.
    """

    run_id: str
    model: str
    prompt_tokens: int
    max_tokens: int
    events: list[bytes]
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def notify_readers(self) -> None:
        """Wakes all readers that wait for `changed`."""
        self.changed.set()
        self.changed = asyncio.Event()


def count_prompt_tokens(body: dict[str, Any]) -> int:
    """Returns the prompt's token count: one token per four bytes plus three per message."""
    messages = body.get("messages", [])
    size_bytes = sum(len(str(message.get("content") or "").encode()) for message in messages)
    return size_bytes // 4 + 3 * len(messages)


class EngineStandIn:
    """HTTP handlers of the engine."""

    def __init__(
        self,
        *,
        models: list[str],
        token_seconds: float = 0.0,
        capacity: int = 32,
        answer_tokens: int = 0,
    ):
        """Creates an engine without runs.

        Args:
            models: Names of the loaded models.
            token_seconds: Time to generate one token.
            capacity: Number of concurrent runs in the load report; it is not enforced.
            answer_tokens: Tokens of each answer; 0 generates up to the request's token limit.
        """
        self.models = models
        self.token_seconds = token_seconds
        self.capacity = capacity
        self.answer_tokens = answer_tokens
        self.leaving = False
        self.fencing_number = 0
        self.runs: dict[str, EngineRun] = {}
        self.started: list[str] = []
        self.faults: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def make_app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_post("/tokenize", self._tokenize)
        app.router.add_post("/cancel", self._cancel)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/ledger", self._report_ledger)
        app.router.add_post("/orders", self._handle_order)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_post("/leaving", self._set_leaving)
        return app

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        if self.faults.pop("refuse", 0):
            return web.json_response({"error": "busy"}, status=503)
        body = await request.json()
        run_id = request.headers.get("X-Request-Id", "")
        last_event_id = int(request.headers.get("Last-Event-ID", "0"))
        run = self.runs.get(run_id)
        if run is None:
            if last_event_id:
                return web.json_response({"error": "unknown run"}, status=404)
            run = self._start_run(run_id, body)
        return await self._stream_events(request, run, last_event_id)

    def _start_run(self, run_id: str, body: dict[str, Any]) -> EngineRun:
        run = EngineRun(
            run_id=run_id,
            model=body.get("model", ""),
            prompt_tokens=count_prompt_tokens(body),
            max_tokens=int(body.get("max_tokens", 16)),
            events=[],
        )
        self.runs[run_id or f"anonymous-{len(self.started)}"] = run
        self.started.append(run_id)
        task = asyncio.create_task(self._generate(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return run

    async def _generate(self, run: EngineRun) -> None:
        length = min(run.max_tokens, self.answer_tokens) if self.answer_tokens else run.max_tokens
        if self.faults.pop("overrun", 0):
            length = run.max_tokens * 2
        for index in range(length):
            if self.token_seconds:
                await asyncio.sleep(self.token_seconds)
            if run.cancelled:
                break
            self._add_event(run, {"content": f"w{index} "}, None, index + 1)
        if not run.cancelled:
            self._add_event(run, {}, "stop" if length < run.max_tokens else "length", length)
        self._add_event(run, None, None, length)
        run.finished = True
        run.notify_readers()

    def _add_event(
        self, run: EngineRun, delta: dict[str, str] | None, finish_reason: str | None, tokens: int
    ) -> None:
        """Adds a chunk; without a delta it carries only the token usage."""
        usage = {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": run.prompt_tokens + tokens,
        }
        chunk = {
            "id": run.run_id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": run.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}]
            if delta is not None
            else [],
            "usage": usage,
        }
        run.events.append(json.dumps(chunk).encode())
        run.notify_readers()

    async def _stream_events(
        self, request: web.Request, run: EngineRun, last_event_id: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        break_after = self.faults.pop("break_after", 0)
        stall_after = self.faults.pop("stall_after", 0)
        skipped_event = self.faults.pop("skip", 0)
        position = last_event_id
        while True:
            while position < len(run.events):
                position += 1
                if position != skipped_event:
                    data = run.events[position - 1]
                    await response.write(b"id: %d\ndata: %b\n\n" % (position, data))
                if position == break_after and request.transport is not None:
                    request.transport.abort()
                    return response
                if position == stall_after:
                    await asyncio.sleep(3600)
            if run.finished:
                break
            await run.changed.wait()
        await response.write(b"data: [DONE]\n\n")
        return response

    async def _tokenize(self, request: web.Request) -> web.Response:
        return web.json_response({"count": count_prompt_tokens(await request.json())})

    async def _cancel(self, request: web.Request) -> web.Response:
        run = self.runs.get((await request.json())["request_id"])
        if run is not None:
            run.cancelled = True
        return web.json_response({})

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order["fencing_number"] < self.fencing_number:
            return web.json_response({"error": "old fencing number"}, status=412)
        self.fencing_number = order["fencing_number"]
        if order["model"] not in self.models:
            self.models.append(order["model"])
        return web.json_response({})

    async def _report_load(self, request: web.Request) -> web.Response:
        running = sum(not run.finished for run in self.runs.values())
        report = {
            "running": running,
            "waiting": 0,
            "capacity": self.capacity,
            "models": self.models,
            "leaving": self.leaving,
        }
        return web.json_response(report)

    async def _report_ledger(self, request: web.Request) -> web.Response:
        runs = {
            run_id: {"tokens": max(0, len(run.events) - 2), "cancelled": run.cancelled}
            for run_id, run in self.runs.items()
        }
        return web.json_response({"started": self.started, "runs": runs})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = await request.json()
        return web.json_response({})

    async def _set_leaving(self, request: web.Request) -> web.Response:
        self.leaving = bool((await request.json())["leaving"])
        return web.json_response({})


def main() -> None:
    """Runs the test model engine on a loopback port."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--models", required=True, help="comma-separated model names")
    parser.add_argument("--token-seconds", type=float, default=0.0)
    parser.add_argument("--words", type=int, default=0)
    arguments = parser.parse_args()
    engine = EngineStandIn(
        models=arguments.models.split(","),
        token_seconds=arguments.token_seconds,
        answer_tokens=arguments.words,
    )
    serve_on_loopback(engine.make_app(), arguments.port)


if __name__ == "__main__":
    main()
