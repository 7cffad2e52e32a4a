"""Steps about how configurations reach many routers, in virtual time.

The world has the configuration service of each router, a network that takes some milliseconds, and
one store. Watchers tell the others the number of each configuration that they activate.
"""

import asyncio
import collections
import random

import msgspec
from behave import given, then, when
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.configuration.confirmation import ConfirmConfiguration
from laburnumpier_router.configuration.peer_sources import FetchConfiguration
from laburnumpier_router.configuration.record import CONFIGURATION_KEY, ConfigurationRecord
from laburnumpier_router.configuration.service import ConfigurationService
from laburnumpier_standins.memory_store import MemoryKeyValueService, StoreControl
from laburnumpier_standins.virtual_loop import VirtualClock

LATENCY_SECONDS = (0.001, 0.02)
REFUSAL_INTERVAL_SECONDS = 0.3
CONFIRMER = "r-0"
SETTLE_SECONDS = 3.0


class CountingStore(MemoryKeyValueService):
    """A client of the store that records the times of its reads."""

    def __init__(self, world, name):
        super().__init__(control=world.control, client=name)
        self._world = world
        self._name = name

    async def read(self, keys):
        """Records the read and reads."""
        now = asyncio.get_running_loop().time()
        self._world.reads.append((now, self._name))
        return await super().read(keys)


class WorldFleet:
    """The other routers, as one of them reaches them."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    async def call(self, peer, message, timeout_seconds):
        """Delivers a message unless the world silences the peer or the kind of message."""
        await asyncio.sleep(self._world.random.uniform(*LATENCY_SECONDS))
        if self._world.is_silent(peer, message):
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        service = self._world.services[peer]
        match message:
            case FetchConfiguration():
                self._world.fetches[peer] += 1
                reply = await service.handle_fetch_configuration(self._name, message)
            case ConfirmConfiguration():
                reply = await service.handle_confirm_configuration(self._name, message)
        await asyncio.sleep(self._world.random.uniform(*LATENCY_SECONDS))
        return reply


class SpreadingWorld:
    """Configuration services of a fleet; the first ones watch the store."""

    def __init__(self, routers, centres, watchers):
        self.random = random.Random(5)
        self.control = StoreControl(seed=5)
        self.reads = []
        self.fetches = collections.Counter()
        self.silence = ""
        self.services = {}
        # The first router of the first data centre confirms and does not watch.
        self.centres = centres
        self.watchers = [f"r-{number + self.centres}" for number in range(watchers * self.centres)]
        self.tasks = []
        self.refusals = []
        self.version = 1
        self._store_version()
        for number in range(routers):
            self._add_router(f"r-{number}")

    def _add_router(self, name):
        self.services[name] = ConfigurationService(
            store=CountingStore(self, name),
            fleet=WorldFleet(self, name),
            clock=VirtualClock(),
            metrics=Metrics(),
            random_source=random.Random(name),
            is_watcher=lambda: name in self.watchers,
            on_change=lambda configuration: self._announce(name),
            find_confirmer=lambda: None if name == CONFIRMER else CONFIRMER,
        )

    def is_silent(self, peer, message):
        """Whether a message to a peer is lost."""
        match self.silence:
            case "the router that confirms for all does not answer":
                return peer == CONFIRMER
            case "the watchers name versions but answer no fetch":
                return peer in self.watchers
            case "the routers cannot reach each other but for the watchers' messages":
                return True
        return False

    def _announce(self, name):
        if name in self.watchers:
            number = self.services[name].number
            self.tasks += [
                asyncio.create_task(self._tell(name, other, number))
                for other in self.services
                if other not in self.watchers and self._is_near(name, other)
            ]

    def _is_near(self, name, other):
        """Whether two routers are in the same data centre."""
        numbers = [int(router.partition("-")[2]) for router in (name, other)]
        return numbers[0] % self.centres == numbers[1] % self.centres

    async def _tell(self, watcher, other, number):
        await asyncio.sleep(self.random.uniform(*LATENCY_SECONDS))
        self.services[other].refresh_if_newer(watcher, number)

    def _store_version(self):
        value = msgspec.json.encode(ConfigurationRecord(number=self.version))
        assert self.control.state.commit({}, [(CONFIGURATION_KEY, value, 0)])

    async def start(self):
        """Lets all routers read the first version, and the watchers watch."""
        for service in self.services.values():
            await service.refresh_from_store()
        for name in self.watchers:
            follow = self.services[name].follow_store_periodically()
            self.tasks.append(asyncio.create_task(follow))
        await asyncio.sleep(SETTLE_SECONDS)
        self.reads.clear()

    async def store_versions(self, count, seconds):
        """Stores versions at equal intervals."""
        for _ in range(count):
            self.version += 1
            self._store_version()
            await asyncio.sleep(seconds / count)

    async def refuse(self, name, seconds):
        """Has a router confirm before each refusal, for some time."""
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + seconds
        while loop.time() < end_seconds:
            await self.refuse_once(name)
            await asyncio.sleep(REFUSAL_INTERVAL_SECONDS * self.random.uniform(0.5, 1.5))

    async def refuse_once(self, name):
        """Has a router confirm one refusal."""
        service = self.services[name]
        is_confirmed = await service.confirm()
        age_seconds = asyncio.get_running_loop().time() - service.confirmed_seconds
        self.refusals.append((is_confirmed, age_seconds, service.number))

    async def stop(self):
        """Ends all tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def run(context, coroutine):
    return context.virtual.run(coroutine)


