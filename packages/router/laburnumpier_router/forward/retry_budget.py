"""Limits retries to a fleet-wide share of the requests.

When servers fail or hang, every router retries the requests that they lost, and these retries add
to the usual load of the remaining servers. In each sliding window the fleet may retry a share of
its first requests, plus a fixed number. A router counts its own first requests and uses an equal
part of the fixed number.
"""

import collections

# Only this part of the allowance is used, because the windows of the routers are not aligned.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Counts first sends and retries of requests to each service."""

    __slots__ = (
        "_extra",
        "_first_sends",
        "_member_count",
        "_ratio",
        "_retries",
        "_window_seconds",
    )

    def __init__(self, *, ratio: float, extra: float, window_seconds: float):
        """Creates a budget without any requests.

        Args:
            ratio: Retries allowed per first request in the window.
            extra: Additional retries allowed to the whole fleet in the window.
            window_seconds: Length of the sliding window.
        """
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window_seconds
        self._member_count = 1
        self._first_sends: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_member_count(self, count: int) -> None:
        """Sets the number of routers that share the fixed number of retries.

        A lower count than before is ignored: a router that loses contact with its peers must not
        take their share.
        """
        self._member_count = max(self._member_count, count)

    def record_first_send(self, service: str, now_seconds: float) -> None:
        """Records the first send of a request."""
        times = self._first_sends.setdefault(service, collections.deque())
        times.append(now_seconds)
        self._discard_expired(times, now_seconds)

    def try_acquire(self, service: str, now_seconds: float, *, share: float = 1.0) -> bool:
        """Records a retry and returns True if the budget allows one.

        Args:
            service: Service to which the request is sent again.
            now_seconds: Current monotonic time.
            share: Part of the allowance that retries of this kind may use up.
        """
        if not self.has_retry(service, now_seconds, share=share):
            return False
        self._retries[service].append(now_seconds)
        return True

    def has_retry(self, service: str, now_seconds: float, *, share: float = 1.0) -> bool:
        """Returns whether the budget allows a retry now, without recording one.

        Args:
            service: Service to which the request would be sent again.
            now_seconds: Current monotonic time.
            share: Part of the allowance that retries of this kind may use up.
        """
        first_sends = self._first_sends.setdefault(service, collections.deque())
        retries = self._retries.setdefault(service, collections.deque())
        self._discard_expired(first_sends, now_seconds)
        self._discard_expired(retries, now_seconds)
        fixed = self._extra / self._member_count
        allowed = share * SAFETY_FACTOR * (self._ratio * len(first_sends) + fixed)
        return len(retries) + 1 <= allowed

    def _discard_expired(self, times: collections.deque[float], now_seconds: float) -> None:
        oldest = now_seconds - self._window_seconds
        while times and times[0] < oldest:
            times.popleft()
