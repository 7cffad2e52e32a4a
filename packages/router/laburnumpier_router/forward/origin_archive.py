"""Keeps where streams began in the store, while a service has servers of several versions.

Routers remember origins in memory only, so a kill of all routers forgets them. As long as a
service has one version that costs nothing: all its streams can go on. With several, each stream
that is taken up would be refused. During that time, which is short, the origins are therefore also
written to the store, many in one call:

- Each router sends what it recorded to a collector every `GATHER_SECONDS`. A small fleet has one
  collector, a large one has one in each data centre.
- A collector writes what it has received as one value, at most once in its write interval. The
  values are bound to leases that nobody renews, so the store removes them.
- A router reads all values at most once in `MIN_READ_INTERVAL_SECONDS`, and only if a stream is
  taken up whose origin no router knows and several versions may have begun it.

Origins of the last moments before a kill are lost, and so are all of them if leases expire while
the store is away. They are unknown then, and never guessed.
"""

import asyncio
from collections.abc import Callable

import msgspec
from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.decoding import decode_msgpack
from laburnumpier_core.errors import PeerError, StoreError, UnreadableDataError
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.service import FleetService
from ..ports.key_value_service import KeyValueService, Write
from .origin_memory import OriginMemory
from .origin_messages import ArchiveOrigins, OriginGroup, OriginsKept, group_origins
from .stream_origin import KeptOrigin, StreamOrigin

ARCHIVE_PREFIX = "stream-origins/"
GATHER_SECONDS = 0.05
"""Time for which a router gathers records before it sends them to a collector."""
WRITE_INTERVAL_SECONDS = 0.2
"""Shortest time between two writes of the whole fleet, which its collectors share."""
LEASE_SECONDS = 60.0
LEASE_CHANGE_SECONDS = 20.0
"""Time for which values are bound to the same lease; each is kept for the rest of it at least."""
MAX_RECORDS_PER_WRITE = 4_096
MAX_WAITING_RECORDS = 8_192
"""Records that wait to be sent or written; further ones are dropped and counted."""
SEND_TIMEOUT_SECONDS = 0.2
MIN_READ_INTERVAL_SECONDS = 5.0
READ_TIMEOUT_SECONDS = 0.5
"""Longest time for which a taken-up stream waits for a read."""

_Record = tuple[str, KeptOrigin]

_log = get_part_logger("forward")


class ArchivedOrigins(msgspec.Struct, frozen=True, kw_only=True):
    """Stored value: origins that one collector received since its write before."""

    groups: list[OriginGroup]


