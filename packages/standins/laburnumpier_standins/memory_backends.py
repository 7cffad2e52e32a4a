"""In-memory engines and plain services in virtual time, which record every run and call."""

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
CACHED_PREFIX_CHARACTERS = 256
MAX_CACHED_PREFIXES = 8
CACHED_PREFILL_SHARE = 0.3


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryRun:
    """One run at an engine.

    Attributes:
        finished: Whether the run generates no further events.
        changed: Set and replaced whenever an event is added; set when the run finishes.
    """

    prompt_tokens: int
    max_tokens: int
    events: list[dict[str, Any]]
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryServer:
    """One backend server, the faults injected into it and the record of its work.

    Attributes:
        version: Software version that its events tell; empty for events that tell none.
        token_seconds: Time to generate one token.
        prefill_seconds: Time before the first token of an uncached prompt.
        capacity: Number of concurrent runs; further runs wait, higher priority first.
        tokens_per_event: Number of tokens in one event.
        down: Refuses connections.
        silent: Accepts calls and never answers.
        refuse: Answers streams with status 503.
        leaving: Reports that it takes no new work.
        overrun: Generates twice the requested token limit.
        break_after: Breaks the connection of the next stream after this event, or of the next
            service call before its answer; 0 for none.
        stall_after: Sends nothing after this event of the next stream; 0 for none.
        skip_event: Omits this event from the next stream; 0 for none.
        refuse_next, down_next, silent_next: Number of next streams that have the fault.
        error_next: Number of next streams that hold an error only, after one that breaks off.
        crash_after_event: Crashes permanently, and loses its runs, once any stream has sent the
            event with this id; 0 for never.
        crash_group: Servers of which at most one crashes.
        report_lag_seconds: Age of the load in its load reports.
        runs: Runs by run id.
        started: Ids of the started runs, in order.
        calls: Idempotency keys of the service calls that it received, in order.
        cached_prefixes: Prompt prefixes in the cache, least recently used first.
        checks_fencing: Whether it refuses orders with an outdated fencing number.
        order_seconds: Time to carry out an order.
        orders: Fencing number and model of each accepted order.
    """

    name: str
    models: list[str] = dataclasses.field(default_factory=lambda: ["m"])
    version: str = ""
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
    error_next: int = 0
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
    _running: int = 0
    _queue: list[tuple[int, int, asyncio.Future[None]]] = dataclasses.field(default_factory=list)
    _reports: list[tuple[float, int, int]] = dataclasses.field(default_factory=list)

    async def generate(self, run: MemoryRun, call: EngineCall) -> None:
        """Generates the events of a run."""
        await self._wait_for_slot(call.priority)
        try:
            prompt = str(call.body["messages"][0].get("content", ""))
            prefix = prompt[:CACHED_PREFIX_CHARACTERS]
            cached = prefix in self.cached_prefixes
            self.prefix_hits += cached
            self.cached_prefixes.pop(prefix, None)
            self.cached_prefixes[prefix] = None
            if len(self.cached_prefixes) > MAX_CACHED_PREFIXES:
                self.cached_prefixes.pop(next(iter(self.cached_prefixes)))
            await asyncio.sleep(self.prefill_seconds * (CACHED_PREFILL_SHARE if cached else 1.0))
            length = int(call.body["max_tokens"]) * (2 if self.overrun else 1)
            length = min(length, int(call.body.get("words", length)))
            generated = 0
            while generated < length and not run.cancelled:
                event_tokens = min(self.tokens_per_event, length - generated)
                await asyncio.sleep(self.token_seconds * event_tokens)
                generated += event_tokens
                finish_reason = "stop" if generated >= length else None
                self._add_event(run, call, generated, finish_reason)
            usage = {"total_tokens": run.prompt_tokens + generated, "completion_tokens": generated}
            run.events.append({"id": call.run_id, "choices": [], "usage": usage})
        finally:
            run.finished = True
            run.changed.set()
            self._release_slot()

    def consume_fault(self, fault: str) -> bool:
        """Decrements the number of next streams with a fault; returns whether this one has it."""
        remaining = getattr(self, fault)
        setattr(self, fault, max(0, remaining - 1))
        return remaining > 0

    def crash(self) -> None:
        """Takes the server down with its runs and exempts its crash group from crashing."""
        self.down = True
        for other in self.crash_group:
            other.crash_after_event = 0

    def report_load(self, now: float) -> LoadReport:
        """Returns the newest recorded load that is at least `report_lag_seconds` old.

        Each call records the current load; the oldest one is returned if none is old enough.

        Args:
            now: Time of the event loop in seconds.
        """
        self._reports.append((now, self._running, len(self._queue)))
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

    def _add_event(
        self, run: MemoryRun, call: EngineCall, generated: int, finish_reason: str | None
    ) -> None:
        usage = {"total_tokens": run.prompt_tokens + generated, "completion_tokens": generated}
        version = f"@{self.version}" if self.version else ""
        content = f"{call.run_id}#{len(run.events)}{version};"
        choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish_reason}
        run.events.append({"id": call.run_id, "choices": [choice], "usage": usage})
        run.changed.set()
        run.changed = asyncio.Event()

    async def _wait_for_slot(self, priority: int) -> None:
        if self._running < self.capacity:
            self._running += 1
            return
        slot_granted = asyncio.get_running_loop().create_future()
        self._queue.append((-priority, len(self.started), slot_granted))
        self._queue.sort(key=lambda entry: entry[:2])
        await slot_granted

    def _release_slot(self) -> None:
        if self._queue:
            self._queue.pop(0)[2].set_result(None)
        else:
            self._running -= 1


