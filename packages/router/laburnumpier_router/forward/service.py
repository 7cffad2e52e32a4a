"""Serves forwarded requests: admission, token reservation, placement, sending and settlement.

A request is sent again only where that is safe: when it certainly did not run, when its route is
idempotent, or when a stream can be resumed after its last complete event. In every case the caller
gets exactly one final response, at the latest at its deadline.
"""

import asyncio
import contextlib
import math
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    RequestError,
    ServerConnectionLostError,
    ServerResponseLimitError,
    ServerUnreachableError,
)
from laburnumpier_core.hashing import hash_key
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, Ran, ResultCode

from ..budget.grant_pool import Reservation
from ..budget.service import BudgetService
from ..configuration.document import Configuration, Route, RouteKind
from ..configuration.service import ConfigurationService
from ..ports.dialect import Dialect, ForwardedRequestInfo, ResponseHead
from ..ports.server_registry import RegisteredServer
from .crash_guard import CrashGuard
from .event_stream import EventSplitter
from .exchange import ForwardRequest, ResponseSink, ServerCall, ServerClient, ServerExchange
from .patience import PatientReader, PatientWait, StillWaitingError, read_patiently
from .placement import PlacementRequest, choose_server, prefer_certain_versions
from .request_limiter import RequestLimiter
from .request_progress import ErrorResponse, RequestProgress
from .response_limits import StreamLimitError
from .retry_budget import RetryBudget
from .routes import RouteTable, choose_service
from .server_rate_limits import ServerRateLimits
from .servers import ServerLoad, ServerTable
from .stream_versions import StreamVersions
from .time_limits import TimeLimits
from .watched_run import PartBlockedError, WatchedRun

MAX_UNREACHABLE_SERVERS = 4
"""Limit of unreachable servers tried for one request; each takes at most a connect timeout."""
FIRST_EVENT_TIMEOUT_FACTOR = 2.5
"""Timeout for the first event of a resumable stream, as a multiple of the target latency."""
MIN_STREAM_TIMEOUT_SECONDS = 1.5
"""Lower bound of resumable streams' timeouts; processing a long prompt can take this long."""
GAP_TIMEOUT_FACTOR = 4.0
"""Timeout between events of a resumable stream, as a multiple of the target gap."""
RESPONSE_TIMEOUT_FACTOR = 2.0
"""Timeout for the response to an idempotent call, as a multiple of the target latency."""
RETRY_AFTER_SECONDS = 0.3
"""Retry-After of refusals; most are resolved by the next registry change or free slot."""
OPEN_END_RETRY_SHARE = 0.5
"""Part of the retry budget that asking for what follows an open end may use up; failures that are
certain need the rest."""
OPEN_END = "open_end"
"""Reason of a server attempt whose stream ended with its connection after whole events."""
PART_BLOCKED = "part_blocked"
"""Reason of a server attempt that ended because servers crash on a part of the prompt."""
SERVERS_LIMITED = "servers_limited"
"""Reason of a request for which no server was left but those whose limits are used up."""
MAX_PERMIT_WAIT_SHARE = 0.5
"""Longest wait of the most urgent requests for a permit, as a share of the target latency."""
MAX_PERMITS_ASKED = 4
"""Servers with a limit that are asked about for one request before it is refused."""
URGENCY_LEVELS = 10
EVENT_STREAM = "text/event-stream"
CONFIGURATION_REFUSALS = frozenset(
    {ResultCode.NOT_FOUND, ResultCode.UNKNOWN_KEY, ResultCode.MISSING_KEY}
)
"""Refusals of requests that a newer configuration may allow."""
LOGGED_WITH_PATH = CONFIGURATION_REFUSALS | {ResultCode.CONFIGURATION_UNCONFIRMED}

_log = get_part_logger("forward")


class _ServerAttemptError(Exception):
    """A server did not deliver a final response.

    Attributes:
        reason: Short identifier for logs.
        ran: Whether the request ran at the server.
        crash_check: Finds out whether the server has crashed; None if that does not matter.
    """

    def __init__(self, reason: str, ran: Ran, *, crash_check: asyncio.Task[bool] | None = None):
        super().__init__(reason)
        self.reason = reason
        self.ran = ran
        self.crash_check = crash_check


class _ServerSilentError(Exception):
    """A server sent nothing for longer than the silence timeout of the request."""


