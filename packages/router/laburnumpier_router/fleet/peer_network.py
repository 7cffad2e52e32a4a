"""Request-reply transport between routers, and its implementation with pynng.

A call sends bytes to the process that listens at an address and returns its reply. The receiver
may have processed a call that failed.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Protocol

import pynng
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.settings import Settings

SERVER_CONTEXTS = 64
# VMs and their addresses change, so all routers' certificates are issued for this one DNS name.
FLEET_TLS_NAME = "laburnumpier-router"
ERROR_RETRY_SECONDS = 0.01
CANCEL_RETRY_SECONDS = 0.05
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Resend time of pynng's request sockets. pynng would resend an unanswered request after this time;
# the largest accepted value disables that: requests are never resent.
RESEND_DISABLED_MILLISECONDS = 2**31 - 1
SILENCE_SECONDS = 1.0
"""Time without a reply after which a call that fails leads to a new connection. Routers send each
other heartbeats about as often; shorter pauses are usual under load."""

Handler = Callable[[bytes], Awaitable[bytes]]


class PeerNetwork(Protocol):
    """Transport of requests and replies between routers."""

    async def serve(self, handler: Handler) -> None:
        """Starts serving requests at the own address."""

    async def call(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        """Returns the reply; raises `PeerUnreachableError` if none arrives in time."""

    async def close(self) -> None:
        """Stops serving requests and closes all connections."""


class _PeerSocket:
    """Socket for the calls to one address; closed when it is retired and no call is open.

    Attributes:
        heard_seconds: Time of the event loop of the last reply, or of the creation.
    """

    __slots__ = ("_is_retired", "_open_calls", "_socket", "heard_seconds")

    def __init__(self, *, socket: pynng.Req0, now_seconds: float):
        """Wraps a socket that has just been opened."""
        self._socket = socket
        self._open_calls = 0
        self._is_retired = False
        self.heard_seconds = now_seconds

    @contextlib.contextmanager
    def open_context(self) -> Iterator[pynng.Context]:
        """Provides the context of one call."""
        self._open_calls += 1
        context = self._socket.new_context()
        try:
            yield context
        finally:
            context.close()
            self._open_calls -= 1
            self._close_if_unused()

    def retire(self) -> None:
        """Closes the socket as soon as no call is open."""
        self._is_retired = True
        self._close_if_unused()

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _close_if_unused(self) -> None:
        if self._is_retired and not self._open_calls:
            self._socket.close()


class PynngPeerNetwork:
    """Request and reply sockets of pynng, over TCP or mutual TLS."""

    __slots__ = (
        "_closing",
        "_listener",
        "_own_address",
        "_scheme",
        "_settings",
        "_sockets",
        "_tasks",
    )

    def __init__(self, *, settings: Settings):
        """Creates the network; sockets are opened by `serve` and `call`."""
        self._settings = settings
        self._own_address = str(settings.peers_address)
        self._scheme = "tls+tcp" if settings.tls_authority_file else "tcp"
        self._listener: pynng.Rep0 | None = None
        self._sockets: dict[str, _PeerSocket] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._closing = False

    async def serve(self, handler: Handler) -> None:
        """Starts serving requests at the own address.

        Raises:
            pynng.AddressInUse: If another process listens at the address.
        """
        self._listener = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        if self._scheme == "tls+tcp":
            self._listener.tls_config = self._make_tls_config(pynng.TLSConfig.MODE_SERVER)
        self._listener.listen(f"{self._scheme}://{self._own_address}")
        for _ in range(SERVER_CONTEXTS):
            self._tasks.append(asyncio.create_task(self._serve_requests(self._listener, handler)))

    async def call(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        """Sends a request and returns its reply.

        Raises:
            PeerUnreachableError: If no reply arrives in time.
        """
        exchange = asyncio.create_task(self._exchange(address, request, timeout_seconds))
        # pynng may swallow a cancellation that coincides with the completion of an operation. The
        # exchange therefore runs in a separate task, and this call stops waiting for it at the
        # time limit even if the task does not end.
        exchange.add_done_callback(_consume_exception)
        try:
            done, _ = await asyncio.wait({exchange}, timeout=timeout_seconds)
        finally:
            exchange.cancel()
        if not done:
            self._replace_silent_socket(address)
            raise PeerUnreachableError(f"{address}: no reply within the time limit")
        try:
            return exchange.result()
        except (asyncio.CancelledError, pynng.NNGException) as error:
            self._replace_silent_socket(address)
            raise PeerUnreachableError(f"{address}: {error!r}") from error

    async def close(self) -> None:
        """Stops serving requests and closes all sockets."""
        self._closing = True
        # A task may swallow a cancellation, so it is cancelled again until it ends.
        pending = set(self._tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_SECONDS)
        self._tasks.clear()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()

    async def _serve_requests(self, listener: pynng.Rep0, handler: Handler) -> None:
        """Handles requests sequentially; `SERVER_CONTEXTS` of these tasks run concurrently."""
        context = listener.new_context()
        try:
            while not self._closing:
                try:
                    request = await context.arecv()
                    await context.asend(await handler(request))
                except pynng.Closed:
                    return
                except pynng.NNGException:
                    # The request or reply is lost; the pause prevents a busy loop on errors.
                    await asyncio.sleep(ERROR_RETRY_SECONDS)
        finally:
            context.close()

    async def _exchange(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        socket = self._get_socket(address)
        with socket.open_context() as context:
            context.send_timeout = context.recv_timeout = int(timeout_seconds * 1000) + 1
            await context.asend(request)
            reply = await context.arecv()
            socket.heard_seconds = asyncio.get_running_loop().time()
            return reply

    def _replace_silent_socket(self, address: str) -> None:
        """Makes later calls use a new connection if there was no reply on this one for long.

        A connection can fall silent for good without being closed.
        """
        socket = self._sockets.get(address)
        now = asyncio.get_running_loop().time()
        if socket is not None and now - socket.heard_seconds >= SILENCE_SECONDS:
            del self._sockets[address]
            socket.retire()

    def _get_socket(self, address: str) -> _PeerSocket:
        if address not in self._sockets:
            socket = pynng.Req0(
                resend_time=RESEND_DISABLED_MILLISECONDS, recv_max_size=MAX_MESSAGE_BYTES
            )
            if self._scheme == "tls+tcp":
                socket.tls_config = self._make_tls_config(pynng.TLSConfig.MODE_CLIENT)
            socket.dial(f"{self._scheme}://{address}", block=False)
            now = asyncio.get_running_loop().time()
            self._sockets[address] = _PeerSocket(socket=socket, now_seconds=now)
        return self._sockets[address]

    def _make_tls_config(self, mode: int) -> pynng.TLSConfig:
        """Returns a configuration that requires a peer certificate of the fleet's authority."""
        is_client = mode == pynng.TLSConfig.MODE_CLIENT
        return pynng.TLSConfig(
            mode,
            server_name=FLEET_TLS_NAME if is_client else None,
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=[self._settings.tls_authority_file],
            cert_key_file=self._settings.tls_key_file,
        )


def _consume_exception(exchange: asyncio.Task[bytes]) -> None:
    """Retrieves the exception of an exchange, so that asyncio does not report it as unhandled."""
    if not exchange.cancelled():
        exchange.exception()
