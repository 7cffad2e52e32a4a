"""HTTP frontend of forwarded requests: callers' connections, readiness checks and stops."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, Ran, ResultCode
from multidict import CIMultiDict

from ..callers.responses import (
    RESULT_CODE_HEADER,
    ResponseUntilClose,
    abort_response,
    make_error_body,
)
from ..ingress.service import IngressService
from ..intake.body import read_body, refuse_rest
from ..intake.connection import ends_connection, record_response
from ..ports.dialect import Dialect
from .exchange import ForwardRequest
from .service import ForwardService
from .time_limits import TimeLimits

BODY_TIMEOUT_SECONDS = 30.0
"""Timeout for receiving a request body."""
STOP_ACCEPT_SECONDS = 2.5
"""Time after the start of a stop in which every new request is served; the load balancer takes
two seconds to stop sending them. Later only those are served that end in time."""
MAX_STOP_ACCEPT_SHARE = 2 / 3
"""Largest share of a stop in which every new request is served."""
SENT_PIECE_BYTES = 64 * 1024
"""Bytes of a large response that are written at once."""
IDLE_POLL_SECONDS = 0.05
"""Interval at which a stopping router checks whether its requests have ended."""
MIN_IDLE_SECONDS = 0.5
"""Time without a new request after which a stopping router closes its connections."""

_log = get_part_logger("forward")


class HttpResponseSink:
    """Sends a response over the connection of a caller."""

    __slots__ = (
        "_aborted",
        "_finished",
        "_has_explicit_end",
        "_ingress",
        "_is_closing",
        "_request",
        "_response",
    )

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        is_closing: Callable[[], bool],
        ingress: IngressService | None = None,
    ):
        """Creates a sink for the response to a request.

        Args:
            request: Request of the caller.
            is_closing: Returns whether the connection is to be closed after the response.
            ingress: Measures the traffic of the router; None if nothing does.
        """
        self._request = request
        self._is_closing = is_closing
        self._ingress = ingress
        self._response: web.StreamResponse | None = None
        self._has_explicit_end = False
        self._finished = False
        self._aborted = False

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once it has started."""
        return self._response

    @property
    def started(self) -> bool:
        """Whether a part of the response was sent."""
        return self._response is not None

    @property
    def finished(self) -> bool:
        """Whether the whole response was sent."""
        return self._finished

    @property
    def aborted(self) -> bool:
        """Whether the response was aborted."""
        return self._aborted

    @property
    def has_explicit_end(self) -> bool:
        """Whether the caller sees the end of the response by its framing."""
        return self._has_explicit_end

    async def send_complete(
        self, status: int, headers: CIMultiDict[str], body: bytes, *, has_explicit_end: bool
    ) -> None:
        """Sends a complete response, with its length if it has an explicit end."""
        self._has_explicit_end = has_explicit_end
        self._record_sent(len(body))
        record_response(self._request, len(body))
        if has_explicit_end and len(body) <= SENT_PIECE_BYTES:
            response = web.Response(status=status, headers=headers, body=body)
            await self._send_head(response)
        else:
            response = await self._start_sized(status, headers, len(body))
            await self._send_pieces(response, body)
        await response.write_eof()
        self._finished = True

    async def _start_sized(
        self, status: int, headers: CIMultiDict[str], size_bytes: int
    ) -> web.StreamResponse:
        """Sends the head of a response whose body follows in pieces."""
        if self._has_explicit_end:
            response = web.StreamResponse(status=status, headers=headers)
            response.content_length = size_bytes
        else:
            response = ResponseUntilClose(status=status, headers=headers)
        await self._send_head(response)
        return response

    async def _send_pieces(self, response: web.StreamResponse, body: bytes) -> None:
        """Sends a body in pieces, so that the transport holds no copy of the whole body."""
        view = memoryview(body)
        for start in range(0, len(body), SENT_PIECE_BYTES):
            await response.write(view[start : start + SENT_PIECE_BYTES])

    async def start_stream(
        self, status: int, headers: CIMultiDict[str], *, has_explicit_end: bool
    ) -> None:
        """Sends the response head; the body follows in chunks if it has an explicit end.

        HTTP/1.0 has no chunks, so its streams always end with the connection.
        """
        self._has_explicit_end = has_explicit_end and self._request.version >= (1, 1)
        if self._has_explicit_end:
            response = web.StreamResponse(status=status, headers=headers)
            response.enable_chunked_encoding()
        else:
            response = ResponseUntilClose(status=status, headers=headers)
        await self._send_head(response)

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        self._record_sent(len(data))
        await self._response.write(data)

    async def finish_stream(self) -> None:
        """Ends the body: by the last chunk, or by an orderly close of the connection."""
        await self._response.write_eof()
        self._finished = True

    def abort(self) -> None:
        """Closes the connection, so that the caller detects the response as incomplete."""
        self._aborted = True
        abort_response(self._request, self._response)

    def _record_sent(self, count: int) -> None:
        if self._ingress is not None:
            self._ingress.record_response(count)

    async def _send_head(self, response: web.StreamResponse) -> None:
        if self._is_closing() or ends_connection(self._request):
            response.force_close()
        self._response = response
        await response.prepare(self._request)


