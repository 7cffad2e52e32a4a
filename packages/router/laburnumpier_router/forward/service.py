"""Serves forwarded requests: admission, token reservation, placement, sending and settlement.

A request is sent again only where that is safe: when it certainly did not run, when its route is
idempotent, or when a stream can be resumed after its last complete event. In every case the caller
gets exactly one final response, at the latest at its deadline.
"""

import asyncio
import math
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.hashing import hash_key
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, Ran, ResultCode

from ..budget.grant_pool import Reservation
from ..budget.service import BudgetService
from ..configuration.document import Configuration, Route
from ..configuration.service import ConfigurationService
from ..estimates.estimate_placement import EstimatePlacement
from ..notices.server_notices import ServerNotices
from ..places.place_keeper import PlaceKeeper
from ..ports.dialect import Dialect
from ..relay.server_prober import ServerProber
from ..selection.selector import ServerSelector
from ..sending.attempt_error import ServerAttemptError
from ..sending.sender import OPEN_END, PART_BLOCKED, RequestSender
from .crash_guard import CrashGuard
from .event_stream import EventSplitter
from .exchange import ForwardRequest, ResponseSink, ServerClient
from .request_limiter import RequestLimiter
from .request_progress import RequestProgress
from .retry_budget import RetryBudget
from .routes import RouteTable, choose_service
from .server_rate_limits import ServerRateLimits
from .servers import ServerTable
from .stream_versions import StreamVersions
from .time_limits import TimeLimits

MAX_UNREACHABLE_SERVERS = 4
"""Limit of unreachable servers tried for one request; each takes at most a connect timeout."""
RETRY_AFTER_SECONDS = 0.3
"""Retry-After of refusals; most are resolved by the next registry change or free slot."""
OPEN_END_RETRY_SHARE = 0.5
"""Part of the retry budget that asking for what follows an open end may use up; failures that are
certain need the rest."""
SERVERS_HELD_OFF = "servers_held_off"
"""Reason of a request for which no server was left but those that want none for a time."""
SERVERS_LIMITED = "servers_limited"
"""Reason of a request for which no server was left but those whose limits are used up."""
CONFIGURATION_REFUSALS = frozenset(
    {ResultCode.NOT_FOUND, ResultCode.UNKNOWN_KEY, ResultCode.MISSING_KEY}
)
"""Refusals of requests that a newer configuration may allow."""
LOGGED_WITH_PATH = CONFIGURATION_REFUSALS | {ResultCode.CONFIGURATION_UNCONFIRMED}

_log = get_part_logger("forward")


