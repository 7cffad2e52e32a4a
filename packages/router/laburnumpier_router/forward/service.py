"""Brings forwarded requests to their end: admit, reserve, place, run, settle, answer.

A request is repeated only where that is harmless: when it proved not to have run, when its kind
may be repeated, or when a stream may go on behind its last whole event. Whatever happens, the
caller gets one final answer at the latest when its time is over.
"""

import asyncio
import contextlib
import dataclasses
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    RequestError,
    ServerBrokeOffError,
    ServerNotReachedError,
)
from laburnumpier_core.hashing import hash_key
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran, ResultCode

from ..budget.grant_pool import Reservation
from ..budget.service import BudgetService
from ..configuration.document import Configuration, Route, RouteKind
from ..configuration.service import ConfigurationService
from ..ports.dialect import Dialect, ServerHead, ServerTerms
from .event_stream import EventSplitter, EventTooLargeError
from .exchange import ForwardRequest, ResponseSink, ServerCall, ServerClient, ServerExchange
from .placement import PlacementRequest, choose_server
from .retry_budget import RetryBudget
from .routes import RouteTable, choose_service
from .servers import ServerLoad, ServerTable

MAX_UNREACHED_TRIES = 4
"""Servers tried in a row that could not be reached; each costs at most a connect timeout."""
FIRST_EVENT_TARGETS = 2.5
"""A resumable stream without a first event after this many target latencies moves on."""
LEAST_SILENCE_SECONDS = 1.5
"""Shortest silence after which a resumable stream moves on; a long prompt may take this long."""
GAP_TARGETS = 4.0
"""A resumable stream that pauses for this many target gaps moves on."""
ANSWER_TARGETS = 2.0
"""A call that may be repeated and has no answer after this many target latencies is repeated."""
RETRY_AFTER_SECONDS = 0.3
"""When a refused caller may return; most refusals end with the next registry entry or slot."""
EVENT_STREAM = "text/event-stream"

_log = get_part_logger("forward")


class _TryFailedError(Exception):
    """One server did not bring the request to its end.

    Attributes:
        reason: Short word for logs.
        ran: Whether the request can have run there.
    """

    def __init__(self, reason: str, ran: Ran):
        super().__init__(reason)
        self.reason = reason
        self.ran = ran


class _SilenceError(Exception):
    """A server paused for longer than a stream that can go on elsewhere should wait."""


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestProgress:
    """What has happened to a request so far.

    Attributes:
        sends: Servers that it was sent to.
        may_have_run: Whether a server may have run it.
        answer_status: Status of the answer that the caller gets.
        trail: Servers tried in order, with a word on what went wrong there, for logs.
    """

    request: ForwardRequest
    route_name: str
    route: Route
    service: str
    workspace: str
    deadline_seconds: float
    splitter: EventSplitter
    tokens_per_event: int = 1
    sends: int = 0
    may_have_run: bool = False
    answer_status: int = 0
    trail: list[str] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_repeatable(self) -> bool:
        """Whether another server may run the request although one may have run it."""
        kind = self.route.kind
        resumable = kind is RouteKind.STREAM and self.route.resumable
        return kind is RouteKind.IDEMPOTENT or resumable

    @property
    def used_tokens(self) -> int:
        """Tokens to be charged: the prompt once, and what was delivered."""
        if not self.may_have_run:
            return 0
        return self.request.head.prompt_tokens + self.splitter.count * self.tokens_per_event


