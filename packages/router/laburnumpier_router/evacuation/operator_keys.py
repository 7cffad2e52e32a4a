"""The operator's keys of the store, as the calls that follow the configuration return them.

The names of the keys come from the adapter of the store. Evacuations are read and watched by the
calls for the configuration, so that they cost none of their own.
"""

from collections.abc import Callable

from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import UnreadableDataError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.evacuations import Evacuations
from ..ports.key_value_service import StoredValue
from ..ports.store_era import StorePosition
from .messages import MAX_DATA_CENTRES, MAX_NAME_LENGTH

EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys of evacuated data centres in the product's own interface."""

_log = get_part_logger("evacuation")


class OperatorKeys:
    """The evacuated data centres, complete as of a position from which a watch goes on."""

    __slots__ = (
        "_configuration_key",
        "_data_centres",
        "_listener",
        "_metrics",
        "_position",
        "_prefix",
    )

    def __init__(
        self, *, metrics: Metrics, configuration_key: str, prefix: str = EVACUATION_PREFIX
    ):
        """Creates it with nothing read.

        Args:
            metrics: Counts invalid keys.
            configuration_key: Key of the configuration.
            prefix: Prefix of the keys of evacuated data centres.
        """
        self._configuration_key = configuration_key
        self._prefix = prefix
        self._metrics = metrics
        self._listener: Callable[[Evacuations], None] | None = None
        self._data_centres: set[str] = set()
        self._position: StorePosition | None = None

    @property
    def position(self) -> StorePosition | None:
        """Position from which a watch goes on; None if all keys have to be read first."""
        return self._position

    @property
    def must_be_listed(self) -> bool:
        """Whether evacuations are followed and all keys have to be read for that."""
        return self.is_followed and self._position is None

    @property
    def is_followed(self) -> bool:
        """Whether anything follows the evacuations."""
        return self._listener is not None

    def set_listener(self, listener: Callable[[Evacuations], None]) -> None:
        """Sets the function that is called with each complete answer."""
        self._listener = listener

    def forget_position(self) -> None:
        """Requires a read of all keys, as changes since the position may have been missed."""
        self._position = None

    def replace(self, items: list[StoredValue], position: StorePosition) -> StoredValue | None:
        """Takes over all keys as of a position; returns the configuration, if there is one."""
        known = self._data_centres
        self._data_centres = set()
        for item in items:
            name = item.key.removeprefix(self._prefix)
            if self._evacuates(item) or (name != item.key and name in known):
                self._data_centres.add(name)
        self._record(position)
        return next((item for item in items if item.key == self._configuration_key), None)

    def apply(
        self, written: list[StoredValue], removed: list[str], position: StorePosition
    ) -> StoredValue | None:
        """Takes over the newest change of each key; returns the configuration, if it is one.

        Args:
            written: Keys that were written.
            removed: Names of keys that were removed.
            position: Position up to which the changes are complete.
        """
        for key in removed:
            self._data_centres.discard(key.removeprefix(self._prefix))
        for item in written:
            if self._evacuates(item):
                self._data_centres.add(item.key.removeprefix(self._prefix))
        self._record(position)
        return next((item for item in written if item.key == self._configuration_key), None)

    def _evacuates(self, item: StoredValue) -> bool:
        """Whether a key evacuates a data centre; an invalid one is counted and does not."""
        if not item.key.startswith(self._prefix):
            return False
        is_valid = _is_evacuation(item, item.key.removeprefix(self._prefix))
        if not is_valid:
            self._metrics.count("evacuation.invalid")
        return is_valid

    def _record(self, position: StorePosition) -> None:
        self._position = position
        names = sorted(self._data_centres)
        if len(names) > MAX_DATA_CENTRES:
            self._metrics.count("evacuation.invalid")
            _log.warning("ignoring evacuations beyond the limit", fields={"count": len(names)})
        data_centres = frozenset(names[:MAX_DATA_CENTRES])
        if self._listener is not None:
            self._listener(Evacuations(position=position, data_centres=data_centres))


def _is_evacuation(stored: StoredValue, data_centre: str) -> bool:
    """Whether a key evacuates the data centre that it names; its value has to be an object."""
    try:
        decode_json(stored.value, dict)
        if 0 < len(data_centre) <= MAX_NAME_LENGTH:
            return True
        error: object = "the name is empty or too long"
    except UnreadableDataError as invalid:
        error = invalid
    fields = {"key": stored.key[: 2 * MAX_NAME_LENGTH], "error": error}
    _log.warning("ignoring an invalid evacuation", fields=fields)
    return False
