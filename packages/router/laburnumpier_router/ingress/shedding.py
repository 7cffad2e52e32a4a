"""Decides when a router reports not ready, so that new connections go to other routers.

Load: a load balancer that picks a router by a hash of the caller. One router then gets many times
the callers of another one, and its link fills long before the others' links do. Requests wait in
packet queues, and new connections are not accepted. The balancer takes a router out of rotation
after about two failed readiness checks, so the router reports not ready while it still keeps up.

Connections that are open stay with the router, and everything that arrives is served. The router
closes callers' connections after their responses meanwhile, so that their next ones go elsewhere.

Too many routers that report not ready would only move the crowd on. A router therefore does not
begin while an eighth of the routers of its data centre do so, and it stops after a time.
"""

import dataclasses

from .load_meter import LoadMeter

BEGIN_LINK_SHARE = 0.5
"""Used share of the link from which new connections go elsewhere. Traffic comes in bursts of
several times its mean, and a full link delays every request of the router."""
END_LINK_SHARE = 0.25
"""Used share below which the router is ready again; hysteresis against callers that come back
to fill it at once."""
BEGIN_DELAY_SECONDS = 0.15
"""Delay of the event loop from which new connections go elsewhere; callers' targets for the first
part of a response are a few hundred milliseconds."""
END_DELAY_SECONDS = 0.03
MIN_SHEDDING_SECONDS = 4.0
"""Shortest time of not being ready; a load balancer needs about two seconds to react to a change,
and callers have to open new connections before the load falls."""
MAX_SHEDDING_SECONDS = 30.0
"""Longest time of not being ready. The others may be crowded by then as well, and only new
connections show whether the crowd is still there."""
BACKOFF_FACTOR = 2.0
"""Growth of the shortest time if the crowd is back soon. A hash of the caller brings the same
callers back to the same router, and each return fills its link for two or three seconds."""
SOON_SECONDS = 10.0
"""Time of being ready after which a crowd counts as a new one."""
MIN_READY_SECONDS = 2.0
"""Time of being ready before new connections are turned away again."""
MAX_SHEDDING_SHARE = 0.125
"""Share of a data centre's routers that may report not ready at the same time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreView:
    """The routers of a data centre, as one of them sees them.

    Attributes:
        live: Number of live routers, this one included.
        shedding: Number of the others that report not ready because of their load.
    """

    live: int
    shedding: int


class LoadShedding:
    """Whether this router turns new connections away because of its load."""

    __slots__ = ("_changed_seconds", "_is_active", "_meter", "_min_seconds")

    def __init__(self, *, meter: LoadMeter):
        """Creates the decision of a router that is ready.

        Args:
            meter: Load of this router.
        """
        self._meter = meter
        self._is_active = False
        self._changed_seconds = float("-inf")
        self._min_seconds = MIN_SHEDDING_SECONDS

    @property
    def is_active(self) -> bool:
        """Whether new connections are turned away now."""
        return self._is_active

    def update(self, view: DataCentreView, now_seconds: float) -> bool:
        """Decides again.

        Args:
            view: The other routers, which would get the new connections.
            now_seconds: Current monotonic time.

        Returns:
            Whether the decision has changed.
        """
        wanted = self._is_wanted(view, now_seconds)
        if wanted == self._is_active:
            return False
        if wanted:
            self._min_seconds = self._find_min_seconds(now_seconds - self._changed_seconds)
        self._is_active = wanted
        self._changed_seconds = now_seconds
        return True

    def _find_min_seconds(self, ready_seconds: float) -> float:
        """Returns the shortest time of not being ready after a time of being ready."""
        if ready_seconds > SOON_SECONDS:
            return MIN_SHEDDING_SECONDS
        return min(MAX_SHEDDING_SECONDS, BACKOFF_FACTOR * self._min_seconds)

    def _is_wanted(self, view: DataCentreView, now_seconds: float) -> bool:
        since_seconds = now_seconds - self._changed_seconds
        link_share = self._meter.get_link_share(now_seconds)
        delay_seconds = self._meter.delay_seconds
        if self._is_active:
            is_calm = link_share < END_LINK_SHARE and delay_seconds < END_DELAY_SECONDS
            is_over = since_seconds >= MAX_SHEDDING_SECONDS
            return since_seconds < self._min_seconds or not (is_calm or is_over)
        is_crowded = link_share >= BEGIN_LINK_SHARE or delay_seconds >= BEGIN_DELAY_SECONDS
        has_room = view.shedding + 1 <= MAX_SHEDDING_SHARE * view.live
        return is_crowded and has_room and since_seconds >= MIN_READY_SECONDS
