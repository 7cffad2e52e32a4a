"""Reads and writes the member records in the store.

Every write is an idempotent compare-and-swap on the record of one VM. If the outcome of a write is
unknown, the record is read again and the change is repeated only if it is missing.
"""

from collections.abc import Callable

import msgspec
from laburnumpier_core.errors import StoredValueError, StoreError, WriteOutcomeUnknownError
from laburnumpier_core.log import get_part_logger

from ..ports.key_value_service import (
    FoundValues,
    KeyValueService,
    StoredValue,
    Write,
    decode_record,
)
from .member import Departure, Member, MemberRecord

MEMBER_PREFIX = "members/"
ALIVE_PREFIX = "alive/"
MAX_COMMIT_ATTEMPTS = 8
PROOF_NEW_INCARNATION = "a new process started on the VM"

_log = get_part_logger("fleet")


class MemberRegistry:
    """Access to the member records of all VMs and to the lease of this process."""

    __slots__ = ("_keeps_lease", "_lease_id", "_lease_seconds", "_store")

    def __init__(self, *, store: KeyValueService, lease_seconds: float, keeps_lease: bool = True):
        """Creates the registry.

        Args:
            store: The platform's key-value service.
            lease_seconds: Time to live of the lease of this process.
            keeps_lease: Whether this process holds a lease. Its expiry has an effect only together
                with a VM list.
        """
        self._keeps_lease = keeps_lease
        self._store = store
        self._lease_seconds = lease_seconds
        self._lease_id = 0

    async def register(self, member: Member) -> None:
        """Records this process as the one that runs on its VM.

        Another process in the record has ended, because this process now listens on its port; it
        is recorded as departed.

        Args:
            member: This process.

        Raises:
            StoreError: If the record cannot be written.
        """

        def change(record: MemberRecord) -> MemberRecord:
            previous = record.member
            departed = record.departed
            if previous is not None and previous.incarnation != member.incarnation:
                departure = Departure(
                    incarnation=previous.incarnation, clean=False, proof=PROOF_NEW_INCARNATION
                )
                departed = (*departed, departure)
            return MemberRecord(member=member, departed=departed)

        await self._update(member.vm, change, is_probably_absent=True)
        await self.renew_lease(member)

    async def renew_lease(self, member: Member) -> None:
        """Renews the lease that shows that this process reached the store recently.

        Raises:
            StoreError: If the store does not respond.
        """
        if not self._keeps_lease:
            return
        if self._lease_id and await self._store.keep_lease_alive(self._lease_id):
            return
        self._lease_id = await self._store.grant_lease(self._lease_seconds)
        key = ALIVE_PREFIX + member.vm
        write = Write(key=key, value=member.incarnation.encode(), lease_id=self._lease_id)
        await self._store.commit({}, [write])

    async def mark_departed(self, incarnation: str, vm: str, *, clean: bool, proof: str) -> None:
        """Records that a process is proven to have ended.

        Args:
            incarnation: Identity of the process.
            vm: Name of its VM.
            clean: Whether it stopped gracefully.
            proof: How its end was proven.

        Raises:
            StoreError: If the record cannot be written.
        """

        def change(record: MemberRecord) -> MemberRecord:
            if record.member is None or record.member.incarnation != incarnation:
                return record
            departure = Departure(incarnation=incarnation, clean=clean, proof=proof)
            return MemberRecord(member=None, departed=(*record.departed, departure))

        await self._update(vm, change)

    async def remove_departure(self, incarnation: str, vm: str) -> None:
        """Removes a departed process from the record of its VM after the recovery of its grants.

        Raises:
            StoreError: If the record cannot be written.
        """

        def change(record: MemberRecord) -> MemberRecord:
            kept = tuple(entry for entry in record.departed if entry.incarnation != incarnation)
            return MemberRecord(member=record.member, departed=kept)

        await self._update(vm, change)

    async def list_records(self) -> dict[str, MemberRecord]:
        """Returns the member records by VM; unreadable ones are left out.

        Raises:
            StoreError: If the store does not respond.
        """
        stored = await self._store.list_prefix(MEMBER_PREFIX)
        records = {value.key.removeprefix(MEMBER_PREFIX): _decode(value) for value in stored}
        return {vm: record for vm, record in records.items() if record is not None}

    async def list_leased_vms(self) -> set[str]:
        """Returns the VMs whose process holds an unexpired lease.

        Raises:
            StoreError: If the store does not respond.
        """
        stored = await self._store.list_prefix(ALIVE_PREFIX)
        return {value.key.removeprefix(ALIVE_PREFIX) for value in stored}

    async def revoke_lease(self) -> None:
        """Revokes the lease of this process, if it holds one.

        Raises:
            StoreError: If the store does not respond; the lease then expires.
        """
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)
            self._lease_id = 0

    async def _update(
        self,
        vm: str,
        change: Callable[[MemberRecord], MemberRecord],
        *,
        is_probably_absent: bool = False,
    ) -> None:
        """Changes the record of a VM.

        Args:
            vm: Name of the VM.
            change: Returns the changed record.
            is_probably_absent: Whether to try first to create the record, without reading it.
        """
        key = MEMBER_PREFIX + vm
        found = FoundValues(self._store.era.current, {}) if is_probably_absent else None
        for _ in range(MAX_COMMIT_ATTEMPTS):
            if found is None:
                found = await self._store.read([key])
            stored = found.get(key)
            before = (_decode(stored) if stored else None) or MemberRecord(member=None)
            after = change(before)
            if after == before and stored is not None:
                return
            write = Write(key=key, value=msgspec.msgpack.encode(after))
            try:
                outcome = await self._store.commit({key: found.get_position(key)}, [write])
            except WriteOutcomeUnknownError:
                found = None
                continue
            if outcome.committed:
                return
            found = outcome.found
        raise StoreError(f"the record of VM {vm} kept changing")


def _decode(stored: StoredValue) -> MemberRecord | None:
    """Returns a stored record; None if it is unreadable, and the next write replaces it."""
    try:
        return decode_record(stored, MemberRecord)
    except StoredValueError as error:
        _log.error("cannot decode a member record", fields={"key": stored.key, "error": error})
        return None
