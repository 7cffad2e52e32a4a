"""State of the key-value services for tests: values with revisions, leases, and fault kinds.

The HTTP and in-memory services share this module, so that a fault has the same effect in both.
"""

import asyncio
import collections
import dataclasses
import enum

MAX_UNDO_STEPS = 5000
"""Limit of the writes that a return from an older copy can undo."""


class StoreFault(enum.StrEnum):
    """A fault that affects every call while it is set.

    Attributes:
        NONE: Calls succeed.
        DOWN: Calls fail at once.
        SLOW: Calls take longer than their client waits.
        ANSWER_LOST: Writes take effect, but their responses are lost.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UndoStep:
    """The revision and the values of the affected keys before a change made at a time."""

    changed_seconds: float
    revision: int
    previous: dict[str, Entry | None]


class StoreState:
    """Values, leases and the number of calls; callers pass the current time in seconds."""

    __slots__ = (
        "_changed",
        "_entries",
        "_leases",
        "_next_lease",
        "_previous_entries",
        "_revision",
        "_undo_steps",
        "call_count",
        "era",
    )

    def __init__(self):
        """Creates an empty store in its first era."""
        self.era = 1
        self._undo_steps: collections.deque[UndoStep] = collections.deque(maxlen=MAX_UNDO_STEPS)
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
        self._add_undo_step([key for key, _, _ in writes])
        self._revision += 1
        for key, value, lease_id in writes:
            if key in self._entries:
                self._previous_entries[key] = self._entries[key]
            self._entries[key] = Entry(value=value, revision=self._revision, lease_id=lease_id)
        self._notify_watchers()
        return True

    def remove(self, key: str) -> bool:
        """Removes a key; returns whether it existed."""
        if key not in self._entries:
            return False
        self._add_undo_step([key])
        del self._entries[key]
        self._revision += 1
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
        self._add_undo_step(leased_keys)
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

    def rewind(
        self,
        *,
        seconds: float = float("inf"),
        writes: int = MAX_UNDO_STEPS,
        rewritten_prefixes: tuple[str, ...] = (),
    ) -> int:
        """Returns to an older copy and begins a new era.

        Leases end, and their keys are removed. Revisions are given out again.

        Args:
            seconds: Changes made within this time are lost.
            writes: Maximum number of lost changes.
            rewritten_prefixes: Prefixes of the keys that their writers write again.

        Returns:
            The number of lost changes.
        """
        latest = dict(self._entries)
        since_seconds = _get_loop_seconds() - seconds
        lost = 0
        while lost < writes and self._undo_steps:
            if self._undo_steps[-1].changed_seconds <= since_seconds:
                break
            self._undo(self._undo_steps.pop())
            lost += 1
        self.era += 1
        self._leases.clear()
        self._previous_entries.clear()
        self._entries = {k: entry for k, entry in self._entries.items() if not entry.lease_id}
        for key, entry in latest.items():
            if key.startswith(rewritten_prefixes) and self._entries.get(key) != entry:
                self.commit({}, [(key, entry.value, 0)])
        self._notify_watchers()
        return lost

    def _undo(self, step: UndoStep) -> None:
        self._revision = step.revision
        for key, entry in step.previous.items():
            if entry is None:
                self._entries.pop(key, None)
            else:
                self._entries[key] = entry

    def _add_undo_step(self, keys: list[str]) -> None:
        step = UndoStep(
            changed_seconds=_get_loop_seconds(),
            revision=self._revision,
            previous={key: self._entries.get(key) for key in keys},
        )
        self._undo_steps.append(step)

    async def wait_for_write(self) -> None:
        """Waits for the next write or deletion of any key."""
        await self._changed.wait()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _get_loop_seconds() -> float:
    """Returns the time of the running event loop; 0 outside of one."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0
