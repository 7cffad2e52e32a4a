"""Steps for evacuated data centres in fleets that forward requests, in virtual time.

They guard against servers that a router uses although their data centre is evacuated.
"""

import asyncio
import collections
import random

import msgspec
from behave import given, then, when
from crash_world import CrashWorld
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, Ran
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.application import ForwardingPorts
from laburnumpier_router.configuration.record import CONFIGURATION_KEY, ConfigurationRecord
from laburnumpier_router.evacuation.evacuated import EvacuatedDataCentres
from laburnumpier_router.evacuation.messages import EvacuationsTold
from laburnumpier_router.ports.evacuations import Evacuations
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_router.ports.store_era import StorePosition
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.memory_registry import MemoryServerRegistry, register_server
from laburnumpier_standins.store_state import StoreFault
from laburnumpier_standins.virtual_loop import VirtualClock
from store_call_steps import SETTINGS, CountedStore, UnusedClient

EVACUATION_PREFIX = "op/evacuate/"
TIMEOUT_SECONDS = 5.0
RECONNECT_SECONDS = 5.0
"""Time after a router has reached the store again in which it may learn of an evacuation."""
SAMPLE_SECONDS = 0.1
SETTLE_SECONDS = 12.0
QUIET_SECONDS = 16.0
DOCUMENT = {
    "services": {"s": {}},
    "routes": {
        "r": {
            "host": "h",
            "path_prefix": "/",
            "kind": "idempotent",
            "services": [{"service": "s"}],
            "anonymous": True,
        }
    },
}


def run(context, coroutine):
    return context.virtual.run(coroutine)


def now():
    return asyncio.get_running_loop().time()


class EvacuatingStore(CountedStore):
    """A client of the store that reports evacuations with what it returns of the configuration."""

    def __init__(self, **options):
        super().__init__(**options)
        self._listener = None
        self._told = None

    def set_evacuation_listener(self, listener):
        """Sets the listener."""
        self._listener = listener

    def _collect(self):
        state = self._control.state
        keys = [key for key in state.entries if key.startswith(EVACUATION_PREFIX)]
        return Evacuations(
            position=StorePosition(era=state.era, revision=state.revision),
            data_centres=frozenset(key.removeprefix(EVACUATION_PREFIX) for key in keys),
        )

    def _tell(self, evacuations):
        self._told = evacuations.data_centres
        self._listener(evacuations)

    async def read(self, keys):
        """Reads, and reports if the configuration is read."""
        found = await super().read(keys)
        if CONFIGURATION_KEY in keys:
            self._tell(self._collect())
        return found

    async def wait_for_change(self, key, after, timeout_seconds):
        """Waits for a change of the key or of the evacuations."""
        changed = asyncio.create_task(self._wait_for_evacuations())
        watch = asyncio.create_task(super().wait_for_change(key, after, timeout_seconds))
        await asyncio.wait((changed, watch), return_when=asyncio.FIRST_COMPLETED)
        changed.cancel()
        if watch.done():
            found = watch.result()
        else:
            watch.cancel()
            found = None
        self._tell(self._collect())
        return found

    async def _wait_for_evacuations(self):
        while self._is_unreachable() or self._collect().data_centres == self._told:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.003)


