"""Serves chat requests, with one run for each request id.

The run is a task of its own, independent of its callers' connections. A retry at this router
reads the same log; a retry at another router is relayed from here. The tokens are reserved before
the run and billed once after it; callers get the end of the answer only after the bill.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Iterator

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran, ResultCode

from ..budget.grant_pool import Reservation
from ..budget.peers import BudgetFleet
from ..budget.service import BudgetService
from ..budget.slot import Bill
from .answer_log import AnswerLog
from .chat_request import ChatRequest
from .chat_runner import ChatRunner, RunProgress
from .messages import (
    AnswerRead,
    HomeAnswer,
    OpenRequest,
    PlaceRequest,
    ReadAnswer,
    RequestOpened,
    describe_failure,
)
from .request_directory import RequestDirectory

HOME_TIMEOUT_SECONDS = 0.5
RELAY_POLL_SECONDS = 1.0
RELAY_TIMEOUT_SECONDS = 2.0
MAX_FAILED_RELAY_READS = 2
MAX_TAKEOVERS = 3
ABANDON_GRACE_SECONDS = 3.0
# A request without a key cannot be joined by a retry.
ABANDON_GRACE_WITHOUT_KEY_SECONDS = 0.1
HOME_REPORT_POLL_SECONDS = 0.25
IDLE_POLL_SECONDS = 0.05
MAX_RETAINED_BYTES = 64 * 1024 * 1024
EVICTION_INTERVAL_SECONDS = 5.0

_log = get_part_logger("request")


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedRequest:
    """A request that this router runs, relays or has finished."""

    request: ChatRequest
    log: AnswerLog
    task: asyncio.Task[None] | None = None
    finished_at_seconds: float = 0.0


class ChatService:
    """Runs chat requests and retains their answers for retries."""

    __slots__ = (
        "_budget",
        "_clock",
        "_fleet",
        "_max_retained_bytes",
        "_metrics",
        "_request_directory",
        "_requests",
        "_retention_seconds",
        "_runner",
    )

    def __init__(
        self,
        *,
        budget: BudgetService,
        fleet: BudgetFleet,
        request_directory: RequestDirectory,
        runner: ChatRunner,
        clock: Clock,
        metrics: Metrics,
        retention_seconds: float,
        max_retained_bytes: int = MAX_RETAINED_BYTES,
    ):
        """Creates the service with no requests.

        Args:
            budget: Reserves and settles tokens.
            fleet: Sends messages to other routers.
            request_directory: Directory of the requests whose home is this router.
            runner: Runs requests at engines.
            clock: Source of time.
            metrics: Counters.
            retention_seconds: How long finished answers are retained for retries.
            max_retained_bytes: Memory for finished answers; the oldest go first.
        """
        self._max_retained_bytes = max_retained_bytes
        self._budget = budget
        self._fleet = fleet
        self._request_directory = request_directory
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._retention_seconds = retention_seconds
        self._requests: dict[tuple[str, str], TrackedRequest] = {}

    @property
    def active_count(self) -> int:
        """Number of requests that have not ended."""
        return sum(not tracked.log.finished for tracked in self._requests.values())

    @property
    def requests(self) -> dict[tuple[str, str], TrackedRequest]:
        """Requests of this router, by workspace and request id."""
        return self._requests

    @contextlib.contextmanager
    def open(self, request: ChatRequest) -> Iterator[AnswerLog]:
        """Starts a request, or joins the same request if it was started before.

        Args:
            request: The request.

        Yields:
            The log of its answer; the caller counts as a reader within the context.

        Raises:
            RequestError: If the id was used with another body, or the caller has events of
                another run.
        """
        tracked = self._requests.get(request.key)
        if tracked is None:
            tracked = TrackedRequest(request=request, log=AnswerLog())
            self._requests[request.key] = tracked
            tracked.task = asyncio.create_task(self._serve(tracked))
        elif tracked.request.body_hash != request.body_hash:
            raise RequestError(ResultCode.KEY_REUSED)
        elif request.resume_after and tracked.log.is_another_run:
            raise _make_unknown_run_error()
        else:
            self._metrics.count("request.joined")
        if request.resume_after:
            # The caller has events of a run, so another run must not replace it.
            tracked.log.mark_read()
        tracked.log.add_reader()
        try:
            yield tracked.log
        finally:
            tracked.log.remove_reader()

    async def handle_read_answer(self, sender: str, message: ReadAnswer) -> AnswerRead:
        """Returns new events of a request of this router to a peer, after a long poll."""
        tracked = self._requests.get((message.workspace, message.request_id))
        if tracked is None:
            return AnswerRead(found=False)
        tracked.log.add_reader()
        try:
            if tracked.log.last_event_id <= message.after_event_id and not tracked.log.finished:
                await tracked.log.wait_for_change(message.wait_seconds)
        finally:
            tracked.log.remove_reader()
        events = tracked.log.events[message.after_event_id :]
        if events:
            tracked.log.mark_read()
        return AnswerRead(
            found=True,
            events=events,
            finished=tracked.log.finished,
            failure=tracked.log.failure,
            is_another_run=tracked.log.is_another_run,
        )

    async def wait_until_idle(self) -> None:
        """Waits until every request has ended and has no readers."""
        while any(
            not tracked.log.finished or tracked.log.readers for tracked in self._requests.values()
        ):
            await asyncio.sleep(IDLE_POLL_SECONDS)

    async def evict_periodically(self) -> None:
        """Evicts retained answers periodically; runs until cancelled."""
        while True:
            await asyncio.sleep(EVICTION_INTERVAL_SECONDS)
            self.evict()

    def evict(self) -> None:
        """Evicts answers past their retention, and the oldest above the memory limit."""
        expiry_seconds = self._clock.monotonic_seconds() - self._retention_seconds
        finished = [
            (key, tracked)
            for key, tracked in self._requests.items()
            if tracked.log.finished and not tracked.log.readers
        ]
        total_bytes = sum(tracked.log.size_bytes for _, tracked in finished)
        finished.sort(key=lambda pair: pair[1].finished_at_seconds)
        for key, tracked in finished:
            is_recent = tracked.finished_at_seconds >= expiry_seconds
            if is_recent and total_bytes <= self._max_retained_bytes:
                return
            total_bytes -= tracked.log.size_bytes
            del self._requests[key]

    async def close(self) -> None:
        """Cancels all requests."""
        tasks = [tracked.task for tracked in self._requests.values() if tracked.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, tracked: TrackedRequest) -> None:
        """Serves a request; finishes its log on success, failure and cancellation."""
        try:
            await self._run_or_relay(tracked)
            tracked.log.finish()
        except RequestError as error:
            self._metrics.count(f"request.failed.{int(error.code)}")
            tracked.log.finish(describe_failure(error))
            if error.ran is Ran.NO or error.code is ResultCode.STREAM_ORIGIN_UNKNOWN:
                await self._remove_request(tracked)
        except asyncio.CancelledError:
            error = RequestError(ResultCode.STOPPING)
            error.note_possible_run()
            tracked.log.finish(describe_failure(error))
            raise
        except Exception:
            _log.exception("request failed", fields={"request": tracked.request.request_id})
            error = RequestError(ResultCode.INTERNAL_ERROR, ran=Ran.UNKNOWN)
            tracked.log.finish(describe_failure(error))
        finally:
            tracked.finished_at_seconds = self._clock.monotonic_seconds()

    async def _run_or_relay(self, tracked: TrackedRequest) -> None:
        """Runs the request on this router, or relays it from the router that runs it."""
        if not tracked.request.has_idempotency_key:
            if tracked.request.resume_after:
                raise RequestError(ResultCode.REQUEST_EXPIRED, ran=Ran.UNKNOWN)
            await self._run_locally(tracked, resume_server="")
            return
        replacing = ""
        for _ in range(MAX_TAKEOVERS):
            opened = await self._open_request_at_home(tracked.request, replacing)
            match opened.answer:
                case HomeAnswer.KEY_REUSED:
                    raise RequestError(ResultCode.KEY_REUSED)
                case HomeAnswer.NEW:
                    await self._run_locally(tracked, resume_server=opened.server)
                    return
                case HomeAnswer.ELSEWHERE:
                    if await self._relay(tracked, opened.router):
                        return
                    replacing = opened.router
        raise RequestError(ResultCode.ALREADY_RUNNING, ran=Ran.UNKNOWN, retry_after_seconds=1.0)

    async def _open_request_at_home(self, request: ChatRequest, replacing: str) -> RequestOpened:
        """Asks the request's home; if it does not respond, the request counts as new."""
        message = OpenRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            body_hash=request.body_hash,
            router=self._fleet.self_name,
            replacing=replacing,
        )
        home = self._find_home(request)
        if home == self._fleet.self_name:
            return self._request_directory.open(message)
        try:
            reply = await self._fleet.call(home, message, HOME_TIMEOUT_SECONDS)
        except PeerError:
            return RequestOpened(answer=HomeAnswer.NEW)
        return reply if isinstance(reply, RequestOpened) else RequestOpened(answer=HomeAnswer.NEW)

    async def _notify_home(self, request: ChatRequest, server: str) -> None:
        """Tells the home which server runs the request; an empty server means it was not run."""
        if not request.has_idempotency_key:
            return
        message = PlaceRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            router=self._fleet.self_name,
            server=server,
        )
        home = self._find_home(request)
        if home == self._fleet.self_name:
            self._request_directory.place(message)
            return
        with contextlib.suppress(PeerError):
            await self._fleet.call(home, message, HOME_TIMEOUT_SECONDS)

    def _find_home(self, request: ChatRequest) -> str:
        return self._fleet.find_home(f"request/{request.workspace}/{request.request_id}")

    async def _relay(self, tracked: TrackedRequest, router: str) -> bool:
        """Copies the answer from the router that runs the request.

        Returns:
            Whether the answer was relayed completely; False if the router does not respond or
            does not know the request.
        """
        self._metrics.count("request.relayed")
        failed_reads = 0
        while failed_reads < MAX_FAILED_RELAY_READS:
            message = ReadAnswer(
                workspace=tracked.request.workspace,
                request_id=tracked.request.request_id,
                after_event_id=tracked.log.last_event_id,
                wait_seconds=RELAY_POLL_SECONDS,
            )
            try:
                reply = await self._fleet.call(router, message, RELAY_TIMEOUT_SECONDS)
            except PeerError:
                failed_reads += 1
                continue
            if not isinstance(reply, AnswerRead) or not reply.found:
                return False
            failed_reads = 0
            if reply.is_another_run:
                tracked.log.mark_as_another_run()
                if tracked.request.resume_after:
                    raise _make_unknown_run_error()
            for event in reply.events:
                tracked.log.append_event(event)
            if reply.finished:
                if reply.failure is not None:
                    raise reply.failure.to_error()
                return True
        return False

    async def _run_locally(self, tracked: TrackedRequest, resume_server: str) -> None:
        """Reserves tokens for the request, runs it and bills it."""
        request = tracked.request
        reservation = await self._reserve(request)
        progress = RunProgress(request=request, log=tracked.log, limit_tokens=reservation.amount)
        run_task = asyncio.create_task(self._runner.run(progress, resume_server))
        abandon_task = asyncio.create_task(self._wait_until_abandoned(tracked))
        home_task = asyncio.create_task(self._report_server_to_home(progress))
        remaining_seconds = request.deadline_seconds - self._clock.monotonic_seconds()
        try:
            await asyncio.wait(
                (run_task, abandon_task),
                timeout=remaining_seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not run_task.done():
                await self._stop_run(run_task, progress)
        except asyncio.CancelledError:
            await self._stop_run(run_task, progress)
            raise
        finally:
            abandon_task.cancel()
            home_task.cancel()
            await self._settle(progress, reservation)
        if run_task.cancelled():
            ran = Ran.YES if progress.started else Ran.NO
            raise RequestError(ResultCode.DEADLINE_PASSED, ran=ran)
        try:
            run_task.result()
        except RequestError as error:
            if progress.started:
                error.note_possible_run()
            raise

    async def _reserve(self, request: ChatRequest) -> Reservation:
        """Reserves the maximum cost; counts the prompt exactly if the budget is nearly used up."""
        max_tokens = request.max_prompt_tokens + request.max_output_tokens
        if not self._budget.has_free_tokens(request.workspace, max_tokens):
            prompt_tokens = await self._runner.count_prompt_tokens(request)
            if prompt_tokens is not None:
                max_tokens = min(max_tokens, prompt_tokens + request.max_output_tokens)
        return await self._budget.reserve(request.workspace, max_tokens, request.deadline_seconds)

    async def _stop_run(self, run_task: asyncio.Task, progress: RunProgress) -> None:
        run_task.cancel()
        await asyncio.gather(run_task, return_exceptions=True)
        await self._runner.cancel(progress)

    async def _settle(self, progress: RunProgress, reservation: Reservation) -> None:
        """Bills the used tokens; releases the reservation if nothing was generated."""
        if progress.log.last_event_id == 0:
            self._budget.release(reservation)
            return
        bill = self._make_bill(progress, progress.request.request_id)
        recorded_bill = await self._budget.settle(reservation, bill)
        if recorded_bill is not None and recorded_bill.body_hash != bill.body_hash:
            _log.warning(
                "idempotency key was already used with another body",
                fields={"request": bill.request_id},
            )
            self._metrics.count("request.key_reused_late")

    def _make_bill(self, progress: RunProgress, request_id: str) -> Bill:
        request = progress.request
        return Bill(
            workspace=request.workspace,
            request_id=request_id,
            body_hash=request.body_hash,
            tokens=progress.used_tokens,
            charges=(),
            target=request.model,
            server=progress.server,
            router=self._fleet.self_name,
            finished_at=self._clock.wall_seconds(),
        )

    async def _report_server_to_home(self, progress: RunProgress) -> None:
        """Reports each server of the run to the home, where retries with the same key ask."""
        if not progress.request.has_idempotency_key:
            return
        reported_server = ""
        while not progress.completed:
            if progress.server != reported_server:
                reported_server = progress.server
                await self._notify_home(progress.request, reported_server)
            await progress.log.wait_for_change(HOME_REPORT_POLL_SECONDS)

    async def _wait_until_abandoned(self, tracked: TrackedRequest) -> None:
        """Returns when the answer has had no readers for the grace period."""
        grace_seconds = (
            ABANDON_GRACE_SECONDS
            if tracked.request.has_idempotency_key
            else ABANDON_GRACE_WITHOUT_KEY_SECONDS
        )
        while True:
            while tracked.log.readers:
                await tracked.log.wait_for_reader_change()
            await tracked.log.wait_for_reader_change(grace_seconds)
            if not tracked.log.readers:
                self._metrics.count("request.abandoned")
                return

    async def _remove_request(self, tracked: TrackedRequest) -> None:
        """Removes a request that did not run, so that a retry starts it anew."""
        if self._requests.get(tracked.request.key) is tracked:
            del self._requests[tracked.request.key]
        await self._notify_home(tracked.request, "")


def _make_unknown_run_error() -> RequestError:
    """Returns the error for a caller whose events may be of another run than those that follow."""
    return RequestError(ResultCode.STREAM_ORIGIN_UNKNOWN, ran=Ran.UNKNOWN, retry_after_seconds=1.0)
