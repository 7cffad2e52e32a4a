"""The account of the memory that servers' answers make this process hold.

Each answer is limited by itself, but not what many of them hold together: heads that are not
whole, bytes that nobody has read, bodies and events that are not whole. If they hold more than
the account, those give way that have held most for longest without passing anything on. A server
that sends without end so makes room for others, and a sound answer moves on. As both may hold as
much when the account is full, an answer that states its length counts less: it ends by itself.
Before that, bodies that are read as a whole take turns, so that sound ones need not give way.
"""

import itertools
import os
import time
from collections.abc import Callable, Iterable

from laburnumpier_core.log import get_part_logger

from .read_turns import ReadTurns

SERVER_SHARE = 0.1
"""Part of the VM's memory that answers of servers may use, beside what callers may use."""
LOW_SHARE = 0.9
"""Part of the account that is used at most after answers gave way."""
TURNS_SHARE = 0.25
"""Part of the account above which bodies take turns; the rest is for what their buffers hold."""
SMALL_BYTES = 16 * 1024
"""Size up to which an answer does not give way."""
MAX_UNSTATED_BYTES = 64 * 1024 * 1024
"""Size of the account if the memory of the VM is not known."""
LENGTH_DISCOUNT = 8.0
"""How much less an answer counts that states its length. A server that states a length and stalls
gives way this much later."""
BYTES_PER_MEGABYTE = 1_000_000

_log = get_part_logger("http")


class ServerMemory:
    """Sum of what all answers hold, and its limit.

    Attributes:
        limit_bytes: Size of the account.
        turns: Turns in which bodies are read while the account is nearly used up.
    """

    __slots__ = ("_holders", "_numbers", "_used_bytes", "limit_bytes", "turns")

    def __init__(self, *, limit_bytes: int):
        """Creates an account of which nothing is used.

        Args:
            limit_bytes: Size of the account.
        """
        self.limit_bytes = limit_bytes
        self._holders: set[AnswerShare] = set()
        self._used_bytes = 0
        self._numbers = itertools.count()
        self.turns = ReadTurns(is_short=self._is_nearly_used_up)

    def add(self, share: "AnswerShare") -> int:
        """Adds a holder; returns its number, which grows from one to the next."""
        self._holders.add(share)
        return next(self._numbers)

    def remove(self, share: "AnswerShare") -> None:
        """Removes a holder, which holds nothing any more."""
        self._holders.discard(share)

    def record(self, before_bytes: int, after_bytes: int) -> None:
        """Records that a holder has another number of bytes than before."""
        self._used_bytes += after_bytes - before_bytes

    def relieve(self) -> None:
        """Lets answers give way if the account is overdrawn."""
        if self._used_bytes <= self.limit_bytes:
            return
        # What was read in the meantime is not known yet.
        for share in self._holders:
            share.measure()
        if self._used_bytes <= self.limit_bytes:
            return
        count = self._make_room(sorted(self._holders, key=AnswerShare.rank, reverse=True))
        fields = {"answers": count, "held_bytes": self._used_bytes, "limit": self.limit_bytes}
        _log.warning("answers gave way", fields=fields)

    def _is_nearly_used_up(self) -> bool:
        return self._used_bytes > TURNS_SHARE * self.limit_bytes

    def _make_room(self, shares: Iterable["AnswerShare"]) -> int:
        """Lets answers give way in their order; returns how many did."""
        count = 0
        for share in shares:
            if self._used_bytes <= LOW_SHARE * self.limit_bytes:
                break
            if share.held_bytes > SMALL_BYTES:
                share.give_way()
                count += 1
        return count


class AnswerShare:
    """What one answer holds of the account."""

    __slots__ = (
        "_count_held",
        "_count_passed",
        "_give_way",
        "_has_length",
        "_is_released",
        "_memory",
        "_moved_seconds",
        "_number",
        "_passed_bytes",
        "held_bytes",
    )

    def __init__(
        self,
        *,
        memory: ServerMemory,
        count_held: Callable[[], int],
        count_passed: Callable[[], int],
        give_way: Callable[[], None],
    ):
        """Creates a share of nothing and adds it to the account.

        Args:
            memory: The account.
            count_held: Returns how much the answer holds now, in bytes.
            count_passed: Returns how much of it has been passed on, in bytes.
            give_way: Fails the answer and drops what it holds.
        """
        self._memory = memory
        self._count_held = count_held
        self._count_passed = count_passed
        self._give_way = give_way
        self._passed_bytes = 0
        self._moved_seconds = time.monotonic()
        self._has_length = False
        self._is_released = False
        self.held_bytes = 0
        self._number = memory.add(self)

    def state_length(self, length_bytes: int | None) -> None:
        """Records the length of the body that the head of the answer states.

        Args:
            length_bytes: The length; None if the head states none. One that exceeds the account
                is no better than none.
        """
        self._has_length = length_bytes is not None and length_bytes <= self._memory.limit_bytes

    async def wait_for_turn(self) -> None:
        """Waits until the body may be read further, if little memory is left."""
        if self.held_bytes > SMALL_BYTES:
            await self._memory.turns.wait(self._position)

    def update(self) -> None:
        """Measures what the answer holds; answers give way if that is too much."""
        self.measure()
        self._memory.relieve()

    def measure(self) -> None:
        """Records what the answer holds now."""
        if self._is_released:
            return
        held_bytes, passed_bytes = self._count_held(), self._count_passed()
        if held_bytes <= SMALL_BYTES or passed_bytes > self._passed_bytes:
            self._moved_seconds = time.monotonic()
        self._passed_bytes = max(self._passed_bytes, passed_bytes)
        self._memory.record(self.held_bytes, held_bytes)
        self.held_bytes = held_bytes

    def rank(self) -> tuple[float, int]:
        """Returns what decides who gives way: bytes times the seconds without progress."""
        held_seconds = time.monotonic() - self._moved_seconds
        if self._has_length:
            held_seconds /= LENGTH_DISCOUNT
        return self.held_bytes * held_seconds, self.held_bytes

    def give_way(self) -> None:
        """Fails the answer; nothing of it is held any more."""
        self.release()
        self._give_way()

    def release(self) -> None:
        """Gives the share back for good."""
        self._is_released = True
        self._memory.record(self.held_bytes, 0)
        self.held_bytes = 0
        self._memory.remove(self)
        self._memory.turns.end(self._position)

    @property
    def _position(self) -> tuple[bool, int]:
        return not self._has_length, self._number


def make_server_memory(memory_mb: float) -> ServerMemory:
    """Returns the account of a process.

    Args:
        memory_mb: Memory of the VM in MB; 0 if it is not known. The process may then share that
            of the machine with others.
    """
    if memory_mb:
        return ServerMemory(limit_bytes=round(SERVER_SHARE * memory_mb * BYTES_PER_MEGABYTE))
    machine_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return ServerMemory(limit_bytes=min(round(SERVER_SHARE * machine_bytes), MAX_UNSTATED_BYTES))
