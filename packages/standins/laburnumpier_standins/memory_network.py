"""An in-memory network between routers, with cuts, for use on a virtual clock."""

import asyncio
import random

from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_router.fleet.peer_network import Handler

HOP_SECONDS = 0.0005


class NetworkHub:
    """All addresses and the faults between them.

    Attributes:
        cuts: Pairs of addresses that cannot reach each other.
        isolated: Addresses that reach nobody, also those that appear later.
        loss_share: Share of calls whose reply is lost after they were processed.
    """

    __slots__ = ("cuts", "handlers", "isolated", "loss_share", "messages", "random")

    def __init__(self, *, seed: int = 0):
        """Creates a hub without faults."""
        self.handlers: dict[str, Handler] = {}
        self.cuts: set[frozenset[str]] = set()
        self.isolated: set[str] = set()
        self.loss_share = 0.0
        self.messages = 0
        self.random = random.Random(seed)

    def partition(self, side: list[str], other_side: list[str]) -> None:
        """Separates every address of one side from every address of the other."""
        self.cuts.update(frozenset((a, b)) for a in side for b in other_side)

    def heal(self) -> None:
        """Removes all cuts."""
        self.cuts.clear()
        self.isolated.clear()


class MemoryPeerNetwork:
    """One router's connection to the hub."""

    __slots__ = ("_address", "_hub")

    def __init__(self, *, hub: NetworkHub, address: str):
        """Connects an address."""
        self._hub = hub
        self._address = address

    async def serve(self, handler: Handler) -> None:
        """Starts answering requests."""
        self._hub.handlers[self._address] = handler

    async def call(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        """Returns the reply; raises `PeerUnreachableError` when none comes in time."""
        self._hub.messages += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                await asyncio.sleep(HOP_SECONDS)
                handler = self._hub.handlers.get(address)
                if handler is None or self._is_cut(address):
                    await asyncio.sleep(timeout_seconds)
                reply = await handler(request)
                await asyncio.sleep(HOP_SECONDS)
                lost = self._hub.random.random() < self._hub.loss_share
                if lost or self._is_cut(address):
                    await asyncio.sleep(timeout_seconds)
                return reply
        except TimeoutError as error:
            raise PeerUnreachableError(f"{address}: no reply") from error

    async def close(self) -> None:
        """Stops answering."""
        self._hub.handlers.pop(self._address, None)

    def _is_cut(self, address: str) -> bool:
        if self._address in self._hub.isolated or address in self._hub.isolated:
            return True
        return frozenset((self._address, address)) in self._hub.cuts