class ForwardService:
    """Serves forwarded requests within their budgets, deadlines and retry limits."""

    __slots__ = (
        "_active",
        "_budget",
        "_client",
        "_clock",
        "_configuration",
        "_crash_guard",
        "_data_centre",
        "_dialect",
        "_limiter",
        "_metrics",
        "_random",
        "_rate_limits",
        "_retry_budget",
        "_routes",
        "_routes_configuration",
        "_stop_accept_until_seconds",
        "_stream_versions",
        "_table",
        "_time_limits",
    )

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        budget: BudgetService,
        table: ServerTable,
        client: ServerClient,
        crash_guard: CrashGuard,
        stream_versions: StreamVersions,
        dialect: Dialect,
        retry_budget: RetryBudget,
        rate_limits: ServerRateLimits,
        limiter: RequestLimiter,
        time_limits: TimeLimits,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        data_centre: str,
    ):
        """Creates the service.

        Args:
            configuration: Provides routes, services and workspaces.
            budget: Reserves and settles tokens.
            table: Registered servers.
            client: Sends requests to servers.
            crash_guard: Refuses prompts that crash servers.
            stream_versions: Decides at which version streams go on that callers take up.
            dialect: Translates headers between callers, this router and servers.
            retry_budget: Limits the retries to each service.
            rate_limits: Limits that servers name in their answers.
            limiter: Gives permits for requests to servers with a limit.
            time_limits: Time limits of all open requests.
            clock: Source of time.
            metrics: Counters.
            random_source: Selects among equally loaded servers.
            data_centre: Data centre of this router.
        """
        self._configuration = configuration
        self._budget = budget
        self._table = table
        self._client = client
        self._crash_guard = crash_guard
        self._stream_versions = stream_versions
        self._dialect = dialect
        self._retry_budget = retry_budget
        self._rate_limits = rate_limits
        self._limiter = limiter
        self._time_limits = time_limits
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._data_centre = data_centre
        self._routes = RouteTable(configuration=Configuration())
        self._routes_configuration: Configuration | None = None
        self._stop_accept_until_seconds = math.inf

    def begin_stop(self, accept_until_seconds: float) -> None:
        """Refuses requests that may not end in time, from a monotonic time on."""
        self._stop_accept_until_seconds = accept_until_seconds

    async def serve(self, request: ForwardRequest, sink: ResponseSink) -> None:
        """Serves a request until its final response is sent or aborted.

        Args:
            request: The request.
            sink: Sends the response to the caller.

        Raises:
            RequestError: If the request is refused or fails before a response has started.
        """
        progress, refusal = None, None
        outcome = "failed"
        try:
            progress = await self._admit_by_newest(request)
            if progress.is_taken_up:
                await self._find_origin(progress)
            self._crash_guard.check(progress.service, progress.shared_parts, progress.suspects)
            await self._reserve_and_run(progress, sink)
            outcome = "answered" if sink.finished else "broken_off"
            if progress.is_cut:
                outcome = "cut"
        except asyncio.CancelledError:
            outcome = "caller_left"
            raise
        except RequestError as error:
            outcome, refusal = error.code.name.lower(), error
            raise
        finally:
            self._log_outcome(request, progress, outcome, refusal, is_started=sink.started)

    async def _admit_by_newest(self, request: ForwardRequest) -> RequestProgress:
        """Admits a request; one is refused only by a configuration that the store confirms.

        Raises:
            RequestError: If the configuration does not allow the request, or if it may be allowed
                by a newer one.
        """
        try:
            return self._admit(request)
        except RequestError as error:
            if error.code not in CONFIGURATION_REFUSALS:
                raise
            if not await self._configuration.confirm():
                raise RequestError(
                    ResultCode.CONFIGURATION_UNCONFIRMED,
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                    facts={"refusal": int(error.code)},
                ) from error
        return self._admit(request)

    def _admit(self, request: ForwardRequest) -> RequestProgress:
        """Determines route, service, workspace and deadline of a request.

        Raises:
            RequestError: If the configuration does not allow the request.
        """
        if self._configuration.number == 0:
            raise RequestError(ResultCode.NOT_READY, retry_after_seconds=RETRY_AFTER_SECONDS)
        configuration = self._configuration.configuration
        if self._routes_configuration is not configuration:
            self._routes = RouteTable(configuration=configuration)
            self._routes_configuration = configuration
        match = self._routes.find(request.host, request.target)
        if match is None:
            raise RequestError(ResultCode.NOT_FOUND)
        name, route = match
        workspace = self._find_workspace(request, route)
        first_attempt_id = request.head.resumes_attempt_id if request.head.has_events else ""
        service = choose_service(route, first_attempt_id or request.head.attempt_id)
        limit_seconds = route.time_limit_seconds
        if request.head.timeout_seconds is not None:
            limit_seconds = min(limit_seconds, request.head.timeout_seconds)
        deadline_seconds = request.received_seconds + limit_seconds
        self._check_time_before_stop(request, deadline_seconds)
        return RequestProgress(
            request=request,
            route_name=name,
            route=route,
            service=service,
            workspace=workspace,
            deadline_seconds=deadline_seconds,
            splitter=EventSplitter(
                last_event_id=request.head.resume_after,
                max_output_tokens=request.head.max_output_tokens,
            ),
            tokens_per_event=self._get_tokens_per_event(service),
        )

    async def _find_origin(self, progress: RequestProgress) -> None:
        """Limits a stream that its caller takes up to the version that began it.

        Raises:
            RequestError: If that version is unknown or has no server.
        """
        head, route = progress.request.head, progress.route
        origin = await self._stream_versions.find(head, route, progress.service)
        progress.service = origin.service
        progress.software_version = origin.software_version
        progress.tokens_per_event = self._get_tokens_per_event(origin.service)

    def _get_tokens_per_event(self, service: str) -> int:
        engine = self._configuration.configuration.services[service].engine
        return engine.tokens_per_event if engine else 1

    def _check_time_before_stop(self, request: ForwardRequest, deadline_seconds: float) -> None:
        """Refuses a request that the end of a stop could cut.

        Raises:
            RequestError: If the load balancer has had the time to send the request elsewhere, and
                its deadline is later than the end of the stop.
        """
        is_accepted = request.received_seconds <= self._stop_accept_until_seconds
        if not is_accepted and deadline_seconds > self._time_limits.end_seconds:
            raise RequestError(ResultCode.STOPPING, retry_after_seconds=0.0)

    def _find_workspace(self, request: ForwardRequest, route: Route) -> str:
        """Returns the workspace that is charged; empty if the request needs none.

        Raises:
            RequestError: If a workspace is needed and the key is missing or unknown.
        """
        workspace = None
        if request.head.api_key:
            workspace = self._configuration.find_workspace_of_key(hash_key(request.head.api_key))
        if workspace is not None:
            return workspace
        if route.anonymous or not self._configuration.configuration.workspaces:
            return ""
        code = ResultCode.UNKNOWN_KEY if request.head.api_key else ResultCode.MISSING_KEY
        raise RequestError(code)

    async def _reserve_and_run(self, progress: RequestProgress, sink: ResponseSink) -> None:
        """Reserves tokens, runs a request until its deadline and settles the reservation."""
        reservation = await self._reserve(progress)
        try:
            async with self._time_limits.limit(progress.deadline_seconds):
                progress.is_trial = await self._crash_guard.admit(
                    progress.service, progress.suspects
                )
                await self._run(progress, sink)
        except TimeoutError as error:
            progress.is_cut = progress.deadline_seconds > self._time_limits.end_seconds
            if progress.attempt_log:
                progress.attempt_log[-1] += ":stopping" if progress.is_cut else ":time_over"
            if sink.started:
                sink.abort()
                return
            raise self._make_timeout_error(progress) from error
        finally:
            if reservation is not None:
                self._budget.settle_unbilled(reservation, progress.charged_tokens)

    def _make_timeout_error(self, progress: RequestProgress) -> RequestError:
        """Returns the error of a request whose time is over before its response has started."""
        if progress.may_have_run:
            code = ResultCode.OUTCOME_UNKNOWN if progress.is_cut else ResultCode.DEADLINE_PASSED
            return RequestError(code, ran=Ran.UNKNOWN)
        code = ResultCode.STOPPING if progress.is_cut else ResultCode.OVERLOADED
        return RequestError(code, retry_after_seconds=0.0)

    async def _reserve(self, progress: RequestProgress) -> Reservation | None:
        """Reserves the maximum cost of a request; None for requests without a cost.

        Raises:
            RequestError: If the budget is exhausted or cannot be reached before the deadline.
        """
        cost = progress.request.head.max_cost_tokens
        if not cost or not progress.workspace:
            return None
        started_seconds = self._clock.monotonic_seconds()
        try:
            return await self._budget.reserve(progress.workspace, cost, progress.deadline_seconds)
        finally:
            waited_seconds = self._clock.monotonic_seconds() - started_seconds
            progress.waited_ms = round(waited_seconds * 1000)

    async def _run(self, progress: RequestProgress, sink: ResponseSink) -> None:
        """Sends a request to one server after another until a response is delivered.

        Raises:
            RequestError: If no server delivered a response and no part of one was sent.
        """
        self._retry_budget.record_first_send(progress.service, self._clock.monotonic_seconds())
        unreachable_count = 0
        while True:
            if self._is_blocked(progress):
                await self._fail_request(progress, sink, PART_BLOCKED)
                return
            server = await self._find_server(progress)
            if server is None:
                reason = SERVERS_LIMITED if self._list_limited(progress) else "no_server"
                await self._fail_request(progress, sink, reason)
                return
            if self._is_blocked(progress):
                await self._fail_request(progress, sink, PART_BLOCKED)
                return
            try:
                await self._send_to_server(progress, server, sink)
                return
            except _ServerAttemptError as failure:
                progress.attempt_log[-1] = f"{server.entry.server_id}:{failure.reason}"
                if failure.reason == "unreached":
                    unreachable_count += 1
                is_safe = await self._is_repeat_safe(progress, failure)
                if not is_safe or not self._may_retry(progress, failure, unreachable_count):
                    await self._fail_request(progress, sink, failure.reason)
                    return

    def _is_blocked(self, progress: RequestProgress) -> bool:
        """Whether the request or a part is blocked now; a trial may be sent to one server."""
        if progress.is_trial and not progress.send_count:
            return False
        return self._crash_guard.is_blocked(progress.service, progress.suspects)

    async def _is_repeat_safe(
        self, progress: RequestProgress, failure: _ServerAttemptError
    ) -> bool:
        """Returns whether the request is unlikely to crash another server."""
        if failure.crash_check is None or not progress.is_retryable:
            return True
        return await self._crash_guard.is_repeat_safe(
            progress.run, failure.crash_check, is_first_loss=progress.lost_count == 1
        )

    async def _find_server(self, progress: RequestProgress) -> ServerLoad | None:
        """Returns a server that the request may be sent to now; None if there is none.

        A server with a limit is chosen like any other one as long as there are permits for it.
        The request waits for a permit only if all servers that are left have a limit.
        """
        denied: set[str] = set()
        while True:
            usable = self._list_untried(progress)
            unlimited = [s for s in usable if not self._limiter.is_limited(s.entry)]
            if len(unlimited) == len(usable) or len(denied) >= MAX_PERMITS_ASKED:
                return self._choose_server(progress, unlimited)
            max_wait_seconds = 0.0 if unlimited else self._get_max_permit_wait(progress)
            candidates = [
                server
                for server in usable
                if server.entry.server_id not in denied
                and self._limiter.may_have_permit(server.entry, max_wait_seconds)
            ]
            server = self._choose_server(progress, candidates)
            if server is None or not self._limiter.is_limited(server.entry):
                return server
            has_permit = await self._limiter.acquire(server.entry, max_wait_seconds)
            # The server may have begun to leave meanwhile.
            if has_permit and server in self._list_untried(progress):
                return server
            denied.add(server.entry.server_id)

    def _get_max_permit_wait(self, progress: RequestProgress) -> float:
        """Returns the longest wait for a permit in seconds; urgent requests wait longer.

        Less urgent ones are denied while permits are reserved for the moments up to which more
        urgent ones wait, so these come first.
        """
        share = 1.0 - self._get_urgency(progress) / URGENCY_LEVELS
        remaining_seconds = progress.deadline_seconds - self._clock.monotonic_seconds()
        target_seconds = MAX_PERMIT_WAIT_SHARE * progress.route.target_latency_seconds
        return max(0.0, min(share * target_seconds, MAX_PERMIT_WAIT_SHARE * remaining_seconds))

    def _list_untried(self, progress: RequestProgress) -> list[ServerLoad]:
        usable = self._table.list_usable(progress.service, progress.software_version)
        return [s for s in usable if s.entry.server_id not in progress.tried_server_ids]

    def _list_limited(self, progress: RequestProgress) -> list[RegisteredServer]:
        """Returns the servers with a limit that the request was not sent to."""
        untried = [server.entry for server in self._list_untried(progress)]
        return [entry for entry in untried if self._limiter.is_limited(entry)]

    def _choose_server(
        self, progress: RequestProgress, usable: list[ServerLoad]
    ) -> ServerLoad | None:
        # A trial goes to the least loaded server, where a crash affects the fewest requests.
        request = PlacementRequest(
            prompt_parts=() if progress.is_trial else progress.request.head.prompt_parts,
            data_centre=self._data_centre,
            exclude=frozenset(progress.tried_server_ids),
        )
        now = self._clock.monotonic_seconds()
        if progress.software_version is not None:
            usable = prefer_certain_versions(usable, request, now)
        return choose_server(usable, request, now, self._random)

    def _may_retry(
        self, progress: RequestProgress, failure: _ServerAttemptError, unreachable_count: int
    ) -> bool:
        """Returns whether to send a request again, and takes the retry from the retry budget.

        Trying another server after an unreachable one is not a retry.
        """
        if failure.ran is not Ran.NO and not progress.is_retryable:
            return False
        if failure.reason == "unreached":
            return unreachable_count < MAX_UNREACHABLE_SERVERS
        if progress.send_count >= progress.route.max_attempts:
            return False
        share = OPEN_END_RETRY_SHARE if failure.reason == OPEN_END else 1.0
        now = self._clock.monotonic_seconds()
        if self._retry_budget.try_acquire(progress.service, now, share=share):
            self._metrics.count("forward.repeats")
            return True
        self._metrics.count("forward.retry_budget_empty")
        return False

    async def _fail_request(
        self, progress: RequestProgress, sink: ResponseSink, reason: str
    ) -> None:
        """Ends a request that no server completed.

        A response that was started is broken off. Otherwise the caller gets the last error
        response of a server, if there is one.

        Raises:
            RequestError: If there is no response of a server.
        """
        self._metrics.count("forward.given_up")
        error = progress.error_response
        if sink.started:
            await self._end_started_response(progress, sink)
        elif error is not None:
            progress.response_status = error.status
            await sink.send_complete(
                error.status,
                error.headers,
                error.body,
                has_explicit_end=error.has_explicit_end,
            )
        elif progress.may_have_run:
            raise RequestError(ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN, detail=reason)
        elif reason == SERVERS_LIMITED:
            servers = self._list_limited(progress)
            raise RequestError(
                ResultCode.SERVERS_LIMITED,
                retry_after_seconds=self._limiter.plan_return(progress.service, servers),
            )
        else:
            codes = {"no_server": ResultCode.NO_SERVER, PART_BLOCKED: ResultCode.PROMPT_BLOCKED}
            code = codes.get(reason, ResultCode.SERVER_REFUSED)
            raise RequestError(code, retry_after_seconds=RETRY_AFTER_SECONDS, detail=reason)

    async def _end_started_response(self, progress: RequestProgress, sink: ResponseSink) -> None:
        """Ends a response of which more may follow that no server delivered.

        If the server ended its stream with its connection, and the caller's response has no other
        end either, the caller learns as much as the server said. Every other response is aborted.
        """
        if progress.has_open_end and not sink.has_explicit_end:
            await sink.finish_stream()
        else:
            sink.abort()

    async def _send_to_server(
        self, progress: RequestProgress, server: ServerLoad, sink: ResponseSink
    ) -> None:
        """Sends the request to a server and relays its response.

        Raises:
            _ServerAttemptError: If no response was delivered.
        """
        progress.tried_server_ids.add(server.entry.server_id)
        progress.sent_to = server.entry
        progress.attempt_log.append(server.entry.server_id)
        prompt_tokens = progress.request.head.prompt_tokens
        server.record_start(prompt_tokens)
        exchange = None
        may_have_run_before = progress.may_have_run
        run = progress.run = WatchedRun(
            service=progress.service,
            parts=progress.shared_parts,
            server=server.entry,
            attempt_id=progress.request.head.attempt_id,
            fingerprint=progress.fingerprint,
        )
        try:
            progress.may_have_run = True
            async with contextlib.AsyncExitStack() as stack:
                if not progress.is_trial:
                    await stack.enter_async_context(self._crash_guard.watch(run))
                exchange = await self._open(progress, server, stack)
                progress.send_count += 1
                server.record_prompt_processed(prompt_tokens)
                prompt_tokens = 0
                await self._relay_response(progress, server, exchange, sink)
        except ServerUnreachableError as error:
            now = self._clock.monotonic_seconds()
            server.record_unreachable(now)
            server.record_connection_lost(now)
            progress.may_have_run = may_have_run_before
            raise _ServerAttemptError("unreached", Ran.NO) from error
        except ServerConnectionLostError as error:
            progress.send_count += exchange is None
            server.record_failure()
            server.record_connection_lost(self._clock.monotonic_seconds())
            progress.splitter.discard_partial_event()
            crash_check = None
            if not run.has_begun and not isinstance(error, ServerResponseLimitError):
                progress.lost_count += 1
                crash_check = self._crash_guard.report_lost(run)
            raise _ServerAttemptError(
                error.reason, Ran.UNKNOWN, crash_check=crash_check
            ) from error
        except PartBlockedError as error:
            progress.send_count += exchange is None
            progress.splitter.discard_partial_event()
            raise _ServerAttemptError(PART_BLOCKED, Ran.UNKNOWN) from error
        except _ServerSilentError as error:
            progress.send_count += exchange is None
            server.record_unreachable(self._clock.monotonic_seconds())
            progress.splitter.discard_partial_event()
            raise _ServerAttemptError("silent", Ran.UNKNOWN) from error
        except _ServerAttemptError as failure:
            if failure.ran is Ran.NO:
                progress.may_have_run = may_have_run_before
            if failure.reason == OPEN_END:
                server.record_connection_lost(self._clock.monotonic_seconds())
            raise
        finally:
            server.record_prompt_processed(prompt_tokens)
            server.record_finish()

    async def _open(
        self, progress: RequestProgress, server: ServerLoad, stack: contextlib.AsyncExitStack
    ) -> ServerExchange:
        """Sends the request and waits for the response head.

        Raises:
            _ServerSilentError: If there is none in time and another server can take over.
        """
        opening = stack.enter_async_context(self._client.open(self._build_call(progress, server)))
        timeout_seconds = self._get_silence_timeout(progress, sink_started=False)
        async with PatientWait(opening) as wait:
            while True:
                with contextlib.suppress(StillWaitingError):
                    return await wait.get_result(timeout_seconds)
                if await self._can_go_on_elsewhere(progress) and not wait.is_done:
                    raise _ServerSilentError

    async def _can_go_on_elsewhere(self, progress: RequestProgress) -> bool:
        """Whether another server could take over from a silent one, which would be given up.

        A server that is only slow still completes its answer if nobody else does.
        """
        if progress.is_end_asked:
            return True
        now = self._clock.monotonic_seconds()
        if not self._retry_budget.has_retry(progress.service, now):
            return False
        server = self._choose_server(
            progress,
            [
                other
                for other in self._list_untried(progress)
                if other.backoff_until_seconds <= now
                and self._limiter.may_have_permit(other.entry, max_wait_seconds=0.0)
            ],
        )
        return server is not None and await self._client.is_accepting(server.entry.address)

    def _get_silence_timeout(
        self, progress: RequestProgress, *, sink_started: bool
    ) -> float | None:
        """Returns the seconds of silence after which another server is tried; None for never."""
        route = progress.route
        if progress.is_end_asked:
            return self._get_gap_timeout(route)
        is_last_send = progress.send_count + 1 >= route.max_attempts and not sink_started
        if not progress.is_retryable or is_last_send:
            return None
        if not self._has_other_server(progress):
            return None
        if route.kind is RouteKind.IDEMPOTENT:
            return RESPONSE_TIMEOUT_FACTOR * route.target_latency_seconds
        if sink_started:
            return self._get_gap_timeout(route)
        return max(
            MIN_STREAM_TIMEOUT_SECONDS, FIRST_EVENT_TIMEOUT_FACTOR * route.target_latency_seconds
        )

    def _has_other_server(self, progress: RequestProgress) -> bool:
        """Whether the request could go on at a server other than the current one."""
        usable = [
            server
            for server in self._table.list_usable(progress.service, progress.software_version)
            if server.entry is progress.sent_to
            or self._limiter.may_have_permit(server.entry, max_wait_seconds=0.0)
        ]
        if progress.software_version is None:
            return len(usable) > 1
        return any(server.entry.server_id not in progress.tried_server_ids for server in usable)

    def _get_gap_timeout(self, route: Route) -> float:
        return max(MIN_STREAM_TIMEOUT_SECONDS, GAP_TIMEOUT_FACTOR * route.target_gap_seconds)

    def _build_call(self, progress: RequestProgress, server: ServerLoad) -> ServerCall:
        request = progress.request
        remaining_seconds = progress.deadline_seconds - self._clock.monotonic_seconds()
        is_engine_request = request.head.max_cost_tokens > 0
        info = ForwardedRequestInfo(
            server_id=server.entry.server_id,
            workspace=progress.workspace,
            remaining_seconds=remaining_seconds,
            urgency=self._get_urgency(progress) if is_engine_request else None,
            resume_after=progress.splitter.last_event_id,
        )
        return ServerCall(
            method=request.method,
            address=server.entry.address,
            target=request.target,
            headers=self._dialect.make_server_headers(request.headers, info),
            body=request.body,
        )

    def _get_urgency(self, progress: RequestProgress) -> int:
        workspace = self._configuration.configuration.workspaces.get(progress.workspace)
        if workspace is not None and workspace.urgency is not None:
            return workspace.urgency
        return progress.route.urgency

    async def _relay_response(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        exchange: ServerExchange,
        sink: ResponseSink,
    ) -> None:
        """Relays the response of a server to the caller.

        Raises:
            _ServerAttemptError: If the response is not a final one.
            ServerConnectionLostError: If it ends early.
        """
        progress.server_end = exchange.end_marker.value
        head = self._dialect.read_response(exchange.status, exchange.headers)
        if head.running is not None:
            server.record_report(head.running, head.waiting, self._clock.monotonic_seconds())
        self._check_response(progress, server, exchange, head)
        media_type = exchange.headers.get("Content-Type", "").partition(";")[0].strip()
        if exchange.status < 300 and media_type == EVENT_STREAM:
            await self._relay_stream(progress, exchange, sink)
            self._crash_guard.record_begun(progress.run)
            server.record_success()
            return
        if sink.started:
            # The stream was to be resumed, but this response is not a stream.
            server.record_failure()
            raise _ServerAttemptError(f"status_{exchange.status}", Ran.UNKNOWN)
        body = await exchange.read()
        headers = self._dialect.make_caller_headers(exchange.headers)
        if exchange.status >= 500:
            server.record_failure()
            reason = f"status_{exchange.status}"
            if progress.is_retryable:
                progress.error_response = ErrorResponse(
                    status=exchange.status,
                    headers=headers,
                    body=body,
                    has_explicit_end=exchange.end_marker.is_explicit,
                )
                raise _ServerAttemptError(reason, Ran.YES)
            progress.attempt_log[-1] += f":{reason}"
        else:
            self._crash_guard.record_begun(progress.run)
            server.record_success()
        progress.response_status = exchange.status
        await sink.send_complete(
            exchange.status, headers, body, has_explicit_end=exchange.end_marker.is_explicit
        )

    def _check_response(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        exchange: ServerExchange,
        head: ResponseHead,
    ) -> None:
        """Checks that the request ran and that the response belongs to it.

        Raises:
            _ServerAttemptError: If it did not run, or the response is to another request.
        """
        # An error may come from something before the server, which does not know the request.
        may_be_unnamed = exchange.status >= 300 or not progress.request.head.attempt_id
        is_unnamed = not head.attempt_id and may_be_unnamed
        is_stray = not is_unnamed and head.attempt_id != progress.request.head.attempt_id
        if not is_stray:
            self._rate_limits.record_answer(progress.sent_to, head)
        if head.not_executed:
            if exchange.status != 421:
                server.record_report(server.entry.slots, 1, self._clock.monotonic_seconds())
            else:
                server.record_unreachable(self._clock.monotonic_seconds())
            raise _ServerAttemptError(f"refused_{exchange.status}", Ran.NO)
        if is_stray:
            server.record_failure()
            raise _ServerAttemptError("stray_answer", Ran.UNKNOWN)

    async def _relay_stream(
        self, progress: RequestProgress, exchange: ServerExchange, sink: ResponseSink
    ) -> None:
        """Relays complete events as they arrive.

        Raises:
            ServerConnectionLostError: If the stream ends early.
            _ServerSilentError: If a stream that can be resumed elsewhere is silent for too long.
            _ServerAttemptError: If it ended with its connection and can be resumed elsewhere.
        """
        splitter = progress.splitter
        # A server that was asked what follows and answers has not said yet that nothing does.
        is_same_end, progress.has_open_end = progress.has_open_end, False
        async with read_patiently(exchange.iterate_chunks()) as reader:
            while (events := await self._read_next_events(progress, reader, sink)) is not None:
                is_same_end = False
                self._crash_guard.record_piece(progress.run)
                self._record_version(progress)
                await self._start_stream(progress, exchange, sink)
                await sink.send_chunk(events)
        if splitter.has_partial_event:
            raise ServerConnectionLostError("the stream ended within an event")
        await self._start_stream(progress, exchange, sink)
        if exchange.end_marker.is_explicit:
            await sink.finish_stream()
            return
        progress.has_open_end = True
        if is_same_end or not progress.is_resumable:
            await self._end_started_response(progress, sink)
            return
        progress.is_end_asked = True
        raise _ServerAttemptError(OPEN_END, Ran.UNKNOWN)

    def _record_version(self, progress: RequestProgress) -> None:
        """Binds a stream to the version that sends its first event, at all routers."""
        if progress.is_version_recorded:
            return
        progress.is_version_recorded = True
        progress.software_version = progress.sent_to.software_version
        self._stream_versions.record(progress.request.head, progress.route, progress.sent_to)

    async def _start_stream(
        self, progress: RequestProgress, exchange: ServerExchange, sink: ResponseSink
    ) -> None:
        """Starts the caller's response with the head of the first server that has one."""
        if sink.started:
            return
        progress.response_status = exchange.status
        headers = self._dialect.make_caller_headers(exchange.headers)
        await sink.start_stream(
            exchange.status, headers, has_explicit_end=exchange.end_marker.is_explicit
        )

    async def _read_next_events(
        self, progress: RequestProgress, reader: PatientReader, sink: ResponseSink
    ) -> bytes | None:
        """Returns the next complete events of a stream, or None at its end.

        Bytes that complete no event do not count as a sign of life.

        Raises:
            ServerConnectionLostError: If the stream ends early or passes a limit.
            _ServerSilentError: If there are none in time and another server can take over.
        """
        silent_since_seconds = self._clock.monotonic_seconds()
        while True:
            timeout_seconds = self._get_event_timeout(progress, sink, silent_since_seconds)
            try:
                chunk = await reader.read(timeout_seconds)
            except StillWaitingError as error:
                if await self._can_go_on_elsewhere(progress) and not reader.has_chunk:
                    raise _ServerSilentError from error
                silent_since_seconds = self._clock.monotonic_seconds()
                continue
            if chunk is None:
                return None
            try:
                events = progress.splitter.feed(chunk)
            except StreamLimitError as error:
                progress.is_spoiled = sink.started and error.spoils_stream
                raise ServerResponseLimitError(error.reason, str(error)) from error
            if events:
                return events

    def _get_event_timeout(
        self, progress: RequestProgress, sink: ResponseSink, silent_since_seconds: float
    ) -> float | None:
        """Returns the seconds left of the silence timeout of a stream; None if it has none."""
        if not progress.is_end_asked and progress.send_count >= progress.route.max_attempts:
            return None
        timeout_seconds = self._get_silence_timeout(progress, sink_started=sink.started)
        if timeout_seconds is None:
            return None
        silent_seconds = self._clock.monotonic_seconds() - silent_since_seconds
        return max(0.0, timeout_seconds - silent_seconds)

    def _log_outcome(
        self,
        request: ForwardRequest,
        progress: RequestProgress | None,
        outcome: str,
        refusal: RequestError | None,
        *,
        is_started: bool,
    ) -> None:
        """Logs and counts the outcome of a request, in one record per request."""
        self._metrics.count(f"forward.{outcome}")
        duration_seconds = self._clock.monotonic_seconds() - request.received_seconds
        self._metrics.observe_seconds("forward.request", duration_seconds)
        fields = {
            "request": request.head.attempt_id,
            "outcome": outcome,
            "took_ms": round(duration_seconds * 1000),
            "configuration": self._configuration.number,
            "cost": request.head.max_cost_tokens,
        }
        if request.head.has_events:
            fields["resumes"] = request.head.resumes_attempt_id
        if progress is not None:
            fields["route"] = progress.route_name
            fields["workspace"] = progress.workspace
            fields["status"] = progress.response_status
            fields["server_end"] = progress.server_end
            fields["sends"] = progress.send_count
            fields["tokens"] = progress.charged_tokens
            fields["tried"] = ",".join(progress.attempt_log)
            fields["waited_ms"] = progress.waited_ms
            fields["started"] = is_started
            fields["version"] = progress.software_version
            if progress.is_trial:
                fields["trial"] = True
        if refusal is not None:
            fields["status"] = RESULT_CODE_TABLE[refusal.code].http_status
            fields["retry_after"] = refusal.retry_after_seconds
            fields.update(refusal.facts)
        if refusal is not None and refusal.code in LOGGED_WITH_PATH:
            fields["host"] = request.host
            fields["path"] = request.target.partition("?")[0]
            fields["confirmed_ms"] = self._get_confirmation_age_ms()
        # Lines are limited by event, so served requests do not crowd out the refused ones.
        _log.info("request ended" if refusal is None else "request refused", fields=fields)

    def _get_confirmation_age_ms(self) -> int | None:
        """Returns the age of the configuration's last confirmation; None if there was none."""
        age_seconds = self._clock.monotonic_seconds() - self._configuration.confirmed_seconds
        return round(age_seconds * 1000) if math.isfinite(age_seconds) else None
