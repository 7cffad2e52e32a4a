"""Steps for the server registry and the configuration of the users' platform.

They guard against requests to servers with invalid registry entries, against a server table that
is wrong after a failed watch or a store outage, and against an invalid configuration that replaces
the current one.
"""

import asyncio
import json
import random
import re
from unittest import mock

import msgspec
from behave import given, then, when
from contract_steps import run
from fuzz_steps import check_property
from hypothesis import strategies
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.decoding import decode_msgpack
from laburnumpier_core.errors import StoreUnavailableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_platform import store as platform_store
from laburnumpier_platform.records import CONFIGURATION_KEY, PlatformRecordFormat
from laburnumpier_platform.server_entries import decode_server
from laburnumpier_router.configuration.document import RouteKind
from laburnumpier_router.configuration.record import decode_document
from laburnumpier_router.configuration.service import ConfigurationService
from laburnumpier_router.forward.registry_follower import RegistryFollower
from laburnumpier_router.forward.registry_relay import RegistryRelayed
from laburnumpier_router.forward.routes import RouteTable
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.ports.key_value_service import StoredValue
from laburnumpier_router.ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistrySnapshot,
)
from laburnumpier_router.ports.store_era import StorePosition
from laburnumpier_standins.store_state import StoreFault

EXAMPLE_CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-2yhvz3p",
            "Host": "ficu95.example",
            "Prefix": "/lohu930/",
            "Kind": "streaming",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 1000,
            "Priority": 1,
            "TrafficSplit": [
                {"Service": "huvo11a", "Weight": 90},
                {"Service": "wuno96b", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "Resumable": True,
            "TargetGapMs": 400,
        },
        {
            "Name": "r-short",
            "Host": "ficu95.example",
            "Prefix": "/",
            "Kind": "idempotent",
            "Service": "wuno96b",
        },
    ],
    "Services": [
        {"Name": "huvo11a", "InferenceEngine": {"Slots": 128, "KvCacheTokens": 9, "Stride": 3}},
        {"Name": "wuno96b"},
    ],
    "Tenants": [{"Name": "hule930", "ApiKeys": ["k1", "k2"], "Priority": 1, "Prepaid": 1459028}],
}


def get_store_position(context):
    state = context.control.state
    return StorePosition(era=state.era, revision=state.revision)


def put_server(context, number, state="ready", started_ms=1000):
    entry = {"Service": "s", "Address": f"10.0.0.{number}:80", "Zone": "z", "State": state}
    entry["born"] = started_ms
    context.control.put(f"servers/i-{number}", json.dumps(entry).encode())


@given("{count:d} servers are registered")
def register_servers(context, count):
    for number in range(1, count + 1):
        put_server(context, number)


@when("the registry entry {entry} is written")
def write_registry_entry(context, entry):
    context.control.put("servers/stranger", entry.encode())


def make_nested(opened, closed):
    """Returns a sound entry with an unknown field of another writer."""
    entry = b'{"Service":"s","Address":"10.0.0.7:80","State":"ready","Owner":'
    return entry + opened + closed + b"}"


NESTED_CONFIGURATION = b'{"Version":8,"Owner":' + b"[" * 3000 + b"]" * 3000 + b"}"
ODD_ENTRIES = {
    "with 2000 opened arrays in an unknown field": make_nested(b"[" * 2000, b""),
    "with 3000 nested arrays in an unknown field": make_nested(b"[" * 3000, b"]" * 3000),
    "with 3000 nested objects in an unknown field": make_nested(
        b'{"a":' * 3000, b"1" + b"}" * 3000
    ),
    "of 100000 opened arrays": b"[" * 100_000,
}


@when("a registry entry {kind} is written")
def write_odd_entry(context, kind):
    if kind == "whose decoder raises an error of another kind":
        make_decoder_fail(context)
    context.control.put("servers/stranger", ODD_ENTRIES.get(kind, b"{}"))


def make_decoder_fail(context):
    def decode_or_fail(stored):
        if stored.key == "servers/stranger":
            raise ZeroDivisionError("scripted error")
        return decode_server(stored)

    patch = mock.patch.object(platform_store, "decode_server", decode_or_fail)
    patch.start()

    async def stop():
        patch.stop()

    context.cleanups.append((context.real, stop))


