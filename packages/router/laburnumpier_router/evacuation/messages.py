"""What routers tell each other of evacuated data centres, in heartbeats and watchers' messages."""

import msgspec

from ..ports.store_era import StorePosition

MAX_DATA_CENTRES = 256
"""Evacuated data centres that a router keeps and tells; more are counted as invalid."""
MAX_NAME_LENGTH = 200
"""Characters in the name of a data centre."""


class EvacuationsTold(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """All evacuated data centres, as the sender knows them.

    Attributes:
        position: Position of the store's history as of which they are complete.
        age_ms: Time since the store said so, in milliseconds.
        data_centres: Names of the evacuated data centres.
    """

    position: StorePosition
    age_ms: int
    data_centres: list[str]

    @property
    def is_valid(self) -> bool:
        """Whether the age and the number and length of names are within their bounds."""
        return (
            self.age_ms >= 0
            and len(self.data_centres) <= MAX_DATA_CENTRES
            and all(0 < len(name) <= MAX_NAME_LENGTH for name in self.data_centres)
        )
