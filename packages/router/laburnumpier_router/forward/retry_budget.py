"""Keeps repeated requests within the share that the whole fleet may send.

Load pattern: servers fail or hang, every router repeats the requests that they lose, and the
repeats arrive on top of the usual load of the servers that are left. In each sliding window the
fleet may send a share of its first requests again, and a fixed number more. A router knows its
own first requests, and takes an equal part of the fixed number.
"""

import collections

# Part of the allowance that is used, because windows of the routers do not begin together.
SAFE_SHARE = 0.8


class RetryBudget:
    """Counts first and repeated requests for each service."""

    __slots__ = ("_extra", "_firsts", "_member_count", "_ratio", "_repeats", "_window_seconds")

    def __init__(self, *, ratio: float, extra: float, window_seconds: float):
        """Creates an unused budget.

        Args:
            ratio: Repeats that are allowed for each first request in the window.
            extra: Repeats that the whole fleet may send beyond that in the window.
            window_seconds: Length of the sliding window.
        """
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window_seconds
        self._member_count = 1
        self._firsts: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def set_member_count(self, count: int) -> None:
        """Tells among how many routers the fixed part is divided; it never grows again."""
        self._member_count = max(self._member_count, count)

    def record_first(self, service: str, now_seconds: float) -> None:
        """Counts the first request of a caller's attempt."""
        times = self._firsts.setdefault(service, collections.deque())
        times.append(now_seconds)
        self._forget_old(times, now_seconds)

    def take(self, service: str, now_seconds: float) -> bool:
        """Counts a repeat if the budget allows one, and returns whether it does."""
        firsts = self._firsts.setdefault(service, collections.deque())
        repeats = self._repeats.setdefault(service, collections.deque())
        self._forget_old(firsts, now_seconds)
        self._forget_old(repeats, now_seconds)
        allowed = SAFE_SHARE * (self._ratio * len(firsts) + self._extra / self._member_count)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now_seconds)
        return True

    def _forget_old(self, times: collections.deque[float], now_seconds: float) -> None:
        oldest = now_seconds - self._window_seconds
        while times and times[0] < oldest:
            times.popleft()
