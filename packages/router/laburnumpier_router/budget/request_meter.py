"""Measures what requests ask for over a short time, for holdings that follow a crowd of callers.

It answers callers that move to this router within a second. The average over `DemandMeter`'s half
minute shows such a move when the crowd has already been refused.
"""

import collections

WINDOW_SECONDS = 1.0
"""Time over which the rate is measured: tokens have to follow demand within a second."""
LARGEST_SECONDS = 10.0
"""Time for which the largest request counts, as large prompts come every few seconds."""
BUCKET_SECONDS = 0.1
"""Resolution of the window; it bounds the memory of a meter whatever the rate is."""


class RequestMeter:
    """Sums the amounts that requests reserve, in buckets of `BUCKET_SECONDS`."""

    __slots__ = ("_buckets", "_largest")

    def __init__(self):
        """Creates a meter that has seen no request."""
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._largest: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, tokens: int, now_seconds: float) -> None:
        """Records the amount of a request that arrived at the given monotonic time."""
        if self._buckets and now_seconds - self._buckets[-1][0] < BUCKET_SECONDS:
            self._buckets[-1][1] += tokens
        else:
            self._buckets.append([now_seconds, tokens])
        self._drop_old(now_seconds)
        # A smaller amount that is older can never be the largest again.
        while self._largest and self._largest[-1][1] <= tokens:
            self._largest.pop()
        self._largest.append((now_seconds, tokens))

    def get_tokens_per_second(self, now_seconds: float) -> float:
        """Returns the tokens requested in the last second."""
        self._drop_old(now_seconds)
        return sum(tokens for _, tokens in self._buckets) / WINDOW_SECONDS

    def get_largest_tokens(self, now_seconds: float) -> int:
        """Returns the largest amount of the last ten seconds; 0 if there was no request."""
        while self._largest and now_seconds - self._largest[0][0] > LARGEST_SECONDS:
            self._largest.popleft()
        return self._largest[0][1] if self._largest else 0

    def _drop_old(self, now_seconds: float) -> None:
        while self._buckets and now_seconds - self._buckets[0][0] > WINDOW_SECONDS:
            self._buckets.popleft()
