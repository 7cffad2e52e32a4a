"""Serves calls of plain services, those that must not run twice among them.

A call that may not be repeated is claimed in the store before its first byte is sent, and sent
at most once. Its answer is kept with its bill, so that a retry at any router gets the same
answer. Where the outcome cannot be known, that is what the caller is told, and nothing is sent
again.
"""

import asyncio
import dataclasses

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    PeerError,
    RequestError,
    ServerConnectionLostError,
    ServerError,
    ServerUnreachableError,
)
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran, ResultCode

from ..backend.directory import BackendDirectory
from ..backend.dispatcher import Dispatcher, WorkItem
from ..backend.engine_port import ServiceCall, ServicePort, ServiceResponse
from ..backend.server_state import ServerState
from ..budget.account import ClaimAnswered, ClaimRequest, ReleaseClaim
from ..budget.grant_pool import Reservation
from ..budget.peers import BudgetFleet
from ..budget.service import BudgetService
from ..budget.slot import Bill, Slot, StoredOutcome
from ..budget.submitter import ChangeSubmitter
from .messages import OutcomeRead, ReadOutcome, describe_failure

MAX_RUNS = 4
MAX_STORED_BODY_BYTES = 8192
OUTCOME_WAIT_SECONDS = 1.0
OUTCOME_TIMEOUT_SECONDS = 2.0
CLAIM_SECONDS = 3.0
FLUSH_SECONDS = 1.0
RETRY_AFTER_SECONDS = 2.0
UNKNOWN_STATUS = 0

_log = get_part_logger("request")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """A checked call of a plain service.

    Attributes:
        workspace: Who calls and pays.
        request_id: Identity within the workspace.
        key_supplied: Whether the caller chose the identity and may retry with it.
        body_hash: Digest of method, path, query and body.
        service: Name of the service.
        servers: Servers of the service.
        call: What is sent.
        idempotent: Whether the call may be sent again.
        price_tokens: What it costs.
        priority: Higher goes first, from 0 to 9.
        deadline_seconds: Monotonic time by which the answer is of use.
    """

    workspace: str
    request_id: str
    has_idempotency_key: bool
    body_hash: str
    service: str
    servers: list[str]
    call: ServiceCall
    idempotent: bool
    price_tokens: int
    priority: int
    deadline_seconds: float

    @property
    def key(self) -> tuple[str, str]:
        """Identity across workspaces."""
        return (self.workspace, self.request_id)


@dataclasses.dataclass(slots=True, kw_only=True)
class RunningCall:
    """A keyed call that this process serves or has served."""

    request: CallRequest
    task: asyncio.Task[ServiceResponse]
    claim_id: str = ""
    finished_at_seconds: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SendState:
    """Whether any byte of a call can have reached a server."""

    may_have_run: bool = False


