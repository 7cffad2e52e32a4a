"""Whether this process can reach the store, derived from the results of its own calls.

A router that cannot reach the store has its changes written by a peer that can. The state is
published in heartbeats, so that no router picks an unreachable one as the home of a shard.
"""

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger

MAX_CONSECUTIVE_FAILURES = 2
"""Consecutive failed calls after which the store counts as unreachable. A single failure is common
where responses are lost."""
PROBE_INTERVAL_SECONDS = 1.0
"""Time between probes while the store counts as unreachable; each costs one call."""

_log = get_part_logger("budget")


class StoreReachability:
    """Tracks whether the store is reachable from one process, from its own calls alone."""

    __slots__ = ("_clock", "_consecutive_failures", "_last_attempt_seconds")

    def __init__(self, *, clock: Clock):
        """Creates a tracker that starts in the reachable state."""
        self._clock = clock
        self._consecutive_failures = 0
        self._last_attempt_seconds = float("-inf")

    @property
    def is_reachable(self) -> bool:
        """Whether fewer than `MAX_CONSECUTIVE_FAILURES` calls have failed in a row."""
        return self._consecutive_failures < MAX_CONSECUTIVE_FAILURES

    @property
    def is_probe_due(self) -> bool:
        """Whether the store counts as unreachable and the probe interval has passed."""
        elapsed = self._clock.monotonic_seconds() - self._last_attempt_seconds
        return not self.is_reachable and elapsed >= PROBE_INTERVAL_SECONDS

    def record_success(self) -> None:
        """Records a call that was answered."""
        if not self.is_reachable:
            _log.info("store reached again", fields={"failures": self._consecutive_failures})
        self._consecutive_failures = 0

    def record_failure(self) -> None:
        """Records a call that failed or was not answered in time."""
        self._consecutive_failures += 1
        self._last_attempt_seconds = self._clock.monotonic_seconds()
        if self._consecutive_failures == MAX_CONSECUTIVE_FAILURES:
            _log.warning("store out of reach", fields={"failures": self._consecutive_failures})

    def record_attempt(self) -> None:
        """Records the start of a call."""
        self._last_attempt_seconds = self._clock.monotonic_seconds()
