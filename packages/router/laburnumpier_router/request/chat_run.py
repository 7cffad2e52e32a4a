"""Runs one chat request at an engine and writes its events to an answer log.

A stream that breaks off or goes silent is resumed on a new connection behind the last event
received. When the engine cannot resume, the request is run again on another server, but only
while no event has left this process: a second run may word its answer differently.
"""

import dataclasses
from typing import Any

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    RequestError,
    ServerConnectionLostError,
    ServerError,
    ServerRefusedError,
    ServerUnreachableError,
)
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran, ResultCode

from ..backend.directory import BackendDirectory
from ..backend.dispatcher import Dispatcher, WorkItem
from ..backend.engine_port import EngineCall, EnginePort
from ..backend.server_state import ServerState
from .answer import AnswerLog
from .chat_request import ChatRequest

MAX_RUNS = 4
MAX_RESUMES = 5
# Client error statuses that say more of the server's state than of the request.
RETRIED_STATUSES = (404, 408, 409, 410, 429)

_log = get_part_logger("request")


@dataclasses.dataclass(slots=True, kw_only=True)
class RunProgress:
    """What is known of a run so far.

    Attributes:
        request: The request.
        log: Where its events go.
        limit_tokens: Tokens reserved; the run is cut there.
        server: Server that runs it now or ran it last.
        used_tokens: Prompt and answer tokens used, as the engine reported or at most.
        started: Whether an engine may have begun to work on it.
        reason_seen: Whether a chunk told why the answer ends; a cancelled run tells none.
        ended: Whether the engine's own end of a whole answer was seen.
    """

    request: ChatRequest
    log: AnswerLog
    limit_tokens: int
    server: str = ""
    used_tokens: int = 0
    started: bool = False
    reason_seen: bool = False
    ended: bool = False


