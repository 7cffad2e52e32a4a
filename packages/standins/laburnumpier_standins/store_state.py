"""State of the key-value services for tests: values with revisions, leases, and fault kinds.

The HTTP and in-memory services share this module, so that a fault has the same effect in both.
"""

import asyncio
import dataclasses
import enum


class StoreFault(enum.StrEnum):
    """A fault that affects every call while it is set.

    Attributes:
        NONE: Calls succeed.
        DOWN: Calls fail at once.
        SLOW: Calls take longer than their client waits.
        ANSWER_LOST: Writes take effect, but their answers are lost.
        STALE_READ: Reads of single keys return the value before the key's latest write.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    ANSWER_LOST = "answer_lost"
    STALE_READ = "stale_read"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A stored value; a `lease_id` of 0 means that it has no lease."""

    value: bytes
    revision: int
    lease_id: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """A lease that expires at `expires_at_seconds` unless it is renewed."""

    ttl_seconds: float
    expires_at_seconds: float


class StoreState:
    """Values, leases and the number of calls; callers pass the current time in seconds."""

    __slots__ = (
        "_changed",
        "_entries",
        "_leases",
        "_next_lease",
        "_previous_entries",
        "_revision",
        "call_count",
    )

    def __init__(self):
        """Creates an empty store."""
        self._entries: dict[str, Entry] = {}
        self._previous_entries: dict[str, Entry] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1
        self._revision = 1
        self._changed = asyncio.Event()
        self.call_count = 0

    @property
    def revision(self) -> int:
        """Revision of the latest write."""
        return self._revision

    @property
    def entries(self) -> dict[str, Entry]:
        """All current values by key."""
        return self._entries

    def get(self, key: str, *, stale: bool = False) -> Entry | None:
        """Returns a key's value, or its previous value if `stale` is set."""
        if stale and key in self._previous_entries:
            return self._previous_entries[key]
        return self._entries.get(key)

    def commit(self, expected: dict[str, int], writes: list[tuple[str, bytes, int]]) -> bool:
        """Applies writes of (key, value, lease id) if every key has its expected revision.

        Args:
            expected: Revision by key; 0 means that the key must not exist.
            writes: Key, value and lease id of each write.

        Returns:
            Whether the writes were applied.
        """
        for key, revision in expected.items():
            entry = self._entries.get(key)
            if (entry.revision if entry else 0) != revision:
                return False
        self._revision += 1
        for key, value, lease_id in writes:
            if key in self._entries:
                self._previous_entries[key] = self._entries[key]
            self._entries[key] = Entry(value=value, revision=self._revision, lease_id=lease_id)
        self._notify_watchers()
        return True

    def grant_lease(self, ttl_seconds: float, now: float) -> int:
        """Creates a lease and returns its id."""
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = Lease(
            ttl_seconds=ttl_seconds, expires_at_seconds=now + ttl_seconds
        )
        return lease_id

    def renew_lease(self, lease_id: int, now: float) -> bool:
        """Renews a lease; returns False if it has expired or was revoked."""
        self.expire_leases(now)
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_at_seconds = now + lease.ttl_seconds
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Removes a lease and deletes its keys."""
        self._leases.pop(lease_id, None)
        leased_keys = [key for key, entry in self._entries.items() if entry.lease_id == lease_id]
        for key in leased_keys:
            del self._entries[key]
        if leased_keys:
            self._revision += 1
            self._notify_watchers()

    def expire_leases(self, now: float) -> None:
        """Revokes all leases whose time to live has passed."""
        expired = [
            lease_id for lease_id, lease in self._leases.items() if lease.expires_at_seconds <= now
        ]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    async def wait_for_write(self) -> None:
        """Waits for the next write or deletion of any key."""
        await self._changed.wait()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
