"""Lets a few routers watch the registry and relay its changes to the others.

There are many routers for few servers. A watch by every router would cost the store a call every
few seconds and one more for each change, so the number of calls would grow with the fleet.

A watcher sends the result of each watch with the positions that it covers, even if there are no
changes, so that the others can distinguish a quiet registry from a stopped watcher. A router that
receives no messages, or has missed one, watches the registry itself until messages arrive.
Correctness does not depend on the delay of the messages.

A router that needs all entries asks a watcher for them first, and the registry if no watcher has
what is at least as new as all that the router has seen.
"""

import asyncio
import collections
import contextlib
from collections.abc import Awaitable, Callable

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger

from ..evacuation.messages import EvacuationsTold
from ..ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistrySnapshot,
    ServerRegistry,
)
from ..ports.store_era import UNKNOWN_ERA, StorePosition

WATCHER_HEARTBEAT_SECONDS = 0.8
"""Longest interval between two messages of a watcher."""
WATCHER_TIMEOUT_SECONDS = 1.3
"""Time without a message after which a router watches the registry itself. Together with the call
that follows it stays below the 2 s within which a leaving server must be known."""
MAX_CHANGES_PER_SECOND = 4
"""Watches that may end with a change within a second; servers often change together."""
CHANGE_PAUSE_SECONDS = 0.2
"""Time in which a watcher gathers further changes once it has seen that many."""
START_SETTLE_SECONDS = 0.5
"""Time after its start in which a router watches nothing: it finds out how large the fleet is."""
START_PATIENCE_SECONDS = 2.0
"""Time after its start in which a router of a large fleet waits for the first message."""
NO_WAIT_SECONDS = 0.001
"""Wait of a watch that only reports what has changed already."""
MAX_QUEUED_MESSAGES = 64
"""Limit of messages queued while a router handles an earlier one; two watchers send only a few a
second."""

_log = get_part_logger("forward")


class RegistryRelayed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of a watch, sent by a watcher to the other routers.

    Attributes:
        after: Position after which the changes begin.
        position: Position up to which they are complete.
        written: Entries written since `after`, as of `position`.
        removed: Ids of servers whose entries were removed since `after`.
        configuration_number: Number of the watcher's active configuration.
        evacuations: Evacuated data centres, as the watcher knows them; None while it does not.
    """

    after: StorePosition
    position: StorePosition
    written: list[RegisteredServer] = []
    removed: list[str] = []
    configuration_number: int = 0
    evacuations: EvacuationsTold | None = None


class ListRegistry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a watcher for all entries of the registry."""


