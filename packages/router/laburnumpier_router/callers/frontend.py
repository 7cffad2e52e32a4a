"""HTTP frontend for callers: chat completions, service calls and health checks."""

import asyncio
import contextlib
import uuid
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.hashing import hash_body, hash_key
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran, ResultCode

from ..backend.engine_port import ServiceCall
from ..configuration.service import ConfigurationService
from ..intake.body import read_body, refuse_rest, reserve_decoded
from ..request.answer_log import AnswerLog
from ..request.call_service import CallRequest, CallService
from ..request.chat_request import ChatRequest
from ..request.chat_service import ChatService
from . import chat_body
from .responses import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    RESULT_CODE_HEADER,
    ResponseUntilClose,
    abort_response,
    format_event,
    make_error_body,
    make_error_response,
    merge_chunks,
)

DEADLINE_HEADER = "X-Deadline-Seconds"
LAST_EVENT_ID_HEADER = "Last-Event-ID"
BODY_KEY = "laburnumpier.body"
"""Key under which a request keeps its body."""
BODY_TIMEOUT_SECONDS = 30.0
WRITE_TIMEOUT_SECONDS = 60.0
IDLE_POLL_SECONDS = 0.05
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")

_log = get_part_logger("callers")

Handler = Callable[[web.Request, str], Awaitable[web.StreamResponse]]

CONFIGURATION_REFUSALS = frozenset(
    {ResultCode.UNKNOWN_KEY, ResultCode.UNKNOWN_MODEL, ResultCode.UNKNOWN_SERVICE}
)
"""Refusals of requests that a newer configuration may allow."""
UNCONFIRMED_RETRY_SECONDS = 1.0
"""Retry-After of requests that a newer configuration may allow."""


