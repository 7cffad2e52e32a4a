"""Controller lease of one data centre, with a fencing number.

The record with the fencing number is permanent, and the number only increases. A second key, bound
to a store lease, shows that the controller role is taken. The holder measures the validity of its
lease from before the request to the store, by its own monotonic clock, and stops a margin before
the lease can expire. A holder that is paused between the clock check and the send may still send a
late order. Engines that check the number refuse it; for other engines, the next holder waits for
the time limit of an order before it sends its first one.
"""

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError, WriteOutcomeUnknownError

from ..ports.key_value_service import KeyValueService, Write, decode_record

LEASE_SECONDS = 10.0
EXPIRY_MARGIN_SECONDS = 3.0
ORDER_TIMEOUT_SECONDS = 5.0


class ControllerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The last process that became controller, and its fencing number."""

    holder: str
    fencing_number: int


class ControllerLease:
    """Lease of this process on the controller role of its data centre."""

    __slots__ = (
        "_acquired_seconds",
        "_clock",
        "_data_centre",
        "_fencing_number",
        "_lease_id",
        "_self_name",
        "_store",
        "_valid_until_seconds",
    )

    def __init__(self, *, store: KeyValueService, clock: Clock, data_centre: str, self_name: str):
        """Creates a lease that is not held yet."""
        self._store = store
        self._clock = clock
        self._data_centre = data_centre
        self._self_name = self_name
        self._lease_id = 0
        self._fencing_number = 0
        self._acquired_seconds = 0.0
        self._valid_until_seconds = float("-inf")

    @property
    def fencing_number(self) -> int:
        """Fencing number of this process's latest term; 0 before the first."""
        return self._fencing_number

    def may_send_order(self, *, engine_checks: bool) -> bool:
        """Returns whether an order may be sent now.

        Args:
            engine_checks: Whether the engine refuses orders with an outdated fencing number.
        """
        now = self._clock.monotonic_seconds()
        if now >= self._valid_until_seconds:
            return False
        return engine_checks or now >= self._acquired_seconds + ORDER_TIMEOUT_SECONDS

    async def renew_or_acquire(self) -> bool:
        """Renews the lease, or acquires it if no process holds it.

        Returns:
            Whether this process is the controller now.

        Raises:
            StoreError: If the store does not respond; a held lease then expires.
        """
        requested_at_seconds = self._clock.monotonic_seconds()
        if self._lease_id:
            if await self._store.keep_lease_alive(self._lease_id):
                self._valid_until_seconds = (
                    requested_at_seconds + LEASE_SECONDS - EXPIRY_MARGIN_SECONDS
                )
                return True
            self._lease_id = 0
        return await self._acquire(requested_at_seconds)

    async def release(self) -> None:
        """Releases the lease, so that the next controller need not wait until it expires.

        Raises:
            StoreError: If the store does not respond; the lease then expires.
        """
        self._valid_until_seconds = float("-inf")
        if self._lease_id:
            lease_id, self._lease_id = self._lease_id, 0
            await self._store.revoke_lease(lease_id)

    async def _acquire(self, requested_at_seconds: float) -> bool:
        record_key = f"controller/{self._data_centre}"
        held_key = f"controller-held/{self._data_centre}"
        found = await self._store.read([record_key, held_key])
        if held_key in found:
            return False
        stored = found.get(record_key)
        number = 1
        if stored is not None:
            record = decode_record(stored, ControllerRecord)
            number = record.fencing_number + 1
        lease_id = await self._store.grant_lease(LEASE_SECONDS)
        record = ControllerRecord(holder=self._self_name, fencing_number=number)
        writes = [
            Write(key=record_key, value=msgspec.msgpack.encode(record)),
            Write(key=held_key, value=self._self_name.encode(), lease_id=lease_id),
        ]
        expected = {key: found.get_position(key) for key in (record_key, held_key)}
        try:
            outcome = await self._store.commit(expected, writes)
        except WriteOutcomeUnknownError as error:
            # No process acts on this term: its lease is never renewed and expires.
            raise StoreError("outcome of the controller lease commit is unknown") from error
        if not outcome.committed:
            return False
        self._lease_id = lease_id
        self._fencing_number = number
        self._acquired_seconds = self._clock.monotonic_seconds()
        self._valid_until_seconds = requested_at_seconds + LEASE_SECONDS - EXPIRY_MARGIN_SECONDS
        return True
