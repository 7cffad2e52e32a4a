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
from .chat_run import ChatRunner, RunProgress
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
class ChatRun:
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
        "_directory",
        "_fleet",
        "_metrics",
        "_retention_seconds",
        "_runner",
        "_runs",
    )

    def __init__(
        self,
        *,
        budget: BudgetService,
        fleet: BudgetFleet,
        home: RequestDirectory,
        runner: ChatRunner,
        clock: Clock,
        metrics: Metrics,
        retention_seconds: float,
    ):
        """Creates the service with no requests.

        Args:
            budget: Reserves and settles tokens.
            fleet: Sends messages to other routers.
            home: Directory of the requests whose home is this router.
            runner: Runs requests at engines.
            clock: Source of time.
            metrics: Counters.
            retention_seconds: How long finished answers are retained for retries.
        """
        self._budget = budget
        self._fleet = fleet
        self._directory = home
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._retention_seconds = retention_seconds
        self._runs: dict[tuple[str, str], ChatRun] = {}

    @property
    def active_count(self) -> int:
        """Number of requests that have not ended."""
        return sum(not run.log.finished for run in self._runs.values())

    @property
    def runs(self) -> dict[tuple[str, str], ChatRun]:
        """Requests of this router, by workspace and request id."""
        return self._runs

    @contextlib.contextmanager
    def open(self, request: ChatRequest) -> Iterator[AnswerLog]:
        """Starts the run of a request, or joins the existing run.

        Args:
            request: The request.

        Yields:
            The log of its answer; the caller counts as a reader within the context.

        Raises:
            RequestError: If the id was used with another body.
        """
        run = self._runs.get(request.key)
        if run is None:
            run = ChatRun(request=request, log=AnswerLog())
            self._runs[request.key] = run
            run.task = asyncio.create_task(self._serve(run))
        elif run.request.body_hash != request.body_hash:
            raise RequestError(ResultCode.KEY_REUSED)
        else:
            self._metrics.count("request.joined")
        run.log.add_reader()
        try:
            yield run.log
        finally:
            run.log.remove_reader()

    async def handle_read_answer(self, sender: str, message: ReadAnswer) -> AnswerRead:
        """Returns new events of a request of this router to a peer, after a long poll."""
        run = self._runs.get((message.workspace, message.request_id))
        if run is None:
            return AnswerRead(found=False)
        run.log.add_reader()
        try:
            if run.log.last_event_id <= message.after_event_id and not run.log.finished:
                await run.log.wait_for_change(message.wait_seconds)
        finally:
            run.log.remove_reader()
        events = run.log.events[message.after_event_id :]
        if events:
            run.log.mark_read()
        return AnswerRead(
            found=True, events=events, finished=run.log.finished, failure=run.log.failure
        )

    async def wait_until_idle(self) -> None:
        """Waits until every request has ended and has no readers."""
        while any(not run.log.finished or run.log.readers for run in self._runs.values()):
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
            (key, run)
            for key, run in self._runs.items()
            if run.log.finished and not run.log.readers
        ]
        total_bytes = sum(run.log.size_bytes for _, run in finished)
        finished.sort(key=lambda pair: pair[1].finished_at_seconds)
        for key, run in finished:
            if run.finished_at_seconds >= expiry_seconds and total_bytes <= MAX_RETAINED_BYTES:
                return
            total_bytes -= run.log.size_bytes
            del self._runs[key]

    async def close(self) -> None:
        """Cancels all runs."""
        tasks = [run.task for run in self._runs.values() if run.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, run: ChatRun) -> None:
        """Serves a request; finishes its log on success, failure and cancellation."""
        try:
            await self._run_or_relay(run)
            run.log.finish()
        except RequestError as error:
            self._metrics.count(f"request.failed.{int(error.code)}")
            run.log.finish(describe_failure(error))
            if error.ran is Ran.NO:
                await self._remove_run(run)
        except asyncio.CancelledError:
            error = RequestError(ResultCode.STOPPING, ran=Ran.UNKNOWN)
            run.log.finish(describe_failure(error))
            raise
        except Exception:
            _log.exception("request failed", fields={"request": run.request.request_id})
            error = RequestError(ResultCode.INTERNAL_ERROR, ran=Ran.UNKNOWN)
            run.log.finish(describe_failure(error))
        finally:
            run.finished_at_seconds = self._clock.monotonic_seconds()

    async def _run_or_relay(self, run: ChatRun) -> None:
        """Runs the request on this router, or relays it from the router that runs it."""
        if not run.request.has_idempotency_key:
            await self._run_locally(run, resume_server="")
            return
        replacing = ""
        for _ in range(MAX_TAKEOVERS):
            opened = await self._open_request_at_home(run.request, replacing)
            match opened.answer:
                case HomeAnswer.KEY_REUSED:
                    raise RequestError(ResultCode.KEY_REUSED)
                case HomeAnswer.NEW:
                    await self._run_locally(run, resume_server=opened.server)
                    return
                case HomeAnswer.ELSEWHERE:
                    if await self._relay(run, opened.router):
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
            return self._directory.open(message)
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
            self._directory.place(message)
            return
        with contextlib.suppress(PeerError):
            await self._fleet.call(home, message, HOME_TIMEOUT_SECONDS)

    def _find_home(self, request: ChatRequest) -> str:
        return self._fleet.find_home(f"request/{request.workspace}/{request.request_id}")

    async def _relay(self, run: ChatRun, router: str) -> bool:
        """Copies the answer from the router that runs the request.

        Returns:
            Whether the answer was relayed completely; False if the router does not respond or
            does not know the request.
        """
        self._metrics.count("request.relayed")
        failed_reads = 0
        while failed_reads < MAX_FAILED_RELAY_READS:
            message = ReadAnswer(
                workspace=run.request.workspace,
                request_id=run.request.request_id,
                after_event_id=run.log.last_event_id,
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
            for event in reply.events:
                run.log.append_event(event)
            if reply.finished:
                if reply.failure is not None:
                    raise reply.failure.to_error()
                return True
        return False

    async def _run_locally(self, run: ChatRun, resume_server: str) -> None:
        """Reserves tokens for the request, runs it and bills it."""
        request = run.request
        reservation = await self._reserve(request)
        progress = RunProgress(request=request, log=run.log, limit_tokens=reservation.amount)
        run_task = asyncio.create_task(self._runner.run(progress, resume_server))
        abandon_task = asyncio.create_task(self._wait_until_abandoned(run))
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
            if progress.started and error.ran is Ran.NO:
                error.ran = Ran.UNKNOWN
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

    async def _wait_until_abandoned(self, run: ChatRun) -> None:
        """Returns when the answer has had no readers for the grace period."""
        grace_seconds = (
            ABANDON_GRACE_SECONDS
            if run.request.has_idempotency_key
            else ABANDON_GRACE_WITHOUT_KEY_SECONDS
        )
        while True:
            while run.log.readers:
                await run.log.wait_for_reader_change()
            await run.log.wait_for_reader_change(grace_seconds)
            if not run.log.readers:
                self._metrics.count("request.abandoned")
                return

    async def _remove_run(self, run: ChatRun) -> None:
        """Removes a request that did not run, so that a retry starts it anew."""
        if self._runs.get(run.request.key) is run:
            del self._runs[run.request.key]
        await self._notify_home(run.request, "")
