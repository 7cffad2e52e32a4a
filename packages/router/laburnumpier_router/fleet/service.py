"""Membership of this process: registration, heartbeats and calls to other members.

A task sends heartbeats to each of a bounded number of partners, most of them in the own data
centre and a few in others. The heartbeats also carry gossip about the other members. Routers that
send to many others are preferred partners of these, so that they know them soon after a start.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, PeerUnreachableError, StoreError
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..cold.messages import ColdServer
from ..evacuation.messages import EvacuationsTold
from .member import (
    BlockedPart,
    GossipEntry,
    Heartbeat,
    LeavingNotice,
    Member,
    MemberRecord,
    MemberState,
    NamedBrittleness,
    NamedLimit,
    ServerReach,
    SheddingNotice,
)
from .peer_link import PeerLink
from .registry import MemberRegistry
from .view import FleetView

LOCAL_PARTNERS = 4
REMOTE_PARTNERS = 2
ENTRIES_PER_HEARTBEAT = 3
SUSPICION_TIMEOUT_HEARTBEATS = 5
# Heartbeats that are sent and received in one interval, replies included; each carries gossip.
GOSSIP_MESSAGES_PER_INTERVAL = 2 * (LOCAL_PARTNERS + REMOTE_PARTNERS)
DEFAULT_STORE_POLL_SECONDS = 5.0
MAX_FULL_RATE_POLLERS = 20
"""Fleet size up to which each router reads the member records at the full rate."""
LARGE_FLEET_READ_SECONDS = 1.0
"""Mean time between two reads of the member records by all routers of a larger fleet together.
Most members are discovered by heartbeats; the records only serve to find those that no heartbeat
has mentioned, and the router that finds them tells the others."""

_log = get_part_logger("fleet")


class FleetService:
    """Membership of this process, its view of the fleet and its calls to other members."""

    __slots__ = (
        "_clock",
        "_counter",
        "_heartbeat_seconds",
        "_link",
        "_member",
        "_metrics",
        "_on_heartbeat",
        "_partners",
        "_random",
        "_records",
        "_registered",
        "_registry",
        "_seed_addresses",
        "_state",
        "_store_poll_seconds",
        "_view",
        "get_configuration_number",
        "get_evacuations",
        "get_store_era",
        "list_blocked_parts",
        "list_brittle_servers",
        "list_cold_servers",
        "list_leaving_notices",
        "list_leaving_servers",
        "list_named_limits",
        "list_preferred_partners",
        "list_shedding_notices",
        "make_server_reach",
        "reaches_store",
    )

    def __init__(
        self,
        *,
        member: Member,
        link: PeerLink,
        registry: MemberRegistry,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        heartbeat_seconds: float,
        seed_addresses: list[str],
        on_heartbeat: Callable[[str, Heartbeat], None],
        store_poll_seconds: float = DEFAULT_STORE_POLL_SECONDS,
    ):
        """Creates the service; the view holds only this process at first.

        Args:
            member: This process.
            link: Sends messages to peers.
            registry: Member records in the store.
            clock: Source of time.
            metrics: Counters.
            random_source: Source of jitter.
            heartbeat_seconds: Interval of the heartbeats to one partner.
            seed_addresses: Peer addresses that are contacted while no other member is known.
            on_heartbeat: Called with the sender and the heartbeat for each one received, replies
                included.
            store_poll_seconds: Interval of the reads of the member records in a small fleet.
        """
        self._member = member
        self._link = link
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._heartbeat_seconds = heartbeat_seconds
        self._seed_addresses = seed_addresses
        self._on_heartbeat = on_heartbeat
        self._store_poll_seconds = store_poll_seconds
        self._view = FleetView(
            self_member=member,
            suspicion_timeout_seconds=SUSPICION_TIMEOUT_HEARTBEATS * heartbeat_seconds,
        )
        self._counter = 0
        self._state = MemberState.SERVING
        self._registered = False
        self._partners: dict[str, asyncio.Task[None]] = {}
        self._records: dict[str, MemberRecord] = {}
        self.get_configuration_number: Callable[[], int] = lambda: 0
        self.get_store_era: Callable[[], int] = lambda: 0
        self.list_leaving_servers: Callable[[], list[str]] = list
        self.list_blocked_parts: Callable[[], list[BlockedPart]] = list
        self.list_named_limits: Callable[[], list[NamedLimit]] = list
        self.list_leaving_notices: Callable[[], list[LeavingNotice]] = list
        self.list_shedding_notices: Callable[[], list[SheddingNotice]] = list
        self.list_cold_servers: Callable[[], list[ColdServer]] = list
        self.get_evacuations: Callable[[], EvacuationsTold | None] = lambda: None
        self.make_server_reach: Callable[[], ServerReach | None] = lambda: None
        self.list_brittle_servers: Callable[[], list[NamedBrittleness]] = list
        self.reaches_store: Callable[[], bool] = lambda: True
        self.list_preferred_partners: Callable[[], list[str]] = list
        link.register_handler(Heartbeat, self._handle_heartbeat)

    @property
    def self_name(self) -> str:
        """Incarnation of this process."""
        return self._member.incarnation

    @property
    def member(self) -> Member:
        """This process."""
        return self._member

    @property
    def view(self) -> FleetView:
        """View of the other members and of the placement of keys."""
        return self._view

    @property
    def registry(self) -> MemberRegistry:
        """Member records in the store."""
        return self._registry

    @property
    def records(self) -> dict[str, MemberRecord]:
        """Member records by VM, as of the last read."""
        return self._records

    @property
    def is_registered(self) -> bool:
        """Whether this process is recorded in the store."""
        return self._registered

    def list_peers(self) -> list[str]:
        """Returns the other live members, those of the own data centre first.

        The list is empty until this process is registered. Recovery asks only registered processes
        for their holdings, so an unregistered process must not hold tokens of others.
        """
        return self._view.live if self._registered else []

    def is_near(self, peer: str) -> bool:
        """Whether a known member is in the data centre of this process."""
        known = self._view.known.get(peer)
        return known is not None and known.member.data_centre == self._member.data_centre

    def find_home(self, key: str) -> str:
        """Returns the incarnation that a key is placed on; this process while unregistered."""
        return self._view.find_home(key) if self._registered else self.self_name

    def list_writers(self, key: str) -> list[str]:
        """Returns the members that may write a key for others, in order of preference."""
        return self._view.list_writers(key) if self._registered else [self.self_name]

    def count_vms(self) -> int:
        """Returns the number of VMs with a router that is not proven to have ended."""
        return len(self._list_vms(self._view.known))

    def count_live_vms(self) -> int:
        """Returns the number of VMs with a live router; never more than `count_vms`."""
        return len(self._list_vms(self._view.live))

    def map_vms(self) -> dict[str, str]:
        """Returns the router of each VM that is not proven to have ended, this one included.

        Of several processes on a VM it is the one that was heard of last.
        """
        heard = sorted(self._view.known.values(), key=lambda known: known.last_increase_seconds)
        routers = {known.member.vm: known.member.incarnation for known in heard}
        return {**routers, self._member.vm: self.self_name}

    def list_recent_routers(self, seconds: float) -> list[str]:
        """Returns the other incarnations heard of within some seconds that are not stopping."""
        since_seconds = self._clock.monotonic_seconds() - seconds
        return [
            name
            for name, known in self._view.known.items()
            if known.last_increase_seconds >= since_seconds and known.state is MemberState.SERVING
        ]

    async def list_possible_holders(self) -> list[str]:
        """Returns the other incarnations that are registered and not proven to have ended.

        Raises:
            StoreError: If the store does not respond.
        """
        await self.read_records()
        return [
            record.member.incarnation
            for record in self._records.values()
            if record.member is not None and record.member.incarnation != self.self_name
        ]

    async def call(self, peer: str, message: Any, timeout_seconds: float) -> Any:
        """Sends a message to a member and returns the reply.

        Raises:
            PeerUnreachableError: If the member is unknown or there is no valid reply in time.
        """
        known = self._view.known.get(peer)
        if known is None:
            raise PeerUnreachableError(f"{peer}: unknown member")
        address = known.member.peers_address
        return await self._link.call(address, peer, message, timeout_seconds)

    async def register(self) -> bool:
        """Attempts to register this process; returns whether it is registered now."""
        try:
            await self._registry.register(self._member)
            self._registered = True
            await self.read_records()
        except StoreError as error:
            _log.warning(
                "registration in the store failed; will be retried", fields={"error": error}
            )
        return self._registered

    async def read_records(self) -> None:
        """Reads the member records and merges them into the view.

        Raises:
            StoreError: If the store does not respond.
        """
        self._records = await self._registry.list_records()
        now = self._clock.monotonic_seconds()
        for record in self._records.values():
            for departure in record.departed:
                self._view.mark_departed(departure.incarnation)
            if record.member is not None:
                entry = GossipEntry(member=record.member, counter=0, state=MemberState.SERVING)
                self._view.merge_entry(entry, now)

    async def refresh_membership_periodically(self) -> None:
        """Registers this process, renews its lease and reads the records; runs until cancelled."""
        # Who is registered already has just read the records.
        is_due = not self._registered
        while True:
            if is_due:
                await self._refresh_membership()
            is_due = True
            await asyncio.sleep(self._compute_poll_seconds() * self._random.uniform(0.7, 1.3))

    async def _refresh_membership(self) -> None:
        try:
            if not self._registered:
                await self.register()
            else:
                await self._registry.renew_lease(self._member)
                await self.read_records()
        except StoreError as error:
            _log.debug("membership refresh failed; will be retried", fields={"error": error})

    async def send_heartbeats_periodically(self) -> None:
        """Runs one heartbeat task for each partner until cancelled."""
        try:
            while True:
                self._view.suspicion_timeout_seconds = self._compute_suspicion_timeout_seconds()
                self._view.refresh(self._clock.monotonic_seconds())
                self._metrics.set_gauge("fleet.live_members", 1 + len(self._view.live))
                self._update_partners()
                await asyncio.sleep(self._heartbeat_seconds)
        finally:
            for task in self._partners.values():
                task.cancel()

    def mark_stopping(self) -> None:
        """Reports in all later heartbeats that this process accepts no new work."""
        self._state = MemberState.STOPPING

    async def send_heartbeats(self) -> None:
        """Sends one heartbeat to every partner immediately."""
        await asyncio.gather(
            *(self._exchange_heartbeat(name) for name in list(self._partners)),
            return_exceptions=True,
        )

    def _list_vms(self, names: Iterable[str]) -> set[str]:
        """Returns the VMs of some members and of this process."""
        known = self._view.known
        return {self._member.vm, *(known[name].member.vm for name in names)}

    def _compute_poll_seconds(self) -> float:
        """Returns the interval of the record reads; grows with the fleet to bound their rate."""
        routers = 1 + len(self._view.known)
        if routers <= MAX_FULL_RATE_POLLERS:
            return self._store_poll_seconds
        return max(self._store_poll_seconds, routers * LARGE_FLEET_READ_SECONDS)

    def _compute_suspicion_timeout_seconds(self) -> float:
        """Returns the suspicion timeout, which grows as gossip on each member becomes rarer."""
        intervals_per_entry = len(self._view.known) / (
            GOSSIP_MESSAGES_PER_INTERVAL * ENTRIES_PER_HEARTBEAT
        )
        return (
            SUSPICION_TIMEOUT_HEARTBEATS * self._heartbeat_seconds * max(1.0, intervals_per_entry)
        )

    def _update_partners(self) -> None:
        """Chooses the partners, and starts and cancels heartbeat tasks accordingly."""
        known = self._view.known
        own = self._member.data_centre
        local = [name for name, entry in known.items() if entry.member.data_centre == own]
        remote = [name for name, entry in known.items() if entry.member.data_centre != own]
        chosen = set(rank_by_rendezvous(self.self_name, local)[:LOCAL_PARTNERS])
        chosen.update(rank_by_rendezvous(self.self_name, remote)[:REMOTE_PARTNERS])
        chosen.update(name for name in self.list_preferred_partners() if name in known)
        if not known:
            chosen = {f"seed:{address}" for address in self._seed_addresses}
        for name in [key for key in self._partners if key not in chosen]:
            self._partners.pop(name).cancel()
        for name in sorted(chosen):
            task = self._partners.get(name)
            if task is None or task.done():
                self._partners[name] = asyncio.create_task(self._send_heartbeats_to(name))

    async def _send_heartbeats_to(self, name: str) -> None:
        """Sends heartbeats to one partner until cancelled."""
        await asyncio.sleep(self._heartbeat_seconds * self._random.random() * 0.2)
        while True:
            await self._exchange_heartbeat(name)
            await asyncio.sleep(self._heartbeat_seconds * self._random.uniform(0.9, 1.1))

    async def _exchange_heartbeat(self, name: str) -> None:
        message = self._make_heartbeat()
        timeout = max(self._heartbeat_seconds, 0.5)
        try:
            if name.startswith("seed:"):
                address = name.removeprefix("seed:")
                reply = await self._link.call(address, "", message, timeout)
            else:
                reply = await self.call(name, message, timeout)
        except PeerError:
            self._metrics.count("fleet.heartbeats_lost")
            return
        if isinstance(reply, Heartbeat):
            self._merge_heartbeat(reply)

    async def _handle_heartbeat(self, sender: str, message: Heartbeat) -> Heartbeat:
        self._merge_heartbeat(message)
        return self._make_heartbeat()

    def _merge_heartbeat(self, message: Heartbeat) -> None:
        now = self._clock.monotonic_seconds()
        for entry in message.entries:
            self._view.merge_entry(entry, now)
        if message.entries:
            self._on_heartbeat(message.entries[0].member.incarnation, message)

    def _make_heartbeat(self) -> Heartbeat:
        self._counter += 1
        own = GossipEntry(
            member=self._member,
            counter=self._counter,
            state=self._state,
            store_reached=self.reaches_store(),
        )
        others = self._view.select_gossip(
            ENTRIES_PER_HEARTBEAT, self._counter * ENTRIES_PER_HEARTBEAT
        )
        return Heartbeat(
            entries=[own, *others],
            configuration_number=self.get_configuration_number(),
            store_era=self.get_store_era(),
            leaving_servers=self.list_leaving_servers(),
            blocked_parts=self.list_blocked_parts(),
            named_limits=self.list_named_limits(),
            leaving_notices=self.list_leaving_notices(),
            shedding_notices=self.list_shedding_notices(),
            evacuations=self.get_evacuations(),
            cold_servers=self.list_cold_servers(),
            server_reach=self.make_server_reach(),
            brittle_servers=self.list_brittle_servers(),
        )
