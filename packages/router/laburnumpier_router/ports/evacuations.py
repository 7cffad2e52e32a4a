"""The interface to a store that says which data centres are evacuated.

An operator evacuates a data centre by a key of the store, and withdraws that by removing the key.
An implementation reports what the calls that follow the configuration return beside it, so that
evacuations cost no calls of their own.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from .store_era import StorePosition


class Evacuations(msgspec.Struct, frozen=True, kw_only=True):
    """All evacuated data centres as of a position in the history of the store."""

    position: StorePosition
    data_centres: frozenset[str]


class EvacuationSource(Protocol):
    """Reports the evacuated data centres of the store."""

    def set_evacuation_listener(self, listener: Callable[[Evacuations], None]) -> None:
        """Sets the function that is called with each complete answer, changed or not."""
