"""A simulated network between routers, with partitions and message loss, in virtual time."""

import asyncio
import random

from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_router.fleet.peer_network import Handler

ONE_WAY_DELAY_SECONDS = 0.0005


class NetworkHub:
    """The addresses of the network and the faults between them.

    Attributes:
        handlers: Request handler by address.
        partitions: Pairs of addresses that can't reach each other.
        delay_range_seconds: Shortest and longest one-way delay of a message.
        isolated: Addresses that can't reach any address, including ones that are added later.
        reply_loss_probability: Probability that a reply is lost after its request was processed.
        call_count: Number of calls so far.
    """

    __slots__ = (
        "call_count",
        "delay_range_seconds",
        "handlers",
        "isolated",
        "partitions",
        "random",
        "reply_loss_probability",
    )

    def __init__(self, *, seed: int = 0):
        """Creates a network without addresses or faults."""
        self.handlers: dict[str, Handler] = {}
        self.partitions: set[frozenset[str]] = set()
        self.isolated: set[str] = set()
        self.reply_loss_probability = 0.0
        self.call_count = 0
        self.delay_range_seconds = (ONE_WAY_DELAY_SECONDS, ONE_WAY_DELAY_SECONDS)
        self.random = random.Random(seed)

    def partition(self, side: list[str], other_side: list[str]) -> None:
        """Blocks calls between every address of one side and every address of the other."""
        self.partitions.update(frozenset((a, b)) for a in side for b in other_side)

    def choose_delay_seconds(self) -> float:
        """Returns the one-way delay of the next message."""
        shortest, longest = self.delay_range_seconds
        return shortest if shortest == longest else self.random.uniform(shortest, longest)

    def heal(self) -> None:
        """Removes all partitions and isolations."""
        self.partitions.clear()
        self.isolated.clear()


class MemoryPeerNetwork:
    """One router's connection to the simulated network; implements the `PeerNetwork` port."""

    __slots__ = ("_address", "_hub")

    def __init__(self, *, hub: NetworkHub, address: str):
        """Creates the connection of an address."""
        self._hub = hub
        self._address = address

    async def serve(self, handler: Handler) -> None:
        """Registers the handler of requests to this address."""
        self._hub.handlers[self._address] = handler

    async def call(self, address: str, request: bytes, timeout_seconds: float) -> bytes:
        """Sends a request and returns the reply.

        Raises:
            PeerUnreachableError: If no reply arrives in time.
        """
        self._hub.call_count += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                await asyncio.sleep(self._hub.choose_delay_seconds())
                handler = self._hub.handlers.get(address)
                if handler is None or self._is_partitioned(address):
                    await asyncio.sleep(timeout_seconds)
                reply = await handler(request)
                await asyncio.sleep(self._hub.choose_delay_seconds())
                lost = self._hub.random.random() < self._hub.reply_loss_probability
                if lost or self._is_partitioned(address):
                    await asyncio.sleep(timeout_seconds)
                return reply
        except TimeoutError as error:
            raise PeerUnreachableError(f"{address}: no reply before the timeout") from error

    async def close(self) -> None:
        """Removes this address's handler."""
        self._hub.handlers.pop(self._address, None)

    def _is_partitioned(self, address: str) -> bool:
        if self._address in self._hub.isolated or address in self._hub.isolated:
            return True
        return frozenset((self._address, address)) in self._hub.partitions