class OriginArchive:
    """Writes origins to the store together with the other routers, and reads them again."""

    __slots__ = (
        "_background",
        "_clock",
        "_collected",
        "_fleet",
        "_is_small_fleet",
        "_last_read_seconds",
        "_last_write_seconds",
        "_lease_granted_seconds",
        "_lease_id",
        "_metrics",
        "_read_task",
        "_send_task",
        "_store",
        "_unsent",
        "_write_count",
        "_write_task",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        store: KeyValueService,
        clock: Clock,
        metrics: Metrics,
        is_small_fleet: Callable[[], bool],
    ):
        """Creates an archive that has nothing to write.

        Args:
            fleet: Calls to the collectors.
            store: Keeps the origins.
            clock: Source of time.
            metrics: Counters.
            is_small_fleet: Returns whether one collector is enough for all routers.
        """
        self._fleet = fleet
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._is_small_fleet = is_small_fleet
        self._background = BackgroundTasks(part="forward", metrics=metrics)
        self._unsent: list[_Record] = []
        self._collected: list[_Record] = []
        self._send_task: asyncio.Task[None] | None = None
        self._write_task: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._last_write_seconds = float("-inf")
        self._last_read_seconds = float("-inf")
        self._lease_granted_seconds = float("-inf")
        self._lease_id = 0
        self._write_count = 0

    def add(self, attempt_id: str, kept: KeptOrigin) -> None:
        """Gathers a record for the store, without waiting for it."""
        if len(self._unsent) >= MAX_WAITING_RECORDS:
            self._metrics.count("forward.origins_not_archived")
            return
        self._unsent.append((attempt_id, kept))
        if self._send_task is None or self._send_task.done():
            self._send_task = self._background.start(self._send_gathered())

    async def handle_archive(self, sender: str, message: ArchiveOrigins) -> OriginsKept:
        """Takes the records of another router for the next write."""
        self._collect(_list_records(message.groups, self._clock))
        return OriginsKept()

    async def read_into(self, memory: OriginMemory) -> None:
        """Reads the stored origins into a memory, unless that was done lately.

        Waits `READ_TIMEOUT_SECONDS` at most; a longer read ends in the background.
        """
        if self._read_task is None or self._read_task.done():
            age_seconds = self._clock.monotonic_seconds() - self._last_read_seconds
            if age_seconds < MIN_READ_INTERVAL_SECONDS:
                return
            self._read_task = self._background.start(self._read(memory))
        await asyncio.wait({self._read_task}, timeout=READ_TIMEOUT_SECONDS)

    async def close(self) -> None:
        """Cancels what is in progress."""
        await self._background.cancel_all()

    async def _send_gathered(self) -> None:
        while self._unsent:
            await asyncio.sleep(GATHER_SECONDS)
            records = self._unsent[:MAX_RECORDS_PER_WRITE]
            del self._unsent[: len(records)]
            collector = self._list_collectors()[0]
            if not await self._send(collector, records):
                self._collect(records)

    async def _send(self, collector: str, records: list[_Record]) -> bool:
        """Sends records to a collector; returns False if this router has to write them."""
        if collector == self._fleet.self_name:
            return False
        now = self._clock.monotonic_seconds()
        told = group_origins((name, k.origin, k.expires_seconds - now) for name, k in records)
        try:
            await self._fleet.call(
                collector, ArchiveOrigins(groups=told.groups), SEND_TIMEOUT_SECONDS
            )
        except PeerError as error:
            _log.info("collector of stream origins not reached", fields={"error": error})
            return False
        return True

    def _list_collectors(self) -> list[str]:
        """Returns the collector of this router, followed by those of the other data centres."""
        view = self._fleet.view
        own = self._fleet.member.data_centre
        centres: dict[str, list[str]] = {own: [self._fleet.self_name]}
        for name in view.live:
            centre = own if self._is_small_fleet() else view.known[name].member.data_centre
            centres.setdefault(centre, []).append(name)
        return [rank_by_rendezvous(ARCHIVE_PREFIX, names)[0] for names in centres.values()]

    def _collect(self, records: list[_Record]) -> None:
        free = MAX_WAITING_RECORDS - len(self._collected)
        self._collected.extend(records[:free])
        if len(records) > free:
            self._metrics.count("forward.origins_not_archived", len(records) - free)
        if self._collected and (self._write_task is None or self._write_task.done()):
            self._write_task = self._background.start(self._write_collected())

    async def _write_collected(self) -> None:
        while self._collected:
            await self._wait_for_turn()
            self._last_write_seconds = self._clock.monotonic_seconds()
            records = self._collected[:MAX_RECORDS_PER_WRITE]
            del self._collected[: len(records)]
            try:
                await self._write(records)
            except StoreError as error:
                self._lease_granted_seconds = float("-inf")
                self._metrics.count("forward.origins_not_archived", len(records))
                _log.info("stream origins not written", fields={"error": error})

    async def _wait_for_turn(self) -> None:
        """Waits until this collector may write again.

        Routers that are cut off are collectors themselves, and share the writes by their number.
        """
        interval_seconds = WRITE_INTERVAL_SECONDS * len(self._list_collectors())
        unseen_parts = self._fleet.count_vms() / (1 + len(self._fleet.view.live))
        if unseen_parts > 1.0:
            await asyncio.sleep(interval_seconds * unseen_parts)
            return
        due_seconds = self._last_write_seconds + interval_seconds
        await asyncio.sleep(max(0.0, due_seconds - self._clock.monotonic_seconds()))

    async def _write(self, records: list[_Record]) -> None:
        now = self._clock.monotonic_seconds()
        if now - self._lease_granted_seconds > LEASE_CHANGE_SECONDS:
            self._lease_id = await self._store.grant_lease(LEASE_SECONDS)
            self._lease_granted_seconds = now
        told = group_origins((name, k.origin, k.expires_seconds - now) for name, k in records)
        self._write_count += 1
        key = f"{ARCHIVE_PREFIX}{self._fleet.self_name}/{self._write_count:06d}"
        value = msgspec.msgpack.encode(ArchivedOrigins(groups=told.groups))
        await self._store.commit({}, [Write(key=key, value=value, lease_id=self._lease_id)])
        self._metrics.count("forward.origins_archived", len(records))

    async def _read(self, memory: OriginMemory) -> None:
        try:
            stored = await self._store.list_prefix(ARCHIVE_PREFIX)
        except StoreError as error:
            _log.info("stream origins not read", fields={"error": error})
            return
        self._last_read_seconds = self._clock.monotonic_seconds()
        records = [record for value in stored for record in self._decode(value.key, value.value)]
        now = self._clock.monotonic_seconds()
        for attempt_id, kept in records:
            memory.keep(attempt_id, kept.origin, kept.expires_seconds - now)
        _log.info("stream origins read", fields={"values": len(stored), "origins": len(records)})

    def _decode(self, key: str, value: bytes) -> list[_Record]:
        """Returns the records of a stored value; an unreadable one holds none."""
        try:
            archived = decode_msgpack(value, ArchivedOrigins)
        except UnreadableDataError as error:
            _log.error("cannot decode stream origins", fields={"key": key, "error": error})
            return []
        return _list_records(archived.groups, self._clock)


def _list_records(groups: list[OriginGroup], clock: Clock) -> list[_Record]:
    now = clock.monotonic_seconds()
    return [
        (
            attempt.attempt_id,
            KeptOrigin(
                origin=StreamOrigin(
                    service=group.service, software_version=group.software_version
                ),
                expires_seconds=now + attempt.keep_milliseconds / 1000,
            ),
        )
        for group in groups
        for attempt in group.attempts
    ]
