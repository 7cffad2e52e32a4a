"""Sends a forwarded request to one server and relays its response to the caller."""

import asyncio
import contextlib
import functools
from collections.abc import Callable

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    ServerConnectionLostError,
    ServerResponseInvalidError,
    ServerResponseLimitError,
    ServerUnreachableError,
)
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran

from ..configuration.document import Route, RouteKind
from ..forward.crash_guard import CrashGuard
from ..forward.event_stream import NoEventError
from ..forward.exchange import ResponseSink, ServerCall, ServerClient, ServerExchange
from ..forward.patience import PatientReader, PatientWait, StillWaitingError, read_patiently
from ..forward.request_limiter import RequestLimiter
from ..forward.request_progress import ErrorResponse, RequestProgress
from ..forward.response_limits import StreamLimitError
from ..forward.retry_budget import RetryBudget
from ..forward.server_rate_limits import ServerRateLimits
from ..forward.servers import ServerLoad
from ..forward.stream_versions import StreamVersions
from ..forward.watched_run import PartBlockedError, WatchedRun
from ..notices.server_notices import ServerNotices
from ..places.place_keeper import PlaceKeeper
from ..ports.dialect import Dialect, ForwardedRequestInfo, ResponseHead
from ..relay.server_prober import ServerProber
from ..selection.selector import ServerSelector
from .attempt_error import ServerAttemptError, ServerSilentError
from .handover import HandedOverError, Handover
from .kept_attempt import KeptAttempt, keep_attempt

FIRST_EVENT_TIMEOUT_FACTOR = 2.5
"""Timeout for the first event of a resumable stream, as a multiple of the target latency."""
MIN_STREAM_TIMEOUT_SECONDS = 1.5
"""Lower bound of resumable streams' timeouts; processing a long prompt can take this long."""
GAP_TIMEOUT_FACTOR = 4.0
"""Timeout between events of a resumable stream, as a multiple of the target gap."""
RESPONSE_TIMEOUT_FACTOR = 2.0
"""Timeout for the response to an idempotent call, as a multiple of the target latency."""
RECENT_ANSWER_SECONDS = 0.5
"""Age of a server's latest load report up to which it counts as answering."""
NOT_NEEDED = "not_needed"
"""Reason of a server attempt that was ended because the server before has gone on."""
OPEN_END = "open_end"
"""Reason of a server attempt whose stream ended with its connection after whole events."""
NO_REST = "no_rest"
"""Reason of a server attempt whose stream was not the rest of one that had begun elsewhere."""
PART_BLOCKED = "part_blocked"
"""Reason of a server attempt that ended because servers crash on a part of the prompt."""
EVENT_STREAM = "text/event-stream"


