"""The HTTP side of forwarded requests: callers' connections, readiness and graceful stops."""

import asyncio

import msgspec
from aiohttp import web
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, ResultCode
from multidict import CIMultiDict

from ..callers.answers import CODE_HEADER, describe_error
from ..ports.dialect import Dialect
from .exchange import ForwardRequest
from .service import ForwardService

BODY_SECONDS = 30.0
"""Longest time that a caller may take to send a body."""
TAKE_WORK_SECONDS = 2.5
"""After a stop began, requests on open connections are still served for this long; the
balancer needs two seconds to send no more."""
STOP_POLL_SECONDS = 0.05
"""Pause between looks at whether work in progress has ended."""
QUIET_SECONDS = 0.5
"""A stopping router waits this long without any request before it closes its connections."""

_log = get_part_logger("forward")


class HttpResponseSink:
    """Sends an answer over one caller's connection."""

    __slots__ = ("_broken", "_closing", "_request", "_response")

    def __init__(self, *, request: web.BaseRequest, closing: bool):
        """Creates a sink that has sent nothing.

        Args:
            request: The caller's request.
            closing: Whether the connection is to be closed after the answer.
        """
        self._request = request
        self._closing = closing
        self._response: web.StreamResponse | None = None
        self._broken = False

    @property
    def response(self) -> web.StreamResponse | None:
        """The answer, once it has begun."""
        return self._response

    @property
    def started(self) -> bool:
        """Whether a part of the answer was sent."""
        return self._response is not None

    @property
    def aborted(self) -> bool:
        """Whether the answer was broken off."""
        return self._broken

    async def send_complete(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        """Sends an answer that is complete."""
        response = web.Response(status=status, headers=headers, body=body)
        await self._send_head(response)
        await response.write_eof()

    async def start_stream(self, status: int, headers: CIMultiDict[str]) -> None:
        """Starts an answer whose body follows in parts."""
        response = web.StreamResponse(status=status, headers=headers)
        if self._request.version >= (1, 1):
            response.enable_chunked_encoding()
        else:
            response.force_close()
        await self._send_head(response)

    async def send_chunk(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._response.write(data)

    async def finish_stream(self) -> None:
        """Ends the body, so that the caller knows it as complete."""
        await self._response.write_eof()

    def abort(self) -> None:
        """Closes the connection, so that the answer cannot look complete."""
        self._broken = True
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send_head(self, response: web.StreamResponse) -> None:
        if self._closing:
            response.force_close()
        self._response = response
        await response.prepare(self._request)


class ForwardFrontend:
    """Takes callers' requests and answers the balancer's readiness checks."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_is_ready",
        "_last_request_seconds",
        "_max_body_bytes",
        "_metrics",
        "_service",
        "_stopping_since",
    )

    def __init__(
        self,
        *,
        service: ForwardService,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        is_ready,
        max_body_bytes: int,
    ):
        """Creates the front.

        Args:
            service: Serves requests.
            dialect: Translates headers.
            clock: Source of time.
            metrics: Counters.
            is_ready: Tells whether the process can serve.
            max_body_bytes: Largest body that is taken.
        """
        self._service = service
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._max_body_bytes = max_body_bytes
        self._stopping_since: float | None = None
        self._last_request_seconds = 0.0

    def make_server(self) -> web.Server:
        """Returns the server of callers' connections."""
        return web.Server(
            self._handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            max_field_size=32768,
            max_line_size=32768,
        )

    def make_readiness_server(self) -> web.Server:
        """Returns the server of the balancer's checks."""
        return web.Server(self._answer_readiness, access_log=None)

    def begin_stop(self) -> None:
        """Lets the balancer send no more, while requests on open connections are served."""
        self._stopping_since = self._clock.monotonic_seconds()

    async def wait_until_idle(self, limit_seconds: float) -> bool:
        """Waits until the work in progress has ended.

        Args:
            limit_seconds: Longest wait.

        Returns:
            Whether all of it ended.
        """
        now = self._clock.monotonic_seconds()
        end = now + limit_seconds
        while now < end:
            old = self._stopping_since is None or now - self._stopping_since > TAKE_WORK_SECONDS
            quiet = now - self._last_request_seconds > QUIET_SECONDS
            if old and quiet and not self._service.active_count:
                return True
            await asyncio.sleep(STOP_POLL_SECONDS)
            now = self._clock.monotonic_seconds()
        return False

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

    async def _answer_readiness(self, request: web.BaseRequest) -> web.Response:
        ready = self._is_ready() and self._stopping_since is None
        return web.Response(status=200 if ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received = self._clock.monotonic_seconds()
        self._last_request_seconds = received
        stopping = self._stopping_since is not None
        sink = HttpResponseSink(request=request, closing=stopping)
        attempt_id = ""
        try:
            head = self._dialect.read_request(request.headers)
            attempt_id = head.attempt_id
            body = await self._read_body(request)
            if stopping and received - self._stopping_since > TAKE_WORK_SECONDS:
                raise RequestError(ResultCode.STOPPING, retry_after_seconds=0.0)
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
            return self._make_refusal(error, attempt_id, closing=stopping)
        except ConnectionError:
            # The caller has gone while its answer was being written.
            sink.abort()
        except Exception:
            _log.exception("request failed", fields={"request": attempt_id})
            if not sink.started:
                error = RequestError(ResultCode.INTERNAL_ERROR)
                return self._make_refusal(error, attempt_id, closing=True)
            sink.abort()
        return sink.response or web.Response(status=502)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        if not request.can_read_body:
            return b""
        try:
            async with asyncio.timeout(BODY_SECONDS):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise RequestError(ResultCode.BODY_TOO_LARGE) from error
        except TimeoutError as error:
            raise RequestError(ResultCode.DEADLINE_PASSED) from error

    def _make_refusal(self, error: RequestError, attempt_id: str, *, closing: bool):
        headers = {CODE_HEADER: str(int(error.code))}
        if error.retry_after_seconds is not None:
            headers["Retry-After"] = f"{error.retry_after_seconds:.3f}"
        response = web.Response(
            status=RESULT_CODE_TABLE[error.code].http_status,
            headers=headers,
            content_type="application/json",
            body=msgspec.json.encode(describe_error(error, attempt_id)),
        )
        if closing:
            response.force_close()
        return response
