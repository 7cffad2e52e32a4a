"""An HTTP server on one address, which closes its connections without losing a request."""

import asyncio
import math
import ssl

from aiohttp import web
from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.settings import Address

from ..intake.connection import BoundedConnection, set_receive_buffer

LISTEN_BACKLOG = 128
"""Connections that the kernel keeps until the process accepts them."""
CLOSE_POLL_SECONDS = 0.02
"""Interval at which connections with a request or unsent bytes are looked at again."""
MAX_CLOSE_SECONDS = 5.0
"""Time in which callers may take the rest of their responses if the stop itself is not limited."""

_log = get_part_logger("app")


class HttpListener:
    """Listens on an address and serves the connections of one HTTP server."""

    __slots__ = ("_address", "_clock", "_runner", "_tls_context")

    def __init__(
        self,
        *,
        runner: web.BaseRunner,
        address: Address,
        tls_context: ssl.SSLContext | None,
        clock: Clock,
    ):
        """Creates a listener; `open` makes it listen.

        Args:
            runner: Runs the HTTP server.
            address: Where to listen.
            tls_context: Encrypts the connections; None for plain ones.
            clock: Source of time.
        """
        self._runner = runner
        self._address = address
        self._tls_context = tls_context
        self._clock = clock

    async def open(self) -> None:
        """Listens on the address.

        Raises:
            OSError: If the address cannot be used.
        """
        await self._runner.setup()
        host = self._address.host.strip("[]")
        site = web.TCPSite(
            self._runner,
            host,
            self._address.port,
            ssl_context=self._tls_context,
            backlog=LISTEN_BACKLOG,
        )
        await site.start()
        for listening in site._server.sockets:
            set_receive_buffer(listening)

    async def close(self, until_seconds: float | None = None) -> None:
        """Stops listening, and closes each connection as soon as it holds no request.

        Args:
            until_seconds: Monotonic time at which connections that still hold a request, or bytes
                of a response that the caller does not take, are closed too; by default
                `MAX_CLOSE_SECONDS` from now.
        """
        connections = self._runner.server.connections
        _log.info(
            "connections closing",
            fields={"address": str(self._address), "connections": len(connections)},
        )
        started_seconds = self._clock.monotonic_seconds()
        if until_seconds is None:
            until_seconds = started_seconds + MAX_CLOSE_SECONDS
        await self._accept_waiting_connections()
        for site in self._runner.sites:
            await site.stop()
        unfinished = await self._close_idle_connections(until_seconds)
        await self._runner.cleanup()
        took_seconds = self._clock.monotonic_seconds() - started_seconds
        fields = {"took_ms": round(took_seconds * 1000), "unfinished": unfinished}
        _log.info("connections closed", fields={"address": str(self._address), **fields})

    async def _accept_waiting_connections(self) -> None:
        """Waits until the event loop has accepted the connections that wait on the socket.

        Those that still wait when the socket closes are reset by the kernel. Callers may connect
        faster than the loop accepts, but at most `LISTEN_BACKLOG` were waiting at first.
        """
        server = self._runner.server
        known = set(server.connections)
        for _ in range(LISTEN_BACKLOG):
            # uvloop accepts one connection in each turn.
            await _read_sockets()
            if known.issuperset(server.connections):
                return
            known.update(server.connections)

    async def _close_idle_connections(self, until_seconds: float) -> int:
        """Closes connections that hold no request until none is left, or the time is over.

        Returns:
            Number of connections that are left.
        """
        server = self._runner.server
        left_before = math.inf
        while True:
            await _read_sockets()
            # Nothing runs between the reads and the closes, so that a request which has arrived
            # before its connection is closed keeps it open.
            for connection in server.connections:
                if _is_idle(connection):
                    connection.force_close()
            await _read_sockets()
            left = len(server.connections)
            is_over = self._clock.monotonic_seconds() >= until_seconds
            # A process that runs late still answers what it has read, as long as that goes on.
            if not left or (is_over and left >= left_before):
                return left
            left_before = left
            await asyncio.sleep(CLOSE_POLL_SECONDS)


async def _read_sockets() -> None:
    """Lets the event loop read what has arrived on all sockets.

    The first turn polls the sockets; in loops other than uvloop the second turn reads them.
    """
    await asyncio.sleep(0)
    await asyncio.sleep(0)


def _is_idle(connection: web.RequestHandler) -> bool:
    """Whether a connection waits for the head of its next request.

    aiohttp has no public attribute for this; its own keep-alive timeout reads the same one.
    """
    if isinstance(connection, BoundedConnection):
        return connection.is_idle
    waiter = connection._waiter
    return waiter is not None and not waiter.done()