SAMPLE_ENTRY = {"Service": "s", "Address": "10.0.0.7:80", "State": "ready", "Zone": "z"}
WORDED_VALUES = {
    "of 400 digits": "9" * 400,
    "of 200 letters": json.dumps("v" * 200),
    "of 201 letters": json.dumps("v" * 201),
    "of a label of 64 letters": json.dumps("a" * 64 + ".example:80"),
    "of a host of 254 letters": json.dumps("a." * 126 + "ab:80"),
    "of a port of 5000 digits": json.dumps("10.0.0.7:" + "8" * 5000),
    "of a line break": "i-7\r\nX-Tenant: other",
    "of a letter beyond ASCII": "i-\u00e9",
    "of no letters": "",
}


@when("an entry with {field} {value} is written")
def write_entry_with_value(context, field, value):
    value = WORDED_VALUES.get(value, value)
    server_id = value if field == "key" else "stranger"
    members = {name: json.dumps(member) for name, member in SAMPLE_ENTRY.items()}
    if field != "key":
        members[field] = value
    text = ",".join(f'"{name}":{member}' for name, member in members.items())
    context.control.put(f"servers/{server_id}", f"{{{text}}}".encode())


ODD_NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(min_value=-(10**400), max_value=10**400),
    strategies.floats(),
)
ODD_TEXTS = strategies.one_of(
    strategies.text(max_size=300),
    strategies.sampled_from(("10.0.0.7:80", "a.b:1", "ready", "draining")),
)
ODD_VALUES = strategies.one_of(ODD_NUMBERS, ODD_TEXTS, strategies.none())
ARBITRARY_ENTRIES = strategies.fixed_dictionaries(
    {name: strategies.just(value) | ODD_TEXTS for name, value in SAMPLE_ENTRY.items()},
    optional=dict.fromkeys(("Slots", "Version", "ColdRemainingMs", "born"), ODD_VALUES),
)


def check_entry(server_id, entry):
    """Checks that an entry is left out, or is one that the whole router can use."""
    stored = StoredValue(
        key=f"servers/{server_id}",
        value=json.dumps(entry).encode(),
        position=StorePosition(era=1, revision=1),
    )
    server = decode_server(stored)
    if server is None:
        return
    message = RegistryRelayed(after=stored.position, position=stored.position, written=[server])
    relayed = decode_msgpack(msgspec.msgpack.encode(message), RegistryRelayed)
    assert relayed.written == [server], server
    assert re.fullmatch("[!-~]+", server.server_id), server
    host, _, port = server.address.rpartition(":")
    assert 0 < int(port) < 65536
    assert host.strip("[]").encode("idna")
    ServerTable().upsert(server)


@then(
    "{count:d} arbitrary entries are left out, or are relayed as they are and make request headers"
)
def check_arbitrary_entries(context, count):
    def check(pair):
        check_entry(*pair)

    server_ids = strategies.one_of(strategies.just("i-7"), strategies.text(max_size=20))
    check_property(count, strategies.tuples(server_ids, ARBITRARY_ENTRIES), check)


@when("the table raises an error for the next entry")
def fail_next_entry(context):
    failures = [ZeroDivisionError("scripted error")]

    def fail_once(entry):
        if failures:
            raise failures.pop()

    context.servers.add_listener(fail_once)


@when("two servers register")
def register_two_servers(context):
    put_server(context, 8)
    put_server(context, 9)


@then("the registry returns {count:d} servers")
def check_registered_servers(context, count):
    snapshot = run(context, context.store.read_servers())
    assert len(snapshot.servers) == count, snapshot.servers


@given("a registry follower")
def start_follower(context):
    context.servers = ServerTable()
    context.follower = RegistryFollower(
        registry=context.store,
        table=context.servers,
        clock=SystemClock(),
        random_source=random.Random(1),
        watch_seconds=0.3,
        lapsed_entry_seconds=0.8,
    )

    async def start():
        await context.follower.follow_once()
        context.follow_task = asyncio.create_task(context.follower.follow_periodically())

    async def stop():
        context.follow_task.cancel()
        await asyncio.gather(context.follow_task, return_exceptions=True)

    run(context, start())
    context.cleanups.append((context.real, stop))


