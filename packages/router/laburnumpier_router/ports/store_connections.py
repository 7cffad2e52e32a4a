"""Connections to the key-value service.

A connection can fall silent without being closed, and mostly others that were open fall silent at
the same moment. After a call without a response in time, later calls therefore use new
connections; the calls in progress on the earlier ones go on.
"""

import contextlib
from collections.abc import AsyncIterator

import aiohttp
from laburnumpier_core.bounded_http import make_session
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

_log = get_part_logger("store")


class StoreConnections:
    """The session in use, and earlier ones on which calls are still in progress."""

    __slots__ = ("_metrics", "_open_calls", "_session")

    def __init__(self, *, metrics: Metrics):
        """Creates it without a connection.

        Args:
            metrics: Counts how often the connections were replaced.
        """
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None
        self._open_calls: dict[aiohttp.ClientSession, int] = {}

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Provides the session for one call; a call that times out retires it."""
        if self._session is None:
            self._session = make_session()
            self._open_calls[self._session] = 0
        session = self._session
        self._open_calls[session] += 1
        try:
            yield session
        except TimeoutError:
            self._retire(session)
            raise
        finally:
            await self._finish_call(session)

    async def close(self) -> None:
        """Closes all connections, also those of calls in progress."""
        sessions, self._session = list(self._open_calls), None
        self._open_calls.clear()
        for session in sessions:
            await session.close()

    def _retire(self, session: aiohttp.ClientSession) -> None:
        if session is self._session:
            self._session = None
            self._metrics.count("store.connections_replaced")
            _log.info("store call timed out; using new connections")

    async def _finish_call(self, session: aiohttp.ClientSession) -> None:
        if session not in self._open_calls:
            return
        self._open_calls[session] -= 1
        if session is not self._session and not self._open_calls[session]:
            del self._open_calls[session]
            await session.close()
