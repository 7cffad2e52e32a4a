"""Measures the rates at which this process and the whole fleet spend a budget."""

import math

MINIMUM_AGE_SECONDS = 3.0
"""Minimum age used to normalise the average, so that a single early request does not give a high
rate."""


class DemandMeter:
    """Exponentially weighted moving average of the tokens spent per second."""

    __slots__ = (
        "_last_use_seconds",
        "_rate",
        "_started_seconds",
        "_updated_seconds",
        "_window_seconds",
    )

    def __init__(self, *, window_seconds: float, now_seconds: float):
        """Creates a meter with a rate of 0.

        Args:
            window_seconds: Time constant of the average.
            now_seconds: Current monotonic time.
        """
        self._window_seconds = window_seconds
        self._rate = 0.0
        self._updated_seconds = now_seconds
        self._last_use_seconds = now_seconds
        self._started_seconds: float | None = None

    @property
    def last_use_seconds(self) -> float:
        """Monotonic time at which tokens were last spent, or of creation."""
        return self._last_use_seconds

    def record(self, tokens: int, now_seconds: float) -> None:
        """Records tokens spent at the given monotonic time."""
        self._decay(now_seconds)
        # The idle time before the first request says nothing about demand.
        if self._started_seconds is None:
            self._started_seconds = now_seconds
        self._rate += tokens / self._window_seconds
        self._last_use_seconds = now_seconds

    def get_tokens_per_second(self, now_seconds: float) -> float:
        """Returns the rate at the given monotonic time."""
        self._decay(now_seconds)
        if self._started_seconds is None:
            return 0.0
        # Corrects the bias of an average that is younger than its window.
        age_seconds = max(MINIMUM_AGE_SECONDS, now_seconds - self._started_seconds)
        return self._rate / -math.expm1(-age_seconds / self._window_seconds)

    def _decay(self, now_seconds: float) -> None:
        elapsed = max(0.0, now_seconds - self._updated_seconds)
        self._rate *= math.exp(-elapsed / self._window_seconds)
        self._updated_seconds = now_seconds


class SettledMeter:
    """Measures the demand of the whole fleet by the settled total of the account."""

    __slots__ = ("_meter", "_settled")

    def __init__(self, *, window_seconds: float, now_seconds: float):
        """Creates a meter with a rate of 0; the arguments are those of `DemandMeter`."""
        self._meter = DemandMeter(window_seconds=window_seconds, now_seconds=now_seconds)
        self._settled: int | None = None

    def record_total(self, settled: int, now_seconds: float) -> None:
        """Records the settled total read at the given monotonic time; an older one is ignored."""
        if self._settled is not None and settled > self._settled:
            self._meter.record(settled - self._settled, now_seconds)
        self._settled = max(settled, self._settled or 0)

    def get_tokens_per_second(self, now_seconds: float) -> float:
        """Returns the rate at the given monotonic time."""
        return self._meter.get_tokens_per_second(now_seconds)