class MemoryBackends:
    """All servers by URL; implements the `EnginePort` and `ServicePort` ports."""

    def __init__(self):
        """Creates an empty set of servers."""
        self.servers: dict[str, MemoryServer] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add_server(self, server: MemoryServer) -> str:
        """Adds a server and returns its URL."""
        url = f"http://{server.name}"
        self.servers[url] = server
        return url

    async def stream(
        self, url: str, call: EngineCall, last_event_id: int
    ) -> AsyncIterator[EngineEvent]:
        """Starts a run, or resumes it after an event, and yields its events."""
        await asyncio.sleep(CONNECT_SECONDS)
        server = self.servers[url]
        if server.down or server.consume_fault("down_next"):
            raise ServerUnreachableError("down")
        if server.refuse or server.consume_fault("refuse_next"):
            raise ServerRefusedError(503, "busy")
        if server.silent or server.consume_fault("silent_next"):
            await asyncio.sleep(STALL_SECONDS)
            raise ServerConnectionLostError("silent")
        run = server.runs.get(call.run_id)
        if run is None:
            if last_event_id:
                raise ServerRefusedError(404, "unknown run")
            run = self._start_run(server, call)
        if not server.break_after and server.consume_fault("error_next"):
            yield EngineEvent(event_id=0, data={"error": {"message": "out of memory"}})
            yield EngineEvent(event_id=0, data=None)
            return
        break_after, server.break_after = server.break_after, 0
        stall_after, server.stall_after = server.stall_after, 0
        skipped_event, server.skip_event = server.skip_event, 0
        position = last_event_id
        while True:
            while position < len(run.events):
                position += 1
                if position != skipped_event:
                    yield EngineEvent(event_id=position, data=run.events[position - 1])
                if position == server.crash_after_event:
                    server.crash()
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
        """Cancels a run."""
        run = self.servers[url].runs.get(run_id)
        if run is not None:
            run.cancelled = True

    async def count_tokens(self, url: str, body: dict[str, Any]) -> int | None:
        """Returns the prompt's token count, or None if the server is down."""
        return None if self.servers[url].down else count_prompt_tokens(body)

    async def probe(self, url: str) -> LoadReport | None:
        """Returns a delayed load report, or None if the server doesn't answer."""
        server = self.servers[url]
        if server.down or server.silent:
            return None
        return server.report_load(asyncio.get_running_loop().time())

    async def order(self, url: str, order: EngineOrder, timeout_seconds: float) -> None:
        """Loads a model; engines that check fencing refuse orders of a former controller."""
        server = self.servers[url]
        await asyncio.sleep(server.order_seconds)
        if server.checks_fencing and order.fencing_number < server.fencing_number:
            raise ServerRefusedError(412, "old fencing number")
        server.orders.append((order.fencing_number, order.model))
        server.fencing_number = max(server.fencing_number, order.fencing_number)
        if order.model not in server.models:
            server.models = [*server.models, order.model]

    async def call(self, url: str, call: ServiceCall, timeout_seconds: float) -> ServiceResponse:
        """Processes one call of a plain service."""
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

    def _start_run(self, server: MemoryServer, call: EngineCall) -> MemoryRun:
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
    """One router's connection to the servers.

    Once `disconnected` is set, as for a killed router, cancellations no longer reach a server.
    """

    def __init__(self, *, backends: MemoryBackends):
        """Creates the connection of a router."""
        self._backends = backends
        self.disconnected = False

    def __getattr__(self, name: str) -> Any:
        """Delegates all other calls to the servers."""
        return getattr(self._backends, name)

    async def cancel(self, url: str, run_id: str) -> None:
        """Cancels a run, unless the router is disconnected."""
        if not self.disconnected:
            await self._backends.cancel(url, run_id)
