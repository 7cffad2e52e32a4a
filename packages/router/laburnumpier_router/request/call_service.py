"""Serves service calls, with at-most-once execution of non-idempotent calls that have a key.

Such a call is claimed in the store before its first byte is sent, and sent at most once. Its
response is stored with its bill, so that a retry at any router gets the same response. If the
outcome cannot be determined, the caller gets the result code `OUTCOME_UNKNOWN` and the call is
not sent again.
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

MAX_ATTEMPTS = 4
MAX_STORED_BODY_BYTES = 8192
OUTCOME_POLL_SECONDS = 1.0
OUTCOME_TIMEOUT_SECONDS = 2.0
CLAIM_TIMEOUT_SECONDS = 3.0
MAINTENANCE_INTERVAL_SECONDS = 1.0
IDLE_POLL_SECONDS = 0.05
RETRY_AFTER_SECONDS = 2.0
# Status of a stored outcome that is unknown.
UNKNOWN_STATUS = 0

_log = get_part_logger("request")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """A validated service call.

    Attributes:
        workspace: Workspace that sends the call and is billed.
        request_id: Id of the request, unique within the workspace.
        has_idempotency_key: Whether the caller supplied the id as an idempotency key.
        body_hash: Hash of method, service, path, query and body, to detect a reused key.
        service: Name of the service.
        servers: Servers of the service.
        call: HTTP request sent to the server.
        idempotent: Whether the call may be sent more than once.
        price_tokens: Tokens billed for the call.
        priority: From 0 to 9; higher values are served first.
        deadline_seconds: Deadline, on the monotonic clock.
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
        """Workspace and request id, unique across workspaces."""
        return (self.workspace, self.request_id)


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyedCall:
    """A call with an idempotency key that this router serves or has served."""

    request: CallRequest
    task: asyncio.Task[ServiceResponse]
    claim_id: str = ""
    finished_at_seconds: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SendProgress:
    """Whether a server may have received any byte of a call."""

    may_have_run: bool = False


