"""Steps about origins of streams that are kept in the store, in virtual time."""

import asyncio
import random

from behave import given, then, when
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.fleet.member import Member
from laburnumpier_router.forward.origin_archive import ARCHIVE_PREFIX, OriginArchive
from laburnumpier_router.forward.origin_memory import OriginMemory
from laburnumpier_router.forward.stream_origin import KeptOrigin, StreamOrigin
from laburnumpier_standins.memory_store import MemoryKeyValueService, StoreControl
from laburnumpier_standins.store_state import StoreFault
from laburnumpier_standins.virtual_loop import VirtualClock

KEEP_SECONDS = 120.0
LATENCY_SECONDS = 0.002
SMALL_FLEET = 20


class CountingStore(MemoryKeyValueService):
    """A client of the store that counts its writes."""

    def __init__(self, world, name):
        super().__init__(control=world.control, client=name)
        self._world = world

    async def commit(self, expected, writes):
        """Counts and commits."""
        self._world.writes += 1
        return await super().commit(expected, writes)


class WorldView:
    """The members that one router sees."""

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self.known = world.known

    @property
    def live(self):
        """The other routers, or none if all are cut off."""
        if self._world.state == "while all are cut off from each other":
            return []
        return [name for name in self._world.archives if name != self._name]


class WorldFleet:
    """The fleet as one router sees it."""

    def __init__(self, world, member):
        self._world = world
        self.member = member
        self.self_name = member.incarnation
        self.view = WorldView(world, self.self_name)

    def count_vms(self):
        """Returns the number of all routers."""
        return len(self._world.archives)

    async def call(self, peer, message, timeout_seconds):
        """Delivers a message unless the world silences its receiver."""
        if self._world.state == "while the collector is silent":
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        await asyncio.sleep(LATENCY_SECONDS)
        return await self._world.archives[peer].handle_archive(self.self_name, message)


class Known:
    """A known member of the fleet."""

    def __init__(self, member):
        self.member = member


class ArchiveWorld:
    """Archives of a fleet and the store that they share."""

    def __init__(self, routers, centres):
        self.control = StoreControl(seed=3)
        self.random = random.Random(3)
        self.state = ""
        self.writes = 0
        self.archives = {}
        self.known = {}
        self.recorded = []
        for number in range(routers):
            self._add(number, f"dc-{number % centres}", is_small=routers < SMALL_FLEET)

    def _add(self, number, data_centre, *, is_small):
        name = f"vm-{number}@1"
        member = Member(
            incarnation=name, vm=f"vm-{number}", data_centre=data_centre, peers_address=""
        )
        self.known[name] = Known(member)
        self.archives[name] = OriginArchive(
            fleet=WorldFleet(self, member),
            store=CountingStore(self, name),
            clock=VirtualClock(),
            metrics=Metrics(),
            is_small_fleet=lambda: is_small,
        )

    async def record(self, name, per_second, seconds):
        """Has one router record streams at random moments."""
        for _ in range(int(per_second * seconds)):
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / per_second)
            attempt = f"{self.random.getrandbits(64):016x}"
            origin = StreamOrigin(service="s", software_version=f"v{len(self.recorded) % 2}")
            self.recorded.append((attempt, origin))
            expires_seconds = asyncio.get_running_loop().time() + KEEP_SECONDS
            self.archives[name].add(
                attempt, KeptOrigin(origin=origin, expires_seconds=expires_seconds)
            )


def run(context, coroutine):
    return context.virtual.run(coroutine)


@given("{routers:d} routers in {centres:d} data centres that archive origins of streams")
def make_world(context, routers, centres):
    context.world = world = ArchiveWorld(routers, centres)

    async def stop():
        for archive in world.archives.values():
            await archive.close()

    context.cleanups.append((context.virtual, stop))


@given("an unreadable value in the store among the origins")
def spoil_value(context):
    context.world.control.state.commit({}, [(f"{ARCHIVE_PREFIX}a", b"\xc1", 0)])


@when("each records {rate:d} streams a second for {seconds:d} seconds {state}")
def record(context, rate, seconds, state):
    world = context.world
    world.state = state
    world.recorded.clear()
    is_outage = state == "during an outage of the store"
    world.control.fault = StoreFault.DOWN if is_outage else StoreFault.NONE

    async def record_all():
        await asyncio.gather(*(world.record(name, rate, seconds) for name in world.archives))

    run(context, record_all())


@then("the store received at most {count:d} writes of origins")
def check_writes(context, count):
    assert context.world.writes <= count, context.world.writes


@then("any of the streams are known after all routers were killed")
def check_nothing(context):
    """Routers that are cut off may lose what they could not write."""


@then("at least {share:g} of the streams are known after all routers were killed")
@then("at least {share:g} of the streams recorded last are known after all routers were killed")
def check_known(context, share):
    world = context.world

    async def read():
        for archive in world.archives.values():
            await archive.close()
        memory = OriginMemory(clock=VirtualClock(), metrics=Metrics())
        reader = next(iter(world.archives.values()))
        await reader.read_into(memory)
        return [memory.find(attempt) for attempt, _ in world.recorded]

    found = run(context, read())
    expected = [origin for _, origin in world.recorded]
    wrong = [k for k, e in zip(found, expected, strict=True) if k is not None and k.origin != e]
    assert not wrong, wrong[:3]
    known = sum(kept is not None for kept in found) / len(found)
    assert known >= share, (known, len(found))
