"""Measures how fast a budget is spent by this process."""

import math

YOUNGEST_SECONDS = 3.0
"""Age that a meter is taken to have at least, so that one early request is no high rate."""


class DemandMeter:
    """An exponentially weighted rate of tokens a second."""

    __slots__ = (
        "_last_seconds",
        "_last_use_seconds",
        "_rate",
        "_started_seconds",
        "_window_seconds",
    )

    def __init__(self, *, window_seconds: float, now_seconds: float):
        """Creates a meter at rest.

        Args:
            window_seconds: Time constant of the average.
            now_seconds: Current monotonic time.
        """
        self._window_seconds = window_seconds
        self._rate = 0.0
        self._last_seconds = now_seconds
        self._last_use_seconds = now_seconds
        self._started_seconds: float | None = None

    @property
    def last_use_seconds(self) -> float:
        """Monotonic time of the last spending."""
        return self._last_use_seconds

    def record(self, tokens: int, now_seconds: float) -> None:
        """Adds spent tokens at the given monotonic time."""
        self._decay(now_seconds)
        # A process may wait long for its first request; that time tells nothing.
        if self._started_seconds is None:
            self._started_seconds = now_seconds
        self._rate += tokens / self._window_seconds
        self._last_use_seconds = now_seconds

    def get_tokens_per_second(self, now_seconds: float) -> float:
        """Returns the rate at the given monotonic time."""
        self._decay(now_seconds)
        if self._started_seconds is None:
            return 0.0
        # A young average has not seen a whole window yet.
        age_seconds = max(YOUNGEST_SECONDS, now_seconds - self._started_seconds)
        return self._rate / -math.expm1(-age_seconds / self._window_seconds)

    def _decay(self, now_seconds: float) -> None:
        elapsed = max(0.0, now_seconds - self._last_seconds)
        self._rate *= math.exp(-elapsed / self._window_seconds)
        self._last_seconds = now_seconds