class ForwardService:
    """Serves forwarded requests within their budgets, deadlines and retry limits."""

    __slots__ = (
        "_budget",
        "_clock",
        "_configuration",
        "_crash_guard",
        "_metrics",
        "_notices",
        "_retry_budget",
        "_routes",
        "_routes_configuration",
        "_selector",
        "_sender",
        "_stop_accept_until_seconds",
        "_stream_versions",
        "_time_limits",
    )

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        budget: BudgetService,
        selector: ServerSelector,
        sender: RequestSender,
        crash_guard: CrashGuard,
        stream_versions: StreamVersions,
        retry_budget: RetryBudget,
        notices: ServerNotices,
        time_limits: TimeLimits,
        clock: Clock,
        metrics: Metrics,
    ):
        """Creates the service.

        Args:
            configuration: Provides routes, services and workspaces.
            budget: Reserves and settles tokens.
            selector: Selects the server of a request.
            sender: Sends a request to a server and relays the response.
            crash_guard: Refuses prompts that crash servers.
            stream_versions: Decides at which version streams go on that callers take up.
            retry_budget: Limits the retries to each service.
            notices: Servers that leave, and those that want no requests for a time.
            time_limits: Time limits of all open requests.
            clock: Source of time.
            metrics: Counters.
        """
        self._configuration = configuration
        self._budget = budget
        self._selector = selector
        self._sender = sender
        self._crash_guard = crash_guard
        self._stream_versions = stream_versions
        self._retry_budget = retry_budget
        self._notices = notices
        self._time_limits = time_limits
        self._clock = clock
        self._metrics = metrics
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
        self._check_time_before_stop(deadline_seconds)
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

    def _check_time_before_stop(self, deadline_seconds: float) -> None:
        """Refuses a request that the end of a stop could cut.

        A request counts from the end of its body, which may come long after its head.

        Raises:
            RequestError: If the load balancer has had the time to send the request elsewhere, and
                its deadline is later than the end of the stop.
        """
        is_accepted = self._clock.monotonic_seconds() <= self._stop_accept_until_seconds
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
            self._selector.release_place(progress, is_answered=sink.finished)
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
            server = await self._selector.find_server(progress)
            if server is None:
                await self._fail_request(progress, sink, self._find_lack(progress))
                return
            if self._is_blocked(progress):
                await self._fail_request(progress, sink, PART_BLOCKED)
                return
            try:
                await self._sender.send(progress, server, sink)
                return
            except ServerAttemptError as failure:
                # The request may have gone on at another server than the one that was found here.
                progress.attempt_log[-1] = f"{progress.sent_to.server_id}:{failure.reason}"
                if failure.reason == "unreached":
                    unreachable_count += 1
                is_safe = await self._is_repeat_safe(progress, failure)
                if not is_safe or not self._may_retry(progress, failure, unreachable_count):
                    await self._fail_request(progress, sink, failure.reason)
                    return

    def _find_lack(self, progress: RequestProgress) -> str:
        """Returns the reason for which no server was found."""
        if self._selector.list_limited(progress):
            return SERVERS_LIMITED
        if self._find_hold_off_end(progress) is not None:
            return SERVERS_HELD_OFF
        return "no_server"

    def _find_hold_off_end(self, progress: RequestProgress) -> float | None:
        """Returns the seconds until a server takes requests again; None if none will by time."""
        return self._notices.find_return(self._selector.list_excluded(progress))

    def _is_blocked(self, progress: RequestProgress) -> bool:
        """Whether the request or a part is blocked now; a trial may be sent to one server."""
        if progress.is_trial and not progress.send_count:
            return False
        return self._crash_guard.is_blocked(progress.service, progress.suspects)

    async def _is_repeat_safe(
        self, progress: RequestProgress, failure: ServerAttemptError
    ) -> bool:
        """Returns whether the request is unlikely to crash another server."""
        if failure.crash_check is None or not progress.is_retryable:
            return True
        return await self._crash_guard.is_repeat_safe(
            progress.run, failure.crash_check, is_first_loss=progress.lost_count == 1
        )

    def _may_retry(
        self, progress: RequestProgress, failure: ServerAttemptError, unreachable_count: int
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
            await self._sender.end_started_response(progress, sink)
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
            raise RequestError(
                ResultCode.SERVERS_LIMITED,
                retry_after_seconds=self._selector.plan_return(progress),
            )
        elif reason == SERVERS_HELD_OFF:
            raise RequestError(
                ResultCode.SERVERS_HELD_OFF,
                retry_after_seconds=self._find_hold_off_end(progress) or RETRY_AFTER_SECONDS,
            )
        else:
            codes = {"no_server": ResultCode.NO_SERVER, PART_BLOCKED: ResultCode.PROMPT_BLOCKED}
            code = codes.get(reason, ResultCode.SERVER_REFUSED)
            raise RequestError(code, retry_after_seconds=RETRY_AFTER_SECONDS, detail=reason)

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
            if progress.choice_reason:
                fields["chosen"] = progress.choice_reason
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


def build_forward_service(
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
    notices: ServerNotices,
    places: PlaceKeeper,
    time_limits: TimeLimits,
    clock: Clock,
    metrics: Metrics,
    random_source: random.Random,
    data_centre: str,
    estimates: EstimatePlacement | None = None,
) -> ForwardService:
    """Returns a service with its selector and its sender.

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
        notices: Servers that leave, and those that want no requests for a time.
        places: Gives places for requests to brittle servers.
        time_limits: Time limits of all open requests.
        clock: Source of time.
        metrics: Counters.
        random_source: Selects among equally loaded servers.
        data_centre: Data centre of this router.
        estimates: Chooses servers by the expected time to the first event; None for placement by
            prompt affinity.
    """
    selector = ServerSelector(
        configuration=configuration,
        table=table,
        limiter=limiter,
        places=places,
        clock=clock,
        random_source=random_source,
        data_centre=data_centre,
        estimates=estimates,
    )
    sender = RequestSender(
        client=client,
        prober=ServerProber(client=client, dialect=dialect, metrics=metrics),
        selector=selector,
        crash_guard=crash_guard,
        stream_versions=stream_versions,
        dialect=dialect,
        retry_budget=retry_budget,
        rate_limits=rate_limits,
        limiter=limiter,
        notices=notices,
        places=places,
        clock=clock,
        metrics=metrics,
    )
    return ForwardService(
        configuration=configuration,
        budget=budget,
        selector=selector,
        sender=sender,
        crash_guard=crash_guard,
        stream_versions=stream_versions,
        retry_budget=retry_budget,
        notices=notices,
        time_limits=time_limits,
        clock=clock,
        metrics=metrics,
    )
