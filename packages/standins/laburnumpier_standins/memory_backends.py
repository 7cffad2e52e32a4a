"""In-memory engines and plain services on a virtual clock, with ledgers of what really ran."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

from laburnumpier_core.errors import (
    ServerConnectionLostError,
    ServerRefusedError,
    ServerUnreachableError,
)
from laburnumpier_router.backend.engine_port import (
    EngineCall,
    EngineEvent,
    EngineOrder,
    LoadReport,
    ServiceCall,
    ServiceResponse,
)

from .engine import count_prompt_tokens

STALL_SECONDS = 5.0
CONNECT_SECONDS = 0.001


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryRun:
    """One run at an engine."""

    prompt_tokens: int
    max_tokens: int
    events: list[dict[str, Any]]
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryServer:
    """One backend server and its faults.

    Attributes:
        token_seconds: Time for one token.
        prefill_seconds: Time before the first token of a prompt that is not cached.
        capacity: Runs at once; others wait in order of priority.
        tokens_per_event: How many tokens one event carries.
        down: Refuses connections.
        silent: Accepts calls and never answers.
        break_after: Closes each next stream behind this event, once.
        stall_after: Goes silent behind this event, once.
        skip_event: Leaves this event out, once.
        refuse_next, down_next, silent_next: Meet this many next streams with the fault.
        crash_after_event: Crashes for good, losing its runs, once a stream has sent this event.
        crash_group: Servers of which at most one crashes permanently.
        report_lag_seconds: Age of the load it reports.
    """

    name: str
    models: list[str] = dataclasses.field(default_factory=lambda: ["m"])
    token_seconds: float = 0.01
    prefill_seconds: float = 0.05
    capacity: int = 16
    tokens_per_event: int = 10
    down: bool = False
    silent: bool = False
    refuse: bool = False
    leaving: bool = False
    overrun: bool = False
    break_after: int = 0
    stall_after: int = 0
    skip_event: int = 0
    refuse_next: int = 0
    down_next: int = 0
    silent_next: int = 0
    crash_after_event: int = 0
    crash_group: list["MemoryServer"] = dataclasses.field(default_factory=list)
    report_lag_seconds: float = 0.0
    runs: dict[str, MemoryRun] = dataclasses.field(default_factory=dict)
    started: list[str] = dataclasses.field(default_factory=list)
    calls: list[str] = dataclasses.field(default_factory=list)
    cached_prefixes: dict[str, None] = dataclasses.field(default_factory=dict)
    prefix_hits: int = 0
    checks_fencing: bool = False
    fencing_number: int = 0
    order_seconds: float = 0.1
    orders: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    _busy: int = 0
    _queue: list[tuple[int, int, asyncio.Future[None]]] = dataclasses.field(default_factory=list)
    _reports: list[tuple[float, int, int]] = dataclasses.field(default_factory=list)

    async def generate(self, run: MemoryRun, call: EngineCall) -> None:
        """Produces the events of a run."""
        await self._wait_for_slot(call.priority)
        try:
            prefix = str(call.body["messages"][0].get("content", ""))[:256]
            hit = prefix in self.cached_prefixes
            self.prefix_hits += hit
            self.cached_prefixes.pop(prefix, None)
            self.cached_prefixes[prefix] = None
            if len(self.cached_prefixes) > 8:
                self.cached_prefixes.pop(next(iter(self.cached_prefixes)))
            await asyncio.sleep(self.prefill_seconds * (0.3 if hit else 1.0))
            length = int(call.body["max_tokens"]) * (2 if self.overrun else 1)
            length = min(length, int(call.body.get("words", length)))
            done = 0
            while done < length and not run.cancelled:
                step = min(self.tokens_per_event, length - done)
                await asyncio.sleep(self.token_seconds * step)
                done += step
                reason = "stop" if done >= length else None
                self._add(run, call, done, reason)
            usage = {"total_tokens": run.prompt_tokens + done, "completion_tokens": done}
            run.events.append({"id": call.run_id, "choices": [], "usage": usage})
        finally:
            run.finished = True
            run.changed.set()
            self._free_slot()

    def take(self, fault: str) -> bool:
        """Uses up one of the next streams that a fault is set for."""
        left = getattr(self, fault)
        setattr(self, fault, max(0, left - 1))
        return left > 0

    def end_for_good(self) -> None:
        """Goes down for ever; its runs are lost."""
        self.down = True
        for other in self.crash_group:
            other.crash_after_event = 0

    def report(self, now: float) -> LoadReport:
        """Returns the load as it was some time ago."""
        self._reports.append((now, self._busy, len(self._queue)))
        while len(self._reports) > 1 and self._reports[1][0] <= now - self.report_lag_seconds:
            self._reports.pop(0)
        _, running, waiting = self._reports[0]
        return LoadReport(
            running=running,
            waiting=waiting,
            capacity=self.capacity,
            models=self.models,
            leaving=self.leaving,
        )

    def _add(self, run: MemoryRun, call: EngineCall, done: int, reason: str | None) -> None:
        usage = {"total_tokens": run.prompt_tokens + done, "completion_tokens": done}
        content = f"{call.run_id}#{len(run.events)};"
        choice = {"index": 0, "delta": {"content": content}, "finish_reason": reason}
        run.events.append({"id": call.run_id, "choices": [choice], "usage": usage})
        run.changed.set()
        run.changed = asyncio.Event()

    async def _wait_for_slot(self, priority: int) -> None:
        if self._busy < self.capacity:
            self._busy += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._queue.append((-priority, len(self.started), turn))
        self._queue.sort(key=lambda entry: entry[:2])
        await turn

    def _free_slot(self) -> None:
        if self._queue:
            self._queue.pop(0)[2].set_result(None)
        else:
            self._busy -= 1


class MemoryBackends:
    """All servers by URL; implements the engine and the service port."""

    def __init__(self):
        """Creates no servers."""
        self.servers: dict[str, MemoryServer] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, server: MemoryServer) -> str:
        """Adds a server and returns its URL."""
        url = f"http://{server.name}"
        self.servers[url] = server
        return url

    async def stream(
        self, url: str, call: EngineCall, last_event_id: int
    ) -> AsyncIterator[EngineEvent]:
        """Starts or resumes a run."""
        await asyncio.sleep(CONNECT_SECONDS)
        server = self.servers[url]
        if server.down or server.take("down_next"):
            raise ServerUnreachableError("down")
        if server.refuse or server.take("refuse_next"):
            raise ServerRefusedError(503, "busy")
        if server.silent or server.take("silent_next"):
            await asyncio.sleep(STALL_SECONDS)
            raise ServerConnectionLostError("silent")
        run = server.runs.get(call.run_id)
        if run is None:
            if last_event_id:
                raise ServerRefusedError(404, "unknown run")
            run = self._start(server, call)
        break_after, server.break_after = server.break_after, 0
        stall_after, server.stall_after = server.stall_after, 0
        skip, server.skip_event = server.skip_event, 0
        position = last_event_id
        while True:
            while position < len(run.events):
                position += 1
                if position != skip:
                    yield EngineEvent(event_id=position, data=run.events[position - 1])
                if position == server.crash_after_event:
                    server.end_for_good()
                if position == break_after or server.down:
                    raise ServerConnectionLostError("connection reset")
                if position == stall_after:
                    await asyncio.sleep(STALL_SECONDS)
                    raise ServerConnectionLostError("silent")
            if run.finished:
                break
            await run.changed.wait()
        yield EngineEvent(event_id=0, data=None)

    async def cancel(self, url: str, run_id: str) -> None:
        """Stops a run."""
        run = self.servers[url].runs.get(run_id)
        if run is not None:
            run.cancelled = True

    async def count_tokens(self, url: str, body: dict[str, Any]) -> int | None:
        """Returns the exact prompt tokens."""
        return None if self.servers[url].down else count_prompt_tokens(body)

    async def probe(self, url: str) -> LoadReport | None:
        """Returns a lagging load report."""
        server = self.servers[url]
        if server.down or server.silent:
            return None
        return server.report(asyncio.get_running_loop().time())

    async def order(self, url: str, order: EngineOrder, timeout_seconds: float) -> None:
        """Loads a model; a checking engine refuses an order of a former controller."""
        server = self.servers[url]
        await asyncio.sleep(server.order_seconds)
        if server.checks_fencing and order.fencing_number < server.fencing_number:
            raise ServerRefusedError(412, "old fencing number")
        server.orders.append((order.fencing_number, order.model))
        server.fencing_number = max(server.fencing_number, order.fencing_number)
        if order.model not in server.models:
            server.models = [*server.models, order.model]

    async def call(self, url: str, call: ServiceCall, timeout_seconds: float) -> ServiceResponse:
        """Runs one call of a plain service."""
        await asyncio.sleep(CONNECT_SECONDS)
        server = self.servers[url]
        if server.down:
            raise ServerUnreachableError("down")
        server.calls.append(call.headers.get("Idempotency-Key", ""))
        if server.silent:
            await asyncio.sleep(min(timeout_seconds, STALL_SECONDS))
            raise ServerConnectionLostError("silent")
        if server.break_after:
            server.break_after = 0
            raise ServerConnectionLostError("connection reset")
        await asyncio.sleep(server.prefill_seconds)
        body = f"{call.headers.get('Idempotency-Key', '')} run {len(server.calls)}"
        return ServiceResponse(status=201, content_type="text/plain", body=body.encode())

    def _start(self, server: MemoryServer, call: EngineCall) -> MemoryRun:
        run = MemoryRun(
            prompt_tokens=count_prompt_tokens(call.body),
            max_tokens=int(call.body["max_tokens"]),
            events=[],
        )
        server.runs[call.run_id] = run
        server.started.append(call.run_id)
        task = asyncio.create_task(server.generate(run, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return run


class MemoryBackendConnection:
    """One router's connection to the servers; a killed router's last calls do not arrive."""

    def __init__(self, *, backends: MemoryBackends):
        """Connects a router."""
        self._backends = backends
        self.is_cut = False

    def __getattr__(self, name: str) -> Any:
        """Passes all other calls on."""
        return getattr(self._backends, name)

    async def cancel(self, url: str, run_id: str) -> None:
        """Stops a run, unless the router is dead."""
        if not self.is_cut:
            await self._backends.cancel(url, run_id)
