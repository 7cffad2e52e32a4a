"""Lets a few routers watch the registry and tell the others what they hear.

Load pattern: many routers for few servers. Each router's own watch would cost the store a call
every few seconds and one more for each change, so the calls would grow with the fleet.

A watcher sends what its watch returned, with the positions between which it holds, also when it
is nothing: so the others tell silence from calm. A router that hears no watcher, or lacks what
came before a message, watches by itself. Nothing that is true rests on the relay being fast.
"""

import asyncio
import collections
import contextlib
from collections.abc import Callable

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger

from ..ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistrySnapshot,
    ServerRegistry,
)

BEAT_SECONDS = 0.8
"""Longest time between two messages of a watcher."""
SILENCE_SECONDS = 1.3
"""Time without a message after which a router watches by itself. With the call that follows it
stays below the 2 s in which a leaving server must be known."""
MAX_KEPT_MESSAGES = 64
"""Messages kept for a router that is busy with an earlier one; two watchers send few a second."""

_log = get_part_logger("forward")


class RegistryRelayed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What a watcher heard of the registry.

    Attributes:
        after: Position from which the changes follow.
        position: Position up to which they are complete.
        written: Entries as of `position` that were written since `after`.
        removed: Servers whose entries were removed since `after`.
        configuration_number: Number of the configuration in force at the watcher.
    """

    after: int
    position: int
    written: list[RegisteredServer] = []
    removed: list[str] = []
    configuration_number: int = 0


class RegistryRelay:
    """A `ServerRegistry` that asks the store only where no watcher is heard."""

    __slots__ = (
        "_clock",
        "_everyone_watches",
        "_get_configuration_number",
        "_heard",
        "_is_watcher",
        "_messages",
        "_position",
        "_registry",
        "_send",
        "_silent_from_seconds",
    )

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        is_watcher: Callable[[], bool],
        everyone_watches: Callable[[], bool],
        send: Callable[[RegistryRelayed], None],
        get_configuration_number: Callable[[], int],
        clock: Clock,
    ):
        """Creates a relay that has heard nothing yet.

        Args:
            registry: The registry itself.
            is_watcher: Tells whether this process is one of the few that watch it.
            everyone_watches: Tells whether the fleet is so small that nobody need be told.
            send: Sends a message to the routers that do not watch; must not wait.
            get_configuration_number: Returns the number of the configuration in force.
            clock: Source of time.
        """
        self._registry = registry
        self._is_watcher = is_watcher
        self._everyone_watches = everyone_watches
        self._send = send
        self._get_configuration_number = get_configuration_number
        self._clock = clock
        self._messages: collections.deque[RegistryRelayed] = collections.deque(
            maxlen=MAX_KEPT_MESSAGES
        )
        self._heard = asyncio.Event()
        self._silent_from_seconds = float("-inf")
        self._position = 0

    @property
    def is_receiving(self) -> bool:
        """Whether a watcher was heard a short while ago."""
        return self._clock.monotonic_seconds() < self._silent_from_seconds

    async def read_servers(self) -> RegistrySnapshot:
        """Returns all entries, read from the registry itself.

        Raises:
            StoreError: If it does not answer.
        """
        return await self._registry.read_servers()

    async def wait_for_changes(self, position: int, timeout_seconds: float) -> RegistryChanges:
        """Waits for changes since a position, by the own watch or a watcher's.

        Raises:
            RegistryHistoryLostError: If changes were missed.
            StoreError: If the own watch is not answered.
        """
        if self._everyone_watches():
            return await self._registry.wait_for_changes(position, timeout_seconds)
        if self._is_watcher():
            return await self._watch_for_all(position, timeout_seconds)
        if not self.is_receiving:
            return await self._registry.wait_for_changes(
                position, min(timeout_seconds, BEAT_SECONDS)
            )
        return await self._wait_for_message(position, timeout_seconds)

    def receive(self, message: RegistryRelayed) -> None:
        """Takes in a watcher's message."""
        if not self.is_receiving:
            _log.info("a watcher is heard", fields={"position": message.position})
        self._silent_from_seconds = self._clock.monotonic_seconds() + SILENCE_SECONDS
        self._messages.append(message)
        self._heard.set()

    def announce_configuration(self) -> None:
        """Tells the others at once which configuration is in force, if this process watches."""
        if self._is_watcher() and not self._everyone_watches():
            nothing = RegistryChanges(written=[], removed=[], position=self._position)
            self._send(self._make_message(self._position, nothing))

    async def _watch_for_all(self, position: int, timeout_seconds: float) -> RegistryChanges:
        wait_seconds = min(timeout_seconds, BEAT_SECONDS)
        changes = await self._registry.wait_for_changes(position, wait_seconds)
        self._position = changes.position
        self._send(self._make_message(position, changes))
        return changes

    def _make_message(self, after: int, changes: RegistryChanges) -> RegistryRelayed:
        return RegistryRelayed(
            after=after,
            position=changes.position,
            written=changes.written,
            removed=changes.removed,
            configuration_number=self._get_configuration_number(),
        )

    async def _wait_for_message(self, position: int, timeout_seconds: float) -> RegistryChanges:
        """Returns the first message that goes on from a position."""
        end_seconds = self._clock.monotonic_seconds() + timeout_seconds
        while True:
            while self._messages:
                message = self._messages.popleft()
                if message.after > position:
                    _log.info("a relayed change is missing", fields={"after": position})
                    return await self._registry.wait_for_changes(position, BEAT_SECONDS)
                if message.position > position:
                    return RegistryChanges(
                        written=message.written,
                        removed=message.removed,
                        position=message.position,
                    )
            until_seconds = min(end_seconds, self._silent_from_seconds)
            left_seconds = until_seconds - self._clock.monotonic_seconds()
            if left_seconds <= 0:
                return RegistryChanges(written=[], removed=[], position=position)
            self._heard.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_seconds):
                    await self._heard.wait()