class CallerFrontend:
    """Authenticates and parses HTTP requests, passes them to the services and writes responses."""

    __slots__ = (
        "_calls",
        "_chats",
        "_clock",
        "_configuration",
        "_default_deadline_seconds",
        "_is_ready",
        "_is_stopping",
        "_max_body_bytes",
        "_metrics",
        "_open_request_count",
    )

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        chats: ChatService,
        calls: CallService,
        clock: Clock,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        default_deadline_seconds: float,
        max_body_bytes: int,
    ):
        """Creates the frontend.

        Args:
            configuration: Active configuration of workspaces, models and services.
            chats: Serves chat requests.
            calls: Serves service calls.
            clock: Source of time.
            metrics: Counters.
            is_ready: Returns whether the router can serve requests.
            default_deadline_seconds: Time limit of requests without the deadline header.
            max_body_bytes: Maximum size of a request body.
        """
        self._configuration = configuration
        self._chats = chats
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._default_deadline_seconds = default_deadline_seconds
        self._max_body_bytes = max_body_bytes
        self._is_stopping = False
        self._open_request_count = 0

    def make_app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=self._max_body_bytes)
        app.router.add_get("/healthz", self._handle_health)
        app.router.add_get("/readyz", self._handle_readiness)
        app.router.add_post("/v1/chat/completions", self._wrap_handler(self._handle_chat))
        app.router.add_get("/v1/models", self._wrap_handler(self._handle_models))
        app.router.add_route(
            "*", "/services/{service}/{path:.*}", self._wrap_handler(self._handle_call)
        )
        app.router.add_route("*", "/{path:.*}", self._wrap_handler(self._handle_unknown_path))
        return app

    def stop_accepting_requests(self) -> None:
        """Refuses new requests; open requests continue."""
        self._is_stopping = True

    async def wait_until_idle(self) -> None:
        """Waits until no request is open."""
        while self._open_request_count:
            await asyncio.sleep(IDLE_POLL_SECONDS)

    def _wrap_handler(
        self, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Wraps a handler so that every error becomes a response with a result code."""

        async def handle(request: web.Request) -> web.StreamResponse:
            self._open_request_count += 1
            try:
                response = await self._handle_safely(handler, request)
            finally:
                self._open_request_count -= 1
            if self._is_stopping:
                response.force_close()
            return response

        return handle

    async def _handle_safely(self, handler: Handler, request: web.Request) -> web.StreamResponse:
        """Returns the response of a handler, or the response that reports its error."""
        request_id = f"r-{uuid.uuid4().hex}"
        try:
            self._check_not_stopping()
            key = chat_body.parse_idempotency_key(request.headers.get(IDEMPOTENCY_KEY_HEADER))
            return await self._handle_by_newest(handler, request, key or request_id)
        except RequestError as error:
            self._metrics.count(f"callers.refused.{int(error.code)}")
            return make_error_response(error, request_id)
        except Exception:
            _log.exception("request failed", fields={"request": request_id})
            error = RequestError(ResultCode.INTERNAL_ERROR, ran=Ran.UNKNOWN)
            return make_error_response(error, request_id)

    async def _handle_by_newest(
        self, handler: Handler, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        """Handles a request; it is refused only by a configuration that the store confirms."""
        try:
            return await handler(request, request_id)
        except RequestError as error:
            if error.code not in CONFIGURATION_REFUSALS:
                raise
            if not await self._configuration.confirm():
                raise RequestError(
                    ResultCode.CONFIGURATION_UNCONFIRMED,
                    retry_after_seconds=UNCONFIRMED_RETRY_SECONDS,
                ) from error
        return await handler(request, request_id)

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        if self._is_stopping:
            return web.Response(text="stopping\n", status=503)
        if not self._is_ready():
            return web.Response(text="not ready\n", status=503)
        return web.Response(text="ready\n")

    async def _handle_unknown_path(self, request: web.Request, request_id: str) -> web.Response:
        raise RequestError(ResultCode.NOT_FOUND)

    async def _handle_models(self, request: web.Request, request_id: str) -> web.Response:
        workspace = self._authenticate(request)
        models = self._configuration.configuration.workspaces[workspace].models
        data = [{"id": name, "object": "model", "owned_by": "laburnumpier"} for name in models]
        return web.json_response({"object": "list", "data": data})

    async def _handle_chat(self, request: web.Request, request_id: str) -> web.StreamResponse:
        workspace = self._authenticate(request)
        raw = await self._read_body(request)
        reserve_decoded(request, raw)
        body = chat_body.decode_body(raw)
        chat = self._parse_chat_request(request, workspace, request_id, body)
        with self._chats.open(chat) as log:
            if body.get("stream", False):
                with_usage = chat_body.is_usage_requested(body)
                return await self._stream_answer(request, chat, log, with_usage=with_usage)
            events = await log.read_all()
        self._metrics.count("callers.chats_served")
        return web.json_response(merge_chunks(events), headers=_make_response_headers(request_id))

    def _parse_chat_request(
        self, request: web.Request, workspace: str, request_id: str, body: dict
    ) -> ChatRequest:
        """Validates a chat request and returns its typed form.

        Raises:
            RequestError: If the request is invalid.
        """
        configuration = self._configuration.configuration
        workspace_settings = configuration.workspaces[workspace]
        name = chat_body.get_model_name(body)
        if name not in workspace_settings.models:
            raise RequestError(ResultCode.UNKNOWN_MODEL)
        model = configuration.models[name]
        chat_body.validate_messages(body)
        chat_body.validate_options(body)
        max_tokens = chat_body.get_max_tokens(body, model.max_output_tokens)
        remaining_seconds = chat_body.parse_deadline(
            request.headers.get(DEADLINE_HEADER), self._default_deadline_seconds
        )
        # Streaming is not part of the hash: a retry may switch between streamed and whole answers.
        hashed_fields = {k: v for k, v in body.items() if k not in ("stream", "stream_options")}
        return ChatRequest(
            workspace=workspace,
            request_id=request_id,
            has_idempotency_key=IDEMPOTENCY_KEY_HEADER in request.headers,
            body=chat_body.make_engine_body(body, max_tokens),
            body_hash=hash_body(repr(sorted(hashed_fields.items())).encode()),
            model=name,
            servers=model.servers,
            max_output_tokens=max_tokens,
            max_prompt_tokens=chat_body.compute_max_prompt_tokens(body),
            prompt_prefix_hash=chat_body.hash_prompt_prefix(body),
            priority=workspace_settings.priority,
            deadline_seconds=self._clock.monotonic_seconds() + remaining_seconds,
            resume_after=_parse_last_event_id(request.headers) if body.get("stream") else 0,
        )

    async def _stream_answer(
        self, request: web.Request, chat: ChatRequest, log: AnswerLog, *, with_usage: bool
    ) -> web.StreamResponse:
        """Streams events as they arrive; sends the end marker only if the answer is complete."""
        response = web.StreamResponse(headers=_make_response_headers(chat.request_id))
        response.content_type = "text/event-stream"
        try:
            async for event in log.read(chat.resume_after):
                if not response.prepared:
                    await response.prepare(request)
                data = format_event(event, with_usage=with_usage)
                if data:
                    # A caller that reads nothing for this long counts as disconnected.
                    async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                        await response.write(data)
        except RequestError as error:
            if not response.prepared:
                raise
            self._metrics.count(f"callers.broken_off.{int(error.code)}")
            await self._send_error_event(response, error, chat.request_id)
            return response
        except TimeoutError:
            self._metrics.count("callers.too_slow")
            abort_response(request, response)
            return response
        if not response.prepared:
            await response.prepare(request)
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        self._metrics.count("callers.chats_served")
        return response

    async def _send_error_event(
        self, response: web.StreamResponse, error: RequestError, request_id: str
    ) -> None:
        """Ends an incomplete stream with an error event and without the end marker."""
        event = web.json_response(make_error_body(error, request_id)).text or ""
        with contextlib.suppress(ConnectionError):
            await response.write(b"event: error\ndata: " + event.encode() + b"\n\n")
            await response.write_eof()

    async def _handle_call(self, request: web.Request, request_id: str) -> web.StreamResponse:
        workspace = self._authenticate(request)
        call = await self._parse_call_request(request, workspace, request_id)
        response = await self._calls.call(call)
        self._metrics.count("callers.calls_served")
        headers = {**_make_response_headers(request_id), "Content-Type": response.content_type}
        if response.has_explicit_end:
            return web.Response(status=response.status, body=response.body, headers=headers)
        unbounded = ResponseUntilClose(status=response.status, headers=headers)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await unbounded.prepare(request)
                await unbounded.write(response.body)
                await unbounded.write_eof()
        except TimeoutError:
            self._metrics.count("callers.too_slow")
            abort_response(request, unbounded)
        return unbounded

    async def _parse_call_request(
        self, request: web.Request, workspace: str, request_id: str
    ) -> CallRequest:
        """Validates a service call and returns its typed form.

        Raises:
            RequestError: If the request is invalid.
        """
        configuration = self._configuration.configuration
        workspace_settings = configuration.workspaces[workspace]
        name = request.match_info["service"]
        if name not in workspace_settings.services:
            raise RequestError(ResultCode.UNKNOWN_SERVICE)
        service = configuration.services[name]
        remaining_seconds = chat_body.parse_deadline(
            request.headers.get(DEADLINE_HEADER), self._default_deadline_seconds
        )
        path = request.raw_path.split("?", 1)[0].split("/", 3)[3]
        headers = {
            key: request.headers[key] for key in FORWARDED_HEADERS if key in request.headers
        }
        headers[REQUEST_ID_HEADER] = f"{workspace}/{request_id}"
        headers[IDEMPOTENCY_KEY_HEADER] = f"{workspace}/{request_id}"
        call = ServiceCall(
            method=request.method,
            path=path,
            query=request.query_string,
            headers=headers,
            body=await self._read_body(request),
        )
        text = f"{call.method} {name}/{call.path}?{call.query}\n".encode()
        return CallRequest(
            workspace=workspace,
            request_id=request_id,
            has_idempotency_key=IDEMPOTENCY_KEY_HEADER in request.headers,
            body_hash=hash_body(text + call.body),
            service=name,
            servers=service.servers,
            call=call,
            idempotent=request.method in service.idempotent_methods,
            price_tokens=service.price_tokens,
            priority=workspace_settings.priority,
            deadline_seconds=self._clock.monotonic_seconds() + remaining_seconds,
        )

    def _authenticate(self, request: web.Request) -> str:
        """Returns the workspace of the request's API key.

        Raises:
            RequestError: If the key is missing or unknown, or no configuration is loaded.
        """
        if not self._configuration.number:
            raise RequestError(ResultCode.NOT_READY, retry_after_seconds=1.0)
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise RequestError(ResultCode.MISSING_KEY)
        # The time of a look-up by hash reveals nothing about the key.
        workspace = self._configuration.find_workspace_of_key(hash_key(key.strip()))
        if workspace is None:
            raise RequestError(ResultCode.UNKNOWN_KEY)
        return workspace

    async def _read_body(self, request: web.Request) -> bytes:
        """Reads the body within the size and time limits.

        Raises:
            RequestError: If the body exceeds one of them, or if a stop has begun meanwhile.
        """
        if BODY_KEY in request:
            # A request that is handled again, by a newer configuration.
            return request[BODY_KEY]
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                body = request[BODY_KEY] = await read_body(request)
        except TimeoutError as error:
            refuse_rest(request)
            raise RequestError(
                ResultCode.DEADLINE_PASSED, detail="the body came too slowly"
            ) from error
        self._check_not_stopping()
        return body

    def _check_not_stopping(self) -> None:
        """Refuses requests during a stop.

        Raises:
            RequestError: If the router is stopping.
        """
        if self._is_stopping:
            raise RequestError(ResultCode.STOPPING, retry_after_seconds=1.0)


def _make_response_headers(request_id: str) -> dict[str, str]:
    return {
        REQUEST_ID_HEADER: request_id,
        IDEMPOTENCY_KEY_HEADER: request_id,
        RESULT_CODE_HEADER: str(int(ResultCode.OK)),
    }


def _parse_last_event_id(headers: Mapping[str, str]) -> int:
    """Returns the event id to resume after; 0 if the header is missing or invalid."""
    text = headers.get(LAST_EVENT_ID_HEADER)
    return int(text) if text and text.isdecimal() and len(text) < 16 else 0
