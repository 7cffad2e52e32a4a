"""Evacuations as operators write, withdraw and list them in the store.

The key of a data centre is `op/evacuate/DATA_CENTRE` with the value `{}`; removing it withdraws
the evacuation. Both may be repeated without harm after a lost answer.
"""

from laburnumpier_core.errors import RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.result_codes import ResultCode

from ..ports.key_value_service import KeyValueService, Write
from .messages import MAX_NAME_LENGTH
from .operator_keys import EVACUATION_PREFIX

_log = get_part_logger("operator")


class EvacuationAdministration:
    """Writes the keys of evacuations on behalf of operators."""

    __slots__ = ("_store",)

    def __init__(self, *, store: KeyValueService):
        """Creates it.

        Args:
            store: Key-value service of the platform.
        """
        self._store = store

    async def begin(self, data_centre: str, author: str) -> None:
        """Evacuates a data centre; its answer is the acknowledgement.

        Raises:
            RequestError: If the name is too long.
            StoreError: If the store does not respond.
        """
        if len(data_centre) > MAX_NAME_LENGTH:
            raise RequestError(ResultCode.INVALID_FIELD, detail="data_centre: is too long")
        await self._store.commit({}, [Write(key=EVACUATION_PREFIX + data_centre, value=b"{}")])
        _log.warning("evacuation asked", fields={"data_centre": data_centre, "author": author})

    async def end(self, data_centre: str, author: str) -> None:
        """Withdraws the evacuation of a data centre.

        Raises:
            StoreError: If the store does not respond.
        """
        await self._store.remove(EVACUATION_PREFIX + data_centre)
        _log.warning("evacuation withdrawn", fields={"data_centre": data_centre, "author": author})

    async def list_names(self) -> list[str]:
        """Returns the data centres that have a key, as the store says now.

        Raises:
            StoreError: If the store does not respond.
        """
        stored = await self._store.list_prefix(EVACUATION_PREFIX)
        return [value.key.removeprefix(EVACUATION_PREFIX) for value in stored]
