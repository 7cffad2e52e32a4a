"""Which software versions of a service may have begun a stream that its caller can still take up.

Where it is unknown at which version a stream began, it may go on only if a single version has
served for as long as the stream can be old. A router sees in the registry what serves while it
runs. What served before its start, or while it could not read the registry, it learns from one
record in the store, which lists the versions of each service that served lately. The record is
written when a version appears or has been gone for long, never for a request.

Every listed version counts as having served up to the moment at which the record was read, so no
clocks of different VMs are compared.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import StoreError, UnreadableDataError
from laburnumpier_core.log import get_part_logger

from ..ports.key_value_service import KeyValueService, StoredValue, Write
from ..ports.server_registry import RegisteredServer
from ..ports.store_era import UNKNOWN_ERA, StorePosition
from .servers import ServerTable

RECORD_KEY = "service-versions"
UPDATE_INTERVAL_SECONDS = 0.5
"""Mean interval at which the record is compared with the registry; costs no store call."""
MAX_WRITERS = 3
"""Number of routers that write the record; each writes only if those before it have not."""
MAX_UNASKED_READERS = 20
"""Number of routers that read the record at once; the others read it when it is first needed."""
WRITER_DELAY_SECONDS = 2.0
"""Time that each writer leaves to the one before it."""

_log = get_part_logger("forward")


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored record: the versions of each service that served lately."""

    services: dict[str, list[str]] = {}


ServiceVersion = tuple[str, str]
"""Name of a service and a software version of its servers."""