class RequestSender:
    """Sends requests to servers and relays their responses."""

    __slots__ = (
        "_client",
        "_clock",
        "_crash_guard",
        "_dialect",
        "_limiter",
        "_metrics",
        "_notices",
        "_places",
        "_prober",
        "_rate_limits",
        "_retry_budget",
        "_selector",
        "_stream_versions",
    )

    def __init__(
        self,
        *,
        client: ServerClient,
        prober: ServerProber,
        selector: ServerSelector,
        crash_guard: CrashGuard,
        stream_versions: StreamVersions,
        dialect: Dialect,
        retry_budget: RetryBudget,
        rate_limits: ServerRateLimits,
        limiter: RequestLimiter,
        notices: ServerNotices,
        places: PlaceKeeper,
        clock: Clock,
        metrics: Metrics,
    ):
        """Creates the sender.

        Args:
            client: Sends requests to servers.
            prober: Finds out whether a server answers.
            selector: Finds servers that could take over from a silent one.
            crash_guard: Watches for requests that crash servers.
            stream_versions: Records at which version each stream began.
            dialect: Translates headers between callers, this router and servers.
            retry_budget: Limits the retries to each service.
            rate_limits: Limits that servers name in their answers.
            limiter: Gives permits for requests to servers with a limit.
            notices: Records what servers say of themselves.
            places: Knows which servers are brittle.
            clock: Source of time.
            metrics: Counters.
        """
        self._client = client
        self._prober = prober
        self._selector = selector
        self._crash_guard = crash_guard
        self._stream_versions = stream_versions
        self._dialect = dialect
        self._retry_budget = retry_budget
        self._rate_limits = rate_limits
        self._limiter = limiter
        self._notices = notices
        self._places = places
        self._clock = clock
        self._metrics = metrics

    async def send(
        self, progress: RequestProgress, server: ServerLoad, sink: ResponseSink
    ) -> None:
        """Sends the request to a server and relays its response.

        If the server falls silent and another one takes the request, the response of that one is
        relayed.

        Raises:
            ServerAttemptError: If no response was delivered.
        """
        try:
            await self._send_to(progress, server, sink)
        except HandedOverError:
            await self._go_on_elsewhere(progress)
        finally:
            await self._end_handover(progress)

    async def _end_handover(self, progress: RequestProgress) -> None:
        """Ends an attempt at another server that is left over, as the request has ended before."""
        handover, progress.handover = progress.handover, None
        progress.is_taking_over = False
        if handover is not None:
            await handover.cancel()

    async def _go_on_elsewhere(self, progress: RequestProgress) -> None:
        """Follows a request to the servers that take it over, one from the other."""
        while True:
            with contextlib.suppress(HandedOverError):
                await progress.handover.go_on()
                return

    async def _send_to(
        self, progress: RequestProgress, server: ServerLoad, sink: ResponseSink
    ) -> None:
        """Sends the request to a server and relays its response; see `send`.

        Raises:
            ServerAttemptError: If no response was delivered.
            HandedOverError: If another server has taken the request.
        """
        progress.tried_server_ids.add(server.entry.server_id)
        progress.sent_to = server.entry
        progress.attempt_log.append(server.entry.server_id)
        prompt_tokens = progress.request.head.prompt_tokens
        observer = progress.observer = self._selector.observe_send(progress, server)
        progress.choice_reason = observer.reason
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
                exchange = await self._open(progress, server, stack, sink)
                progress.send_count += 1
                server.record_prompt_processed(prompt_tokens)
                prompt_tokens = 0
                await self._relay_response(progress, server, exchange, sink)
        except ServerUnreachableError as error:
            now = self._clock.monotonic_seconds()
            server.record_unreachable(now)
            server.record_connection_lost(now)
            observer.record_failure()
            progress.may_have_run = may_have_run_before
            raise ServerAttemptError("unreached", Ran.NO) from error
        except ServerConnectionLostError as error:
            progress.send_count += exchange is None
            observer.record_failure()
            server.record_failure()
            server.record_connection_lost(self._clock.monotonic_seconds())
            if isinstance(error, ServerResponseInvalidError):
                self._metrics.count("forward.invalid_heads")
            if isinstance(error, ServerResponseLimitError):
                self._metrics.count(f"forward.limit.{error.reason}")
            crash_check = None
            if not run.has_begun and not isinstance(error, ServerResponseLimitError):
                progress.lost_count += 1
                crash_check = self._crash_guard.report_lost(run)
            raise ServerAttemptError(error.reason, Ran.UNKNOWN, crash_check=crash_check) from error
        except PartBlockedError as error:
            progress.send_count += exchange is None
            raise ServerAttemptError(PART_BLOCKED, Ran.UNKNOWN) from error
        except ServerSilentError as error:
            progress.send_count += exchange is None
            server.record_unreachable(self._clock.monotonic_seconds())
            raise ServerAttemptError("silent", Ran.UNKNOWN) from error
        except HandedOverError:
            progress.send_count += exchange is None
            server.record_unreachable(self._clock.monotonic_seconds())
            raise
        except ServerAttemptError as failure:
            if failure.ran is Ran.NO:
                observer.record_failure()
                progress.may_have_run = may_have_run_before
            if failure.reason == OPEN_END:
                server.record_connection_lost(self._clock.monotonic_seconds())
            raise
        finally:
            observer.close()
            server.record_prompt_processed(prompt_tokens)
            server.record_finish()

    async def _open(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        stack: contextlib.AsyncExitStack,
        sink: ResponseSink,
    ) -> ServerExchange:
        """Sends the request and waits for the response head.

        Raises:
            HandedOverError: If there is none in time and another server has taken the request.
            ServerSilentError: If there is none in time and the server is left without one.
        """
        opening = stack.enter_async_context(self._client.open(self._build_call(progress, server)))
        async with PatientWait(opening) as wait:
            if progress.is_taking_over:
                with contextlib.suppress(StillWaitingError):
                    return await wait.get_result(self._get_take_over_timeout(progress))
                await self._take_over(progress)
            while True:
                timeout_seconds = self._get_silence_timeout(progress, sink_started=False)
                with contextlib.suppress(StillWaitingError):
                    return await wait.get_result(timeout_seconds)
                if await self._can_go_on_elsewhere(progress) and not wait.is_done:
                    await self._leave_if_taken(progress, sink, lambda: wait.has_result)

    def _get_take_over_timeout(self, progress: RequestProgress) -> float:
        """Returns the seconds after which a request at this server counts as taken over."""
        return progress.handover.get_remaining(self._clock.monotonic_seconds())

    async def _take_over(self, progress: RequestProgress) -> None:
        """Makes this attempt the one that goes on, if the server before is still kept."""
        if progress.is_taking_over:
            progress.is_taking_over = False
            await progress.handover.take_over()

    async def _leave_if_taken(
        self, progress: RequestProgress, sink: ResponseSink, is_back: Callable[[], bool]
    ) -> None:
        """Tries another server while the silent one is kept, and returns if that is to go on.

        Args:
            progress: The request.
            sink: Sends the response to the caller.
            is_back: Returns whether the silent server has gone on.

        Raises:
            HandedOverError: If another server has taken the request.
            ServerSilentError: If the silent server is to be left without one.
        """
        if progress.is_end_asked:
            raise ServerSilentError
        with contextlib.ExitStack() as stack:
            kept = keep_attempt(progress)
            stack.callback(self._release_kept, kept)
            if await self._is_taken_elsewhere(progress, sink, is_back):
                progress.attempt_log[kept.log_index] += ":silent"
                self._metrics.count("forward.handed_over")
                raise HandedOverError
            self._selector.release_place(progress)
            stack.pop_all()
            kept.restore(progress)

    async def _is_taken_elsewhere(
        self, progress: RequestProgress, sink: ResponseSink, is_back: Callable[[], bool]
    ) -> bool:
        """Begins an attempt at another server, and returns whether that has taken the request."""
        server = await self._find_successor(progress)
        now = self._clock.monotonic_seconds()
        if server is None:
            return False
        if is_back() or not self._retry_budget.try_acquire(progress.service, now):
            self._selector.release_place(progress, is_answered=True)
            return False
        self._metrics.count("forward.repeats")
        progress.handover = handover = Handover(now_seconds=now)
        progress.is_taking_over = True
        handover.start(asyncio.create_task(self._send_to(progress, server, sink)))
        if await handover.wait_until_taken() and not is_back():
            return True
        await self._end_handover(progress)
        failure = handover.get_failure()
        if failure is not None and not isinstance(failure, ServerAttemptError):
            raise failure
        progress.attempt_log[-1] += f":{failure.reason if failure else NOT_NEEDED}"
        return False

    async def _find_successor(self, progress: RequestProgress) -> ServerLoad | None:
        """Returns a server that may take the request over and answers; None if there is none.

        A request that a server lost, or that may crash servers, is not spread further.
        """
        if progress.lost_count or self._is_suspect(progress):
            return None
        server = await self._selector.find_server(progress)
        if server is None:
            return None
        if not self._is_suspect(progress) and await self._is_answering(server):
            return server
        self._selector.release_place(progress, is_answered=True)
        return None

    def _is_suspect(self, progress: RequestProgress) -> bool:
        """Whether a part of the request, or the request itself, may crash servers."""
        is_blocked = self._crash_guard.is_blocked(progress.service, progress.suspects)
        return progress.is_trial or is_blocked

    async def _is_answering(self, server: ServerLoad) -> bool:
        """Whether a server has answered lately, or answers a probe: it may be silent as well."""
        age_seconds = self._clock.monotonic_seconds() - server.reported_seconds
        return age_seconds <= RECENT_ANSWER_SECONDS or await self._prober.probe(server.entry)

    def _release_kept(self, kept: KeptAttempt) -> None:
        """Returns the place at a silent server that is left; the request may still run there."""
        if kept.place is not None:
            self._places.release(kept.place, is_broken_off=True)

    async def _can_go_on_elsewhere(self, progress: RequestProgress) -> bool:
        """Whether another server could take over from a silent one, which would be given up.

        A server that is only slow still completes its answer if nobody else does.
        """
        if progress.is_end_asked:
            return True
        now = self._clock.monotonic_seconds()
        if not self._retry_budget.has_retry(progress.service, now):
            return False
        server = self._selector.choose_server(
            progress,
            [
                other
                for other in self._selector.list_untried(progress)
                if other.backoff_until_seconds <= now
                and self._selector.may_have_leave(other.entry)
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
        if not self._selector.has_other_server(progress):
            return None
        if route.kind is RouteKind.IDEMPOTENT:
            return RESPONSE_TIMEOUT_FACTOR * route.target_latency_seconds
        if sink_started:
            return self._get_gap_timeout(route)
        return max(
            MIN_STREAM_TIMEOUT_SECONDS, FIRST_EVENT_TIMEOUT_FACTOR * route.target_latency_seconds
        )

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
            urgency=self._selector.get_urgency(progress) if is_engine_request else None,
            resume_after=progress.splitter.last_event_id,
        )
        place = progress.place
        return ServerCall(
            method=request.method,
            address=server.entry.address,
            target=request.target,
            headers=self._dialect.make_server_headers(request.headers, info),
            body=request.body,
            server_id=server.entry.server_id,
            remaining_seconds=remaining_seconds,
            report_stranded=place and functools.partial(self._places.return_unused, place),
            count_kept=progress.splitter.count_partial_bytes,
        )

    async def _relay_response(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        exchange: ServerExchange,
        sink: ResponseSink,
    ) -> None:
        """Relays the response of a server to the caller.

        Raises:
            ServerAttemptError: If the response is not a final one.
            ServerConnectionLostError: If it ends early.
        """
        progress.server_end = exchange.end_marker.value
        head = self._dialect.read_response(exchange.status, exchange.headers)
        self._check_identity(progress, server, exchange.status, head)
        self._record_notices(progress, server, head)
        self._check_executed(server, exchange.status, head)
        progress.observer.record_head(head)
        media_type = exchange.headers.get("Content-Type", "").partition(";")[0].strip()
        is_stream = exchange.status < 300 and media_type == EVENT_STREAM
        if is_stream:
            await self._relay_stream(progress, server, exchange, sink)
            self._crash_guard.record_begun(progress.run)
            server.record_success()
            return
        if sink.started:
            # The stream was to be resumed, but this response is not a stream.
            server.record_failure()
            raise ServerAttemptError(f"status_{exchange.status}", Ran.UNKNOWN)
        body = await self._read_body(progress, exchange)
        headers = self._dialect.make_caller_headers(exchange.headers)
        if exchange.status >= 500:
            progress.observer.record_failure()
            server.record_failure()
            reason = f"status_{exchange.status}"
            if progress.is_retryable:
                progress.error_response = ErrorResponse(
                    status=exchange.status,
                    headers=headers,
                    body=body,
                    has_explicit_end=exchange.end_marker.is_explicit,
                )
                raise ServerAttemptError(reason, Ran.YES)
            progress.attempt_log[-1] += f":{reason}"
        else:
            progress.observer.record_progress()
            self._crash_guard.record_begun(progress.run)
            server.record_success()
        progress.response_status = exchange.status
        await sink.send_complete(
            exchange.status, headers, body, has_explicit_end=exchange.end_marker.is_explicit
        )

    async def _read_body(self, progress: RequestProgress, exchange: ServerExchange) -> bytes:
        """Returns the complete body; that of an error is not waited for while a server is kept.

        Raises:
            ServerAttemptError: If the body of an error does not arrive in time.
            ServerConnectionLostError: If the body ends early.
        """
        if exchange.status < 500:
            await self._take_over(progress)
        if not progress.is_taking_over:
            return await exchange.read()
        try:
            async with asyncio.timeout(self._get_take_over_timeout(progress)):
                return await exchange.read()
        except TimeoutError as error:
            raise ServerAttemptError(f"status_{exchange.status}", Ran.YES) from error

    def _check_identity(
        self, progress: RequestProgress, server: ServerLoad, status: int, head: ResponseHead
    ) -> None:
        """Checks that a response belongs to the request.

        A response to another request says nothing about this one, nor about the server now, also
        if it states that it did not run.

        Raises:
            ServerAttemptError: If it is a response to another request.
        """
        # An error may come from something before the server, which does not know the request.
        may_be_unnamed = status >= 300 or not progress.request.head.attempt_id
        if not head.attempt_id and may_be_unnamed:
            return
        if head.attempt_id != progress.request.head.attempt_id:
            server.record_failure()
            raise ServerAttemptError("stray_answer", Ran.UNKNOWN)

    def _record_notices(
        self, progress: RequestProgress, server: ServerLoad, head: ResponseHead
    ) -> None:
        """Records what the head of a response to the request says of its server."""
        if head.running is not None:
            server.record_report(head.running, head.waiting, self._clock.monotonic_seconds())
        self._rate_limits.record_answer(progress.sent_to, head)
        self._notices.record_answer(progress.sent_to, head)
        self._limiter.record_answer(progress.sent_to, head)
        self._places.record_answer(progress.place, progress.sent_to, head)

    def _check_executed(self, server: ServerLoad, status: int, head: ResponseHead) -> None:
        """Checks that the server did not refuse the request.

        Raises:
            ServerAttemptError: If it states that it did not run it.
        """
        if not head.not_executed:
            return
        now = self._clock.monotonic_seconds()
        if head.is_misdirected:
            server.record_unreachable(now)
        else:
            server.record_report(server.entry.slots, 1, now)
        raise ServerAttemptError(f"refused_{status}", Ran.NO)

    async def _relay_stream(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        exchange: ServerExchange,
        sink: ResponseSink,
    ) -> None:
        """Relays the stream of a server, and its end.

        Raises:
            ServerConnectionLostError: If the stream ends early.
            HandedOverError: If it was silent for too long and another server has taken it.
            ServerSilentError: If it was silent for too long and is left without one.
            ServerAttemptError: If it is not the rest of the stream that another server had begun,
                or if it ended with its connection and can be resumed elsewhere.
        """
        # A server that was asked what follows and answers has not said yet that nothing does.
        is_same_end, progress.has_open_end = progress.has_open_end, False
        progress.splitter.is_rest = sink.started
        try:
            if await self._relay_events(progress, exchange, sink):
                is_same_end = False
        except NoEventError as error:
            server.record_failure()
            raise ServerAttemptError(NO_REST, Ran.UNKNOWN) from error
        finally:
            # Half an event belongs to its server, also while another one is tried beside it.
            if not progress.is_taking_over:
                progress.splitter.discard_partial_event()
        if progress.is_resumable and progress.splitter.has_event_due:
            server.record_failure()
            raise ServerAttemptError(NO_REST, Ran.UNKNOWN)
        await self._start_stream(progress, exchange, sink)
        if exchange.end_marker.is_explicit:
            await sink.finish_stream()
            return
        progress.has_open_end = True
        if is_same_end or not progress.is_resumable:
            await self.end_started_response(progress, sink)
            return
        progress.is_end_asked = True
        raise ServerAttemptError(OPEN_END, Ran.UNKNOWN)

    async def _relay_events(
        self, progress: RequestProgress, exchange: ServerExchange, sink: ResponseSink
    ) -> bool:
        """Relays complete events as they arrive; returns whether there were any.

        Raises:
            ServerConnectionLostError: If the stream ends early.
            HandedOverError: If it was silent for too long and another server has taken it.
            ServerSilentError: If it was silent for too long and is left without one.
            NoEventError: If the rest of a stream holds something else than events.
        """
        has_events = False
        async with read_patiently(exchange.iterate_chunks()) as reader:
            while (events := await self._read_next_events(progress, reader, sink)) is not None:
                has_events = True
                progress.observer.record_progress()
                self._crash_guard.record_piece(progress.run)
                self._record_version(progress)
                await self._start_stream(progress, exchange, sink)
                await sink.send_chunk(events)
        if progress.splitter.has_partial_event:
            raise ServerConnectionLostError("the stream ended within an event")
        return has_events

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
            HandedOverError: If there are none in time and another server has taken the request.
            ServerSilentError: If there are none in time and the server is left without one.
            NoEventError: If the rest of a stream holds something else than events.
        """
        silent_since_seconds = self._clock.monotonic_seconds()
        while True:
            timeout_seconds = self._get_event_timeout(progress, sink, silent_since_seconds)
            try:
                chunk = await reader.read(timeout_seconds)
                await self._take_over(progress)
            except StillWaitingError:
                if progress.is_taking_over:
                    await self._take_over(progress)
                elif await self._can_go_on_elsewhere(progress) and not reader.is_done:
                    await self._leave_if_taken(progress, sink, lambda: reader.has_result)
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
        if progress.is_taking_over:
            return self._get_take_over_timeout(progress)
        if not progress.is_end_asked and progress.send_count >= progress.route.max_attempts:
            return None
        timeout_seconds = self._get_silence_timeout(progress, sink_started=sink.started)
        if timeout_seconds is None:
            return None
        silent_seconds = self._clock.monotonic_seconds() - silent_since_seconds
        return max(0.0, timeout_seconds - silent_seconds)

    async def end_started_response(self, progress: RequestProgress, sink: ResponseSink) -> None:
        """Ends a response of which more may follow that no server delivered.

        If the server ended its stream with its connection, and the caller's response has no other
        end either, the caller learns as much as the server said. Every other response is aborted.
        """
        if progress.has_open_end and not sink.has_explicit_end:
            await sink.finish_stream()
        else:
            sink.abort()
