"""The evacuated data centres, as this router knows them.

The newest position of the store's history decides, whether it was read here or told by another
router. Lists are complete, so a lost or repeated message loses nothing.
"""

import math
from collections.abc import Callable

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.evacuations import Evacuations
from ..ports.server_registry import RegisteredServer
from ..ports.store_era import UNKNOWN_ERA, StorePosition
from .messages import EvacuationsTold

FIRST_MAX_AGE_SECONDS = 3.0
"""Age up to which a told list is the first that a starting router trusts. Operators allow 5 s from
an evacuation to the last request; a request may take 2 s from the choice of its server to it."""
STALE_PATIENCE_SECONDS = 5.0
"""Time for which a starting router that was told only older lists waits for the store. One that
reaches the store has read it by then."""
ERA_KEEP_SECONDS = 5.0
"""Time for which an evacuation stays in force that the store lost by a return from an older copy.
Operators write lost keys again."""

_log = get_part_logger("evacuation")


class EvacuatedDataCentres:
    """Decides whether a server must not get new requests as its data centre is evacuated.

    Load answered: any; a look-up in a set for each server that is considered. Until the first list
    is known, no server of any data centre gets a request.
    """

    __slots__ = (
        "_clock",
        "_confirmed_seconds",
        "_data_centres",
        "_is_required",
        "_kept_until",
        "_metrics",
        "_on_change",
        "_position",
        "_reaches_store",
        "_reported",
        "_stale_since_seconds",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        is_required: bool,
        reaches_store: Callable[[], bool],
        on_change: Callable[[], None],
    ):
        """Creates it without a list.

        Args:
            clock: Source of time.
            metrics: Counters and a gauge.
            is_required: Whether the store names evacuations, so that a list has to be known.
            reaches_store: Returns whether this router's calls to the store succeed.
            on_change: Called after a change of the evacuated data centres.
        """
        self._clock = clock
        self._metrics = metrics
        self._is_required = is_required
        self._reaches_store = reaches_store
        self._on_change = on_change
        self._position: StorePosition | None = None
        self._data_centres: frozenset[str] = frozenset()
        self._kept_until: dict[str, float] = {}
        self._confirmed_seconds = -math.inf
        self._stale_since_seconds: float | None = None
        self._reported: list[str] = []

    @property
    def is_known(self) -> bool:
        """Whether a list is known, or none is needed."""
        return self._position is not None or not self._is_required

    @property
    def names(self) -> list[str]:
        """The data centres that get no new requests, in the order of names."""
        now = self._clock.monotonic_seconds()
        kept = (name for name, until in self._kept_until.items() if now < until)
        return sorted(self._data_centres.union(kept))

    def excludes(self, server: RegisteredServer) -> bool:
        """Whether a server must not get a new request now."""
        return self.excludes_data_centre(server.data_centre)

    def excludes_data_centre(self, name: str) -> bool:
        """Whether no server of a data centre must get a new request now."""
        if not self.is_known:
            return True
        if name in self._data_centres:
            return True
        return self._clock.monotonic_seconds() < self._kept_until.get(name, -math.inf)

    def hear_store(self, evacuations: Evacuations) -> None:
        """Takes over a list that this router has just read from the store."""
        self._adopt(evacuations, self._clock.monotonic_seconds(), "store")

    def hear_router(self, router: str, told: EvacuationsTold | None) -> None:
        """Takes over a list that another router told, if it is newer than the known one."""
        if told is None or not self._is_required:
            return
        if not told.is_valid:
            self._metrics.count("evacuation.invalid")
            _log.warning("ignoring invalid evacuations of a router", fields={"router": router})
            return
        if self._position is None and not self._may_begin_with(told):
            return
        evacuations = Evacuations(
            position=told.position, data_centres=frozenset(told.data_centres)
        )
        confirmed_seconds = self._clock.monotonic_seconds() - told.age_ms / 1000
        self._adopt(evacuations, confirmed_seconds, router)

    def make_told(self) -> EvacuationsTold | None:
        """Returns what to tell other routers; None while no list is known."""
        if self._position is None:
            return None
        age_seconds = self._clock.monotonic_seconds() - self._confirmed_seconds
        return EvacuationsTold(
            position=self._position,
            age_ms=max(0, round(age_seconds * 1000)),
            data_centres=sorted(self._data_centres),
        )

    def describe(self) -> dict[str, object]:
        """Returns the fields of the state dump."""
        told = self.make_told()
        return {
            "known": self.is_known,
            "data_centres": self.names,
            "age_ms": None if told is None else told.age_ms,
        }

    def _may_begin_with(self, told: EvacuationsTold) -> bool:
        """Whether a told list may be the first one of this router.

        A peer that is cut off from the store may not know of a later evacuation.
        """
        now = self._clock.monotonic_seconds()
        if told.age_ms <= FIRST_MAX_AGE_SECONDS * 1000 or not self._reaches_store():
            return True
        if self._stale_since_seconds is None:
            self._stale_since_seconds = now
        return now - self._stale_since_seconds >= STALE_PATIENCE_SECONDS

    def _adopt(self, evacuations: Evacuations, confirmed_seconds: float, source: str) -> None:
        if self._position is not None and evacuations.position < self._position:
            return
        self._confirmed_seconds = (
            max(self._confirmed_seconds, confirmed_seconds)
            if evacuations.position == self._position
            else confirmed_seconds
        )
        is_first = self._position is None
        self._keep_lost(evacuations)
        self._position = evacuations.position
        self._data_centres = evacuations.data_centres
        self._report(source, is_first=is_first)

    def _keep_lost(self, evacuations: Evacuations) -> None:
        """Keeps evacuations in force for a while that are missing in a new era of the store."""
        now = self._clock.monotonic_seconds()
        self._kept_until = {n: until for n, until in self._kept_until.items() if now < until}
        known_era = UNKNOWN_ERA if self._position is None else self._position.era
        if known_era not in (UNKNOWN_ERA, evacuations.position.era):
            lost = self._data_centres - evacuations.data_centres
            self._kept_until.update(dict.fromkeys(lost, now + ERA_KEEP_SECONDS))

    def _report(self, source: str, *, is_first: bool) -> None:
        """Logs and counts what has changed since the last report."""
        before, names = self._reported, self.names
        self._reported = names
        if is_first:
            _log.info("evacuations known", fields={"data_centres": names, "source": source})
        self._metrics.set_gauge("evacuation.data_centres", len(names))
        if names == before:
            return
        self._metrics.count("evacuation.changes")
        fields = {"position": self._position, "source": source}
        for name in sorted(set(names) - set(before)):
            _log.warning("data centre evacuated", fields={"data_centre": name, **fields})
        for name in sorted(set(before) - set(names)):
            _log.info("evacuation withdrawn", fields={"data_centre": name, **fields})
        self._on_change()