class EvacuationWorld:
    """A fleet whose routers are observed: which data centres each would use at which time."""

    def __init__(self, routers, centres):
        self.counts = collections.Counter()
        self.random = random.Random(6)
        self.centres = centres
        self.names = [f"vm-{number:03d}" for number in range(routers)]
        self.fleet = MemoryFleet(
            seed=6,
            settings=SETTINGS,
            make_store=lambda control, name: EvacuatingStore(
                counts=self.counts, control=control, client=name
            ),
            make_forwarding=lambda store: ForwardingPorts(
                dialect=PlatformDialect(),
                registry=MemoryServerRegistry(store=store, control=self.fleet.store),
                client=UnusedClient(),
            ),
        )
        self.used = []
        self.reached_since = {}
        self.quiet_calls = 0
        self.sampler = None

    async def start(self):
        """Starts the routers and servers, and observes a quiet time."""
        for number in range(2 * self.centres):
            entry = RegisteredServer(
                server_id=f"i-{number}",
                service="s",
                address=f"10.0.0.1:{number + 1}",
                data_centre=f"dc-{number % self.centres}",
                started_ms=1,
            )
            register_server(self.fleet.store, entry)
        value = msgspec.json.encode(ConfigurationRecord(number=1, document=DOCUMENT))
        self.fleet.store.state.commit({}, [(CONFIGURATION_KEY, value, 0)])
        await asyncio.gather(*(self.start_router(name) for name in self.names))
        await asyncio.sleep(SETTLE_SECONDS)
        self.counts.clear()
        await asyncio.sleep(QUIET_SECONDS)
        self.quiet_calls = sum(self.counts.values())
        self.sampler = asyncio.create_task(self.sample_periodically())

    async def start_router(self, name):
        """Starts a router; its first use of servers is observed as well."""
        number = self.names.index(name)
        await asyncio.sleep(0.2 * self.random.random())
        await self.fleet.start_router(name, f"dc-{number % self.centres}")

    async def sample_periodically(self):
        """Records what each router would use."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self):
        """Records the usable data centres of each router that is connected to the store."""
        store = self.fleet.store
        for name, router in self.fleet.routers.items():
            is_cut = name in store.unreachable_clients
            if not router.alive or is_cut:
                self.reached_since.pop(name, None)
                if is_cut:
                    self.reached_since[name] = now() + RECONNECT_SECONDS
                continue
            if not router.application.is_ready():
                continue
            usable = router.application._server_table.list_usable("s")
            centres = frozenset(server.entry.data_centre for server in usable)
            self.used.append((now(), name, centres))

    async def evacuate(self, name):
        """Writes the key of a data centre."""
        self.fleet.store.state.commit({}, [(EVACUATION_PREFIX + name, b"{}", 0)])
        self.used.clear()
        self.evacuated_seconds = now()
        self.withdrawn_seconds = None

    async def withdraw(self, name):
        """Removes the key of a data centre."""
        self.fleet.store.state.entries.pop(EVACUATION_PREFIX + name)
        self.fleet.store.state.commit({}, [])
        self.used.clear()
        self.withdrawn_seconds = now()

    async def close(self):
        """Ends the routers."""
        if self.sampler is not None:
            self.sampler.cancel()
            await asyncio.gather(self.sampler, return_exceptions=True)
        await self.fleet.close()


@given("{routers:d} routers in {centres:d} data centres with servers in each")
def start_world(context, routers, centres):
    context.evacuation = EvacuationWorld(routers, centres)
    context.cleanups.append((context.virtual, context.evacuation.close))
    run(context, context.evacuation.start())
    context.evacuation.counts.clear()


@when("the operator evacuates {name} and {seconds:d} s pass")
def evacuate(context, name, seconds):
    async def play():
        await context.evacuation.evacuate(name)
        await asyncio.sleep(seconds)

    run(context, play())


@when("the operator withdraws it and {seconds:d} s pass")
def withdraw(context, seconds):
    async def play():
        await context.evacuation.withdraw("dc-0")
        await asyncio.sleep(seconds)

    run(context, play())


async def restart(world, name, pause_seconds=0.5):
    await world.fleet.kill(name)
    await asyncio.sleep(pause_seconds)
    await world.start_router(name)


async def restart_one_by_one(world):
    for name in world.names[:8]:
        await restart(world, name)


async def restart_all(world):
    await asyncio.gather(*(world.fleet.kill(name) for name in world.names))
    await asyncio.sleep(1.0)
    await asyncio.gather(*(world.start_router(name) for name in world.names))


async def cut_all(world):
    addresses = [router.address for router in world.fleet.routers.values()]
    world.fleet.hub.isolated.update(addresses)
    await asyncio.sleep(12.0)
    world.fleet.heal_partitions()


async def cut_three(world):
    for name in world.names[:3]:
        world.fleet.isolate(name)
    await asyncio.sleep(6.0)
    world.fleet.heal_partitions()


async def cut_watchers(world):
    for name in world.names[: 2 * world.centres]:
        world.fleet.store.unreachable_clients.add(name)
    await asyncio.sleep(12.0)
    world.fleet.heal_partitions()


async def stop_store(world):
    await asyncio.sleep(2.0)
    world.fleet.store.fault = StoreFault.DOWN
    await asyncio.sleep(3.0)
    await restart(world, world.names[1])
    await asyncio.sleep(8.0)
    started = {name for seconds, name, _ in world.used if seconds > now() - 1.0}
    assert world.names[1] in started, "the router that started in the outage is not ready"
    world.fleet.store.fault = StoreFault.NONE


async def rewind(world):
    await asyncio.sleep(7.0)
    world.fleet.store.state.rewind(seconds=5.0, writes=1000, rewritten_prefixes=("op/",))


TROUBLES = {
    "a router restarts every second": restart_one_by_one,
    "all routers are killed and start again": restart_all,
    "all routers are cut off from each other": cut_all,
    "three routers are cut off from all for 6 s": cut_three,
    "all watchers are cut off from the store": cut_watchers,
    "the store is down from 2 s on, and a router starts": stop_store,
    "the store loses its history": rewind,
}


@when("{trouble} as the operator evacuates dc-0, and {seconds:d} s pass")
def evacuate_in_trouble(context, trouble, seconds):
    async def play():
        # Trouble begins with the write, before any router has learnt of it.
        task = asyncio.create_task(TROUBLES[trouble](context.evacuation))
        await asyncio.sleep(0)
        await context.evacuation.evacuate("dc-0")
        await asyncio.sleep(seconds)
        await task

    run(context, play())


@when("the store is down for {seconds:d} s")
def stop_store_for(context, seconds):
    async def play():
        context.evacuation.fleet.store.fault = StoreFault.DOWN
        await asyncio.sleep(seconds)

    run(context, play())


@then("no router used {name} from {seconds:d} s after the acknowledgement on")
def check_unused(context, name, seconds):
    world = context.evacuation
    from_seconds = world.evacuated_seconds + seconds
    broken = [
        (round(at - world.evacuated_seconds, 2), router)
        for at, router, centres in world.used
        if name in centres and at >= max(from_seconds, world.reached_since.get(router, 0.0))
    ]
    assert not broken, (len(broken), broken[:5])
    last_seconds = max(at for at, _, _ in world.used)
    assert {router for at, router, _ in world.used if at > last_seconds - 1} == set(world.names)


@then("the other data centres were used all the time")
def check_others_used(context):
    others = context.evacuation.centres - 1
    assert all(len(centres - {"dc-0"}) == others for _, _, centres in context.evacuation.used)


@then("every router used {name} within {seconds:g} s")
def check_used_again(context, name, seconds):
    world = context.evacuation
    until_seconds = world.withdrawn_seconds + seconds
    late = {r for at, r, centres in world.used if at >= until_seconds and name not in centres}
    assert not late, late
    assert {r for at, r, _ in world.used if at >= until_seconds} == set(world.names)


@then("the store received at most {count:d} more calls than in a quiet time")
def check_calls(context, count):
    world = context.evacuation
    calls = sum(world.counts.values())
    assert calls <= world.quiet_calls + count, (calls, world.quiet_calls, world.counts)


@given("a router before servers that are all in an evacuated data centre")
def make_request_world(context):
    make_state(context)
    position = StorePosition(era=1, revision=5)
    evacuations = Evacuations(position=position, data_centres=frozenset({""}))
    context.world = CrashWorld(1, 3, 1)
    context.world.use_plain_calls()

    async def hear_store():
        context.state.hear_store(evacuations)

    run(context, hear_store())
    context.world.routers["r1"].guard._table.add_exclusion(context.state.excludes)


@then("all requests are refused as not run within {seconds:g} s, and none reached a server")
def check_refused(context, seconds):
    async def send():
        await context.world.send_requests(10, 2)

    run(context, send())
    attempts = list(context.world.attempts.values())
    assert attempts and not any(attempt.arrivals for attempt in attempts)
    for attempt in attempts:
        assert RESULT_CODE_TABLE[attempt.error.code].http_status == 503, attempt.error
        assert attempt.error.ran is Ran.NO and attempt.error.retry_after_seconds > 0
        assert attempt.took_seconds <= seconds, attempt


class Reach:
    """Whether a router reaches the store."""

    def __init__(self, reaches):
        self.reaches = reaches

    def __call__(self):
        """Returns it."""
        return self.reaches


def make_state(context, *, reaches=True):
    context.metrics = Metrics()
    context.state = EvacuatedDataCentres(
        clock=VirtualClock(),
        metrics=context.metrics,
        is_required=True,
        reaches_store=Reach(reaches),
        on_change=lambda: None,
    )


def make_server(data_centre):
    return RegisteredServer(
        server_id="i-1", service="s", address="10.0.0.1:1", data_centre=data_centre
    )


@given("a router that knows no evacuations and {reaches} the store")
def make_unknown(context, reaches):
    make_state(context, reaches=reaches == "reaches")


@given("a router that knows at position 1/5 that dc-0 is evacuated")
def make_known(context):
    make_state(context)
    position = StorePosition(era=1, revision=5)
    evacuations = Evacuations(position=position, data_centres=frozenset({"dc-0"}))

    async def hear():
        context.state.hear_store(evacuations)

    run(context, hear())


def hear(context, told):
    async def hear_router():
        context.state.hear_router("r-9", told)

    run(context, hear_router())


@when("it is told of evacuations that are {age:d} s old")
def tell_aged(context, age):
    position = StorePosition(era=1, revision=5)
    told = EvacuationsTold(position=position, age_ms=age * 1000, data_centres=["dc-0"])
    hear(context, told)


TOLD = {
    "nothing": None,
    "an empty list at position 1/4": ((1, 4), 0, []),
    "an empty list at position 2/3": ((2, 3), 0, []),
    "a list with an age of -1 ms": ((1, 9), -1, []),
    "a list of 257 data centres": ((1, 9), 0, [f"dc-{number}" for number in range(1, 258)]),
    "a list with a name of 201 signs": ((1, 9), 0, ["x" * 201]),
    "a list with an empty name": ((1, 9), 0, [""]),
}


@when("it is told {told}")
def tell(context, told):
    if TOLD[told] is None:
        hear(context, None)
        return
    position, age_ms, names = TOLD[told]
    position = StorePosition(*position)
    hear(context, EvacuationsTold(position=position, age_ms=age_ms, data_centres=names))


def is_excluded(context, name):
    async def check():
        return context.state.excludes(make_server(name))

    return run(context, check())


@then("it {uses} servers of other data centres")
def check_uses(context, uses):
    assert is_excluded(context, "dc-1") == (uses == "does not use")


@then("dc-0 is evacuated and {count:d} invalid lists are counted")
def check_evacuated(context, count):
    assert is_excluded(context, "dc-0")
    assert not is_excluded(context, "dc-1")
    assert context.metrics.counters.get("evacuation.invalid", 0) == count


@then("dc-0 is evacuated for {seconds:g} s and then no longer")
def check_kept(context, seconds):
    run(context, asyncio.sleep(seconds - 0.1))
    assert is_excluded(context, "dc-0")
    run(context, asyncio.sleep(0.2))
    assert not is_excluded(context, "dc-0")
