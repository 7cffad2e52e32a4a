"""The port to the platform's key-value service.

The routers need five things of it: read some keys, list a prefix, write several keys if none
of some records has changed, leases, and waiting for a change. An adapter for another protocol
implements this one class. All calls count against the service's rate, a waiting watch as one.
"""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """A value with the revision at which it was last written."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """A value to be put under a key, bound to a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitOutcome:
    """Outcome of a conditional write.

    Attributes:
        committed: Whether all conditions held and all writes took effect.
        revision: Revision of the written values when committed.
        found: When not committed, the present values of the compared keys that exist.
    """

    committed: bool
    revision: int
    found: dict[str, StoredValue]


class KeyValueService(Protocol):
    """The operations that the routers use.

    Each raises `StoreUnavailableError` when the call is known to have had no effect, and the
    writing ones raise `WriteOutcomeUnknownError` when an answer was lost.
    """

    async def read(self, keys: list[str]) -> dict[str, StoredValue]:
        """Returns the existing values among the given keys, in one call."""

    async def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Returns all values whose key starts with a prefix, in key order."""

    async def commit(self, expected: dict[str, int], writes: list[Write]) -> CommitOutcome:
        """Writes all values if every key of `expected` has the given revision; 0 means absent."""

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Returns the id of a new lease."""

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False when it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys bound to it."""

    async def wait_for_change(
        self, key: str, after_revision: int, timeout_seconds: float
    ) -> StoredValue | None:
        """Waits until a key has a revision above the given one; None when the time is up."""

    async def close(self) -> None:
        """Frees connections."""