class ScriptedRegistry:
    """A registry whose snapshots are scripted and whose watches report no changes.

    Attributes:
        snapshots: Servers of the next snapshots; None stands for a call that fails.
        watch_seconds: Durations of the next watches.
    """

    def __init__(self, first_watch_seconds):
        """Creates a registry whose first snapshot has two servers."""
        self.snapshots = [("i-1", "i-2")]
        self.watch_seconds = [first_watch_seconds]
        self._revision = 0

    async def read_servers(self):
        """Returns the next snapshot."""
        names = self.snapshots.pop(0)
        if names is None:
            raise StoreUnavailableError("scripted outage")
        servers = {
            name: RegisteredServer(server_id=name, service="s", address=f"10.0.0.1:{name[2:]}")
            for name in names
        }
        return RegistrySnapshot(servers=servers, position=self._make_position())

    async def wait_for_changes(self, position, wait_seconds):
        """Waits, but reports no change; fails while another snapshot is scripted."""
        if self.snapshots:
            raise StoreUnavailableError("scripted outage")
        await asyncio.sleep(self.watch_seconds.pop(0) if self.watch_seconds else 0.45)
        return RegistryChanges(written=[], removed=[], position=self._make_position())

    def _make_position(self):
        self._revision += 1
        return StorePosition(era=1, revision=self._revision)


@given("a registry whose first watch ends after {seconds:f} seconds and later ones after 0.45")
def make_scripted_registry(context, seconds):
    context.registry = ScriptedRegistry(seconds)


@given("a follower that drops missing entries after {seconds:f} seconds")
def make_virtual_follower(context, seconds):
    context.servers = ServerTable()
    context.follower = RegistryFollower(
        registry=context.registry,
        table=context.servers,
        clock=SystemClock(),
        random_source=random.Random(1),
        watch_seconds=2.0,
        lapsed_entry_seconds=seconds,
    )


@when("the entry of a server is missing after an outage")
def lose_entry_in_outage(context):
    async def play():
        loop = asyncio.get_running_loop()
        await context.follower.follow_once()
        context.registry.snapshots = [("i-1",)]
        task = asyncio.create_task(context.follower.follow_periodically())
        while context.registry.snapshots:
            await asyncio.sleep(0.001)
        missing_at_seconds = loop.time()
        while len(context.servers.list_usable("s")) == 2 and loop.time() < 20:
            await asyncio.sleep(0.001)
        context.usable_seconds = loop.time() - missing_at_seconds
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.virtual.run(play())


@then("the server was usable for {seconds:f} seconds and no longer")
def check_usable_time(context, seconds):
    assert abs(context.usable_seconds - seconds) < 0.02, context.usable_seconds


@when("the registry does not change")
def leave_registry_unchanged(context):
    run(context, asyncio.sleep(0.1))


@when("a server registers")
def register_server(context):
    put_server(context, 9)


@when("a server starts draining")
def start_draining(context):
    put_server(context, 2, "draining")


@when("the store returns to a copy from before the last change")
def return_from_copy(context):
    context.control.rewind(writes=1, rewritten_prefixes=())


@when("the server has started again under its id")
def restart_server(context):
    put_server(context, 2, started_ms=2000)


@when("a server's entry is removed")
def remove_entry(context):
    context.control.remove("servers/i-2")


@when("a server's entry becomes invalid")
def write_invalid_entry(context):
    context.control.put("servers/i-2", b"\xff")


@when("an entry is removed and the watch history is lost")
def remove_entry_and_lose_history(context):
    context.control.remove("servers/i-2")
    context.control.compact_history()


@when("watches are reset while a server starts draining")
def reset_watches(context):
    context.control.aborts_watches = True
    run(context, asyncio.sleep(0.2))
    start_draining(context)
    context.control.aborts_watches = False


@when("watches are rejected while a server starts draining")
def reject_watches(context):
    context.control.error_status = 429
    run(context, asyncio.sleep(0.6))
    start_draining(context)
    context.control.error_status = 0


@when("a server's entry expires while the store is down")
def expire_entry(context):
    context.control.fault = StoreFault.DOWN
    run(context, asyncio.sleep(0.6))
    context.control.remove("servers/i-2")
    context.control.fault = StoreFault.NONE


