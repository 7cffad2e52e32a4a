"""An in-memory key-value service for simulation in virtual time."""

import asyncio
import random

from laburnumpier_core.errors import StoreUnavailableError, WriteOutcomeUnknownError
from laburnumpier_router.ports.key_value_service import CommitOutcome, StoredValue, Write

from .store_state import Entry, StoreFault, StoreState

ROUND_TRIP_SECONDS = 0.003
CLIENT_TIMEOUT_SECONDS = 1.0


class StoreControl:
    """State of the simulated service and the faults that tests inject while it runs.

    Attributes:
        fault: Fault that affects all clients.
        answer_loss_probability: Probability that a write takes effect and its answer is lost.
        cut_off: Names of clients whose calls fail at once.
        silent_for: Names of clients whose calls are lost and run into the client's timeout.
    """

    __slots__ = ("answer_loss_probability", "cut_off", "fault", "random", "silent_for", "state")

    def __init__(self, *, seed: int = 0):
        """Creates an empty service without faults."""
        self.state = StoreState()
        self.fault = StoreFault.NONE
        self.answer_loss_probability = 0.0
        self.cut_off: set[str] = set()
        self.silent_for: set[str] = set()
        self.random = random.Random(seed)


def _make_stored_value(key: str, entry: Entry) -> StoredValue:
    return StoredValue(key=key, value=entry.value, revision=entry.revision)


class MemoryKeyValueService:
    """One client's connection to the simulated service; implements the `KeyValueService` port."""

    __slots__ = ("_client", "_control")

    def __init__(self, *, control: StoreControl, client: str = ""):
        """Connects a client; faults for single clients select it by its name."""
        self._control = control
        self._client = client

    async def read(self, keys: list[str]) -> dict[str, StoredValue]:
        """Returns the existing values among the given keys."""
        await self._begin_call()
        stale = self._control.fault is StoreFault.STALE_READ
        entries = {key: self._control.state.get(key, stale=stale) for key in keys}
        await self._finish_call(writes=False)
        return {key: _make_stored_value(key, entry) for key, entry in entries.items() if entry}

    async def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Returns all values whose key starts with a prefix, sorted by key."""
        await self._begin_call()
        entries = sorted(self._control.state.entries.items())
        await self._finish_call(writes=False)
        return [_make_stored_value(key, entry) for key, entry in entries if key.startswith(prefix)]

    async def commit(self, expected: dict[str, int], writes: list[Write]) -> CommitOutcome:
        """Writes all values if every key has its expected revision."""
        await self._begin_call()
        state = self._control.state
        entries_to_write = [(write.key, write.value, write.lease_id) for write in writes]
        committed = state.commit(expected, entries_to_write)
        revision = state.revision
        found = {}
        if not committed:
            entries = {key: state.get(key) for key in expected}
            found = {
                key: _make_stored_value(key, entry) for key, entry in entries.items() if entry
            }
        await self._finish_call(writes=True)
        return CommitOutcome(committed=committed, revision=revision, found=found)

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id."""
        await self._begin_call()
        lease_id = self._control.state.grant_lease(ttl_seconds, self._now())
        await self._finish_call(writes=True)
        return lease_id

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired."""
        await self._begin_call()
        renewed = self._control.state.renew_lease(lease_id, self._now())
        await self._finish_call(writes=False)
        return renewed

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes its keys."""
        await self._begin_call()
        self._control.state.revoke_lease(lease_id)
        await self._finish_call(writes=True)

    async def wait_for_change(
        self, key: str, after_revision: int, timeout_seconds: float
    ) -> StoredValue | None:
        """Waits until a key's revision is above the given one; returns None on timeout."""
        await self._begin_call()
        try:
            async with asyncio.timeout(timeout_seconds):
                while True:
                    if self._is_unreachable():
                        raise StoreUnavailableError("watch interrupted: the store is unreachable")
                    entry = self._control.state.get(key)
                    if entry is not None and entry.revision > after_revision:
                        await self._finish_call(writes=False)
                        return _make_stored_value(key, entry)
                    await self._control.state.wait_for_write()
        except TimeoutError:
            return None

    async def close(self) -> None:
        """Does nothing; the connection holds no resources."""

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _begin_call(self) -> None:
        self._control.state.call_count += 1
        if self._control.fault is StoreFault.SLOW:
            await asyncio.sleep(CLIENT_TIMEOUT_SECONDS)
            raise StoreUnavailableError("call timed out: the store is slow")
        if self._client in self._control.silent_for:
            await asyncio.sleep(CLIENT_TIMEOUT_SECONDS)
            raise StoreUnavailableError("call timed out: no answer from the store")
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        if self._is_unreachable():
            raise StoreUnavailableError("the store is unreachable")
        self._control.state.expire_leases(self._now())

    def _is_unreachable(self) -> bool:
        return self._control.fault is StoreFault.DOWN or self._client in self._control.cut_off

    async def _finish_call(self, *, writes: bool) -> None:
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        lost = self._control.fault is StoreFault.ANSWER_LOST
        lost = lost or self._control.random.random() < self._control.answer_loss_probability
        if writes and lost:
            raise WriteOutcomeUnknownError("the answer to the write was lost")
