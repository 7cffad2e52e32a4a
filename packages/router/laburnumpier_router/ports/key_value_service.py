"""The interface to the platform's key-value service.

The routers need six operations: reading keys, listing a prefix, writing several keys on the
condition that certain records are unchanged, removing a key, leases, and waiting for a
change. An adapter for another protocol implements `KeyValueService`. Every call counts towards the
service's rate limit; a watch counts as one call.

A response of an era before the highest known one is treated as a lost response. A conditional
write whose conditions were read in an earlier era fails without being sent.
"""

import dataclasses
from typing import Protocol, TypeVar

from laburnumpier_core.decoding import decode_msgpack
from laburnumpier_core.errors import StoredValueError, UnreadableDataError

from .store_era import StoreEra, StorePosition

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """A value with the position of its last write."""

    key: str
    value: bytes
    position: StorePosition


def decode_record(stored: StoredValue, record_type: type[T]) -> T:
    """Returns a record that a router stored as MessagePack.

    Raises:
        StoredValueError: If it cannot be decoded.
    """
    try:
        return decode_msgpack(stored.value, record_type)
    except UnreadableDataError as error:
        raise StoredValueError(f"{stored.key}: {error}") from error


class FoundValues(dict[str, StoredValue]):
    """Those values that exist among the keys of one read.

    Attributes:
        era: Era of the store in which all of them were read.
    """

    def __init__(self, era: int, values: dict[str, StoredValue]):
        """Creates the result of a read."""
        super().__init__(values)
        self.era = era

    def get_position(self, key: str) -> StorePosition:
        """Returns the position of a key that was read, as a condition of a later write."""
        found = self.get(key)
        return found.position if found else StorePosition(era=self.era, revision=0)


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
        position: Position of the written values, if committed.
        found: Current values of the compared keys that exist, if not committed.
    """

    committed: bool
    position: StorePosition
    found: FoundValues


class KeyValueService(Protocol):
    """The operations that the routers use.

    Every operation raises `StoreUnavailableError` if the call is known to have had no effect;
    those that write raise `WriteOutcomeUnknownError` if the response was lost.
    """

    @property
    def era(self) -> StoreEra:
        """Highest era of the store known to this process."""

    async def read(self, keys: list[str]) -> FoundValues:
        """Returns the values of those given keys that exist, in one call."""

    async def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Returns the values of all keys with a prefix, in key order."""

    async def commit(
        self, expected: dict[str, StorePosition], writes: list[Write]
    ) -> CommitOutcome:
        """Writes all values if every key in `expected` is at its position.

        A position with revision 0 means that the key is absent.
        """

    async def remove(self, key: str) -> None:
        """Removes a key, if it exists."""

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id."""

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired."""

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes the keys attached to it."""

    async def wait_for_change(
        self, key: str, after: StorePosition, timeout_seconds: float
    ) -> StoredValue | None:
        """Waits for a write of a key after a position; returns None on timeout.

        If a new era has begun since the position, the current value is returned.
        """

    async def close(self) -> None:
        """Closes the connections."""