class ChatRunner:
    """Runs chat requests at engines."""

    __slots__ = ("_clock", "_directory", "_dispatcher", "_engines", "_metrics")

    def __init__(
        self,
        *,
        engines: EnginePort,
        directory: BackendDirectory,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
    ):
        """Creates the runner."""
        self._engines = engines
        self._directory = directory
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics

    async def run(self, progress: RunProgress, resume_at: str = "") -> None:
        """Runs a request until its answer is whole.

        Args:
            progress: The request, its log and the counts, which are kept up to date.
            resume_at: Server that may still hold the run of a router that died.

        Raises:
            RequestError: If the answer cannot be completed.
        """
        if resume_at and await self._resume_elsewhere(progress, resume_at):
            return
        failed_servers: set[str] = set()
        for attempt in range(MAX_RUNS):
            server = await self._dispatcher.acquire(
                self._make_item(progress.request, failed_servers), is_retry=attempt > 0
            )
            progress.server = server.name
            try:
                await self._run_at(progress, server)
                return
            except ServerError as error:
                server.record_failure(self._clock.monotonic_seconds())
                failed_servers.add(server.name)
                _log.info(
                    "run failed; looking for another server",
                    fields={
                        "request": progress.request.request_id,
                        "server": server.name,
                        "error": error,
                    },
                )
                self._check_rerun(progress, error)
            finally:
                self._dispatcher.release(server)
        raise RequestError(
            ResultCode.SERVER_FAILED,
            ran=Ran.YES if progress.started else Ran.NO,
            retry_after_seconds=1.0,
        )

    async def cancel(self, progress: RunProgress) -> None:
        """Stops the run at its engine."""
        state = self._directory.states.get(progress.server)
        if state is not None and not progress.ended:
            await self._engines.cancel(state.url, progress.request.run_id)

    async def count_prompt_tokens(self, request: ChatRequest) -> int | None:
        """Returns the exact prompt tokens as an eligible engine counts them, or None."""
        for server in self._directory.list_eligible(request.servers, request.model)[:2]:
            count = await self._engines.count_tokens(server.url, request.body)
            if count is not None:
                return count
        return None

    async def _resume_elsewhere(self, progress: RunProgress, name: str) -> bool:
        """Tries to go on with a run that another router started; returns whether it ended."""
        state = self._directory.states.get(name)
        if state is None:
            return False
        progress.server = name
        state.start_run()
        try:
            await self._run_at(progress, state)
            self._metrics.count("request.resumed_after_router_death")
            return True
        except ServerError as error:
            self._check_rerun(progress, error)
            return False
        finally:
            self._dispatcher.release(state)

    async def _run_at(self, progress: RunProgress, server: ServerState) -> None:
        """Runs at one server, resuming the stream there as often as it helps."""
        for resume in range(MAX_RESUMES + 1):
            position = progress.log.last_event_id
            try:
                await self._stream(progress, server)
                return
            except ServerUnreachableError:
                if resume == 0 and not progress.started:
                    raise
            except ServerConnectionLostError:
                progress.started = True
            if resume == MAX_RESUMES or (resume and progress.log.last_event_id == position):
                raise ServerConnectionLostError("the stream could not be resumed")
            self._metrics.count("request.streams_resumed")

    async def _stream(self, progress: RunProgress, server: ServerState) -> None:
        """Reads one connection's events up to the engine's end of the stream."""
        request, log = progress.request, progress.log
        call = EngineCall(run_id=request.run_id, body=request.body, priority=request.priority)
        sent_at = self._clock.monotonic_seconds()
        first_at = log.last_event_id
        async for event in self._engines.stream(server.url, call, log.last_event_id):
            progress.started = True
            if event.data is None:
                if not progress.reason_seen:
                    raise ServerConnectionLostError("the stream ended without a finish reason")
                progress.ended = True
                if first_at == 0:
                    server.record_run(self._clock.monotonic_seconds() - sent_at)
                return
            event_id = event.event_id or log.last_event_id + 1
            if event_id <= log.last_event_id:
                self._metrics.count("request.duplicate_events")
                continue
            if event_id > log.last_event_id + 1:
                raise ServerConnectionLostError(f"events are missing before {event_id}")
            if log.last_event_id == 0 and first_at == 0:
                now = self._clock.monotonic_seconds()
                server.record_first_token(now - sent_at, now)
            self._count_usage(progress, event.data)
            progress.reason_seen = progress.reason_seen or _has_reason(event.data)
            log.append(event.raw or msgspec.json.encode(event.data))
            if progress.used_tokens > progress.limit_tokens and not _is_last(event.data):
                await self._cut(progress, server, event.data)
                return

    def _count_usage(self, progress: RunProgress, data: dict[str, Any]) -> None:
        """Takes the engine's count, or one token more than before when it gives none."""
        usage = data.get("usage")
        if isinstance(usage, dict) and isinstance(usage.get("total_tokens"), int):
            progress.used_tokens = max(progress.used_tokens, usage["total_tokens"])
        elif progress.used_tokens == 0:
            progress.used_tokens = progress.request.max_prompt_tokens + 1
        else:
            progress.used_tokens += 1

    async def _cut(self, progress: RunProgress, server: ServerState, data: dict[str, Any]) -> None:
        """Ends a run that went past its reservation, as an answer cut at its length."""
        self._metrics.count("request.cut_at_reservation")
        await self._engines.cancel(server.url, progress.request.run_id)
        choice = {"index": 0, "delta": {}, "finish_reason": "length"}
        last = {**data, "choices": [choice], "usage": None}
        progress.log.append(msgspec.json.encode(last))
        progress.used_tokens = progress.limit_tokens
        progress.ended = True

    def _check_rerun(self, progress: RunProgress, error: ServerError) -> None:
        """Allows another run only where it can neither mix answers nor repeat a caller's mistake.

        Raises:
            RequestError: If the request must end here.
        """
        refused = isinstance(error, ServerRefusedError)
        if refused and 400 <= error.status < 500 and error.status not in RETRIED_STATUSES:
            raise RequestError(ResultCode.SERVER_REFUSED, detail=str(error)) from error
        if progress.log.was_read:
            raise RequestError(ResultCode.SERVER_FAILED, ran=Ran.YES) from error
        progress.log.restart()
        progress.reason_seen = False
        progress.used_tokens = 0

    def _make_item(self, request: ChatRequest, failed_servers: set[str]) -> WorkItem:
        return WorkItem(
            workspace=request.workspace,
            servers=request.servers,
            model=request.model,
            prefix_hash=request.prompt_prefix_hash,
            priority=request.priority,
            cost_tokens=request.max_prompt_tokens + request.max_output_tokens,
            deadline_seconds=request.deadline_seconds,
            exclude=frozenset(failed_servers),
        )


def _has_reason(data: dict[str, Any]) -> bool:
    """Whether a chunk tells why the answer ends."""
    choices = data.get("choices") or []
    return bool(choices) and choices[0].get("finish_reason") is not None


def _is_last(data: dict[str, Any]) -> bool:
    """Whether a chunk carries a finish reason or no choices, as the last ones do."""
    choices = data.get("choices") or []
    return not choices or _has_reason(data)
