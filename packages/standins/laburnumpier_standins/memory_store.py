"""An in-memory key-value service for simulation in virtual time."""

import asyncio
import random

from laburnumpier_core.errors import StoreUnavailableError, WriteOutcomeUnknownError
from laburnumpier_router.ports.key_value_service import (
    CommitOutcome,
    FoundValues,
    StoredValue,
    Write,
)
from laburnumpier_router.ports.store_era import StoreEra, StorePosition

from .store_state import Entry, StoreFault, StoreState

ROUND_TRIP_SECONDS = 0.003
CLIENT_TIMEOUT_SECONDS = 1.0


class StoreControl:
    """State of the simulated service and the faults that tests inject while it runs.

    Attributes:
        fault: Fault that affects all clients.
        client_timeout_seconds: Time after which a client gives up a call without a response.
        answer_loss_probability: Probability that a write takes effect and its response is lost.
        unreachable_clients: Names of clients whose calls fail at once.
        timed_out_clients: Names of clients whose calls get no response and time out.
    """

    __slots__ = (
        "answer_loss_probability",
        "client_timeout_seconds",
        "fault",
        "random",
        "state",
        "timed_out_clients",
        "unreachable_clients",
    )

    def __init__(self, *, seed: int = 0):
        """Creates an empty service without faults."""
        self.state = StoreState()
        self.fault = StoreFault.NONE
        self.answer_loss_probability = 0.0
        self.client_timeout_seconds = CLIENT_TIMEOUT_SECONDS
        self.unreachable_clients: set[str] = set()
        self.timed_out_clients: set[str] = set()
        self.random = random.Random(seed)


def _make_stored_value(key: str, entry: Entry, era: int) -> StoredValue:
    position = StorePosition(era=era, revision=entry.revision)
    return StoredValue(key=key, value=entry.value, position=position)


class MemoryKeyValueService:
    """One client's connection to the simulated service; implements the `KeyValueService` port."""

    __slots__ = ("_client", "_control", "_era")

    def __init__(self, *, control: StoreControl, client: str = ""):
        """Connects a client; tests inject faults for single clients by their names."""
        self._control = control
        self._client = client
        self._era = StoreEra()

    @property
    def era(self) -> StoreEra:
        """Highest era of the store known to this client."""
        return self._era

    async def read(self, keys: list[str]) -> FoundValues:
        """Returns the existing values among the given keys."""
        await self._begin_call()
        stale = self._control.fault is StoreFault.STALE_READ
        found = self._find(keys, stale=stale)
        await self._finish_call(era=found.era, writes=False)
        return found

    async def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Returns all values whose key starts with a prefix, sorted by key."""
        await self._begin_call()
        entries = sorted(self._control.state.entries.items())
        era = self._control.state.era
        await self._finish_call(era=era, writes=False)
        return [
            _make_stored_value(key, entry, era) for key, entry in entries if key.startswith(prefix)
        ]

    async def commit(
        self, expected: dict[str, StorePosition], writes: list[Write]
    ) -> CommitOutcome:
        """Writes all values if every key has its expected position."""
        if any(position.era != self._era.current for position in expected.values()):
            raise StoreUnavailableError("a condition was read in an earlier era of the store")
        await self._begin_call()
        state = self._control.state
        entries_to_write = [(write.key, write.value, write.lease_id) for write in writes]
        revisions = {key: position.revision for key, position in expected.items()}
        committed = state.commit(revisions, entries_to_write)
        position = StorePosition(era=state.era, revision=state.revision)
        found = self._find([] if committed else list(expected))
        await self._finish_call(era=position.era, writes=True)
        return CommitOutcome(committed=committed, position=position, found=found)

    async def remove(self, key: str) -> None:
        """Removes a key, if it exists."""
        await self._begin_call()
        era = self._control.state.era
        self._control.state.remove(key)
        await self._finish_call(era=era, writes=True)

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id."""
        await self._begin_call()
        state = self._control.state
        lease_id, era = state.grant_lease(ttl_seconds, self._now()), state.era
        await self._finish_call(era=era, writes=True)
        return lease_id

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired."""
        await self._begin_call()
        state = self._control.state
        renewed, era = state.renew_lease(lease_id, self._now()), state.era
        await self._finish_call(era=era, writes=False)
        return renewed

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes its keys."""
        await self._begin_call()
        era = self._control.state.era
        self._control.state.revoke_lease(lease_id)
        await self._finish_call(era=era, writes=True)

    async def wait_for_change(
        self, key: str, after: StorePosition, timeout_seconds: float
    ) -> StoredValue | None:
        """Waits until a key is written after a position; returns None on timeout."""
        await self._begin_call()
        try:
            async with asyncio.timeout(timeout_seconds):
                while True:
                    if self._is_unreachable():
                        raise StoreUnavailableError("watch interrupted: the store is unreachable")
                    found = self._find([key])
                    if key in found and found[key].position > after:
                        await self._finish_call(era=found.era, writes=False)
                        return found[key]
                    await self._control.state.wait_for_write()
        except TimeoutError:
            return None

    async def begin_watch(self, prefix: str) -> None:
        """Begins the watch of a prefix, which the caller goes on with in the service's state."""
        await self._begin_call()

    async def close(self) -> None:
        """Does nothing; the connection holds no resources."""

    def _find(self, keys: list[str], *, stale: bool = False) -> FoundValues:
        state = self._control.state
        entries = {key: state.get(key, stale=stale) for key in keys}
        values = {
            key: _make_stored_value(key, entry, state.era)
            for key, entry in entries.items()
            if entry
        }
        return FoundValues(state.era, values)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _begin_call(self) -> None:
        self._control.state.call_count += 1
        if self._control.fault is StoreFault.SLOW:
            await asyncio.sleep(self._control.client_timeout_seconds)
            raise StoreUnavailableError("call timed out: the store is slow")
        if self._client in self._control.timed_out_clients:
            await asyncio.sleep(self._control.client_timeout_seconds)
            raise StoreUnavailableError("call timed out: no response from the store")
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        if self._is_unreachable():
            raise StoreUnavailableError("the store is unreachable")
        self._control.state.expire_leases(self._now())

    def _is_unreachable(self) -> bool:
        return (
            self._control.fault is StoreFault.DOWN
            or self._client in self._control.unreachable_clients
        )

    async def _finish_call(self, *, era: int, writes: bool) -> None:
        """Delivers the response; one of an earlier era than is known counts as lost."""
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        if not self._era.observe(era):
            if writes:
                raise WriteOutcomeUnknownError("the response is of an earlier era of the store")
            raise StoreUnavailableError("the response is of an earlier era of the store")
        lost = self._control.fault is StoreFault.ANSWER_LOST
        lost = lost or self._control.random.random() < self._control.answer_loss_probability
        if writes and lost:
            raise WriteOutcomeUnknownError("the response to the write was lost")
