"""Steps that count the store calls of fleets that forward requests, in virtual time."""

import asyncio
import collections
import random

import msgspec
from behave import given, then, when
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.application import ForwardingPorts
from laburnumpier_router.configuration.record import CONFIGURATION_KEY, ConfigurationRecord
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.memory_registry import MemoryServerRegistry, register_server
from laburnumpier_standins.memory_store import MemoryKeyValueService

SETTINGS = {
    "fleet.heartbeat_seconds": "1",
    "fleet.watch_seconds": "2",
    "fleet.watchers": "2",
    "fleet.relay_from_routers": "20",
    "fleet.recover_departed": "no",
    "budget.account_shards": "16",
}
SERVERS = 30
START_SECONDS = 0.3
SERVER_START_SECONDS = 3.0
CONFIGURATION_SECONDS = 5.0
"""Time after the start at which the operator writes the first configuration."""


class CountedStore(MemoryKeyValueService):
    """A client of the store whose calls are counted by kind and area."""

    def __init__(self, *, counts, **options):
        super().__init__(**options)
        self._counts = counts

    def _count(self, kind, key):
        self._counts[f"{kind} {key.partition('/')[0]}"] += 1

    async def read(self, keys):
        """Counts and reads."""
        for key in keys:
            self._count("read", key)
        return await super().read(keys)

    async def list_prefix(self, prefix):
        """Counts and lists."""
        self._count("list", prefix)
        return await super().list_prefix(prefix)

    async def commit(self, expected, writes):
        """Counts and writes."""
        self._count("write", writes[0].key)
        return await super().commit(expected, writes)

    async def grant_lease(self, ttl_seconds):
        """Counts and grants."""
        self._count("lease", "")
        return await super().grant_lease(ttl_seconds)

    async def wait_for_change(self, key, after, timeout_seconds):
        """Counts and watches."""
        self._count("watch", key)
        return await super().wait_for_change(key, after, timeout_seconds)

    async def begin_watch(self, prefix):
        """Counts and watches."""
        self._count("watch", prefix)
        await super().begin_watch(prefix)


class UnusedClient:
    """A client of servers to which nothing is sent."""

    async def close(self):
        """Does nothing."""


def run(context, coroutine):
    return context.virtual.run(coroutine)


@given("a fleet that forwards requests to {servers:d} servers")
def make_fleet(context, servers):
    context.counts = collections.Counter()
    context.random = random.Random(4)
    context.fleet = MemoryFleet(
        seed=4,
        settings=SETTINGS,
        make_store=lambda control, name: CountedStore(
            counts=context.counts, control=control, client=name
        ),
        make_forwarding=lambda store: ForwardingPorts(
            dialect=PlatformDialect(),
            registry=MemoryServerRegistry(store=store, control=context.fleet.store),
            client=UnusedClient(),
        ),
    )
    context.server_count = servers
    context.cleanups.append((context.virtual, context.fleet.close))


def make_entry(number):
    return RegisteredServer(
        server_id=f"i-{number}", service="s", address=f"10.0.0.1:{number + 1}", started_ms=1
    )


@when("{routers:d} routers in {centres:d} centres start with the servers and {seconds:d} s pass")
def start_fleet(context, routers, centres, seconds):
    async def start_router(number):
        await asyncio.sleep(START_SECONDS * context.random.random())
        await context.fleet.start_router(f"vm-{number:03d}", f"dc-{number % centres}")

    async def start_server(number):
        await asyncio.sleep(SERVER_START_SECONDS * context.random.random())
        register_server(context.fleet.store, make_entry(number))

    async def store_configuration():
        await asyncio.sleep(CONFIGURATION_SECONDS)
        value = msgspec.json.encode(ConfigurationRecord(number=1))
        context.fleet.store.state.commit({}, [(CONFIGURATION_KEY, value, 0)])

    async def start():
        await asyncio.gather(
            *(start_router(number) for number in range(routers)),
            *(start_server(number) for number in range(context.server_count)),
            store_configuration(),
        )
        await asyncio.sleep(seconds)

    run(context, start())
    context.routers = routers


@when("nothing happens for {seconds:d} s")
def pass_quietly(context, seconds):
    context.counts.clear()
    run(context, asyncio.sleep(seconds))


@when("all routers are cut off from each other for {seconds:g} s")
def cut_all(context, seconds):
    context.counts.clear()

    async def cut():
        addresses = [router.address for router in context.fleet.routers.values()]
        context.fleet.hub.isolated.update(addresses)
        await asyncio.sleep(seconds)
        context.fleet.heal_partitions()
        await asyncio.sleep(5.0)

    run(context, cut())


@then("every router has the configuration and knows all servers")
def check_tables(context):
    numbers = [r.application.configuration.number for r in context.fleet.routers.values()]
    assert set(numbers) == {1}, collections.Counter(numbers)
    known = {
        len(router.application._server_table.servers) for router in context.fleet.routers.values()
    }
    assert known == {context.server_count}, known


@then("the store received at most {each:g} calls for each router and {more:d} more")
def check_calls(context, each, more):
    total = sum(context.counts.values())
    assert total <= each * context.routers + more, (total, context.counts.most_common())


@then("the store received at most {count:d} calls")
def check_all_calls(context, count):
    total = sum(context.counts.values())
    assert total <= count, (total, context.counts.most_common())