class VersionHistory:
    """Versions that serve or have served, by service."""

    __slots__ = (
        "_clock",
        "_get_rank",
        "_get_retention_seconds",
        "_is_loaded",
        "_is_needed",
        "_is_registry_current",
        "_last_seen",
        "_needed_since_seconds",
        "_position",
        "_random",
        "_recorded",
        "_store",
        "_table",
    )

    def __init__(
        self,
        *,
        store: KeyValueService,
        table: ServerTable,
        clock: Clock,
        random_source: random.Random,
        is_registry_current: Callable[[], bool],
        get_rank: Callable[[], int],
        get_retention_seconds: Callable[[], float],
    ):
        """Creates a history that knows nothing; listens to the changes of the table.

        Args:
            store: Keeps the record.
            table: Registered servers.
            clock: Source of time.
            random_source: Jitter of the update interval.
            is_registry_current: Returns whether the table was confirmed by the registry lately.
            get_rank: Returns the position of this router among those that are live, from 0.
            get_retention_seconds: Returns how long a version stays in the record after its last
                server has gone.
        """
        self._store = store
        self._table = table
        self._clock = clock
        self._random = random_source
        self._is_registry_current = is_registry_current
        self._get_rank = get_rank
        self._get_retention_seconds = get_retention_seconds
        self._is_loaded = False
        self._is_needed = False
        self._last_seen: dict[ServiceVersion, float] = {}
        self._recorded: frozenset[ServiceVersion] = frozenset()
        self._position = StorePosition(era=UNKNOWN_ERA, revision=0)
        self._needed_since_seconds: float | None = None
        table.add_listener(self._record_seen)
        store.era.add_listener(lambda previous, era: self.invalidate())

    def find_only_version(self, service: str, seconds: float) -> str | None:
        """Returns the only version that has served within a time.

        Args:
            service: Name of the service.
            seconds: Longest time for which a caller may hold events of a stream.

        Returns:
            The version; None if several have served, or if that cannot be known.
        """
        self._is_needed = True
        if not self._is_loaded or not self._is_registry_current():
            return None
        versions = self._list_recent(service, seconds)
        return versions.pop() if len(versions) == 1 else None

    def has_several_versions(self, service: str, seconds: float) -> bool:
        """Returns whether several versions are known to have served within a time.

        Args:
            service: Name of the service.
            seconds: Longest time for which a caller may hold events of a stream.
        """
        return len(self._list_recent(service, seconds)) > 1

    def _list_recent(self, service: str, seconds: float) -> set[str]:
        since_seconds = self._clock.monotonic_seconds() - seconds
        versions = {version for name, version in self._list_present() if name == service}
        versions.update(
            version
            for (name, version), seen_seconds in self._last_seen.items()
            if name == service and seen_seconds >= since_seconds
        )
        return versions

    def invalidate(self) -> None:
        """Makes the record be read again before it is relied on."""
        self._is_loaded = False

    async def update_periodically(self) -> None:
        """Reads the record and keeps it up to date until cancelled."""
        while True:
            try:
                await self.update()
            except StoreError as error:
                self.invalidate()
                _log.info("version record not updated", fields={"error": error})
            await asyncio.sleep(UPDATE_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5))

    async def update(self) -> None:
        """Reads the record if needed, and writes what it lacks if it is this router's turn.

        Raises:
            StoreError: If the store does not answer.
        """
        if not self._is_registry_current():
            self.invalidate()
            return
        if not self._is_loaded and not self._is_needed and self._get_rank() >= MAX_UNASKED_READERS:
            return
        if not self._is_loaded:
            await self.reload()
        expected = self._make_record()
        if expected == self._recorded:
            self._needed_since_seconds = None
            return
        now = self._clock.monotonic_seconds()
        if self._needed_since_seconds is None:
            self._needed_since_seconds = now
        rank = self._get_rank()
        waited_seconds = now - self._needed_since_seconds
        if rank < MAX_WRITERS and waited_seconds >= rank * WRITER_DELAY_SECONDS:
            await self._write(expected)

    async def reload(self) -> None:
        """Reads the record, whether or not it was read before.

        Raises:
            StoreError: If the store does not answer.
        """
        found = await self._store.read([RECORD_KEY])
        position = found.get_position(RECORD_KEY)
        # A record that was read before says nothing new, and its versions go on ageing.
        if not self._is_loaded or position != self._position:
            self._apply(found.get(RECORD_KEY), position)
        self._is_loaded = True

    async def _write(self, expected: frozenset[ServiceVersion]) -> None:
        services: dict[str, list[str]] = {}
        for service, version in sorted(expected):
            services.setdefault(service, []).append(version)
        value = msgspec.json.encode(VersionRecord(services=services))
        outcome = await self._store.commit(
            {RECORD_KEY: self._position}, [Write(key=RECORD_KEY, value=value)]
        )
        if outcome.committed:
            self._recorded = expected
            self._position = outcome.position
            _log.info("version record written", fields={"services": services})
        else:
            stored = outcome.found.get(RECORD_KEY)
            self._apply(stored, outcome.found.get_position(RECORD_KEY))

    def _apply(self, stored: StoredValue | None, position: StorePosition) -> None:
        """Takes over a stored record; its versions count as having served until now."""
        self._position = position
        self._recorded = frozenset(_decode(stored))
        now = self._clock.monotonic_seconds()
        self._last_seen.update(dict.fromkeys(self._recorded, now))

    def _make_record(self) -> frozenset[ServiceVersion]:
        """Returns what the record should list; forgets versions that have been gone for long."""
        present = self._list_present()
        expiry_seconds = self._clock.monotonic_seconds() - self._get_retention_seconds()
        for key, seen_seconds in list(self._last_seen.items()):
            if key not in present and seen_seconds < expiry_seconds:
                del self._last_seen[key]
        return frozenset(present) | frozenset(self._last_seen)

    def _list_present(self) -> set[ServiceVersion]:
        entries = [server.entry for server in self._table.servers.values()]
        return {(entry.service, entry.software_version) for entry in entries}

    def _record_seen(self, entry: RegisteredServer) -> None:
        now = self._clock.monotonic_seconds()
        self._last_seen[(entry.service, entry.software_version)] = now


def _decode(stored: StoredValue | None) -> list[ServiceVersion]:
    """Returns the listed versions; an unreadable record lists none and is written anew."""
    if stored is None:
        return []
    try:
        record = decode_json(stored.value, VersionRecord)
    except UnreadableDataError as error:
        _log.error("cannot decode the version record", fields={"error": error})
        return []
    return [
        (service, version) for service, versions in record.services.items() for version in versions
    ]
