"""Measures how much of a router's network link and of its processor its requests use.

Each request passes a router's link twice, as it is received and sent on, and so does its response.
The load per direction is therefore the bytes of requests and responses. A processor that is busy
shows as the delay with which the event loop runs a timer.
"""

import math

RATE_WINDOW_SECONDS = 0.5
"""Time constant of the rate. A load balancer takes about two seconds to react, so the load has to
be known in a fraction of that."""
BITS_PER_BYTE = 8
OVERHEAD_BYTES = 900
"""Bytes of a request beside its body and the body of its response: the heads, the opening and
closing packets, and packet headers."""
DELAY_WINDOW_SECONDS = 0.5
"""Time constant of the delay of the event loop."""


class LoadMeter:
    """Exponentially weighted averages of a router's traffic and of its event loop's delay."""

    __slots__ = (
        "_bits_per_second",
        "_delay_seconds",
        "_delayed_seconds",
        "_link_bits_per_second",
        "_updated_seconds",
    )

    def __init__(self, *, link_mbps: float, now_seconds: float):
        """Creates a meter without load.

        Args:
            link_mbps: Capacity of the link in one direction, in Mbit/s; 0 if it is not known.
            now_seconds: Current monotonic time.
        """
        self._link_bits_per_second = link_mbps * 1e6
        self._bits_per_second = 0.0
        self._updated_seconds = now_seconds
        self._delay_seconds = 0.0
        self._delayed_seconds = now_seconds

    @property
    def delay_seconds(self) -> float:
        """Average delay of timers in the event loop, in seconds."""
        return self._delay_seconds

    def record_bytes(self, count: int, now_seconds: float) -> None:
        """Records bytes of a request or of a response that pass the link."""
        self._decay(now_seconds)
        self._bits_per_second += count * BITS_PER_BYTE / RATE_WINDOW_SECONDS

    def record_delay(self, delay_seconds: float, now_seconds: float) -> None:
        """Records by how much a timer of the event loop was late."""
        elapsed = max(0.0, now_seconds - self._delayed_seconds)
        weight = -math.expm1(-elapsed / DELAY_WINDOW_SECONDS)
        self._delay_seconds += weight * (max(0.0, delay_seconds) - self._delay_seconds)
        self._delayed_seconds = now_seconds

    def get_link_share(self, now_seconds: float) -> float:
        """Returns the used share of the link; 0 if its capacity is not known."""
        if not self._link_bits_per_second:
            return 0.0
        self._decay(now_seconds)
        return self._bits_per_second / self._link_bits_per_second

    def _decay(self, now_seconds: float) -> None:
        elapsed = max(0.0, now_seconds - self._updated_seconds)
        self._bits_per_second *= math.exp(-elapsed / RATE_WINDOW_SECONDS)
        self._updated_seconds = now_seconds