class RegistryListed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `ListRegistry`.

    Attributes:
        servers: All entries as of `position`.
        position: Position from which later changes follow; None if the sender does not know it.
    """

    servers: list[RegisteredServer]
    position: StorePosition | None


class RegistryRelay:
    """A `ServerRegistry` that calls the store only if no watcher's messages arrive."""

    __slots__ = (
        "_ask_watcher",
        "_change_times",
        "_clock",
        "_everyone_watches",
        "_get_configuration_number",
        "_get_evacuations",
        "_is_watcher",
        "_message_received",
        "_messages",
        "_newest_position",
        "_position",
        "_registry",
        "_send",
        "_started_seconds",
        "_watcher_expires_seconds",
    )

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        is_watcher: Callable[[], bool],
        everyone_watches: Callable[[], bool],
        send: Callable[[RegistryRelayed], None],
        get_configuration_number: Callable[[], int],
        ask_watcher: Callable[[ListRegistry], Awaitable[RegistryListed | None]],
        clock: Clock,
        get_evacuations: Callable[[], EvacuationsTold | None] = lambda: None,
    ):
        """Creates a relay that has received no messages.

        Args:
            registry: Registry that is watched.
            is_watcher: Returns whether this process is one of the watchers.
            everyone_watches: Returns whether the fleet is so small that every router watches and
                no messages are needed.
            send: Sends a message to the routers that do not watch; must not block.
            get_configuration_number: Returns the number of the active configuration.
            ask_watcher: Sends a message to a watcher; returns None if none answers.
            clock: Source of time.
            get_evacuations: Returns the evacuated data centres to tell.
        """
        self._registry = registry
        self._is_watcher = is_watcher
        self._everyone_watches = everyone_watches
        self._send = send
        self._get_configuration_number = get_configuration_number
        self._ask_watcher = ask_watcher
        self._clock = clock
        self._get_evacuations = get_evacuations
        self._messages: collections.deque[RegistryRelayed] = collections.deque(
            maxlen=MAX_QUEUED_MESSAGES
        )
        self._message_received = asyncio.Event()
        self._watcher_expires_seconds = float("-inf")
        self._change_times: collections.deque[float] = collections.deque(
            maxlen=MAX_CHANGES_PER_SECOND
        )
        self._started_seconds: float | None = None
        self._position = StorePosition(era=UNKNOWN_ERA, revision=0)
        self._newest_position = self._position

    @property
    def is_receiving(self) -> bool:
        """Whether a watcher's message arrived within the watcher timeout."""
        return self._clock.monotonic_seconds() < self._watcher_expires_seconds

    @property
    def is_expecting(self) -> bool:
        """Whether this router has just started, so that a first message may be on its way."""
        if self._started_seconds is None:
            return True
        age_seconds = self._clock.monotonic_seconds() - self._started_seconds
        is_settling = age_seconds < START_SETTLE_SECONDS
        return is_settling or (
            age_seconds < START_PATIENCE_SECONDS and not self._everyone_watches()
        )

    async def read_servers(self) -> RegistrySnapshot:
        """Returns all entries, from a watcher or from the registry.

        Raises:
            StoreError: If the registry was asked and does not answer.
        """
        self._record_start()
        if not self._everyone_watches() and not self._is_watcher():
            listed = await self._ask_watcher(ListRegistry())
            position = None if listed is None else listed.position
            if position is not None and position >= self._newest_position:
                servers = {entry.server_id: entry for entry in listed.servers}
                return RegistrySnapshot(servers=servers, position=position)
        snapshot = await self._registry.read_servers()
        self._newest_position = max(self._newest_position, snapshot.position)
        return snapshot

    async def wait_for_changes(
        self, position: StorePosition, timeout_seconds: float
    ) -> RegistryChanges:
        """Waits for changes since a position, with a watch of its own or a watcher's messages.

        Raises:
            RegistryHistoryLostError: If changes were missed.
            StoreError: If a watch of its own is not answered.
        """
        await self._settle()
        if self._everyone_watches():
            return await self._registry.wait_for_changes(position, timeout_seconds)
        if self._is_watcher():
            return await self._watch_and_publish(position, timeout_seconds)
        if not self.is_receiving and self.is_expecting:
            await self._wait_for_first_message()
        if not self.is_receiving:
            changes = await self._watch_until_receiving(position, timeout_seconds)
        else:
            changes = await self._wait_for_message(position, timeout_seconds)
        self._newest_position = max(self._newest_position, changes.position)
        return changes

    async def read_changes(self, position: StorePosition) -> RegistryChanges:
        """Returns the changes from a position up to now, from the registry itself.

        Raises:
            RegistryHistoryLostError: If changes were missed.
            StoreError: If the registry does not answer.
        """
        return await self._registry.wait_for_changes(position, NO_WAIT_SECONDS)

    def receive(self, message: RegistryRelayed) -> None:
        """Queues a message from a watcher."""
        if not self.is_receiving:
            _log.info("receiving watcher messages", fields={"position": message.position})
        self._watcher_expires_seconds = self._clock.monotonic_seconds() + WATCHER_TIMEOUT_SECONDS
        self._messages.append(message)
        self._message_received.set()

    def announce_configuration(self) -> None:
        """Sends the active configuration number and the evacuations, if this process watches."""
        if self._is_watcher() and not self._everyone_watches():
            no_changes = RegistryChanges(written=[], removed=[], position=self._position)
            self._send(self._make_message(self._position, no_changes))

    def _record_start(self) -> None:
        """Records the first use, from which on a first message is expected for a while."""
        if self._started_seconds is None:
            self._started_seconds = self._clock.monotonic_seconds()

    async def _settle(self) -> None:
        self._record_start()
        end_seconds = self._started_seconds + START_SETTLE_SECONDS
        await asyncio.sleep(max(0.0, end_seconds - self._clock.monotonic_seconds()))

    async def _wait_for_first_message(self) -> None:
        end_seconds = self._started_seconds + START_PATIENCE_SECONDS
        self._message_received.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(end_seconds - self._clock.monotonic_seconds()):
                await self._message_received.wait()

    async def _watch_until_receiving(
        self, position: StorePosition, timeout_seconds: float
    ) -> RegistryChanges:
        """Watches the registry; a watcher's message ends the watch early, without changes."""
        self._messages.clear()
        self._message_received.clear()
        watch = asyncio.ensure_future(self._registry.wait_for_changes(position, timeout_seconds))
        message = asyncio.ensure_future(self._message_received.wait())
        try:
            await asyncio.wait({watch, message}, return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                return watch.result()
            return RegistryChanges(written=[], removed=[], position=position)
        finally:
            for task in (watch, message):
                task.cancel()
            await asyncio.gather(watch, message, return_exceptions=True)

    async def _watch_and_publish(
        self, position: StorePosition, timeout_seconds: float
    ) -> RegistryChanges:
        if self._has_many_changes():
            await asyncio.sleep(CHANGE_PAUSE_SECONDS)
        wait_seconds = min(timeout_seconds, WATCHER_HEARTBEAT_SECONDS)
        changes = await self._registry.wait_for_changes(position, wait_seconds)
        self._position = changes.position
        self._newest_position = max(self._newest_position, changes.position)
        self._send(self._make_message(position, changes))
        if changes.written or changes.removed:
            self._change_times.append(self._clock.monotonic_seconds())
        return changes

    def _has_many_changes(self) -> bool:
        if len(self._change_times) < MAX_CHANGES_PER_SECOND:
            return False
        return self._clock.monotonic_seconds() - self._change_times[0] < 1.0

    def _make_message(self, after: StorePosition, changes: RegistryChanges) -> RegistryRelayed:
        return RegistryRelayed(
            after=after,
            position=changes.position,
            written=changes.written,
            removed=changes.removed,
            configuration_number=self._get_configuration_number(),
            evacuations=self._get_evacuations(),
        )

    async def _wait_for_message(
        self, position: StorePosition, timeout_seconds: float
    ) -> RegistryChanges:
        """Returns the changes of the next message after a position; none at the timeout."""
        end_seconds = self._clock.monotonic_seconds() + timeout_seconds
        while True:
            while self._messages:
                message = self._messages.popleft()
                if message.after > position:
                    _log.info(
                        "a watcher message was missed; watching the registry",
                        fields={"after": position},
                    )
                    return await self._registry.wait_for_changes(
                        position, WATCHER_HEARTBEAT_SECONDS
                    )
                if message.position > position:
                    return RegistryChanges(
                        written=message.written,
                        removed=message.removed,
                        position=message.position,
                    )
            until_seconds = min(end_seconds, self._watcher_expires_seconds)
            remaining_seconds = until_seconds - self._clock.monotonic_seconds()
            if remaining_seconds <= 0:
                return RegistryChanges(written=[], removed=[], position=position)
            self._message_received.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_seconds):
                    await self._message_received.wait()
