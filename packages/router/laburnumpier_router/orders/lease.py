"""The lease on the controller role of one data centre, and its fencing number.

The record with the number is permanent and only ever raised; a second key, bound to a store
lease, shows that the role is held. The holder measures its time from before it asked the
store, by its own monotonic clock, and stops a margin before the lease can lapse. A holder that
is paused between looking at the clock and sending may still send late; engines that check the
number refuse such an order, and for the others the next holder waits for the longest flight of
an order before it gives its first.
"""

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError, WriteOutcomeUnknownError

from ..ports.key_value_service import KeyValueService, Write

LEASE_SECONDS = 10.0
MARGIN_SECONDS = 3.0
LONGEST_ORDER_SECONDS = 5.0


class ControllerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Who became controller last, and with which number."""

    holder: str
    fencing_number: int


class ControllerLease:
    """This process's view of the controller role of its data centre."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_fencing_number",
        "_lease_id",
        "_self_name",
        "_since_seconds",
        "_store",
        "_until_seconds",
    )

    def __init__(self, *, store: KeyValueService, clock: Clock, data_centre: str, self_name: str):
        """Creates a lease that is not held."""
        self._store = store
        self._clock = clock
        self._data_centre = data_centre
        self._self_name = self_name
        self._lease_id = 0
        self._fencing_number = 0
        self._since_seconds = 0.0
        self._until_seconds = float("-inf")

    @property
    def fencing_number(self) -> int:
        """Number of this process's term; 0 before the first."""
        return self._fencing_number

    def may_order(self, *, engine_checks: bool) -> bool:
        """Returns whether an order may be sent at this very moment.

        Args:
            engine_checks: Whether the engine refuses old fencing numbers by itself.
        """
        now = self._clock.monotonic_seconds()
        if now >= self._until_seconds:
            return False
        return engine_checks or now >= self._since_seconds + LONGEST_ORDER_SECONDS

    async def hold(self) -> bool:
        """Renews the lease, or takes the role if nobody holds it.

        Returns:
            Whether this process is the controller now.

        Raises:
            StoreError: If the store does not answer; a held lease then ends by itself.
        """
        asked_at = self._clock.monotonic_seconds()
        if self._lease_id:
            if await self._store.keep_lease_alive(self._lease_id):
                self._until_seconds = asked_at + LEASE_SECONDS - MARGIN_SECONDS
                return True
            self._lease_id = 0
        return await self._take(asked_at)

    async def release(self) -> None:
        """Gives the role back, so that the next controller need not wait for the lease.

        Raises:
            StoreError: If the store does not answer; the lease then lapses.
        """
        self._until_seconds = float("-inf")
        if self._lease_id:
            lease_id, self._lease_id = self._lease_id, 0
            await self._store.revoke_lease(lease_id)

    async def _take(self, asked_at: float) -> bool:
        record_key = f"controller/{self._data_centre}"
        held_key = f"controller-held/{self._data_centre}"
        found = await self._store.read([record_key, held_key])
        if held_key in found:
            return False
        stored = found.get(record_key)
        number = 1
        if stored is not None:
            record = msgspec.msgpack.decode(stored.value, type=ControllerRecord)
            number = record.fencing_number + 1
        lease_id = await self._store.grant_lease(LEASE_SECONDS)
        record = ControllerRecord(holder=self._self_name, fencing_number=number)
        writes = [
            Write(key=record_key, value=msgspec.msgpack.encode(record)),
            Write(key=held_key, value=self._self_name.encode(), lease_id=lease_id),
        ]
        expected = {record_key: stored.revision if stored else 0, held_key: 0}
        try:
            outcome = await self._store.commit(expected, writes)
        except WriteOutcomeUnknownError as error:
            # Nobody acts on this term: its lease is never renewed and lapses.
            raise StoreError("the controller role is undecided") from error
        if not outcome.committed:
            return False
        self._lease_id = lease_id
        self._fencing_number = number
        self._since_seconds = self._clock.monotonic_seconds()
        self._until_seconds = asked_at + LEASE_SECONDS - MARGIN_SECONDS
        return True
