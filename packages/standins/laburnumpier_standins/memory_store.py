"""An in-memory key-value service for tests and measurement on a virtual clock."""

import asyncio
import random

from laburnumpier_core.errors import StoreUnavailableError, WriteOutcomeUnknownError
from laburnumpier_router.ports.key_value_service import CommitOutcome, StoredValue, Write

from .store_state import Entry, StoreFault, StoreState

CALL_SECONDS = 0.003
CLIENT_TIMEOUT_SECONDS = 1.0


class StoreControl:
    """Faults of the shared stand-in, settable while it runs.

    Attributes:
        fault: What every client meets.
        loss_share: Share of writes whose answer is lost after they took effect.
        cut_off: Names of clients that cannot reach the service.
        silent_for: Names of clients whose calls are lost on the way and end by their time limit.
    """

    __slots__ = ("cut_off", "fault", "loss_share", "random", "silent_for", "state")

    def __init__(self, *, seed: int = 0):
        """Creates a healthy, empty service."""
        self.state = StoreState()
        self.fault = StoreFault.NONE
        self.loss_share = 0.0
        self.cut_off: set[str] = set()
        self.silent_for: set[str] = set()
        self.random = random.Random(seed)


def _to_stored(key: str, entry: Entry) -> StoredValue:
    return StoredValue(key=key, value=entry.value, revision=entry.revision)


class MemoryKeyValueService:
    """One client's connection to the shared in-memory service."""

    __slots__ = ("_client", "_control")

    def __init__(self, *, control: StoreControl, client: str = ""):
        """Connects a client, whose name the control can cut off."""
        self._control = control
        self._client = client

    async def read(self, keys: list[str]) -> dict[str, StoredValue]:
        """Returns the existing values among the given keys."""
        await self._arrive()
        stale = self._control.fault is StoreFault.STALE_READ
        entries = {key: self._control.state.get(key, stale=stale) for key in keys}
        await self._return(writes=False)
        return {key: _to_stored(key, entry) for key, entry in entries.items() if entry}

    async def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Returns all values whose key starts with a prefix, in key order."""
        await self._arrive()
        entries = sorted(self._control.state.entries.items())
        await self._return(writes=False)
        return [_to_stored(key, entry) for key, entry in entries if key.startswith(prefix)]

    async def commit(self, expected: dict[str, int], writes: list[Write]) -> CommitOutcome:
        """Writes all values if every expected revision holds."""
        await self._arrive()
        state = self._control.state
        rows = [(write.key, write.value, write.lease_id) for write in writes]
        committed = state.commit(expected, rows)
        revision = state.revision
        found = {}
        if not committed:
            entries = {key: state.get(key) for key in expected}
            found = {key: _to_stored(key, entry) for key, entry in entries.items() if entry}
        await self._return(writes=True)
        return CommitOutcome(committed=committed, revision=revision, found=found)

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Returns the id of a new lease."""
        await self._arrive()
        lease_id = self._control.state.grant_lease(ttl_seconds, self._now())
        await self._return(writes=True)
        return lease_id

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renews a lease; False when it has lapsed."""
        await self._arrive()
        kept = self._control.state.renew_lease(lease_id, self._now())
        await self._return(writes=False)
        return kept

    async def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease."""
        await self._arrive()
        self._control.state.revoke_lease(lease_id)
        await self._return(writes=True)

    async def wait_for_change(
        self, key: str, after_revision: int, timeout_seconds: float
    ) -> StoredValue | None:
        """Waits until a key has a revision above the given one."""
        await self._arrive()
        try:
            async with asyncio.timeout(timeout_seconds):
                while True:
                    if self._is_unreachable():
                        raise StoreUnavailableError("the watch was cut off")
                    entry = self._control.state.get(key)
                    if entry is not None and entry.revision > after_revision:
                        await self._return(writes=False)
                        return _to_stored(key, entry)
                    await self._control.state.wait_for_write()
        except TimeoutError:
            return None

    async def close(self) -> None:
        """Does nothing."""

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _arrive(self) -> None:
        self._control.state.calls += 1
        if self._control.fault is StoreFault.SLOW:
            await asyncio.sleep(CLIENT_TIMEOUT_SECONDS)
            raise StoreUnavailableError("the service is slow")
        if self._client in self._control.silent_for:
            await asyncio.sleep(CLIENT_TIMEOUT_SECONDS)
            raise StoreUnavailableError("the call timed out")
        await asyncio.sleep(CALL_SECONDS / 2)
        if self._is_unreachable():
            raise StoreUnavailableError("the service is down")
        self._control.state.expire_leases(self._now())

    def _is_unreachable(self) -> bool:
        return self._control.fault is StoreFault.DOWN or self._client in self._control.cut_off

    async def _return(self, *, writes: bool) -> None:
        await asyncio.sleep(CALL_SECONDS / 2)
        lost = self._control.fault is StoreFault.ANSWER_LOST
        lost = lost or self._control.random.random() < self._control.loss_share
        if writes and lost:
            raise WriteOutcomeUnknownError("the answer was lost")
