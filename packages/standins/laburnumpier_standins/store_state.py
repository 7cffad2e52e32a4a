"""The data of the stand-in key-value service: values with revisions, leases and faults.

Both the HTTP stand-in and the in-memory one keep their data here, so that a fault behaves alike.
"""

import asyncio
import dataclasses
import enum


class StoreFault(enum.StrEnum):
    """How the service misbehaves while the fault is set."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    ANSWER_LOST = "answer_lost"
    STALE_READ = "stale_read"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A stored value; a `lease_id` of 0 binds it to no lease."""

    value: bytes
    revision: int
    lease_id: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """A lease that ends at `expires_seconds` unless renewed."""

    ttl_seconds: float
    expires_seconds: float


class StoreState:
    """Values, leases and call counts; time is given by the caller in seconds."""

    __slots__ = (
        "_changed",
        "_entries",
        "_leases",
        "_next_lease",
        "_previous",
        "_revision",
        "calls",
    )

    def __init__(self):
        """Creates an empty store."""
        self._entries: dict[str, Entry] = {}
        self._previous: dict[str, Entry] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1
        self._revision = 1
        self._changed = asyncio.Event()
        self.calls = 0

    @property
    def revision(self) -> int:
        """Revision of the newest write."""
        return self._revision

    @property
    def entries(self) -> dict[str, Entry]:
        """All present values by key."""
        return self._entries

    def get(self, key: str, *, stale: bool = False) -> Entry | None:
        """Returns a value, or the one before it when a stale read is simulated."""
        if stale and key in self._previous:
            return self._previous[key]
        return self._entries.get(key)

    def commit(self, expected: dict[str, int], writes: list[tuple[str, bytes, int]]) -> bool:
        """Applies writes of (key, value, lease id) if all expected revisions hold."""
        for key, revision in expected.items():
            entry = self._entries.get(key)
            if (entry.revision if entry else 0) != revision:
                return False
        self._revision += 1
        for key, value, lease_id in writes:
            if key in self._entries:
                self._previous[key] = self._entries[key]
            self._entries[key] = Entry(value=value, revision=self._revision, lease_id=lease_id)
        self._wake()
        return True

    def grant_lease(self, ttl_seconds: float, now: float) -> int:
        """Creates a lease."""
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = Lease(ttl_seconds=ttl_seconds, expires_seconds=now + ttl_seconds)
        return lease_id

    def renew_lease(self, lease_id: int, now: float) -> bool:
        """Renews a lease; False when it is gone."""
        self.expire_leases(now)
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_seconds = now + lease.ttl_seconds
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        self._leases.pop(lease_id, None)
        bound = [key for key, entry in self._entries.items() if entry.lease_id == lease_id]
        for key in bound:
            del self._entries[key]
        if bound:
            self._revision += 1
            self._wake()

    def expire_leases(self, now: float) -> None:
        """Ends all leases whose time is up."""
        lapsed = [key for key, lease in self._leases.items() if lease.expires_seconds <= now]
        for lease_id in lapsed:
            self.revoke_lease(lease_id)

    async def wait_for_write(self) -> None:
        """Waits until something is written."""
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
