"""The era of the platform's store, and positions in its history.

The store may come back from a copy that is some seconds old. Everything that was written to it
since is lost then, and revisions are given out a second time. Each such return begins a new era,
whose number the store states in every response. A revision therefore identifies a write only
together with its era.
"""

from collections.abc import Callable
from typing import NamedTuple

from laburnumpier_core.log import get_part_logger

UNKNOWN_ERA = 0
"""Era before the first response, and of a store that states none."""

_log = get_part_logger("store")


class StorePosition(NamedTuple):
    """A position in the history of the store; positions of later eras are greater.

    Attributes:
        era: Era in which the position was read.
        revision: Revision within the era; 0 for a key that does not exist.
    """

    era: int
    revision: int


class StoreEra:
    """Highest era that this process knows of."""

    __slots__ = ("_current", "_listeners")

    def __init__(self):
        """Creates the state before the first response."""
        self._current = UNKNOWN_ERA
        self._listeners: list[Callable[[int, int], None]] = []

    @property
    def current(self) -> int:
        """Highest known era."""
        return self._current

    def add_listener(self, listener: Callable[[int, int], None]) -> None:
        """Adds a function that is called with the old and the new era when a new one begins."""
        self._listeners.append(listener)

    def observe(self, era: int) -> bool:
        """Records the era of a response or of a message from a peer.

        Args:
            era: The stated era.

        Returns:
            Whether it is the highest known era. If not, the response is outdated.
        """
        if era <= self._current:
            return era == self._current
        previous, self._current = self._current, era
        # The first response only tells the era in which this process started.
        if previous != UNKNOWN_ERA:
            _log.warning(
                "store came back from an older copy",
                fields={"era": era, "previous_era": previous},
            )
            for listener in self._listeners:
                listener(previous, era)
        return True