class ForwardFrontend:
    """Receives callers' requests and answers the load balancer's readiness checks."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_ingress",
        "_is_ready",
        "_last_request_seconds",
        "_max_body_bytes",
        "_metrics",
        "_open_request_count",
        "_service",
        "_stop_accept_until_seconds",
        "_time_limits",
    )

    def __init__(
        self,
        *,
        service: ForwardService,
        dialect: Dialect,
        time_limits: TimeLimits,
        clock: Clock,
        metrics: Metrics,
        is_ready,
        max_body_bytes: int,
        ingress: IngressService | None = None,
    ):
        """Creates the frontend.

        Args:
            service: Serves the requests.
            dialect: Translates headers between callers and this router.
            time_limits: Time limits of all open requests.
            clock: Source of time.
            metrics: Counters.
            is_ready: Returns whether the process can serve requests.
            max_body_bytes: Largest request body that is accepted.
            ingress: Decides whether new connections should come; None if they always should.
        """
        self._ingress = ingress
        self._service = service
        self._dialect = dialect
        self._time_limits = time_limits
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._max_body_bytes = max_body_bytes
        self._stop_accept_until_seconds: float | None = None
        self._last_request_seconds = 0.0
        self._open_request_count = 0

    @property
    def open_request_count(self) -> int:
        """Number of requests that were read, in part at least, and are not answered yet."""
        return self._open_request_count

    @property
    def is_stopping(self) -> bool:
        """Whether the router stops."""
        return self._stop_accept_until_seconds is not None

    def make_server(self) -> web.Server:
        """Returns the HTTP server for callers."""
        return web.Server(
            self._handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            # The server gets the bytes of the caller, who names their coding to it.
            auto_decompress=False,
            max_field_size=32768,
            max_line_size=32768,
        )

    def make_readiness_server(self) -> web.Server:
        """Returns the HTTP server for readiness checks."""
        return web.Server(self._handle_readiness, access_log=None)

    def begin_stop(self, end_seconds: float) -> None:
        """Fails readiness checks from now on, and serves requests that end in time.

        Args:
            end_seconds: Monotonic time at which requests that are still open are ended.
        """
        now = self._clock.monotonic_seconds()
        accept_seconds = min(STOP_ACCEPT_SECONDS, MAX_STOP_ACCEPT_SHARE * (end_seconds - now))
        self._stop_accept_until_seconds = now + accept_seconds
        self._service.begin_stop(self._stop_accept_until_seconds)
        self._time_limits.end_all_at(end_seconds)

    async def wait_until_idle(self) -> None:
        """Waits until all requests have ended and no new ones arrive, or a stop ends them."""
        while not self._is_idle():
            left_seconds = self._time_limits.end_seconds - self._clock.monotonic_seconds()
            if left_seconds <= 0:
                return
            await asyncio.sleep(min(IDLE_POLL_SECONDS, left_seconds))

    def _is_idle(self) -> bool:
        """Whether no request is open and the load balancer probably sends no new ones."""
        now = self._clock.monotonic_seconds()
        was_ready = self.is_stopping and self._is_ready()
        accepts_all = was_ready and now <= self._stop_accept_until_seconds
        is_quiet = now - self._last_request_seconds > MIN_IDLE_SECONDS
        return not accepts_all and is_quiet and not self._open_request_count

    def _make_request(self, message, payload, protocol, writer, task) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._max_body_bytes,
        )

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        ready = self._is_ready() and not self._turns_callers_away()
        return web.Response(status=200 if ready else 503)

    def _turns_callers_away(self) -> bool:
        """Whether callers should open their next connections to other routers."""
        return self.is_stopping or (self._ingress is not None and self._ingress.is_shedding)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._open_request_count += 1
        try:
            return await self._serve(request)
        finally:
            self._open_request_count -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves a request; every error before its response becomes a response of its own."""
        received = self._clock.monotonic_seconds()
        self._last_request_seconds = received
        sink = HttpResponseSink(
            request=request, is_closing=self._turns_callers_away, ingress=self._ingress
        )
        attempt_id = ""
        try:
            head = self._dialect.read_request(request.headers)
            attempt_id = head.attempt_id
            body = await self._read_body(request)
            if self._ingress is not None:
                self._ingress.record_request(len(body))
            forwarded = ForwardRequest(
                method=request.method,
                target=request.raw_path,
                host=request.headers.get("Host", ""),
                headers=request.headers,
                body=body,
                head=head,
                received_seconds=received,
            )
            await self._service.serve(forwarded, sink)
        except RequestError as error:
            return self._make_error_response(error, attempt_id)
        except ConnectionError:
            # The caller closed the connection while the response was written.
            sink.abort()
        except Exception:
            _log.exception("request failed", fields={"request": attempt_id})
            if not sink.started:
                error = RequestError(ResultCode.INTERNAL_ERROR, ran=Ran.UNKNOWN)
                return self._make_error_response(error, attempt_id, closing=True)
            sink.abort()
        return self._end_response(sink, attempt_id)

    def _end_response(self, sink: HttpResponseSink, attempt_id: str) -> web.StreamResponse:
        """Returns the response for the HTTP library, which completes whatever is not aborted."""
        if sink.response is None:
            return web.Response(status=502)
        if not sink.finished and not sink.aborted:
            _log.error("response left unfinished", fields={"request": attempt_id})
            sink.abort()
        return sink.response

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        if not request.can_read_body:
            return b""
        until_seconds = self._clock.monotonic_seconds() + BODY_TIMEOUT_SECONDS
        try:
            async with self._time_limits.limit(until_seconds):
                return await read_body(request)
        except TimeoutError as error:
            refuse_rest(request)
            if until_seconds > self._time_limits.end_seconds:
                raise RequestError(ResultCode.STOPPING, retry_after_seconds=0.0) from error
            raise RequestError(ResultCode.DEADLINE_PASSED) from error

    def _make_error_response(
        self, error: RequestError, attempt_id: str, *, closing: bool = False
    ) -> web.Response:
        headers = {RESULT_CODE_HEADER: str(int(error.code))}
        if error.retry_after_seconds is not None:
            headers["Retry-After"] = f"{error.retry_after_seconds:.3f}"
        response = web.Response(
            status=RESULT_CODE_TABLE[error.code].http_status,
            headers=headers,
            content_type="application/json",
            body=msgspec.json.encode(make_error_body(error, attempt_id)),
        )
        if closing or self._turns_callers_away():
            response.force_close()
        return response