@then("within {seconds:f} seconds {count:d} servers are usable")
def check_usable_within(context, seconds, count):
    async def wait():
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            if len(context.servers.list_usable("s")) == count:
                return
            await asyncio.sleep(0.01)

    run(context, wait())
    usable = [server.entry.server_id for server in context.servers.list_usable("s")]
    assert len(usable) == count, usable


@then("after {seconds:f} seconds {count:d} servers are usable")
def check_usable_after(context, seconds, count):
    run(context, asyncio.sleep(seconds))
    assert len(context.servers.list_usable("s")) == count


@when("the store rejects every call with status {status:d}")
def reject_calls(context, status):
    context.control.error_status = status


@when("the store returns invalid JSON")
def return_invalid_json(context):
    context.control.put("v", b"old")
    context.position = get_store_position(context)
    context.control.returns_invalid_json = True


@when("the configuration is updated and the watch history is lost")
def update_configuration(context):
    context.control.put(CONFIGURATION_KEY, b"1")
    context.position = get_store_position(context)
    context.control.put("other", b"")
    context.control.put(CONFIGURATION_KEY, b"2")
    context.control.compact_history()


@then("a wait for the configuration returns the newest value")
def check_newest_configuration(context):
    found = run(context, context.store.wait_for_change(CONFIGURATION_KEY, context.position, 5))
    assert found.value == b"2", found


@when("the platform's example configuration is decoded")
def decode_example(context):
    context.record = PlatformRecordFormat().decode(json.dumps(EXAMPLE_CONFIGURATION).encode())
    context.configuration, context.problems = decode_document(context.record.document)


@then("its number is {number:d} and validation finds no problems")
def check_decoded_configuration(context, number):
    assert context.record.number == number
    assert not context.problems, context.problems


@then('the route of "{path}" at "{host}" is a resumable stream with {count:d} services')
def check_route(context, path, host, count):
    _, route = RouteTable(configuration=context.configuration).find(host, path)
    assert route.kind is RouteKind.STREAM
    assert route.resumable
    assert len(route.services) == count
    assert route.time_limit_seconds == 8.0


@then("the example workspace has {tokens:d} tokens and urgency {urgency:d}")
def check_workspace(context, tokens, urgency):
    workspace = context.configuration.workspaces["hule930"]
    assert workspace.budget_tokens == tokens
    assert workspace.urgency == urgency
    assert len(workspace.key_hashes) == 2


@then("the example engines have up to {tokens:d} tokens per event")
def check_engine(context, tokens):
    assert context.configuration.services["huvo11a"].engine.tokens_per_event == tokens


@given("a configuration service that follows the platform's store")
def follow_configuration(context):
    context.control.put(CONFIGURATION_KEY, json.dumps(EXAMPLE_CONFIGURATION).encode())
    context.configuration_service = ConfigurationService(
        store=context.store,
        fleet=None,
        clock=SystemClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        is_watcher=lambda: True,
        on_change=lambda configuration: None,
        record_format=PlatformRecordFormat(),
        watch_seconds=0.2,
    )

    async def start():
        await context.configuration_service.refresh_from_store()
        following = context.configuration_service.follow_store_periodically()
        context.follow_task = asyncio.create_task(following)

    async def stop():
        context.follow_task.cancel()
        await asyncio.gather(context.follow_task, return_exceptions=True)

    run(context, start())
    context.cleanups.append((context.real, stop))


@when("the configuration {value} is written")
def write_configuration(context, value):
    is_nested = value == "of deeply nested arrays"
    context.control.put(CONFIGURATION_KEY, NESTED_CONFIGURATION if is_nested else value.encode())
    run(context, asyncio.sleep(0.4))


@then("configuration {number:d} is in force")
def check_configuration_in_force(context, number):
    assert context.configuration_service.number == number


@then("configuration {number:d} is in force soon after it is written")
def check_next_configuration(context, number):
    value = json.dumps({**EXAMPLE_CONFIGURATION, "Version": number}).encode()
    context.control.put(CONFIGURATION_KEY, value)
    run(context, asyncio.sleep(0.4))
    check_configuration_in_force(context, number)
