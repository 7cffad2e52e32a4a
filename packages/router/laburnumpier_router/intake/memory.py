"""The account of the memory that callers make this process hold."""

import os
from collections.abc import Callable

CALLER_SHARE = 0.13
"""Part of the VM's memory that callers may use; the rest is for the process itself."""
LARGE_SHARE = 0.75
"""Part of the account that is open to what one holder has beyond `SMALL_BYTES`."""
SMALL_BYTES = 64 * 1024
LOW_SHARE = 0.875
"""Part of the account that is used at most after holders gave way."""
MAX_UNSTATED_BYTES = 64 * 1024 * 1024
"""Most that callers may use if the memory of the VM is not known."""
BYTES_PER_MEGABYTE = 1_000_000


class CallerMemory:
    """Sum of what all holders have, and the limits of that sum.

    Holders above `SMALL_BYTES` share the large part of the account, so that they leave the rest to
    small ones.
    """

    __slots__ = ("_large_bytes", "_large_limit", "_limit", "_make_room", "_used_bytes")

    def __init__(self, *, limit_bytes: int):
        """Creates an account of which nothing is used.

        Args:
            limit_bytes: Size of the account.
        """
        self._limit = limit_bytes
        self._large_limit = round(LARGE_SHARE * limit_bytes)
        self._used_bytes = 0
        self._large_bytes = 0
        self._make_room: Callable[[], None] | None = None

    @property
    def limit_bytes(self) -> int:
        """Size of the account."""
        return self._limit

    @property
    def large_limit_bytes(self) -> int:
        """Size of the part that is open to large holders; no single one can have more."""
        return self._large_limit

    @property
    def used_bytes(self) -> int:
        """Sum of what all holders have."""
        return self._used_bytes

    @property
    def is_overdrawn(self) -> bool:
        """Whether holders have more than the account or its large part."""
        return self._used_bytes > self._limit or self.is_large_overdrawn

    @property
    def is_large_overdrawn(self) -> bool:
        """Whether holders have more than the large part."""
        return self._large_bytes > self._large_limit

    def compute_excess(self, share: float) -> tuple[int, int]:
        """Returns by how many bytes the account and its large part exceed a share of them."""
        excess = self._used_bytes - round(share * self._limit)
        return excess, self._large_bytes - round(share * self._large_limit)

    def set_relief(self, make_room: Callable[[], None]) -> None:
        """Sets what makes holders give way when the account is overdrawn."""
        self._make_room = make_room

    def record(self, before_bytes: int, after_bytes: int) -> None:
        """Records that a holder has another number of bytes than before."""
        self._used_bytes += after_bytes - before_bytes
        self._large_bytes += get_large_part(after_bytes) - get_large_part(before_bytes)

    def relieve(self) -> bool:
        """Makes holders give way if the account is overdrawn; returns whether it is not now."""
        if self.is_overdrawn and self._make_room is not None:
            self._make_room()
        return not self.is_overdrawn


def make_caller_memory(memory_mb: float) -> CallerMemory:
    """Returns the account of a process.

    Args:
        memory_mb: Memory of the VM in MB; 0 if it is not known. The process may then share that
            of the machine with others.
    """
    if memory_mb:
        return CallerMemory(limit_bytes=round(CALLER_SHARE * memory_mb * BYTES_PER_MEGABYTE))
    machine_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    limit_bytes = min(round(CALLER_SHARE * machine_bytes), MAX_UNSTATED_BYTES)
    return CallerMemory(limit_bytes=limit_bytes)


class MemoryShare:
    """What one holder other than a connection has of the account; it never gives way."""

    __slots__ = ("_held_bytes", "_memory")

    def __init__(self, *, memory: CallerMemory):
        """Creates a share of nothing."""
        self._memory = memory
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Size of the share."""
        return self._held_bytes

    def set_bytes(self, size_bytes: int) -> bool:
        """Sets the size of the share; returns False, and changes nothing, without room for it."""
        before_bytes = self._held_bytes
        self._memory.record(before_bytes, size_bytes)
        self._held_bytes = size_bytes
        if size_bytes <= before_bytes or self._memory.relieve():
            return True
        self._memory.record(size_bytes, before_bytes)
        self._held_bytes = before_bytes
        return False

    def add_bytes(self, size_bytes: int) -> None:
        """Makes the share larger also where there is no room; others give way if they can."""
        self._memory.record(self._held_bytes, self._held_bytes + size_bytes)
        self._held_bytes += size_bytes
        self._memory.relieve()

    def release(self) -> None:
        """Gives the share back."""
        self._memory.record(self._held_bytes, 0)
        self._held_bytes = 0


def get_large_part(size_bytes: int) -> int:
    """Returns how much of a holder's bytes counts for the large part."""
    return max(0, size_bytes - SMALL_BYTES)