class ForwardService:
    """Serves forwarded requests."""

    __slots__ = (
        "_active",
        "_budget",
        "_client",
        "_clock",
        "_configuration",
        "_data_centre",
        "_dialect",
        "_metrics",
        "_random",
        "_retries",
        "_routes",
        "_routes_of",
        "_table",
    )

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        budget: BudgetService,
        table: ServerTable,
        client: ServerClient,
        dialect: Dialect,
        retries: RetryBudget,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        data_centre: str,
    ):
        """Creates the service.

        Args:
            configuration: Routes, services and workspaces.
            budget: Reserves and settles tokens.
            table: Registered servers.
            client: Makes calls to servers.
            dialect: Translates headers.
            retries: Limits repeated requests.
            clock: Source of time.
            metrics: Counters.
            random_source: Choice among equal servers.
            data_centre: Where this router stands.
        """
        self._configuration = configuration
        self._budget = budget
        self._table = table
        self._client = client
        self._dialect = dialect
        self._retries = retries
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._data_centre = data_centre
        self._routes = RouteTable(configuration=Configuration())
        self._routes_of: Configuration | None = None
        self._active = 0

    @property
    def active_count(self) -> int:
        """Requests that have no final answer yet."""
        return self._active

    async def serve(self, request: ForwardRequest, sink: ResponseSink) -> None:
        """Gives a request its final answer.

        Args:
            request: The request.
            sink: Where its answer goes.

        Raises:
            RequestError: If the caller is to get a refusal; nothing was sent to the sink then.
        """
        self._active += 1
        progress = None
        outcome = "cancelled"
        try:
            progress = self._admit(request)
            await self._reserve_and_run(progress, sink)
            outcome = "broken_off" if sink.aborted else "answered"
        except RequestError as error:
            outcome = error.code.name.lower()
            raise
        finally:
            self._active -= 1
            self._log_end(request, progress, outcome, sink)

    def _admit(self, request: ForwardRequest) -> RequestProgress:
        """Finds route, workspace and deadline.

        Raises:
            RequestError: If the configuration does not allow the request.
        """
        if self._configuration.number == 0:
            raise RequestError(ResultCode.NOT_READY, retry_after_seconds=RETRY_AFTER_SECONDS)
        configuration = self._configuration.configuration
        if self._routes_of is not configuration:
            self._routes = RouteTable(configuration=configuration)
            self._routes_of = configuration
        found = self._routes.find(request.host, request.target)
        if found is None:
            raise RequestError(ResultCode.NOT_FOUND)
        name, route = found
        workspace = self._find_workspace(request, route)
        service = choose_service(route, request.head.attempt_id)
        limit_seconds = route.time_limit_seconds
        if request.head.patience_seconds is not None:
            limit_seconds = min(limit_seconds, request.head.patience_seconds)
        engine = configuration.services[service].engine
        return RequestProgress(
            request=request,
            route_name=name,
            route=route,
            service=service,
            workspace=workspace,
            deadline_seconds=request.received_seconds + limit_seconds,
            splitter=EventSplitter(last_id=request.head.resume_after),
            tokens_per_event=engine.tokens_per_event if engine else 1,
        )

    def _find_workspace(self, request: ForwardRequest, route: Route) -> str:
        """Returns who pays; empty on routes that need no key.

        Raises:
            RequestError: If the key belongs to nobody.
        """
        workspace = None
        if request.head.key:
            workspace = self._configuration.find_workspace_of_key(hash_key(request.head.key))
        if workspace is not None:
            return workspace
        if route.anonymous or not self._configuration.configuration.workspaces:
            return ""
        code = ResultCode.UNKNOWN_KEY if request.head.key else ResultCode.MISSING_KEY
        raise RequestError(code)

    async def _reserve_and_run(self, progress: RequestProgress, sink: ResponseSink) -> None:
        """Runs a request within its reservation and its time."""
        reservation = await self._reserve(progress)
        try:
            async with asyncio.timeout_at(progress.deadline_seconds):
                await self._run(progress, sink)
        except TimeoutError as error:
            if progress.trail:
                progress.trail[-1] += ":time_over"
            if sink.started:
                sink.abort()
                return
            if not progress.may_have_run:
                raise RequestError(ResultCode.OVERLOADED, retry_after_seconds=0.0) from error
            raise RequestError(ResultCode.DEADLINE_PASSED, ran=Ran.UNKNOWN) from error
        finally:
            if reservation is not None:
                self._budget.settle_unbilled(reservation, progress.used_tokens)

    async def _reserve(self, progress: RequestProgress) -> Reservation | None:
        """Sets the greatest cost aside; None for requests that cost nothing.

        Raises:
            RequestError: If the budget cannot pay, or its tokens cannot be reached in time.
        """
        cost = progress.request.head.greatest_cost
        if not cost or not progress.workspace:
            return None
        return await self._budget.reserve(progress.workspace, cost, progress.deadline_seconds)

    async def _run(self, progress: RequestProgress, sink: ResponseSink) -> None:
        """Tries one server after another until the answer is delivered or no try is left."""
        self._retries.record_first(progress.service, self._clock.monotonic_seconds())
        unreached = 0
        while True:
            server = self._choose(progress)
            if server is None:
                self._give_up(progress, sink, "no_server")
                return
            try:
                await self._try_server(progress, server, sink)
                return
            except _TryFailedError as failure:
                progress.trail[-1] = f"{server.entry.server_id}:{failure.reason}"
                if failure.reason == "unreached":
                    unreached += 1
                if not self._may_repeat(progress, failure, unreached):
                    self._give_up(progress, sink, failure.reason)
                    return

    def _choose(self, progress: RequestProgress) -> ServerLoad | None:
        request = PlacementRequest(
            parts=progress.request.head.prompt_parts,
            data_centre=self._data_centre,
            exclude=frozenset(progress.tried),
        )
        usable = self._table.list_usable(progress.service)
        now = self._clock.monotonic_seconds()
        return choose_server(usable, request, now, self._random)

    def _may_repeat(
        self, progress: RequestProgress, failure: _TryFailedError, unreached: int
    ) -> bool:
        if failure.ran is not Ran.NO and not progress.is_repeatable:
            return False
        if failure.reason == "unreached":
            return unreached < MAX_UNREACHED_TRIES
        if progress.sends >= progress.route.max_attempts:
            return False
        if self._retries.take(progress.service, self._clock.monotonic_seconds()):
            self._metrics.count("forward.repeats")
            return True
        self._metrics.count("forward.retry_budget_empty")
        return False

    def _give_up(self, progress: RequestProgress, sink: ResponseSink, reason: str) -> None:
        """Ends a request that no server brought to its end.

        Raises:
            RequestError: Unless a part of the answer was sent, which is then broken off.
        """
        self._metrics.count("forward.given_up")
        if sink.started:
            sink.abort()
        elif progress.may_have_run:
            raise RequestError(ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN, detail=reason)
        else:
            code = ResultCode.NO_SERVER if reason == "no_server" else ResultCode.SERVER_REFUSED
            raise RequestError(code, retry_after_seconds=RETRY_AFTER_SECONDS, detail=reason)

    async def _try_server(
        self, progress: RequestProgress, server: ServerLoad, sink: ResponseSink
    ) -> None:
        """Sends the request to one server and passes its answer on.

        Raises:
            _TryFailedError: If the answer was not delivered.
        """
        progress.tried.add(server.entry.server_id)
        progress.trail.append(server.entry.server_id)
        prompt_tokens = progress.request.head.prompt_tokens
        server.start(prompt_tokens)
        exchange = None
        ran_before = progress.may_have_run
        try:
            progress.may_have_run = True
            async with contextlib.AsyncExitStack() as stack:
                exchange = await self._open(progress, server, stack)
                progress.sends += 1
                server.begin_answer(prompt_tokens)
                prompt_tokens = 0
                await self._take_answer(progress, server, exchange, sink)
        except ServerNotReachedError as error:
            server.record_unreached(self._clock.monotonic_seconds())
            progress.may_have_run = ran_before
            raise _TryFailedError("unreached", Ran.NO) from error
        except ServerBrokeOffError as error:
            progress.sends += exchange is None
            server.record_failure()
            progress.splitter.discard_partial_event()
            raise _TryFailedError("broke_off", Ran.UNKNOWN) from error
        except _SilenceError as error:
            progress.sends += exchange is None
            server.record_unreached(self._clock.monotonic_seconds())
            progress.splitter.discard_partial_event()
            raise _TryFailedError("silent", Ran.UNKNOWN) from error
        except _TryFailedError as failure:
            if failure.ran is Ran.NO:
                progress.may_have_run = ran_before
            raise
        finally:
            server.begin_answer(prompt_tokens)
            server.finish()

    async def _open(
        self, progress: RequestProgress, server: ServerLoad, stack: contextlib.AsyncExitStack
    ) -> ServerExchange:
        """Sends the request and waits for the head of its answer."""
        opening = self._client.open(self._make_call(progress, server))
        try:
            async with asyncio.timeout(self._find_patience(progress, sink_started=False)):
                return await stack.enter_async_context(opening)
        except TimeoutError as error:
            raise _SilenceError from error

    def _find_patience(self, progress: RequestProgress, *, sink_started: bool) -> float | None:
        """Returns how long a server may be silent before another one is tried; None for ever."""
        route = progress.route
        is_last_try = progress.sends + 1 >= route.max_attempts and not sink_started
        if not progress.is_repeatable or is_last_try:
            return None
        if len(self._table.list_usable(progress.service)) < 2:
            return None
        if route.kind is RouteKind.IDEMPOTENT:
            return ANSWER_TARGETS * route.target_latency_seconds
        if sink_started:
            return max(LEAST_SILENCE_SECONDS, GAP_TARGETS * route.target_gap_seconds)
        return max(LEAST_SILENCE_SECONDS, FIRST_EVENT_TARGETS * route.target_latency_seconds)

    def _make_call(self, progress: RequestProgress, server: ServerLoad) -> ServerCall:
        request = progress.request
        left_seconds = progress.deadline_seconds - self._clock.monotonic_seconds()
        is_engine_work = request.head.greatest_cost > 0
        terms = ServerTerms(
            server_id=server.entry.server_id,
            workspace=progress.workspace,
            left_seconds=left_seconds,
            urgency=self._find_urgency(progress) if is_engine_work else None,
            resume_after=progress.splitter.last_id,
        )
        return ServerCall(
            method=request.method,
            address=server.entry.address,
            target=request.target,
            headers=self._dialect.make_server_headers(request.headers, terms),
            body=request.body,
        )

    def _find_urgency(self, progress: RequestProgress) -> int:
        workspace = self._configuration.configuration.workspaces.get(progress.workspace)
        if workspace is not None and workspace.urgency is not None:
            return workspace.urgency
        return progress.route.urgency

    async def _take_answer(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        exchange: ServerExchange,
        sink: ResponseSink,
    ) -> None:
        """Passes the answer on.

        Raises:
            _TryFailedError: If the answer is no final one.
            ServerBrokeOffError: If it ends early.
        """
        head = self._dialect.read_answer(exchange.status, exchange.headers)
        if head.running is not None:
            server.record_report(head.running, head.waiting, self._clock.monotonic_seconds())
        self._check_answer(progress, server, exchange, head)
        media_type = exchange.headers.get("Content-Type", "").partition(";")[0].strip()
        if exchange.status < 300 and media_type == EVENT_STREAM:
            await self._pass_stream(progress, exchange, sink)
            server.record_success()
            return
        if sink.started:
            # A stream was to go on here, and this is no stream.
            server.record_failure()
            raise _TryFailedError(f"status_{exchange.status}", Ran.UNKNOWN)
        body = await exchange.read()
        if exchange.status >= 500:
            progress.trail[-1] += f":status_{exchange.status}"
            server.record_failure()
            if self._may_repeat(progress, _TryFailedError("server_error", Ran.YES), unreached=0):
                again = await self._try_again(progress, sink)
                if again:
                    return
        else:
            server.record_success()
        progress.answer_status = exchange.status
        headers = self._dialect.make_caller_headers(exchange.headers)
        await sink.send_complete(exchange.status, headers, body)

    async def _try_again(self, progress: RequestProgress, sink: ResponseSink) -> bool:
        """Lets another server answer a request whose first answer was an error.

        Returns:
            Whether the other server's answer was delivered; if not, the first one stands.
        """
        server = self._choose(progress)
        if server is None:
            return False
        try:
            await self._try_server(progress, server, sink)
        except _TryFailedError as failure:
            progress.trail[-1] = f"{server.entry.server_id}:{failure.reason}"
            return sink.started
        return True

    def _check_answer(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        exchange: ServerExchange,
        head: ServerHead,
    ) -> None:
        """Finds out whether the answer belongs to the request and whether it ran.

        Raises:
            _TryFailedError: If the request did not run, or the answer is another request's.
        """
        if head.did_not_run:
            if exchange.status != 421:
                server.record_report(server.entry.slots, 1, self._clock.monotonic_seconds())
            else:
                server.record_unreached(self._clock.monotonic_seconds())
            raise _TryFailedError(f"refused_{exchange.status}", Ran.NO)
        if head.attempt_id and head.attempt_id != progress.request.head.attempt_id:
            server.record_failure()
            raise _TryFailedError("stray_answer", Ran.UNKNOWN)

    async def _pass_stream(
        self, progress: RequestProgress, exchange: ServerExchange, sink: ResponseSink
    ) -> None:
        """Passes whole events on as they arrive.

        Raises:
            ServerBrokeOffError: If the stream ends early.
            _SilenceError: If a stream that may go on elsewhere pauses for too long.
        """
        splitter = progress.splitter
        parts = exchange.iterate()
        while True:
            part = await self._next_part(progress, parts, sink)
            if part is None:
                break
            try:
                events = splitter.feed(part)
            except EventTooLargeError as error:
                raise ServerBrokeOffError(str(error)) from error
            if not events:
                continue
            if not sink.started:
                progress.answer_status = exchange.status
                headers = self._dialect.make_caller_headers(exchange.headers)
                await sink.start_stream(exchange.status, headers)
            await sink.send_chunk(events)
        if splitter.has_partial_event:
            raise ServerBrokeOffError("the stream ended inside an event")
        if not sink.started:
            progress.answer_status = exchange.status
            headers = self._dialect.make_caller_headers(exchange.headers)
            await sink.start_stream(exchange.status, headers)
        await sink.finish_stream()

    async def _next_part(self, progress: RequestProgress, parts, sink: ResponseSink):
        """Returns the next bytes of a stream, or None at its end."""
        patience = None
        if progress.sends < progress.route.max_attempts:
            patience = self._find_patience(progress, sink_started=sink.started)
        try:
            async with asyncio.timeout(patience):
                return await anext(parts, None)
        except TimeoutError as error:
            raise _SilenceError from error

    def _log_end(
        self,
        request: ForwardRequest,
        progress: RequestProgress | None,
        outcome: str,
        sink: ResponseSink,
    ) -> None:
        """Writes the one line that tells how a request ended and why."""
        self._metrics.count(f"forward.{outcome}")
        took = self._clock.monotonic_seconds() - request.received_seconds
        self._metrics.record_seconds("forward.request", took)
        fields = {
            "request": request.head.attempt_id,
            "outcome": outcome,
            "took_ms": round(took * 1000),
            "configuration": self._configuration.number,
        }
        if progress is not None:
            fields["route"] = progress.route_name
            fields["workspace"] = progress.workspace
            fields["status"] = progress.answer_status
            fields["sends"] = progress.sends
            fields["tokens"] = progress.used_tokens
            fields["tried"] = ",".join(progress.trail)
            fields["started"] = sink.started
        _log.info("request ended", fields=fields)
