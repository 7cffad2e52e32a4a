"""Runs chat requests at engines and appends their events to answer logs.

A stream that breaks or stalls is resumed on a new connection after the last event received. If
the engine cannot resume it, the request is run again on another server, but only while no event
has been sent to a caller or peer: a second run may generate a different answer.
"""

import contextlib
import dataclasses
from typing import Any

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    RequestError,
    ServerConnectionLostError,
    ServerError,
    ServerRefusedError,
    ServerResponseLimitError,
    ServerUnreachableError,
)
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran, ResultCode

from ..backend.directory import BackendDirectory
from ..backend.dispatcher import Dispatcher, WorkItem
from ..backend.engine_port import EngineCall, EnginePort
from ..backend.server_state import ServerState
from .answer_log import AnswerLog
from .chat_request import ChatRequest

MAX_ATTEMPTS = 4
MAX_RESUMES = 5
MAX_EVENTS_WITHOUT_TOKENS = 64
"""Events of a run beside one for each token that it may use, such as its finish reason."""
# Client error statuses that depend on the state of the server rather than on the request.
RETRIED_STATUSES = (404, 408, 409, 410, 429)

_log = get_part_logger("request")


@dataclasses.dataclass(slots=True, kw_only=True)
class RunProgress:
    """Progress of a chat run.

    Attributes:
        request: The request.
        log: Log that receives its events.
        limit_tokens: Tokens reserved; the answer is truncated beyond them.
        server: Server of the current or last attempt.
        used_tokens: Prompt and answer tokens used, as reported by the engine or as an upper bound.
        started: Whether an engine may have started the request.
        finish_reason_seen: Whether a chunk had a finish reason; a cancelled run ends without one.
        completed: Whether the answer is complete, by the engine's end marker or by truncation.
    """

    request: ChatRequest
    log: AnswerLog
    limit_tokens: int
    server: str = ""
    used_tokens: int = 0
    started: bool = False
    finish_reason_seen: bool = False
    completed: bool = False


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

    async def run(self, progress: RunProgress, resume_server: str = "") -> None:
        """Runs a request until its answer is complete.

        Args:
            progress: The request and its log; updated during the run.
            resume_server: Server that may still have the run of a router that died, or empty.

        Raises:
            RequestError: If the answer cannot be completed.
        """
        if resume_server:
            if await self._resume_run(progress, resume_server):
                return
            progress.log.mark_as_another_run()
        if progress.log.was_read and not progress.log.last_event_id:
            raise RequestError(
                ResultCode.STREAM_ORIGIN_UNKNOWN,
                ran=Ran.UNKNOWN,
                retry_after_seconds=1.0,
                detail="no router knows which run the caller's events are of",
            )
        failed_servers: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            server = await self._dispatcher.acquire(
                self._make_work_item(progress.request, failed_servers), is_retry=attempt > 0
            )
            progress.server = server.name
            try:
                await self._run_at(progress, server)
                return
            except ServerError as error:
                server.record_failure(self._clock.monotonic_seconds())
                failed_servers.add(server.name)
                _log.info(
                    "run failed; trying another server",
                    fields={
                        "request": progress.request.request_id,
                        "server": server.name,
                        "error": error,
                    },
                )
                self._prepare_rerun(progress, error)
            finally:
                self._dispatcher.release(server)
        raise RequestError(
            ResultCode.SERVER_FAILED,
            ran=Ran.YES if progress.started else Ran.NO,
            retry_after_seconds=1.0,
        )

    async def cancel(self, progress: RunProgress) -> None:
        """Cancels the run at its engine."""
        state = self._directory.states.get(progress.server)
        if state is not None and not progress.completed:
            await self._engines.cancel(state.url, progress.request.run_id)

    async def count_prompt_tokens(self, request: ChatRequest) -> int | None:
        """Returns the prompt tokens as counted by an eligible engine, or None."""
        for server in self._directory.list_eligible(request.servers, request.model)[:2]:
            count = await self._engines.count_tokens(server.url, request.body)
            if count is not None:
                return count
        return None

    async def _resume_run(self, progress: RunProgress, name: str) -> bool:
        """Resumes a run that another router started; returns whether it completed."""
        state = self._directory.states.get(name)
        if state is None:
            return False
        progress.server = name
        state.start_run()
        try:
            await self._check_run(progress, state)
            await self._run_at(progress, state)
            self._metrics.count("request.resumed_after_router_death")
            return True
        except ServerError as error:
            self._prepare_rerun(progress, error)
            return False
        finally:
            self._dispatcher.release(state)

    async def _check_run(self, progress: RunProgress, server: ServerState) -> None:
        """Checks that an engine still has a run of which callers may have events.

        An engine starts a run that it does not know only from its first event.

        Raises:
            ServerError: If the engine does not have the run.
        """
        request = progress.request
        call = EngineCall(run_id=request.run_id, body=request.body, priority=request.priority)
        after_event_id = max(1, request.resume_after, progress.log.last_event_id)
        stream = self._engines.stream(server.url, call, after_event_id)
        async with contextlib.aclosing(stream):
            await anext(stream, None)

    async def _run_at(self, progress: RunProgress, server: ServerState) -> None:
        """Runs at one server; resumes a broken stream while each attempt yields new events."""
        for resume in range(MAX_RESUMES + 1):
            previous_event_id = progress.log.last_event_id
            try:
                await self._read_stream(progress, server)
                return
            except ServerUnreachableError:
                if resume == 0 and not progress.started:
                    raise
            except ServerResponseLimitError:
                progress.started = True
                raise
            except ServerConnectionLostError:
                progress.started = True
            if resume == MAX_RESUMES or (
                resume and progress.log.last_event_id == previous_event_id
            ):
                raise ServerConnectionLostError("cannot resume the stream")
            self._metrics.count("request.streams_resumed")

    async def _read_stream(self, progress: RunProgress, server: ServerState) -> None:
        """Reads events from one connection until the engine's end marker.

        Raises:
            ServerConnectionLostError: If the stream ends early, lacks an event, or holds an error,
                which is no part of the answer.
        """
        request, log = progress.request, progress.log
        call = EngineCall(
            run_id=request.run_id,
            body=request.body,
            priority=request.priority,
            max_events=progress.limit_tokens + MAX_EVENTS_WITHOUT_TOKENS,
        )
        sent_at_seconds = self._clock.monotonic_seconds()
        start_event_id = log.last_event_id
        async for event in self._engines.stream(server.url, call, log.last_event_id):
            progress.started = True
            if event.data is None:
                if not progress.finish_reason_seen:
                    raise ServerConnectionLostError("the stream ended without a finish reason")
                progress.completed = True
                if start_event_id == 0:
                    server.record_run(self._clock.monotonic_seconds() - sent_at_seconds)
                return
            if event.data.get("error"):
                raise ServerConnectionLostError("the engine reports an error in its stream")
            event_id = event.event_id or log.last_event_id + 1
            if event_id <= log.last_event_id:
                self._metrics.count("request.duplicate_events")
                continue
            if event_id > log.last_event_id + 1:
                raise ServerConnectionLostError(f"gap in the stream before event {event_id}")
            if log.last_event_id == 0 and start_event_id == 0:
                now = self._clock.monotonic_seconds()
                server.record_first_token(now - sent_at_seconds, now)
            self._update_usage(progress, event.data)
            progress.finish_reason_seen = progress.finish_reason_seen or _has_finish_reason(
                event.data
            )
            log.append(event.raw or msgspec.json.encode(event.data))
            if progress.used_tokens > progress.limit_tokens and not _is_final_chunk(event.data):
                await self._truncate(progress, server, event.data)
                return

    def _update_usage(self, progress: RunProgress, data: dict[str, Any]) -> None:
        """Updates the used tokens from the engine's usage, or adds one token without it."""
        usage = data.get("usage")
        if isinstance(usage, dict) and isinstance(usage.get("total_tokens"), int):
            progress.used_tokens = max(progress.used_tokens, usage["total_tokens"])
        elif progress.used_tokens == 0:
            progress.used_tokens = progress.request.max_prompt_tokens + 1
        else:
            progress.used_tokens += 1

    async def _truncate(
        self, progress: RunProgress, server: ServerState, data: dict[str, Any]
    ) -> None:
        """Truncates an answer beyond its reservation, with the finish reason `length`."""
        self._metrics.count("request.cut_at_reservation")
        await self._engines.cancel(server.url, progress.request.run_id)
        choice = {"index": 0, "delta": {}, "finish_reason": "length"}
        last = {**data, "choices": [choice], "usage": None}
        progress.log.append(msgspec.json.encode(last))
        progress.used_tokens = progress.limit_tokens
        progress.completed = True

    def _prepare_rerun(self, progress: RunProgress, error: ServerError) -> None:
        """Resets the log for another run, or refuses it.

        Another run must not repeat an invalid request or mix two answers in one log.

        Raises:
            RequestError: If the request must not be run again.
        """
        is_refusal = isinstance(error, ServerRefusedError)
        if is_refusal and 400 <= error.status < 500 and error.status not in RETRIED_STATUSES:
            raise RequestError(ResultCode.SERVER_REFUSED, detail=str(error)) from error
        if progress.log.was_read:
            raise RequestError(ResultCode.SERVER_FAILED, ran=Ran.YES) from error
        progress.log.clear()
        progress.finish_reason_seen = False
        progress.used_tokens = 0

    def _make_work_item(self, request: ChatRequest, failed_servers: set[str]) -> WorkItem:
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


def _has_finish_reason(data: dict[str, Any]) -> bool:
    """Whether a chunk has a finish reason."""
    choices = data.get("choices") or []
    return bool(choices) and choices[0].get("finish_reason") is not None


def _is_final_chunk(data: dict[str, Any]) -> bool:
    """Whether a chunk is one of the last: it has a finish reason or no choices."""
    choices = data.get("choices") or []
    return not choices or _has_finish_reason(data)
