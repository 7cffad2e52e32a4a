"""Whether this process's own calls reach the store, told by how they end.

A router that is cut off from the store while its peers are not has its changes written by one of
them. The belief travels with heartbeats, so that no router takes a cut-off one for a home.
"""

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger

FAILURES_TO_DOUBT = 2
"""Failed calls in a row after which the store counts as out of reach; a single one is common where
answers are lost."""
PROBE_SECONDS = 1.0
"""Time between tries of a process that believes itself cut off; each costs one call."""

_log = get_part_logger("budget")


class StoreReachability:
    """The belief of one process; it rests on nothing but its own calls."""

    __slots__ = ("_clock", "_failures", "_tried_seconds")

    def __init__(self, *, clock: Clock):
        """Creates the belief that the store is reached."""
        self._clock = clock
        self._failures = 0
        self._tried_seconds = float("-inf")

    @property
    def is_reachable(self) -> bool:
        """Whether the store answered one of the last calls."""
        return self._failures < FAILURES_TO_DOUBT

    @property
    def is_probe_due(self) -> bool:
        """Whether a process that believes itself cut off should try again."""
        elapsed = self._clock.monotonic_seconds() - self._tried_seconds
        return not self.is_reachable and elapsed >= PROBE_SECONDS

    def record_success(self) -> None:
        """Takes in that a call was answered."""
        if not self.is_reachable:
            _log.info("store reached again", fields={"failures": self._failures})
        self._failures = 0

    def record_failure(self) -> None:
        """Takes in that a call failed or was not answered in time."""
        self._failures += 1
        self._tried_seconds = self._clock.monotonic_seconds()
        if self._failures == FAILURES_TO_DOUBT:
            _log.warning("store out of reach", fields={"failures": self._failures})

    def record_attempt(self) -> None:
        """Takes in that a call has begun."""
        self._tried_seconds = self._clock.monotonic_seconds()
