"""Serves chat requests: one run for each request id, joined by every caller who asks for it.

The run is a task of its own, apart from its callers' connections. A retry at this router joins
its log; a retry at another router is relayed from here. The tokens are reserved before the run
and billed once after it, and the end of the answer is released only after that.
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
from .answer import AnswerLog
from .chat_request import ChatRequest
from .chat_run import ChatRunner, RunProgress
from .home import RequestDirectory
from .messages import (
    AnswerRead,
    HomeAnswer,
    OpenRequest,
    PlaceRequest,
    ReadAnswer,
    RequestOpened,
    describe_failure,
)

HOME_TIMEOUT_SECONDS = 0.5
RELAY_WAIT_SECONDS = 1.0
RELAY_TIMEOUT_SECONDS = 2.0
MAX_TAKEOVERS = 3
ABANDON_GRACE_SECONDS = 3.0
MAX_RETAINED_BYTES = 64 * 1024 * 1024
REAP_SECONDS = 5.0

_log = get_part_logger("request")


@dataclasses.dataclass(slots=True, kw_only=True)
class LocalRun:
    """A request that this process runs, relays or has finished."""

    request: ChatRequest
    log: AnswerLog
    task: asyncio.Task[None] | None = None
    finished_at_seconds: float = 0.0


class ChatService:
    """Opens chat requests and keeps their answers for retries."""

    __slots__ = (
        "_budget",
        "_clock",
        "_fleet",
        "_home",
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
            fleet: Other routers.
            home: Requests whose home is this process.
            runner: Runs requests at engines.
            clock: Source of time.
            metrics: Counters.
            retention_seconds: How long finished answers are kept for retries.
        """
        self._budget = budget
        self._fleet = fleet
        self._home = home
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._retention_seconds = retention_seconds
        self._runs: dict[tuple[str, str], LocalRun] = {}

    @property
    def active_count(self) -> int:
        """Number of requests that have not ended."""
        return sum(not run.log.finished for run in self._runs.values())

    @property
    def runs(self) -> dict[tuple[str, str], LocalRun]:
        """Requests known here, by workspace and request id."""
        return self._runs

    @contextlib.contextmanager
    def open(self, request: ChatRequest) -> Iterator[AnswerLog]:
        """Joins the run of a request, or starts it.

        Args:
            request: The request.

        Yields:
            The log of its answer; leaving the context ends this caller's reading.

        Raises:
            RequestError: If the same id was used with another body.
        """
        run = self._runs.get(request.key)
        if run is None:
            run = LocalRun(request=request, log=AnswerLog())
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
        """Lets a peer read the answer of a request that runs here."""
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
        """Waits until every request has ended and was read by its callers."""
        while any(not run.log.finished or run.log.readers for run in self._runs.values()):
            await asyncio.sleep(0.05)

    async def evict_periodically(self) -> None:
        """Forgets old answers again and again; runs until cancelled."""
        while True:
            await asyncio.sleep(REAP_SECONDS)
            self.reap()

    def reap(self) -> None:
        """Forgets answers that are older than the retention or exceed the memory limit."""
        oldest_allowed = self._clock.monotonic_seconds() - self._retention_seconds
        finished = [
            (key, run)
            for key, run in self._runs.items()
            if run.log.finished and not run.log.readers
        ]
        total_bytes = sum(run.log.size_bytes for _, run in finished)
        finished.sort(key=lambda pair: pair[1].finished_at_seconds)
        for key, run in finished:
            if run.finished_at_seconds >= oldest_allowed and total_bytes <= MAX_RETAINED_BYTES:
                return
            total_bytes -= run.log.size_bytes
            del self._runs[key]

    async def close(self) -> None:
        """Stops all runs."""
        tasks = [run.task for run in self._runs.values() if run.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, run: LocalRun) -> None:
        """Brings a request to its end; whatever happens, the log is finished."""
        try:
            await self._place_and_run(run)
            run.log.finish()
        except RequestError as error:
            self._metrics.count(f"request.failed.{int(error.code)}")
            run.log.finish(describe_failure(error))
            if error.ran is Ran.NO:
                await self._forget(run)
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

    async def _place_and_run(self, run: LocalRun) -> None:
        """Runs the request here, or relays it while another router runs it."""
        if not run.request.has_idempotency_key:
            await self._run_here(run, resume_at="")
            return
        replacing = ""
        for _ in range(MAX_TAKEOVERS):
            opened = await self._open_at_home(run.request, replacing)
            match opened.answer:
                case HomeAnswer.KEY_REUSED:
                    raise RequestError(ResultCode.KEY_REUSED)
                case HomeAnswer.NEW:
                    await self._run_here(run, resume_at=opened.server)
                    return
                case HomeAnswer.ELSEWHERE:
                    if await self._relay(run, opened.router):
                        return
                    replacing = opened.router
        raise RequestError(ResultCode.ALREADY_RUNNING, ran=Ran.UNKNOWN, retry_after_seconds=1.0)

    async def _open_at_home(self, request: ChatRequest, replacing: str) -> RequestOpened:
        """Asks the request's home; while it is silent the request counts as new."""
        message = OpenRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            body_hash=request.body_hash,
            router=self._fleet.self_name,
            replacing=replacing,
        )
        home = self._find_home(request)
        if home == self._fleet.self_name:
            return self._home.open(message)
        try:
            reply = await self._fleet.call(home, message, HOME_TIMEOUT_SECONDS)
        except PeerError:
            return RequestOpened(answer=HomeAnswer.NEW)
        return reply if isinstance(reply, RequestOpened) else RequestOpened(answer=HomeAnswer.NEW)

    async def _tell_home(self, request: ChatRequest, server: str) -> None:
        """Tells the home where the request runs; an empty server says that it was not run."""
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
            self._home.place(message)
            return
        with contextlib.suppress(PeerError):
            await self._fleet.call(home, message, HOME_TIMEOUT_SECONDS)

    def _find_home(self, request: ChatRequest) -> str:
        return self._fleet.find_home(f"request/{request.workspace}/{request.request_id}")

    async def _relay(self, run: LocalRun, router: str) -> bool:
        """Copies the answer from the router that runs the request.

        Returns:
            Whether the answer was relayed to its end; False when the router is silent or does not
            know the request.
        """
        self._metrics.count("request.relayed")
        failures = 0
        while failures < 2:
            message = ReadAnswer(
                workspace=run.request.workspace,
                request_id=run.request.request_id,
                after_event_id=run.log.last_event_id,
                wait_seconds=RELAY_WAIT_SECONDS,
            )
            try:
                reply = await self._fleet.call(router, message, RELAY_TIMEOUT_SECONDS)
            except PeerError:
                failures += 1
                continue
            if not isinstance(reply, AnswerRead) or not reply.found:
                return False
            failures = 0
            for event in reply.events:
                run.log.append_event(event)
            if reply.finished:
                if reply.failure is not None:
                    raise reply.failure.to_error()
                return True
        return False

    async def _run_here(self, run: LocalRun, resume_at: str) -> None:
        """Reserves, runs and bills the request."""
        request = run.request
        reservation = await self._reserve(request)
        progress = RunProgress(request=request, log=run.log, limit_tokens=reservation.amount)
        work = asyncio.create_task(self._runner.run(progress, resume_at))
        watch = asyncio.create_task(self._watch_callers(run))
        tell = asyncio.create_task(self._tell_home_when_placed(progress))
        left_seconds = request.deadline_seconds - self._clock.monotonic_seconds()
        try:
            await asyncio.wait(
                (work, watch), timeout=left_seconds, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                await self._stop_run(work, progress)
        except asyncio.CancelledError:
            await self._stop_run(work, progress)
            raise
        finally:
            watch.cancel()
            tell.cancel()
            await self._settle(progress, reservation)
        if work.cancelled():
            ran = Ran.YES if progress.started else Ran.NO
            raise RequestError(ResultCode.DEADLINE_PASSED, ran=ran)
        try:
            work.result()
        except RequestError as error:
            if progress.started and error.ran is Ran.NO:
                error.ran = Ran.UNKNOWN
            raise

    async def _reserve(self, request: ChatRequest) -> Reservation:
        """Reserves the greatest cost; near the end of a budget the prompt is counted exactly."""
        bound = request.max_prompt_tokens + request.max_output_tokens
        if not self._budget.has_free_tokens(request.workspace, bound):
            exact = await self._runner.count_prompt_tokens(request)
            if exact is not None:
                bound = min(bound, exact + request.max_output_tokens)
        return await self._budget.reserve(request.workspace, bound, request.deadline_seconds)

    async def _stop_run(self, work: asyncio.Task, progress: RunProgress) -> None:
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        await self._runner.cancel(progress)

    async def _settle(self, progress: RunProgress, reservation: Reservation) -> None:
        """Bills once what was generated; a request that generated nothing costs nothing."""
        if progress.log.last_event_id == 0:
            self._budget.release(reservation)
            return
        bill = self._make_bill(progress, progress.request.request_id)
        standing = await self._budget.settle(reservation, bill)
        if standing is not None and standing.body_hash != bill.body_hash:
            _log.warning(
                "key was used before with another body", fields={"request": bill.request_id}
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

    async def _tell_home_when_placed(self, progress: RunProgress) -> None:
        """Tells the home each server that the run moves to, if a retry may ask there."""
        if not progress.request.has_idempotency_key:
            return
        told = ""
        while not progress.ended:
            if progress.server != told:
                told = progress.server
                await self._tell_home(progress.request, told)
            await progress.log.wait_for_change(0.25)

    async def _watch_callers(self, run: LocalRun) -> None:
        """Returns once no caller has read the answer for a while."""
        grace = ABANDON_GRACE_SECONDS if run.request.has_idempotency_key else 0.1
        while True:
            while run.log.readers:
                await run.log.wait_for_readers()
            await run.log.wait_for_readers(grace)
            if not run.log.readers:
                self._metrics.count("request.abandoned")
                return

    async def _forget(self, run: LocalRun) -> None:
        """Lets a request that did not run be tried again."""
        if self._runs.get(run.request.key) is run:
            del self._runs[run.request.key]
        await self._tell_home(run.request, "")