class CallService:
    """Serves service calls."""

    __slots__ = (
        "_active_count",
        "_budget",
        "_calls",
        "_claim_sequence",
        "_clock",
        "_directory",
        "_dispatcher",
        "_fleet",
        "_metrics",
        "_pending_releases",
        "_retention_seconds",
        "_services",
        "_submitter",
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
        self._calls: dict[tuple[str, str], KeyedCall] = {}
        self._pending_releases: dict[str, ReleaseClaim] = {}
        self._claim_sequence = 0
        self._active_count = 0

    @property
    def active_count(self) -> int:
        """Number of calls in progress."""
        return self._active_count

    async def call(self, request: CallRequest) -> ServiceResponse:
        """Serves one call; a retry with the same key gets the same response.

        Args:
            request: The call.

        Returns:
            The server's whole response.

        Raises:
            RequestError: If there is none; it says whether the call may have run.
        """
        self._active_count += 1
        try:
            if not request.has_idempotency_key:
                return await self._run(request, claim_id="")
            return await self._join_or_run(request)
        finally:
            self._active_count -= 1

    async def handle_read_outcome(self, sender: str, message: ReadOutcome) -> OutcomeRead:
        """Returns the state of a call that this router claimed to a peer."""
        if message.claim_id in self._pending_releases:
            return OutcomeRead(never_sent=True)
        keyed_call = self._calls.get((message.workspace, message.request_id))
        if keyed_call is None or keyed_call.claim_id != message.claim_id:
            return OutcomeRead()
        await asyncio.wait([keyed_call.task], timeout=message.wait_seconds)
        if not keyed_call.task.done():
            return OutcomeRead(running=True)
        if keyed_call.task.cancelled():
            return OutcomeRead()
        error = keyed_call.task.exception()
        if isinstance(error, RequestError):
            return OutcomeRead(failure=describe_failure(error))
        if error is not None:
            return OutcomeRead()
        return OutcomeRead(outcome=_make_outcome(keyed_call.task.result()))

    async def run_maintenance(self) -> None:
        """Submits pending releases of claims and evicts old calls; runs until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            await self.submit_pending_releases()
            expiry_seconds = self._clock.monotonic_seconds() - self._retention_seconds
            for key, keyed_call in list(self._calls.items()):
                if keyed_call.task.done() and keyed_call.finished_at_seconds < expiry_seconds:
                    del self._calls[key]

    async def submit_pending_releases(self) -> None:
        """Submits all pending releases of claims once."""
        for claim_id, release in list(self._pending_releases.items()):
            (result,) = await self._submitter.submit(release.workspace, [release])
            if isinstance(result, ClaimAnswered):
                self._pending_releases.pop(claim_id, None)

    async def wait_until_idle(self) -> None:
        """Waits until no call is in progress."""
        while self._active_count:
            await asyncio.sleep(IDLE_POLL_SECONDS)

    async def close(self) -> None:
        """Cancels all calls; the outcome of those already sent is unknown."""
        tasks = [keyed_call.task for keyed_call in self._calls.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _join_or_run(self, request: CallRequest) -> ServiceResponse:
        """Runs a keyed call in a task of its own, which continues if the caller disconnects."""
        keyed_call = self._calls.get(request.key)
        if keyed_call is None:
            task = asyncio.create_task(self._run_keyed(request))
            keyed_call = KeyedCall(request=request, task=task)
            self._calls[request.key] = keyed_call
        elif keyed_call.request.body_hash != request.body_hash:
            raise RequestError(ResultCode.KEY_REUSED)
        else:
            self._metrics.count("request.joined")
        return await asyncio.shield(keyed_call.task)

    async def _run_keyed(self, request: CallRequest) -> ServiceResponse:
        self._active_count += 1
        try:
            if request.idempotent:
                return await self._run(request, claim_id="")
            return await self._claim_and_run(request)
        except RequestError as error:
            if error.ran is Ran.NO:
                # A call that did not run can be retried with the same key.
                self._calls.pop(request.key, None)
            raise
        finally:
            self._active_count -= 1
            keyed_call = self._calls.get(request.key)
            if keyed_call is not None:
                keyed_call.finished_at_seconds = self._clock.monotonic_seconds()

    async def _claim_and_run(self, request: CallRequest) -> ServiceResponse:
        """Runs a non-idempotent call if its claim is granted."""
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
            The id of the granted claim, or the recorded response of an earlier attempt.

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
                return self._replay_outcome(slot.bill.outcome)
            response = await self._resolve_claim(request, slot)
            if response is not None:
                return response

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
        remaining_seconds = request.deadline_seconds - self._clock.monotonic_seconds()
        result = None
        try:
            async with asyncio.timeout(max(0.0, min(CLAIM_TIMEOUT_SECONDS, remaining_seconds))):
                (result,) = await self._submitter.submit(request.workspace, [change])
        except TimeoutError:
            pass
        if isinstance(result, ClaimAnswered):
            return result.slot, claim_id
        # The claim may still have been recorded; it is released, as nothing was sent under it.
        self._queue_release(request, claim_id)
        raise RequestError(ResultCode.STORE_UNAVAILABLE, retry_after_seconds=RETRY_AFTER_SECONDS)

    async def _resolve_claim(self, request: CallRequest, slot: Slot) -> ServiceResponse | None:
        """Asks the router that holds the claim for the outcome of the call.

        Returns:
            The response, or None if nothing was sent under the claim and it was released.

        Raises:
            RequestError: If the call failed there, or its outcome is unknown by the deadline.
        """
        message = ReadOutcome(
            workspace=request.workspace,
            request_id=request.request_id,
            claim_id=slot.claim_id,
            wait_seconds=OUTCOME_POLL_SECONDS,
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
                return self._replay_outcome(reply.outcome)
            if not reply.running:
                break
        raise RequestError(
            ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN, retry_after_seconds=RETRY_AFTER_SECONDS
        )

    async def _read_outcome(self, claim_holder: str, message: ReadOutcome) -> OutcomeRead:
        """Asks a router for an outcome; no response means that the outcome is unknown."""
        if claim_holder == self._fleet.self_name:
            return await self.handle_read_outcome(claim_holder, message)
        try:
            reply = await self._fleet.call(claim_holder, message, OUTCOME_TIMEOUT_SECONDS)
        except PeerError:
            return OutcomeRead()
        return reply if isinstance(reply, OutcomeRead) else OutcomeRead()

    def _replay_outcome(self, outcome: StoredOutcome | None) -> ServiceResponse:
        """Returns the recorded response of an earlier attempt.

        Raises:
            RequestError: If the outcome is unknown or the body was not stored.
        """
        if outcome is None or outcome.status == UNKNOWN_STATUS:
            raise RequestError(ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)
        if outcome.body is None:
            raise RequestError(ResultCode.REQUEST_EXPIRED, ran=Ran.YES)
        self._metrics.count("request.replayed")
        return ServiceResponse(
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
            has_explicit_end=outcome.has_explicit_end,
        )

    async def _run(
        self, request: CallRequest, *, claim_id: str, reservation: Reservation | None = None
    ) -> ServiceResponse:
        """Sends the call; retries on another server only if that cannot run it twice."""
        if reservation is None:
            reservation = await self._reserve(request)
        send_progress = SendProgress()
        try:
            return await self._send_to_servers(request, reservation, send_progress)
        except RequestError as error:
            if send_progress.may_have_run:
                error.note_possible_run()
            raise
        finally:
            # Has no effect on a settled reservation.
            self._budget.release(reservation)
            if claim_id and not send_progress.may_have_run:
                self._queue_release(request, claim_id)

    async def _send_to_servers(
        self, request: CallRequest, reservation: Reservation, send_progress: SendProgress
    ) -> ServiceResponse:
        failed_servers: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            server = await self._dispatcher.acquire(
                _make_work_item(request, failed_servers), is_retry=attempt > 0
            )
            remaining_seconds = request.deadline_seconds - self._clock.monotonic_seconds()
            may_have_run_before = send_progress.may_have_run
            send_progress.may_have_run = True
            try:
                response = await self._services.call(server.url, request.call, remaining_seconds)
            except ServerUnreachableError as error:
                send_progress.may_have_run = may_have_run_before
                self._record_failure(request, server, error, failed_servers)
                continue
            except ServerConnectionLostError as error:
                self._record_failure(request, server, error, failed_servers)
                if request.idempotent:
                    continue
                await self._settle(request, reservation, server.name, None)
                raise RequestError(ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN) from error
            finally:
                self._dispatcher.release(server)
            await self._settle(request, reservation, server.name, response)
            return response
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
        response: ServiceResponse | None,
    ) -> None:
        """Bills the call and stores its response; a call of unknown outcome is billed too."""
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
            outcome=_make_outcome(response),
        )
        await self._budget.settle(reservation, bill)

    def _record_failure(
        self,
        request: CallRequest,
        server: ServerState,
        error: ServerError,
        failed_servers: set[str],
    ) -> None:
        server.record_failure(self._clock.monotonic_seconds())
        failed_servers.add(server.name)
        _log.info(
            "call attempt failed",
            fields={"request": request.request_id, "server": server.name, "error": error},
        )

    def _queue_release(self, request: CallRequest, claim_id: str) -> None:
        """Queues the release of a claim under which nothing was sent."""
        self._pending_releases[claim_id] = ReleaseClaim(
            workspace=request.workspace, request_id=request.request_id, claim_id=claim_id
        )


def _make_outcome(response: ServiceResponse | None) -> StoredOutcome:
    """Returns the outcome to store with the bill; None means an unknown outcome."""
    if response is None:
        return StoredOutcome(status=UNKNOWN_STATUS, content_type="", body=None)
    body = response.body if len(response.body) <= MAX_STORED_BODY_BYTES else None
    return StoredOutcome(
        status=response.status,
        content_type=response.content_type,
        body=body,
        has_explicit_end=response.has_explicit_end,
    )


def _make_work_item(request: CallRequest, failed_servers: set[str]) -> WorkItem:
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
