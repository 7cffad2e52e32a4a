"""Steps for confirmations of the history of versions, in virtual time."""

import asyncio
import random

from behave import given, then, when
from laburnumpier_core.errors import StoreUnavailableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.forward.registry_follower import RegistryFollower
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistrySnapshot,
)
from laburnumpier_router.ports.store_era import StorePosition
from laburnumpier_router.versions.history_confirmation import HistoryConfirmation
from laburnumpier_standins.virtual_loop import VirtualClock


class Readings:
    """The reads of a confirmation.

    Attributes:
        started: Time at which each reading began that has succeeded in both parts.
        count: Number of readings that began.
        broken_part: Part that cannot be read; empty if both can.
    """

    def __init__(self, seconds):
        """Creates reads that take a time."""
        self._seconds = seconds
        self.started = []
        self.count = 0
        self.broken_part = ""

    async def read_registry(self):
        """Reads the registry."""
        self.count += 1
        await self._read("registry")

    async def read_record(self):
        """Reads the record."""
        await self._read("record")

    async def _read(self, part):
        started = asyncio.get_running_loop().time()
        await asyncio.sleep(self._seconds)
        if self.broken_part == part:
            raise StoreUnavailableError("scripted")
        if not self.broken_part and part == "record":
            self.started.append(started)


@given("a confirmation whose readings take {seconds:g} seconds")
def make_confirmation(context, seconds):
    context.readings = Readings(seconds)
    context.confirmation = HistoryConfirmation(
        read_registry=context.readings.read_registry,
        read_record=context.readings.read_record,
        clock=VirtualClock(),
        metrics=Metrics(),
    )
    context.asked = []


async def ask(context, delay_seconds):
    await asyncio.sleep(delay_seconds)
    loop = asyncio.get_running_loop()
    asked = loop.time()
    is_confirmed = await context.confirmation.confirm()
    context.asked.append((asked, is_confirmed, loop.time()))


@when("{count:d} requests ask within {seconds:g} seconds")
def ask_many(context, count, seconds):
    context.asked = []

    async def play():
        await asyncio.gather(*(ask(context, seconds * n / count) for n in range(count)))

    context.virtual.run(play())


@when("the {part} cannot be read")
def break_part(context, part):
    context.readings.broken_part = part


@when("all can be read again")
def mend_parts(context):
    context.readings.broken_part = ""


@when("a request asks and is given up {seconds:g} seconds later")
def give_up(context, seconds):
    async def play():
        task = asyncio.create_task(ask(context, 0.0))
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.virtual.run(play())


@then("all are confirmed by readings that began after they had asked")
def check_confirmed(context):
    for asked, is_confirmed, answered in context.asked:
        assert is_confirmed, context.asked
        assert any(asked <= started <= answered for started in context.readings.started)


@then("there were at most {count:d} readings")
def check_readings(context, count):
    assert context.readings.count <= count, context.readings.count


@then("none is confirmed, and each knows within {seconds:g} seconds")
def check_unconfirmed(context, seconds):
    assert context.asked
    for asked, is_confirmed, answered in context.asked:
        assert not is_confirmed
        assert answered - asked <= seconds, (asked, answered)


class WaitingRegistry:
    """A registry whose watches end when they are told to.

    Attributes:
        positions: Position after which each watch began.
        result: Result of the next watch.
    """

    def __init__(self):
        """Creates a registry with one server."""
        self.positions = []
        self.result = asyncio.Future()

    async def read_servers(self):
        """Returns the server at v1."""
        return RegistrySnapshot(servers={"i-1": make_server("v1")}, position=make_position(10))

    async def wait_for_changes(self, position, wait_seconds):
        """Waits for the result."""
        self.positions.append(position)
        result, self.result = await self.result, asyncio.Future()
        return result


def make_position(revision):
    return StorePosition(era=1, revision=revision)


def make_server(version):
    return RegisteredServer(
        server_id="i-1", service="s", address="10.0.0.1:1", software_version=version
    )


def make_changes(version, revision):
    return RegistryChanges(
        written=[make_server(version)], removed=[], position=make_position(revision)
    )


@given("a follower whose watch waits, and has seen a server of v1")
def make_waiting_follower(context):
    async def start():
        context.registry = WaitingRegistry()
        context.known_servers = ServerTable()
        context.follower = RegistryFollower(
            registry=context.registry,
            table=context.known_servers,
            clock=VirtualClock(),
            random_source=random.Random(1),
            watch_seconds=2.0,
            lapsed_entry_seconds=1.0,
        )
        context.task = asyncio.create_task(context.follower.follow_periodically())
        await asyncio.sleep(0.1)

    async def stop():
        context.task.cancel()
        await asyncio.gather(context.task, return_exceptions=True)

    context.virtual.run(start())
    context.cleanups.append((context.virtual, stop))


@when("the server is read at {version} beside the watch")
def read_beside(context, version):
    async def read_changes(position):
        assert position == make_position(10), position
        return make_changes(version, 15)

    context.virtual.run(context.follower.catch_up(read_changes))


@when("the watch returns with the server at {version}")
def end_watch(context, version):
    async def end():
        context.registry.result.set_result(make_changes(version, 12))
        await asyncio.sleep(0.1)

    context.virtual.run(end())


@then("the server is known at {version}")
def check_known(context, version):
    assert context.known_servers.servers["i-1"].entry.software_version == version


@then("the next watch begins behind what was read")
def check_next_watch(context):
    assert context.registry.positions[-1] == make_position(15), context.registry.positions
