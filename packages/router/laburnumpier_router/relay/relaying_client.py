"""Sends requests to servers directly, and through other routers while this one is cut off."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    ServerConnectionLostError,
    ServerResponseLimitError,
    ServerUnreachableError,
)

from ..forward.exchange import ServerCall, ServerClient, ServerExchange
from .contact_monitor import SILENCE_SECONDS, ContactMonitor
from .messages import RelayReason
from .relay_sender import RelaySender

SHORT_CONNECT_TIMEOUT_SECONDS = 0.25
"""Timeout for connecting while another router is known to reach servers. Four servers are tried
for a request, and a hanging connection must leave it the time to be relayed."""
MIN_WAITED_SECONDS = 0.3
"""Time after which a call that its caller gives up without an answer counts as silent. Callers may
wait for less than the usual silence."""


class ObservedServerClient:
    """Sends requests directly, and tells the monitor how their connections fare."""

    __slots__ = ("_client", "_clock", "_monitor")

    def __init__(self, *, client: ServerClient, monitor: ContactMonitor, clock: Clock):
        """Creates the client.

        Args:
            client: Sends requests to servers.
            monitor: Learns the outcomes.
            clock: Source of time.
        """
        self._client = client
        self._monitor = monitor
        self._clock = clock

    @contextlib.asynccontextmanager
    async def open(self, call: ServerCall) -> AsyncIterator[ServerExchange]:
        """Sends a request; leaving the context closes its connection.

        Raises:
            ServerUnreachableError: If nothing was sent.
            ServerConnectionLostError: If the outcome is unknown.
        """
        if self._monitor.is_reached_by_peer():
            timeout_seconds = min(call.connect_timeout_seconds, SHORT_CONNECT_TIMEOUT_SECONDS)
            call = dataclasses.replace(call, connect_timeout_seconds=timeout_seconds)
        async with contextlib.AsyncExitStack() as stack:
            yield await self._enter(stack, call)

    async def is_refusing(self, address: str) -> bool:
        """Returns whether nothing listens at an address; False if that is not known."""
        return await self._client.is_refusing(address)

    async def is_accepting(self, address: str) -> bool:
        """Returns whether a connection to an address is accepted at once."""
        return await self._client.is_accepting(address)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def _enter(self, stack: contextlib.AsyncExitStack, call: ServerCall) -> ServerExchange:
        started_seconds = self._clock.monotonic_seconds()
        key = call.server_id or call.address
        waiting = self._monitor.waiting_calls.add(started_seconds, call.report_stranded)
        silence = asyncio.get_running_loop().call_later(
            SILENCE_SECONDS, self._monitor.record_silence, key, started_seconds
        )
        try:
            exchange = await stack.enter_async_context(self._client.open(call))
        except ServerResponseLimitError:
            self._monitor.record_reached(started_seconds)
            raise
        except (ServerUnreachableError, ServerConnectionLostError):
            self._monitor.record_failure(key, started_seconds)
            raise
        except asyncio.CancelledError:
            waited_seconds = self._clock.monotonic_seconds() - started_seconds
            if waited_seconds >= MIN_WAITED_SECONDS:
                self._monitor.record_silence(key, started_seconds)
            raise
        finally:
            silence.cancel()
            self._monitor.waiting_calls.remove(waiting)
        self._monitor.record_reached(started_seconds)
        return exchange


class RelayingServerClient:
    """Sends requests directly, and through other routers while this one is cut off."""

    __slots__ = ("_direct", "_monitor", "_relay")

    def __init__(
        self, *, direct: ObservedServerClient, relay: RelaySender, monitor: ContactMonitor
    ):
        """Creates the client.

        Args:
            direct: Sends requests directly.
            relay: Sends requests through other routers.
            monitor: Knows whether this router is cut off.
        """
        self._direct = direct
        self._relay = relay
        self._monitor = monitor

    @contextlib.asynccontextmanager
    async def open(self, call: ServerCall) -> AsyncIterator[ServerExchange]:
        """Sends a request; leaving the context cancels it.

        A request whose direct connection fails goes on through another router if this one turns
        out to be cut off: nothing was sent.

        Raises:
            ServerUnreachableError: If nothing was sent to a server.
            ServerConnectionLostError: If the outcome is unknown.
        """
        async with contextlib.AsyncExitStack() as stack:
            yield await self._enter(stack, call)

    async def is_refusing(self, address: str) -> bool:
        """Returns whether nothing listens at an address; False if that is not known.

        A router that is cut off cannot tell, and must not report servers as crashed. If no router
        is known to reach servers, they count as down.
        """
        if self._monitor.is_cut_off:
            return False
        return await self._direct.is_refusing(address) and not await self._monitor.verify()

    async def is_accepting(self, address: str) -> bool:
        """Returns whether a request to an address could be sent at once.

        This is asked when a server is silent. If all are, this router may be cut off by a network
        that accepts connections itself.
        """
        if self._monitor.is_quiet():
            await self._monitor.verify()
        if self._monitor.is_cut_off:
            return self._relay.has_candidate()
        return await self._direct.is_accepting(address)

    async def close(self) -> None:
        """Closes all connections."""
        await self._relay.close()
        await self._monitor.close()
        await self._direct.close()

    async def _enter(self, stack: contextlib.AsyncExitStack, call: ServerCall) -> ServerExchange:
        if self._monitor.is_checking:
            # A request that is sent now may be lost, or may run without an answer.
            await self._monitor.verify()
        if not self._monitor.is_cut_off:
            try:
                return await stack.enter_async_context(self._direct.open(call))
            except ServerUnreachableError:
                if not await self._monitor.verify():
                    raise
        return await self._relay.open(stack, call, RelayReason.CUT_OFF)
