"""This process's membership: registration, heartbeats, and calls to other members.

One task runs for each peer in a bounded set of heartbeat partners, most of them in the own
data centre and a few elsewhere. Everything else about members travels with these heartbeats.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, PeerUnreachableError, StoreError
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .member import GossipEntry, Heartbeat, Member, MemberRecord, MemberState
from .peer_link import PeerLink
from .registry import MemberRegistry
from .view import FleetView

NEAR_PARTNERS = 4
FAR_PARTNERS = 2
GOSSIP_ENTRIES = 3
SUSPECT_HEARTBEATS = 5
# Heartbeats sent and answered in one interval, each of which carries gossip.
GOSSIP_MESSAGES = 2 * (NEAR_PARTNERS + FAR_PARTNERS)
STORE_POLL_SECONDS = 5.0
POLLING_ROUTERS = 20
"""Routers up to which each reads the member records at the full rate. Members are heard of by
heartbeats; the records are for those that nobody has heard of."""

_log = get_part_logger("fleet")


class FleetService:
    """Membership of this process and its links to the other members."""

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
        "_seeds",
        "_state",
        "_store_poll_seconds",
        "_view",
        "get_configuration_number",
        "list_leaving_servers",
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
        seeds: list[str],
        on_heartbeat: Callable[[str, Heartbeat], None],
        store_poll_seconds: float = STORE_POLL_SECONDS,
    ):
        """Creates the service; it knows only this process.

        Args:
            member: This process.
            link: Carries messages.
            registry: Member records in the store.
            clock: Source of time.
            metrics: Counters.
            random_source: Jitter.
            heartbeat_seconds: Time between heartbeats to one partner.
            seeds: Addresses to try when the store does not tell the members.
            on_heartbeat: Called with the sender and each heartbeat received, replies included.
            store_poll_seconds: Time between reads of the member records.
        """
        self._member = member
        self._link = link
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._heartbeat_seconds = heartbeat_seconds
        self._seeds = seeds
        self._on_heartbeat = on_heartbeat
        self._store_poll_seconds = store_poll_seconds
        self._view = FleetView(
            self_member=member, suspect_seconds=SUSPECT_HEARTBEATS * heartbeat_seconds
        )
        self._counter = 0
        self._state = MemberState.SERVING
        self._registered = False
        self._partners: dict[str, asyncio.Task[None]] = {}
        self._records: dict[str, MemberRecord] = {}
        self.get_configuration_number: Callable[[], int] = lambda: 0
        self.list_leaving_servers: Callable[[], list[str]] = list
        self.reaches_store: Callable[[], bool] = lambda: True
        link.handle(Heartbeat, self._answer_heartbeat)

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
        """What is known of other members."""
        return self._view

    @property
    def registry(self) -> MemberRegistry:
        """Member records in the store."""
        return self._registry

    @property
    def records(self) -> dict[str, MemberRecord]:
        """Member records as last read, by VM."""
        return self._records

    @property
    def is_registered(self) -> bool:
        """Whether the store knows this process."""
        return self._registered

    def list_peers(self) -> list[str]:
        """Returns the other live members, nearest first; none before this process is registered.

        Recovery asks the registered processes what they hold, so an unregistered one must not hold
        tokens of others.
        """
        return self._view.live if self._registered else []

    def find_home(self, key: str) -> str:
        """Returns the incarnation that a key is placed on."""
        return self._view.find_home(key) if self._registered else self.self_name

    def list_writers(self, key: str) -> list[str]:
        """Returns the incarnations to write a key for others, the preferred one first."""
        return self._view.list_writers(key) if self._registered else [self.self_name]

    async def list_possible_holders(self) -> list[str]:
        """Returns every other incarnation that is registered and not proven dead.

        Raises:
            StoreError: If the store does not answer.
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
            PeerUnreachableError: If the member is not known or does not reply in time.
        """
        known = self._view.known.get(peer)
        if known is None:
            raise PeerUnreachableError(f"{peer}: not known")
        address = known.member.peers_address
        return await self._link.call(address, peer, message, timeout_seconds)

    async def register(self) -> bool:
        """Tries to register this process; returns whether the store knows it now."""
        try:
            await self._registry.register(self._member)
            self._registered = True
            await self.read_records()
        except StoreError as error:
            _log.warning("registration failed; trying again", fields={"error": error})
        return self._registered

    async def read_records(self) -> None:
        """Reads the member records and takes them into the view.

        Raises:
            StoreError: If the store does not answer.
        """
        self._records = await self._registry.list_records()
        now = self._clock.monotonic_seconds()
        for record in self._records.values():
            for departure in record.departed:
                self._view.forget(departure.incarnation)
            if record.member is not None:
                entry = GossipEntry(member=record.member, counter=0, state=MemberState.SERVING)
                self._view.learn(entry, now)

    async def refresh_membership_periodically(self) -> None:
        """Keeps registration, lease and records fresh; runs until cancelled."""
        while True:
            try:
                if not self._registered:
                    await self.register()
                else:
                    await self._registry.renew_lease(self._member)
                    await self.read_records()
            except StoreError as error:
                _log.debug("store not reached", fields={"error": error})
            await asyncio.sleep(self._find_poll_seconds() * self._random.uniform(0.7, 1.3))

    async def send_heartbeats_periodically(self) -> None:
        """Keeps one heartbeat task for each partner; runs until cancelled."""
        try:
            while True:
                self._view.suspect_seconds = self._find_suspect_seconds()
                self._view.refresh(self._clock.monotonic_seconds())
                self._metrics.set_gauge("fleet.live_members", 1 + len(self._view.live))
                self._adjust_partners()
                await asyncio.sleep(self._heartbeat_seconds)
        finally:
            for task in self._partners.values():
                task.cancel()

    def mark_stopping(self) -> None:
        """Makes the next heartbeats say that this process takes no new work."""
        self._state = MemberState.STOPPING

    async def send_heartbeats(self) -> None:
        """Sends one heartbeat to every partner at once."""
        await asyncio.gather(
            *(self._beat(name) for name in list(self._partners)), return_exceptions=True
        )

    def _find_poll_seconds(self) -> float:
        """Returns the time between reads of the records, so that their rate has a limit."""
        routers = 1 + len(self._view.known)
        return self._store_poll_seconds * max(1.0, routers / POLLING_ROUTERS)

    def _find_suspect_seconds(self) -> float:
        """Returns how long a member may be silent; a large fleet hears of each more rarely."""
        rounds = len(self._view.known) / (GOSSIP_MESSAGES * GOSSIP_ENTRIES)
        return SUSPECT_HEARTBEATS * self._heartbeat_seconds * max(1.0, rounds)

    def _adjust_partners(self) -> None:
        known = self._view.known
        own = self._member.data_centre
        near = [name for name, entry in known.items() if entry.member.data_centre == own]
        far = [name for name, entry in known.items() if entry.member.data_centre != own]
        chosen = set(rank_by_rendezvous(self.self_name, near)[:NEAR_PARTNERS])
        chosen.update(rank_by_rendezvous(self.self_name, far)[:FAR_PARTNERS])
        if not known:
            chosen = {f"seed:{address}" for address in self._seeds}
        for name in [key for key in self._partners if key not in chosen]:
            self._partners.pop(name).cancel()
        for name in sorted(chosen):
            task = self._partners.get(name)
            if task is None or task.done():
                self._partners[name] = asyncio.create_task(self._beat_partner(name))

    async def _beat_partner(self, name: str) -> None:
        """Sends heartbeats to one partner until cancelled."""
        await asyncio.sleep(self._heartbeat_seconds * self._random.random() * 0.2)
        while True:
            await self._beat(name)
            await asyncio.sleep(self._heartbeat_seconds * self._random.uniform(0.9, 1.1))

    async def _beat(self, name: str) -> None:
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
            self._take_in(reply)

    async def _answer_heartbeat(self, sender: str, message: Heartbeat) -> Heartbeat:
        self._take_in(message)
        return self._make_heartbeat()

    def _take_in(self, message: Heartbeat) -> None:
        now = self._clock.monotonic_seconds()
        for entry in message.entries:
            self._view.learn(entry, now)
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
        others = self._view.select_gossip(GOSSIP_ENTRIES, self._counter * GOSSIP_ENTRIES)
        return Heartbeat(
            entries=[own, *others],
            configuration_number=self.get_configuration_number(),
            leaving_servers=self.list_leaving_servers(),
        )