class CallService:
    """Serves calls of plain services."""

    __slots__ = (
        "_active",
        "_budget",
        "_calls",
        "_claim_sequence",
        "_clock",
        "_directory",
        "_dispatcher",
        "_fleet",
        "_metrics",
        "_retention_seconds",
        "_services",
        "_submitter",
        "_unreleased",
    )

    def __init__(
        self,
        *,
        budget: BudgetService,
        submitter: ChangeSubmitter,
        fleet: BudgetFleet,
        services: ServicePort,
        directory: BackendDirectory,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        retention_seconds: float,
    ):
        """Creates the service with no calls."""
        self._budget = budget
        self._submitter = submitter
        self._fleet = fleet
        self._services = services
        self._directory = directory
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._retention_seconds = retention_seconds
        self._calls: dict[tuple[str, str], RunningCall] = {}
        self._unreleased: dict[str, ReleaseClaim] = {}
        self._claim_sequence = 0
        self._active = 0

    @property
    def active_count(self) -> int:
        """Number of calls in progress."""
        return self._active

    async def call(self, request: CallRequest) -> ServiceResponse:
        """Serves one call; a retry with the same key gets the same answer.

        Args:
            request: The call.

        Returns:
            The server's whole answer.

        Raises:
            RequestError: If there is none; it says whether the call can have run.
        """
        self._active += 1
        try:
            if not request.has_idempotency_key:
                return await self._run(request, claim_id="")
            return await self._join_or_run(request)
        finally:
            self._active -= 1

    async def handle_read_outcome(self, sender: str, message: ReadOutcome) -> OutcomeRead:
        """Tells a peer how a call that was claimed here stands."""
        if message.claim_id in self._unreleased:
            return OutcomeRead(never_sent=True)
        running = self._calls.get((message.workspace, message.request_id))
        if running is None or running.claim_id != message.claim_id:
            return OutcomeRead()
        await asyncio.wait([running.task], timeout=message.wait_seconds)
        if not running.task.done():
            return OutcomeRead(running=True)
        if running.task.cancelled():
            return OutcomeRead()
        error = running.task.exception()
        if isinstance(error, RequestError):
            return OutcomeRead(failure=describe_failure(error))
        if error is not None:
            return OutcomeRead()
        return OutcomeRead(outcome=_store_answer(running.task.result()))

    async def run_maintenance(self) -> None:
        """Submits releases of unused claims and forgets old calls; runs until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            await self.submit_pending_releases()
            oldest_allowed = self._clock.monotonic_seconds() - self._retention_seconds
            for key, running in list(self._calls.items()):
                if running.task.done() and running.finished_at_seconds < oldest_allowed:
                    del self._calls[key]

    async def submit_pending_releases(self) -> None:
        """Submits once all releases that the store has not taken yet."""
        for claim_id, release in list(self._unreleased.items()):
            (result,) = await self._submitter.submit(release.workspace, [release])
            if isinstance(result, ClaimAnswered):
                self._unreleased.pop(claim_id, None)

    async def wait_until_idle(self) -> None:
        """Waits until no call is in progress."""
        while self._active:
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Stops all calls; those that were sent have an unknown outcome."""
        tasks = [running.task for running in self._calls.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _join_or_run(self, request: CallRequest) -> ServiceResponse:
        """Runs a keyed call in a task of its own, which a caller's hanging up does not stop."""
        running = self._calls.get(request.key)
        if running is None:
            task = asyncio.create_task(self._run_keyed(request))
            running = RunningCall(request=request, task=task)
            self._calls[request.key] = running
        elif running.request.body_hash != request.body_hash:
            raise RequestError(ResultCode.KEY_REUSED)
        else:
            self._metrics.count("request.joined")
        return await asyncio.shield(running.task)

    async def _run_keyed(self, request: CallRequest) -> ServiceResponse:
        self._active += 1
        try:
            if request.idempotent:
                return await self._run(request, claim_id="")
            return await self._claim_and_run(request)
        except RequestError as error:
            if error.ran is Ran.NO:
                # A call that did not run may be tried again with the same key.
                self._calls.pop(request.key, None)
            raise
        finally:
            self._active -= 1
            running = self._calls.get(request.key)
            if running is not None:
                running.finished_at_seconds = self._clock.monotonic_seconds()

    async def _claim_and_run(self, request: CallRequest) -> ServiceResponse:
        """Runs a call that must not run twice, if the claim on it is granted."""
        reservation = await self._reserve(request)
        try:
            claim_id = await self._claim(request)
        except BaseException:
            self._budget.release(reservation)
            raise
        if isinstance(claim_id, ServiceResponse):
            self._budget.release(reservation)
            return claim_id
        self._calls[request.key].claim_id = claim_id
        return await self._run(request, claim_id=claim_id, reservation=reservation)

    async def _claim(self, request: CallRequest) -> str | ServiceResponse:
        """Claims a call in the store.

        Returns:
            The id of the granted claim, or the recorded answer of an earlier try.

        Raises:
            RequestError: If the claim is refused or cannot be recorded.
        """
        while True:
            slot, claim_id = await self._submit_claim(request)
            if slot.is_held_by(claim_id):
                return claim_id
            if slot.body_hash and slot.body_hash != request.body_hash:
                raise RequestError(ResultCode.KEY_REUSED)
            if slot.bill is not None:
                return self._replay(slot.bill.outcome)
            answer = await self._ask_claimer(request, slot)
            if answer is not None:
                return answer

    async def _submit_claim(self, request: CallRequest) -> tuple[Slot, str]:
        self._claim_sequence += 1
        claim_id = f"{self._fleet.self_name}/{self._claim_sequence}"
        change = ClaimRequest(
            workspace=request.workspace,
            request_id=request.request_id,
            body_hash=request.body_hash,
            claim_id=claim_id,
            claimed_by=self._fleet.self_name,
            claimed_at=self._clock.wall_seconds(),
        )
        left_seconds = request.deadline_seconds - self._clock.monotonic_seconds()
        result = None
        try:
            async with asyncio.timeout(max(0.0, min(CLAIM_SECONDS, left_seconds))):
                (result,) = await self._submitter.submit(request.workspace, [change])
        except TimeoutError:
            pass
        if isinstance(result, ClaimAnswered):
            return result.slot, claim_id
        # The claim may be recorded all the same; nothing was sent under it, so it is given back.
        self._release_later(request, claim_id)
        raise RequestError(ResultCode.STORE_UNAVAILABLE, retry_after_seconds=RETRY_AFTER_SECONDS)

    async def _ask_claimer(self, request: CallRequest, slot: Slot) -> ServiceResponse | None:
        """Asks the router that holds the claim how the call ended.

        Returns:
            The answer, or None when the claim was proven unused and may be claimed again.

        Raises:
            RequestError: If the call failed there, or its outcome cannot be known in time.
        """
        message = ReadOutcome(
            workspace=request.workspace,
            request_id=request.request_id,
            claim_id=slot.claim_id,
            wait_seconds=OUTCOME_WAIT_SECONDS,
        )
        while self._clock.monotonic_seconds() < request.deadline_seconds:
            reply = await self._read_outcome(slot.claimed_by, message)
            if reply.never_sent:
                release = ReleaseClaim(
                    workspace=request.workspace,
                    request_id=request.request_id,
                    claim_id=slot.claim_id,
                )
                await self._submitter.submit(request.workspace, [release])
                return None
            if reply.failure is not None:
                raise reply.failure.to_error()
            if reply.outcome is not None:
                return self._replay(reply.outcome)
            if not reply.running:
                break
        raise RequestError(
            ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN, retry_after_seconds=RETRY_AFTER_SECONDS
        )

    async def _read_outcome(self, claimer: str, message: ReadOutcome) -> OutcomeRead:
        """Asks a router for an outcome; a silent one knows nothing."""
        if claimer == self._fleet.self_name:
            return await self.handle_read_outcome(claimer, message)
        try:
            reply = await self._fleet.call(claimer, message, OUTCOME_TIMEOUT_SECONDS)
        except PeerError:
            return OutcomeRead()
        return reply if isinstance(reply, OutcomeRead) else OutcomeRead()

    def _replay(self, outcome: StoredOutcome | None) -> ServiceResponse:
        """Returns the recorded answer of an earlier try.

        Raises:
            RequestError: If the outcome is unknown or the answer was not kept.
        """
        if outcome is None or outcome.status == UNKNOWN_STATUS:
            raise RequestError(ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)
        if outcome.body is None:
            raise RequestError(ResultCode.REQUEST_EXPIRED, ran=Ran.YES)
        self._metrics.count("request.replayed")
        return ServiceResponse(
            status=outcome.status, content_type=outcome.content_type, body=outcome.body
        )

    async def _run(
        self, request: CallRequest, *, claim_id: str, reservation: Reservation | None = None
    ) -> ServiceResponse:
        """Sends the call, to another server again only where that cannot run it twice."""
        if reservation is None:
            reservation = await self._reserve(request)
        sending = SendState()
        try:
            return await self._send_to_servers(request, reservation, sending)
        except RequestError as error:
            if sending.may_have_run and error.ran is Ran.NO:
                error.ran = Ran.UNKNOWN
            raise
        finally:
            # Releasing after the settlement changes nothing.
            self._budget.release(reservation)
            if claim_id and not sending.may_have_run:
                self._release_later(request, claim_id)

    async def _send_to_servers(
        self, request: CallRequest, reservation: Reservation, sending: SendState
    ) -> ServiceResponse:
        failed_servers: set[str] = set()
        for attempt in range(MAX_RUNS):
            server = await self._dispatcher.acquire(
                _make_item(request, failed_servers), is_retry=attempt > 0
            )
            left_seconds = request.deadline_seconds - self._clock.monotonic_seconds()
            sent_before = sending.may_have_run
            sending.may_have_run = True
            try:
                answer = await self._services.call(server.url, request.call, left_seconds)
            except ServerUnreachableError as error:
                sending.may_have_run = sent_before
                self._note_failure(request, server, error, failed_servers)
                continue
            except ServerConnectionLostError as error:
                self._note_failure(request, server, error, failed_servers)
                if request.idempotent:
                    continue
                await self._settle(request, reservation, server.name, None)
                raise RequestError(ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN) from error
            finally:
                self._dispatcher.release(server)
            await self._settle(request, reservation, server.name, answer)
            return answer
        raise RequestError(ResultCode.SERVER_FAILED, retry_after_seconds=1.0)

    async def _reserve(self, request: CallRequest) -> Reservation:
        return await self._budget.reserve(
            request.workspace, request.price_tokens, request.deadline_seconds
        )

    async def _settle(
        self,
        request: CallRequest,
        reservation: Reservation,
        server: str,
        answer: ServiceResponse | None,
    ) -> None:
        """Bills the call with its answer; a call whose outcome is unknown counts as run."""
        bill = Bill(
            workspace=request.workspace,
            request_id=request.request_id,
            body_hash=request.body_hash,
            tokens=request.price_tokens,
            charges=(),
            target=request.service,
            server=server,
            router=self._fleet.self_name,
            finished_at=self._clock.wall_seconds(),
            outcome=_store_answer(answer),
        )
        await self._budget.settle(reservation, bill)

    def _note_failure(
        self,
        request: CallRequest,
        server: ServerState,
        error: ServerError,
        failed_servers: set[str],
    ) -> None:
        server.record_failure(self._clock.monotonic_seconds())
        failed_servers.add(server.name)
        _log.info(
            "call failed",
            fields={"request": request.request_id, "server": server.name, "error": error},
        )

    def _release_later(self, request: CallRequest, claim_id: str) -> None:
        """Gives a claim back under which nothing was sent."""
        self._unreleased[claim_id] = ReleaseClaim(
            workspace=request.workspace, request_id=request.request_id, claim_id=claim_id
        )


def _store_answer(answer: ServiceResponse | None) -> StoredOutcome:
    """Returns the form of an answer that is kept with its bill; None stands for unknown."""
    if answer is None:
        return StoredOutcome(status=UNKNOWN_STATUS, content_type="", body=None)
    body = answer.body if len(answer.body) <= MAX_STORED_BODY_BYTES else None
    return StoredOutcome(status=answer.status, content_type=answer.content_type, body=body)


def _make_item(request: CallRequest, failed_servers: set[str]) -> WorkItem:
    return WorkItem(
        workspace=request.workspace,
        servers=request.servers,
        model=None,
        prefix_hash="",
        priority=request.priority,
        cost_tokens=request.price_tokens,
        deadline_seconds=request.deadline_seconds,
        exclude=frozenset(failed_servers),
    )