@given("the target that a change is in force everywhere within {seconds:g} seconds")
def set_target(context, seconds):
    context.apply_seconds = seconds


@given(
    "a fleet of {routers:d} routers in {centres:d} data centres, with {watchers:d} watchers {each}"
)
def make_world(context, routers, centres, watchers, each):
    async def make():
        context.world = SpreadingWorld(routers, centres, watchers)
        await context.world.start()

    run(context, make())
    context.cleanups.append((context.virtual, context.world.stop))


@given("{fault} in this fleet")
def silence(context, fault):
    context.world.silence = fault


@when("{count:d} versions are stored within {seconds:g} seconds")
def store_versions(context, count, seconds):
    run(context, context.world.store_versions(count, seconds))


@when("every router refuses requests for {seconds:g} seconds")
def refuse(context, seconds):
    world = context.world

    async def refuse_all():
        world.refusals.clear()
        await asyncio.gather(*(world.refuse(name, seconds) for name in world.services))

    run(context, refuse_all())


@when("version 2 is stored, and {seconds:g} seconds later every router refuses a request")
def store_and_refuse(context, seconds):
    world = context.world

    async def store():
        await world.store_versions(1, 0.0)
        await asyncio.sleep(seconds)
        world.refusals.clear()
        await asyncio.gather(*(world.refuse_once(name) for name in world.services))

    run(context, store())


@then("the newest version is in force at every router within the target")
def check_in_force(context):
    async def wait():
        async with asyncio.timeout(context.apply_seconds):
            while any(s.number < context.world.version for s in context.world.services.values()):
                await asyncio.sleep(0.01)

    run(context, wait())


@then("routers that do not watch called the store at most {count:d} times")
def check_reads(context, count):
    others = [name for _, name in context.world.reads if name not in context.world.watchers]
    assert len(others) <= count, len(others)


@then("no router answered more than {count:d} fetches")
def check_fetches(context, count):
    most = max(context.world.fetches.values(), default=0)
    assert most <= count, most


@then("every refusal was confirmed within a second before it")
def check_refusals(context):
    refusals = context.world.refusals
    assert refusals
    wrong = [refusal for refusal in refusals if not refusal[0] or refusal[1] > 1.0]
    assert not wrong, (len(wrong), len(refusals), wrong[:5])


@then("every refusal was by version {number:d}")
def check_refusal_versions(context, number):
    assert {refusal[2] for refusal in context.world.refusals} == {number}


@then("the store was asked to confirm at most {count:d} times")
def check_confirmations(context, count):
    assert len(context.world.reads) <= count, len(context.world.reads)


@then("the store received at most {count:d} calls in any {seconds:g} seconds")
def check_rate(context, count, seconds):
    times = sorted(time for time, _ in context.world.reads)
    most = max(sum(start <= t < start + seconds for t in times) for start in times)
    assert most <= count, most
