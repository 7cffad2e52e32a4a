"""Steps about routers that hear of registered servers from a few watchers."""

import asyncio
import random

from behave import given, then, when
from fleet_steps import run
from laburnumpier_router.forward.registry_follower import RegistryFollower
from laburnumpier_router.forward.registry_relay import RegistryRelay
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistryHistoryLostError,
    RegistrySnapshot,
)
from laburnumpier_standins.virtual_loop import VirtualClock

CALL_SECONDS = 0.004
MESSAGE_SECONDS = 0.002


def make_entry(number):
    return RegisteredServer(server_id=f"i-{number}", service="s", address=f"10.0.0.{number}:80")


class ScriptedRegistry:
    """A registry that tests change; it counts the calls of each router."""

    def __init__(self):
        self.entries = {}
        self.log = []
        self.first_kept = 0
        self.calls = {}
        self.changed = asyncio.Event()

    def put(self, number, present):
        """Enters or removes a server."""
        self.log.append((f"i-{number}", present))
        if present:
            self.entries[f"i-{number}"] = make_entry(number)
        else:
            self.entries.pop(f"i-{number}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def read(self, router):
        """Returns all entries."""
        self.calls[router] = self.calls.get(router, 0) + 1
        await asyncio.sleep(CALL_SECONDS)
        return RegistrySnapshot(servers=dict(self.entries), position=len(self.log))

    async def wait(self, router, position, timeout_seconds):
        """Waits for changes since a position."""
        self.calls[router] = self.calls.get(router, 0) + 1
        await asyncio.sleep(CALL_SECONDS)
        if position < self.first_kept:
            raise RegistryHistoryLostError("lost")
        if position == len(self.log):
            try:
                await asyncio.wait_for(self.changed.wait(), timeout_seconds)
            except TimeoutError:
                pass
        names = {name for name, _ in self.log[position:]}
        return RegistryChanges(
            written=[self.entries[name] for name in names if name in self.entries],
            removed=[name for name in names if name not in self.entries],
            position=len(self.log),
        )


class OwnRegistry:
    """One router's access to the scripted registry."""

    def __init__(self, registry, router):
        self.registry, self.router = registry, router

    async def read_servers(self):
        """Returns all entries."""
        return await self.registry.read(self.router)

    async def wait_for_changes(self, position, timeout_seconds):
        """Waits for changes."""
        return await self.registry.wait(self.router, position, timeout_seconds)


class RelayFleet:
    """Routers with a relay and a follower each; messages between them can be cut."""

    def __init__(self, count, watchers):
        self.registry = ScriptedRegistry()
        self.count, self.watchers = count, set(range(watchers))
        self.deaf, self.lost, self.sent = set(), False, []
        self.configuration_number = 1
        self.tables, self.relays, self.tasks = [], [], []

    def start(self):
        """Starts all routers."""
        for number in range(self.count):
            relay = RegistryRelay(
                registry=OwnRegistry(self.registry, number),
                is_watcher=lambda number=number: number in self.watchers,
                everyone_watches=lambda: len(self.watchers) == self.count,
                send=self.send,
                get_configuration_number=lambda: self.configuration_number,
                clock=VirtualClock(),
            )
            table = ServerTable()
            follower = RegistryFollower(
                registry=relay,
                table=table,
                clock=VirtualClock(),
                random_source=random.Random(number),
                watch_seconds=2.0,
                lapse_seconds=1.8,
            )
            self.tables.append(table)
            self.relays.append(relay)
            self.tasks.append(asyncio.create_task(follower.follow_periodically()))

    def send(self, message):
        """Carries a message to all routers that do not watch."""
        self.sent.append(message)
        if not self.lost:
            asyncio.get_running_loop().call_later(MESSAGE_SECONDS, self.deliver, message)

    def deliver(self, message):
        """Hands a message over."""
        for number, relay in enumerate(self.relays):
            if number not in self.deaf and number not in self.watchers:
                relay.take(message)

    def kill_watchers(self, numbers):
        """Ends routers."""
        for number in numbers:
            self.tasks[number].cancel()
            self.tables[number] = None

    async def close(self):
        """Ends all routers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@given(
    "{count:d} routers that follow a registry of {servers:d} servers,"
    " {watchers:d} of which watch it"
)
def start_fleet(context, count, servers, watchers):
    async def start():
        context.relays = RelayFleet(count, watchers)
        for number in range(servers):
            context.relays.registry.put(number, True)
        context.relays.start()
        await asyncio.sleep(5)
        context.relays.registry.calls.clear()

    run(context, start())
    context.next_leaving = 0
    context.cleanups.append((context.virtual, context.relays.close))


@when("{count:d} servers enter themselves within {seconds:d} seconds")
def enter(context, count, seconds):
    async def play():
        for number in range(count):
            context.relays.registry.put(100 + number, True)
            await asyncio.sleep(seconds / count)

    run(context, play())


@when("the first watcher dies")
def kill_first(context):
    context.relays.kill_watchers([0])


@when("all watchers die")
def kill_all(context):
    context.relays.kill_watchers(sorted(context.relays.watchers))


async def leave(context):
    context.relays.registry.put(context.next_leaving, False)
    context.next_leaving += 1


@when("a registered server leaves")
def leave_now(context):
    run(context, leave(context))


@when("one router is cut off from the watchers")
def cut(context):
    context.relays.deaf.add(7)


@when("the router hears the watchers again")
def hear(context):
    context.relays.deaf.clear()
    run(context, asyncio.sleep(3))


@when("a registered server leaves and the news of it are lost")
def lose_news(context):
    async def play():
        context.relays.lost = True
        await leave(context)
        await asyncio.sleep(0.05)
        context.relays.lost = False

    run(context, play())


@when("the registry loses its history while a server leaves")
def lose_history(context):
    async def play():
        context.relays.registry.first_kept = len(context.relays.registry.log) + 1
        await leave(context)

    run(context, play())


@when("a registered server leaves and the news of it come again after another has entered")
def repeat_news(context):
    async def play():
        context.relays.sent.clear()
        await leave(context)
        await asyncio.sleep(0.05)
        news = [message for message in context.relays.sent if message.removed]
        context.relays.registry.put(0, True)
        await asyncio.sleep(0.05)
        for message in news:
            context.relays.deliver(message)

    run(context, play())


@when("a watcher and another router announce configuration {number:d}")
def announce(context, number):
    async def play():
        context.relays.sent.clear()
        context.relays.configuration_number = number
        context.relays.relays[0].announce()
        context.relays.relays[9].announce()

    run(context, play())


@then("only the watcher's message is sent, and the others hear of configuration {number:d}")
def check_announced(context, number):
    assert [message.configuration_number for message in context.relays.sent] == [number]


@then("no message was sent")
def check_silence(context):
    assert not context.relays.sent, len(context.relays.sent)


def find_counts(context):
    return [len(table.servers) for table in context.relays.tables if table is not None]


@then("all routers know {count:d} servers at once")
def check_at_once(context, count):
    run(context, asyncio.sleep(0.05))
    assert set(find_counts(context)) == {count}, find_counts(context)


@then("within {seconds:f} seconds all routers know {count:d} servers")
def check_within(context, seconds, count):
    run(context, asyncio.sleep(seconds))
    assert set(find_counts(context)) == {count}, find_counts(context)


@then("the {count:d} others called the store fewer than {calls:d} times in all")
def check_calls(context, count, calls):
    made = {
        number: made
        for number, made in context.relays.registry.calls.items()
        if number not in context.relays.watchers
    }
    assert sum(made.values()) < calls, made
