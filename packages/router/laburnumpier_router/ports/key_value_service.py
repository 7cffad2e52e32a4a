"""The interface to the platform's key-value service.

The routers need five operations: reading keys, listing a prefix, writing several keys on the
condition that certain records are unchanged, leases, and waiting for a change. An adapter for
another protocol implements `KeyValueService`. Every call counts towards the service's rate limit;
a watch counts as one call.
"""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """A value with the revision of its last write."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """A value to write under a key, attached to a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitOutcome:
    """Result of a conditional write.

    Attributes:
        committed: Whether all conditions were met and all writes took effect.
        revision: Revision of the written values, if committed.
        found: Current values of the compared keys that exist, if not committed.
    """

    committed: bool
    revision: int
    found: dict[str, StoredValue]


class KeyValueService(Protocol):
    """The operations that the routers use.

    Every operation raises `StoreUnavailableError` if the call is known to have had no effect;
    those that write raise `WriteOutcomeUnknownError` if the response was lost.
    """

    async def read(self, keys: list[str]) -> dict[str, StoredValue]:
        """Returns the values of those given keys that exist, in one call."""

    async def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Returns the values of all keys with a prefix, in key order."""

    async def commit(self, expected: dict[str, int], writes: list[Write]) -> CommitOutcome:
        """Writes all values if every key in `expected` is at its revision; 0 means absent."""

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id."""

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired."""

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes the keys attached to it."""

    async def wait_for_change(
        self, key: str, after_revision: int, timeout_seconds: float
    ) -> StoredValue | None:
        """Waits for a revision of a key above the given one; returns None on timeout."""

    async def close(self) -> None:
        """Closes the connections."""
