"""The port between routers, and its adapter to pynng.

A call carries bytes to the process that listens on an address and brings its reply back. A
call that fails may have been processed all the same.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import pynng
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.settings import Settings

SERVER_CONTEXTS = 64
# VMs and their addresses change, so the certificates of all routers carry this one DNS name.
FLEET_TLS_NAME = "laburnumpier-router"
FAULT_PAUSE_SECONDS = 0.01
CANCEL_AGAIN_SECONDS = 0.05
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# The library repeats an unanswered request by itself after this time; the project never wants
# that.
NO_RESEND_MILLISECONDS = 2**31 - 1

Handler = Callable[[bytes], Awaitable[bytes]]


class PeerNetwork(Protocol):
    """Carries requests and replies between routers."""

    async def serve(self, handler: Handler) -> None:
        """Starts answering requests on the own address."""

    async def call(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        """Returns the reply; raises `PeerUnreachableError` when none comes in time."""

    async def close(self) -> None:
        """Stops answering and frees connections."""


class PynngPeerNetwork:
    """Request and reply sockets of pynng, over TCP or over TLS with certificates on both sides."""

    __slots__ = (
        "_closing",
        "_dialers",
        "_listener",
        "_own_address",
        "_scheme",
        "_settings",
        "_tasks",
    )

    def __init__(self, *, settings: Settings):
        """Creates the network; nothing is opened before `serve` or `call`."""
        self._settings = settings
        self._own_address = str(settings.peers_address)
        self._scheme = "tls+tcp" if settings.tls_authority_file else "tcp"
        self._listener: pynng.Rep0 | None = None
        self._dialers: dict[str, pynng.Req0] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._closing = False

    async def serve(self, handler: Handler) -> None:
        """Starts answering requests on the own address.

        Raises:
            pynng.AddressInUse: If another process listens there.
        """
        self._listener = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        if self._scheme == "tls+tcp":
            self._listener.tls_config = self._make_tls(pynng.TLSConfig.MODE_SERVER)
        self._listener.listen(f"{self._scheme}://{self._own_address}")
        for _ in range(SERVER_CONTEXTS):
            self._tasks.append(asyncio.create_task(self._answer(self._listener, handler)))

    async def call(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        """Sends a request and returns its reply.

        Raises:
            PeerUnreachableError: If no reply comes in time.
        """
        exchange = asyncio.create_task(self._exchange(address, request, timeout_seconds))
        # The library may swallow a cancellation that meets a completed operation. The exchange is
        # therefore a task of its own, which this one stops waiting for in any case.
        exchange.add_done_callback(_take_exception)
        try:
            done, _ = await asyncio.wait({exchange}, timeout=timeout_seconds)
        finally:
            exchange.cancel()
        if not done:
            raise PeerUnreachableError(f"{address}: no reply in time")
        try:
            return exchange.result()
        except (asyncio.CancelledError, pynng.NNGException) as error:
            raise PeerUnreachableError(f"{address}: {error!r}") from error

    async def close(self) -> None:
        """Stops answering and closes all sockets."""
        self._closing = True
        pending = set(self._tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_SECONDS)
        self._tasks.clear()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for socket in self._dialers.values():
            socket.close()
        self._dialers.clear()

    async def _answer(self, listener: pynng.Rep0, handler: Handler) -> None:
        """Answers one request after another; several of these tasks run side by side."""
        context = listener.new_context()
        try:
            while not self._closing:
                try:
                    request = await context.arecv()
                    await context.asend(await handler(request))
                except pynng.Closed:
                    return
                except pynng.NNGException:
                    # A reply that cannot be sent is lost; the pause keeps a fault from spinning.
                    await asyncio.sleep(FAULT_PAUSE_SECONDS)
        finally:
            context.close()

    async def _exchange(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        context = self._open_dialer(address).new_context()
        try:
            context.send_timeout = context.recv_timeout = int(timeout_seconds * 1000) + 1
            await context.asend(request)
            return await context.arecv()
        finally:
            context.close()

    def _open_dialer(self, address: str) -> pynng.Req0:
        if address not in self._dialers:
            socket = pynng.Req0(
                resend_time=NO_RESEND_MILLISECONDS, recv_max_size=MAX_MESSAGE_BYTES
            )
            if self._scheme == "tls+tcp":
                socket.tls_config = self._make_tls(pynng.TLSConfig.MODE_CLIENT)
            socket.dial(f"{self._scheme}://{address}", block=False)
            self._dialers[address] = socket
        return self._dialers[address]

    def _make_tls(self, mode: int) -> pynng.TLSConfig:
        """Returns the configuration that demands a certificate of the fleet's authority."""
        is_client = mode == pynng.TLSConfig.MODE_CLIENT
        return pynng.TLSConfig(
            mode,
            server_name=FLEET_TLS_NAME if is_client else None,
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=[self._settings.tls_authority_file],
            cert_key_file=self._settings.tls_key_file,
        )


def _take_exception(exchange: asyncio.Task[bytes]) -> None:
    """Marks the error of an exchange as seen, also when nobody waits for it any more."""
    if not exchange.cancelled():
        exchange.exception()
