"""Steps for the record of the versions that served lately, in virtual time."""

import asyncio
import random

from behave import given, then, when
from fleet_steps import run
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.forward.version_history import RECORD_KEY, VersionHistory
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_standins.memory_store import MemoryKeyValueService, StoreControl
from laburnumpier_standins.store_state import StoreFault
from laburnumpier_standins.virtual_loop import VirtualClock

KEEP_SECONDS = 60.0
"""Time for which a caller may hold events of a stream."""


class CountingStore:
    """A client of the store that counts its calls."""

    def __init__(self, control):
        self._client = MemoryKeyValueService(control=control)
        self.reads = 0
        self.writes = 0

    @property
    def era(self):
        """Highest era known to the client."""
        return self._client.era

    async def read(self, keys):
        """Counts and reads."""
        self.reads += 1
        return await self._client.read(keys)

    async def commit(self, expected, writes):
        """Counts and writes."""
        self.writes += 1
        return await self._client.commit(expected, writes)


class WatchingRouter:
    """A router's table of servers and its history of their versions."""

    def __init__(self, context, number):
        self.table = ServerTable()
        self.store = CountingStore(context.store)
        self.history = VersionHistory(
            store=self.store,
            table=self.table,
            clock=VirtualClock(),
            random_source=random.Random(number),
            is_registry_current=lambda: context.is_registry_current,
            get_rank=lambda: number,
            get_retention_seconds=lambda: KEEP_SECONDS,
        )
        for entry in context.entries.values():
            self.table.upsert(entry)
        self.task = None

    async def start(self):
        """Begins to update the history."""
        self.task = asyncio.create_task(self.history.update_periodically())

    async def stop(self):
        """Ends the updates."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def make_entry(version):
    return RegisteredServer(
        server_id=f"i-{version}", service="s", address="10.0.0.1:1", software_version=version
    )


@given("{count:d} routers that watch servers of {version}")
def start_routers(context, count, version):
    context.store = StoreControl(seed=1)
    context.is_registry_current = True
    context.entries = {version: make_entry(version)}
    context.watching = []

    async def stop():
        for router in context.watching:
            await router.stop()

    context.cleanups.append((context.virtual, stop))
    run(context, start_watching(context, count))


async def start_watching(context, count):
    for number in range(count):
        router = WatchingRouter(context, number)
        context.watching.append(router)
        await router.start()


@when("{seconds:g} seconds of watching pass")
def pass_time(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("a server of {version} serves for {served:g} seconds and {after:g} seconds of watching pass")
def serve_for(context, version, served, after):
    async def serve():
        entry = make_entry(version)
        for router in context.watching:
            router.table.upsert(entry)
        await asyncio.sleep(served)
        for router in context.watching:
            router.table.remove(entry.server_id)
        await asyncio.sleep(after)

    run(context, serve())


@when("every router reads the record once a second for {seconds:d} seconds")
def read_record(context, seconds):
    async def read():
        for _ in range(seconds):
            for router in context.watching:
                await router.history.reload()
            await asyncio.sleep(1.0)

    run(context, read())


@when("all routers end and another one starts")
def replace_routers(context):
    async def replace():
        for router in context.watching:
            await router.stop()
        context.watching.clear()
        await start_watching(context, 1)

    run(context, replace())


@when("all routers end and another one starts while the store is down")
def replace_in_outage(context):
    context.store.fault = StoreFault.DOWN
    replace_routers(context)
    run(context, asyncio.sleep(5))


@when("the registry does not confirm the servers")
def lose_registry(context):
    context.is_registry_current = False
    run(context, asyncio.sleep(5))


@when("the fault ends and {seconds:g} seconds of watching pass")
def end_fault(context, seconds):
    context.is_registry_current = True
    context.store.fault = StoreFault.NONE
    run(context, asyncio.sleep(seconds))


@when("the store returns to its copy of {seconds:g} seconds before")
def rewind(context, seconds):
    async def go_back():
        context.store.state.rewind(seconds=seconds)
        for router in context.watching:
            router.store.era.observe(context.store.state.era)

    run(context, go_back())


@then("the store received at most {writes:d} writes and {reads:d} reads of the record")
def check_calls(context, writes, reads):
    assert sum(router.store.reads for router in context.watching) <= reads
    assert sum(router.store.writes for router in context.watching) <= writes
    assert context.store.state.get(RECORD_KEY) is not None


def list_found(context):
    return [router.history.find_only_version("s", KEEP_SECONDS) for router in context.watching]


@when("every router is asked, and {seconds:d} seconds of watching pass")
def ask_all(context, seconds):
    async def ask():
        for router in context.watching:
            router.history.find_only_version("s", KEEP_SECONDS)
        await asyncio.sleep(seconds)

    run(context, ask())


@then("every router finds {version} alone")
def check_alone(context, version):
    async def check():
        assert list_found(context) == [version] * len(context.watching), list_found(context)

    run(context, check())


@then("no router finds a version alone")
def check_unknown(context):
    async def check():
        assert set(list_found(context)) == {None}, list_found(context)

    run(context, check())
