"""Schedules the permits to send requests to one server, by the generic cell rate algorithm.

A permit is for one request, at a moment that is now or a little later. Pattern: the schedule keeps
the time at which the next permit is due if all before it are evenly spaced; a permit may come
earlier than that by a fixed tolerance, which allows short bursts.
"""

import math

BURST_TOLERANCE_SECONDS = 0.5
MAX_HOLD_OFF_SECONDS = 5.0
"""Upper bound of the time for which a router that got no permit does not ask again."""


class PermitSchedule:
    """Permits for one server, and the routers that lately got none."""

    __slots__ = ("_denied", "_due_seconds")

    def __init__(self, *, due_seconds: float = -math.inf):
        """Creates a schedule without permits.

        Args:
            due_seconds: Monotonic time of the first evenly spaced permit.
        """
        self._due_seconds = due_seconds
        self._denied: dict[str, float] = {}

    def find_wait(self, now_seconds: float, tolerance_seconds: float) -> float:
        """Returns the seconds until the next permit can be used."""
        return max(0.0, self._due_seconds - tolerance_seconds - now_seconds)

    def reserve(
        self,
        per_second: float,
        now_seconds: float,
        max_wait_seconds: float,
        *,
        tolerance_seconds: float = BURST_TOLERANCE_SECONDS,
    ) -> float | None:
        """Reserves a permit.

        Returns:
            The seconds until it may be used; None if that is longer than the longest wait.
        """
        wait_seconds = self.find_wait(now_seconds, tolerance_seconds)
        if wait_seconds > max_wait_seconds:
            return None
        begin_seconds = now_seconds + wait_seconds
        self._due_seconds = max(self._due_seconds, begin_seconds) + 1.0 / per_second
        return wait_seconds

    def record_granted(self, router: str) -> None:
        """Records that a router got a permit."""
        self._denied.pop(router, None)

    def deny(
        self, router: str, per_second: float, now_seconds: float, max_wait_seconds: float
    ) -> float:
        """Records that a router got no permit; returns the seconds after which it may ask again.

        The routers are spread over the next permits, so that about two ask for each of them.
        """
        oldest_seconds = now_seconds - MAX_HOLD_OFF_SECONDS
        self._denied = {name: s for name, s in self._denied.items() if s > oldest_seconds}
        self._denied[router] = now_seconds
        wait_seconds = self.find_wait(now_seconds, BURST_TOLERANCE_SECONDS) - max_wait_seconds
        turn_seconds = 0.5 * (len(self._denied) - 1) / per_second
        return min(max(0.0, wait_seconds) + turn_seconds, MAX_HOLD_OFF_SECONDS)
