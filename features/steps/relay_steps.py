"""Steps for routers that receive registry changes from a few watchers."""

import asyncio
import random

from behave import given, then, when
from fleet_steps import run
from laburnumpier_core.errors import StoreUnavailableError
from laburnumpier_router.forward.registry_follower import RegistryFollower
from laburnumpier_router.forward.registry_relay import RegistryListed, RegistryRelay
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistryHistoryLostError,
    RegistrySnapshot,
)
from laburnumpier_router.ports.store_era import StorePosition
from laburnumpier_standins.virtual_loop import VirtualClock

CALL_DELAY_SECONDS = 0.004
MESSAGE_DELAY_SECONDS = 0.002


def make_entry(number):
    return RegisteredServer(server_id=f"i-{number}", service="s", address=f"10.0.0.{number}:80")


class ScriptedRegistry:
    """A registry that is changed by tests and counts the calls of each router."""

    def __init__(self):
        self.entries = {}
        self.log = []
        self.first_kept_revision = 0
        self.calls = {}
        self.lists = {}
        self.changed = asyncio.Event()

    @property
    def position(self):
        """The position after the latest change."""
        return StorePosition(era=1, revision=len(self.log))

    def put(self, number, present):
        """Registers or removes a server."""
        self.log.append((f"i-{number}", present))
        if present:
            self.entries[f"i-{number}"] = make_entry(number)
        else:
            self.entries.pop(f"i-{number}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def read(self, router):
        """Returns all entries and counts the call."""
        self.lists[router] = self.lists.get(router, 0) + 1
        self.calls[router] = self.calls.get(router, 0) + 1
        await asyncio.sleep(CALL_DELAY_SECONDS)
        return RegistrySnapshot(servers=dict(self.entries), position=self.position)

    async def wait(self, router, position, timeout_seconds):
        """Waits for changes since a position and counts the call."""
        self.calls[router] = self.calls.get(router, 0) + 1
        await asyncio.sleep(CALL_DELAY_SECONDS)
        if position.revision < self.first_kept_revision:
            raise RegistryHistoryLostError("the position is no longer in the history")
        if position == self.position:
            try:
                await asyncio.wait_for(self.changed.wait(), timeout_seconds)
            except TimeoutError:
                pass
        names = {name for name, _ in self.log[position.revision :]}
        return RegistryChanges(
            written=[self.entries[name] for name in names if name in self.entries],
            removed=[name for name in names if name not in self.entries],
            position=self.position,
        )


class RouterRegistry:
    """The scripted registry as accessed by one router."""

    def __init__(self, registry, router):
        self.registry, self.router = registry, router

    async def read_servers(self):
        """Returns all entries."""
        return await self.registry.read(self.router)

    async def wait_for_changes(self, position, timeout_seconds):
        """Waits for changes."""
        return await self.registry.wait(self.router, position, timeout_seconds)


class RelayFleet:
    """Routers, each with a relay and a follower; messages between them can be dropped."""

    def __init__(self, count, watchers):
        self.registry = ScriptedRegistry()
        self.count, self.watchers = count, set(range(watchers))
        self.partitioned, self.drops_messages, self.sent = set(), False, []
        self.configuration_number = 1
        self.tables, self.relays, self.tasks = [], [], []
        self.followers = []
        self.answers_lists = True
        self.old_list = None

    def start(self):
        """Starts all routers."""
        for number in range(self.count):
            relay = RegistryRelay(
                registry=RouterRegistry(self.registry, number),
                is_watcher=lambda number=number: number in self.watchers,
                everyone_watches=lambda: len(self.watchers) == self.count,
                send=self.send,
                get_configuration_number=lambda: self.configuration_number,
                ask_watcher=self.list_at_watcher,
                clock=VirtualClock(),
            )
            table = ServerTable()
            follower = RegistryFollower(
                registry=relay,
                table=table,
                clock=VirtualClock(),
                random_source=random.Random(number),
                watch_seconds=2.0,
                lapsed_entry_seconds=1.8,
            )
            self.tables.append(table)
            self.relays.append(relay)
            self.followers.append(follower)
            self.tasks.append(asyncio.create_task(follower.follow_periodically()))

    async def list_at_watcher(self, message):
        """Returns the entries of the first watcher, or older ones that a test has set."""
        await asyncio.sleep(MESSAGE_DELAY_SECONDS)
        if not self.answers_lists:
            return None
        if self.old_list is not None:
            return self.old_list
        return self.followers[0].make_listing()

    def follow_anew(self):
        """Makes all routers but the watchers forget how far they have followed the registry."""
        for number in set(range(self.count)) - self.watchers:
            self.tasks[number].cancel()
            self.followers[number]._position = None
            follow = self.followers[number].follow_periodically()
            self.tasks[number] = asyncio.create_task(follow)

    def send(self, message):
        """Sends a message to all routers that do not watch."""
        self.sent.append(message)
        if not self.drops_messages:
            asyncio.get_running_loop().call_later(MESSAGE_DELAY_SECONDS, self.deliver, message)

    def deliver(self, message):
        """Delivers a message to the routers that do not watch and are not partitioned."""
        for number, relay in enumerate(self.relays):
            if number not in self.partitioned and number not in self.watchers:
                relay.receive(message)

    def stop_routers(self, numbers):
        """Stops the given routers."""
        for number in numbers:
            self.tasks[number].cancel()
            self.tables[number] = None

    async def close(self):
        """Stops all routers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@given(
    "{count:d} routers that follow a registry of {servers:d} servers,"
    " {watchers:d} of which watch it"
)
def start_fleet(context, count, servers, watchers):
    async def start():
        context.relay_fleet = RelayFleet(count, watchers)
        for number in range(servers):
            context.relay_fleet.registry.put(number, True)
        context.relay_fleet.start()
        await asyncio.sleep(5)
        context.relay_fleet.registry.calls.clear()

    run(context, start())
    context.next_server = 0
    context.cleanups.append((context.virtual, context.relay_fleet.close))


@when("{count:d} servers register within {seconds:d} seconds")
def register_servers(context, count, seconds):
    async def register():
        for number in range(count):
            context.relay_fleet.registry.put(100 + number, True)
            await asyncio.sleep(seconds / count)

    run(context, register())


@when("the first watcher stops")
def stop_first_watcher(context):
    context.relay_fleet.stop_routers([0])


@when("all watchers stop")
def stop_all_watchers(context):
    context.relay_fleet.stop_routers(sorted(context.relay_fleet.watchers))


async def remove_next_server(context):
    context.relay_fleet.registry.put(context.next_server, False)
    context.next_server += 1


@when("a registered server leaves")
def remove_server(context):
    run(context, remove_next_server(context))


@when("one router is partitioned from the watchers")
def partition_router(context):
    context.relay_fleet.partitioned.add(7)


@when("the router receives watcher messages again")
def end_partition(context):
    context.relay_fleet.partitioned.clear()
    run(context, asyncio.sleep(3))


@when("a registered server leaves and the message about it is lost")
def lose_message(context):
    async def remove_without_message():
        context.relay_fleet.drops_messages = True
        await remove_next_server(context)
        await asyncio.sleep(0.05)
        context.relay_fleet.drops_messages = False

    run(context, remove_without_message())


@when("the registry loses its history while a server leaves")
def lose_history(context):
    async def remove_and_lose_history():
        context.relay_fleet.registry.first_kept_revision = (
            len(context.relay_fleet.registry.log) + 1
        )
        await remove_next_server(context)

    run(context, remove_and_lose_history())


@when("a registered server leaves and the message about it is repeated after it registered again")
def repeat_message(context):
    async def remove_and_repeat_message():
        context.relay_fleet.sent.clear()
        await remove_next_server(context)
        await asyncio.sleep(0.05)
        removals = [message for message in context.relay_fleet.sent if message.removed]
        context.relay_fleet.registry.put(0, True)
        await asyncio.sleep(0.05)
        for message in removals:
            context.relay_fleet.deliver(message)

    run(context, remove_and_repeat_message())


@when("a watcher and another router announce configuration {number:d}")
def announce_configuration(context, number):
    async def announce():
        context.relay_fleet.sent.clear()
        context.relay_fleet.configuration_number = number
        context.relay_fleet.relays[0].announce_configuration()
        context.relay_fleet.relays[9].announce_configuration()

    run(context, announce())


@then("only the watcher's message is sent, with configuration {number:d}")
def check_announced(context, number):
    assert [message.configuration_number for message in context.relay_fleet.sent] == [number]


@then("no message was sent")
def check_no_message(context):
    assert not context.relay_fleet.sent, len(context.relay_fleet.sent)


@when("the others are cut off from the watchers for {seconds:g} seconds")
def cut_off_others(context, seconds):
    fleet = context.relay_fleet

    async def cut():
        await asyncio.sleep(2.0)
        fleet.registry.calls.clear()
        fleet.partitioned = set(range(fleet.count)) - fleet.watchers
        await asyncio.sleep(seconds)
        fleet.partitioned = set()
        context.calls_in_cut = dict(fleet.registry.calls)
        await asyncio.sleep(3.0)

    run(context, cut())


@then("each of them called the store at most {count:d} times")
def check_calls_in_cut(context, count):
    watchers = context.relay_fleet.watchers
    calls = {n: c for n, c in context.calls_in_cut.items() if n not in watchers}
    assert calls
    assert max(calls.values()) <= count, calls


@then(
    "a server that leaves during the next cut is gone at all routers within {seconds:g} seconds"
    " of its start"
)
def check_change_in_cut(context, seconds):
    fleet = context.relay_fleet

    async def change():
        fleet.partitioned = set(range(fleet.count)) - fleet.watchers
        await asyncio.sleep(0.05)
        await remove_next_server(context)
        await asyncio.sleep(seconds)

    run(context, change())
    assert set(count_known_servers(context)) == {5}, count_known_servers(context)


@when("all routers but the watchers begin to follow anew")
def begin_anew(context):
    async def begin():
        context.relay_fleet.registry.lists.clear()
        context.relay_fleet.follow_anew()

    run(context, begin())


@when("the watchers do not answer, and the others begin to follow anew")
def begin_anew_without_answers(context):
    context.relay_fleet.answers_lists = False
    begin_anew(context)


@when(
    "the watchers' entries are older than what the others have seen, and these begin to follow"
    " anew"
)
def begin_anew_with_old_list(context):
    entries = [make_entry(number) for number in range(6)]
    context.relay_fleet.old_list = RegistryListed(
        servers=entries, position=StorePosition(era=1, revision=1)
    )
    run(context, asyncio.sleep(1.0))
    begin_anew(context)


@then("all routers know {count:d} servers within {seconds:g} seconds")
def check_known_within(context, count, seconds):
    run(context, asyncio.sleep(seconds))
    assert set(count_known_servers(context)) == {count}, count_known_servers(context)


@then("the other routers listed the store at most {count:d} times")
def check_lists(context, count):
    fleet = context.relay_fleet
    lists = sum(c for n, c in fleet.registry.lists.items() if n not in fleet.watchers)
    assert lists <= count, lists


class UnreadableRegistry:
    """A registry that does not answer."""

    async def read_servers(self):
        """Fails."""
        raise StoreUnavailableError("the registry does not answer")


async def answer_nothing(message):
    """A watcher that does not answer."""


@when("a router starts whose registry cannot be read and that no watcher answers")
def start_without_registry(context):
    context.relay = RegistryRelay(
        registry=UnreadableRegistry(),
        is_watcher=lambda: False,
        everyone_watches=lambda: False,
        send=lambda message: None,
        get_configuration_number=lambda: 1,
        ask_watcher=answer_nothing,
        clock=VirtualClock(),
    )
    follower = RegistryFollower(
        registry=context.relay,
        table=ServerTable(),
        clock=VirtualClock(),
        random_source=random.Random(1),
        watch_seconds=2.0,
        lapsed_entry_seconds=1.8,
    )

    async def start():
        context.relay_fleet.tasks.append(asyncio.create_task(follower.follow_periodically()))

    run(context, start())


@then("it expects a first message for {expected:g} seconds and not for {unexpected:g}")
def check_expecting(context, expected, unexpected):
    async def check():
        await asyncio.sleep(expected - 0.1)
        assert context.relay.is_expecting
        await asyncio.sleep(unexpected - expected + 0.1)
        assert not context.relay.is_expecting

    run(context, check())


def count_known_servers(context):
    return [len(table.servers) for table in context.relay_fleet.tables if table is not None]


@then("all routers know {count:d} servers immediately")
def check_immediately(context, count):
    run(context, asyncio.sleep(0.05))
    assert set(count_known_servers(context)) == {count}, count_known_servers(context)


@then("within {seconds:f} seconds all routers know {count:d} servers")
def check_within(context, seconds, count):
    run(context, asyncio.sleep(seconds))
    assert set(count_known_servers(context)) == {count}, count_known_servers(context)


@then("the {count:d} other routers called the store fewer than {calls:d} times in total")
def check_calls(context, count, calls):
    calls_of_router = {
        number: call_count
        for number, call_count in context.relay_fleet.registry.calls.items()
        if number not in context.relay_fleet.watchers
    }
    assert sum(calls_of_router.values()) < calls, calls_of_router
