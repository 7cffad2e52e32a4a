"""Steps about the records of the users' platform."""

import asyncio
import json
import random

from behave import given, then, when
from contract_steps import run
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.metrics import Metrics
from laburnumpier_platform.records import CONFIGURATION_KEY, PlatformRecordFormat
from laburnumpier_router.configuration.document import RouteKind
from laburnumpier_router.configuration.record import decode_document
from laburnumpier_router.configuration.service import ConfigurationService
from laburnumpier_router.forward.registry_follower import RegistryFollower
from laburnumpier_router.forward.routes import RouteTable
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_standins.store_state import StoreFault

EXAMPLE = {
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


def put_server(context, number, state="ready"):
    entry = {"Service": "s", "Address": f"10.0.0.{number}:80", "Zone": "z", "State": state}
    context.control.put(f"servers/i-{number}", json.dumps(entry).encode())


@given("{count:d} servers have entered themselves")
def enter_servers(context, count):
    for number in range(1, count + 1):
        put_server(context, number)


@when("an entry {entry} is written")
def write_entry(context, entry):
    context.control.put("servers/stranger", entry.encode())


@then("the registry tells {count:d} servers")
def check_registry(context, count):
    snapshot = run(context, context.store.read_servers())
    assert len(snapshot.servers) == count, snapshot.servers


@given("a follower of the registry")
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
        context.following = asyncio.create_task(context.follower.follow_periodically())

    async def stop():
        context.following.cancel()
        await asyncio.gather(context.following, return_exceptions=True)

    run(context, start())
    context.cleanups.append((context.real, stop))


@when("nothing happens")
def do_nothing(context):
    run(context, asyncio.sleep(0.1))


@when("a server enters itself")
def enter_one(context):
    put_server(context, 9)


@when("a server says that it leaves")
def leave(context):
    put_server(context, 2, "draining")


@when("a server's entry is removed")
def remove(context):
    context.control.remove("servers/i-2")


@when("a server's entry becomes unreadable")
def spoil(context):
    context.control.put("servers/i-2", b"\xff")


@when("history is lost while a server leaves")
def lose_history(context):
    context.control.remove("servers/i-2")
    context.control.forget_history()


@when("watches are cut while a server leaves")
def cut_watches(context):
    context.control.cut_watches = True
    run(context, asyncio.sleep(0.2))
    leave(context)
    context.control.cut_watches = False


@when("the store turns the watch away while a server leaves")
def turn_away(context):
    context.control.refusal = 429
    run(context, asyncio.sleep(0.6))
    leave(context)
    context.control.refusal = 0


@when("the store is down and a server's entry lapses")
def lapse(context):
    context.control.fault = StoreFault.DOWN
    run(context, asyncio.sleep(0.6))
    context.control.remove("servers/i-2")
    context.control.fault = StoreFault.NONE


@then("within {seconds:f} seconds {count:d} servers may get work")
def check_soon(context, seconds, count):
    async def wait():
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            if len(context.servers.list_usable("s")) == count:
                return
            await asyncio.sleep(0.01)

    run(context, wait())
    usable = [server.entry.server_id for server in context.servers.list_usable("s")]
    assert len(usable) == count, usable


@then("after {seconds:f} seconds {count:d} servers may get work")
def check_later(context, seconds, count):
    run(context, asyncio.sleep(seconds))
    assert len(context.servers.list_usable("s")) == count


@when("every call is answered with {status:d}")
def refuse_calls(context, status):
    context.control.refusal = status


@when("answers are unreadable")
def spoil_answers(context):
    context.control.put("v", b"old")
    context.revision = context.control.state.revision
    context.control.unreadable = True


@when("the configuration is written, its history is lost, and it is written again")
def rewrite(context):
    context.control.put(CONFIGURATION_KEY, b"1")
    context.revision = context.control.state.revision
    context.control.put("other", b"")
    context.control.put(CONFIGURATION_KEY, b"2")
    context.control.forget_history()


@then("waiting for the configuration returns the newest one at once")
def check_rewritten(context):
    found = run(context, context.store.wait_for_change(CONFIGURATION_KEY, context.revision, 5))
    assert found.value == b"2", found


@when("the platform's example configuration is decoded")
def decode_example(context):
    context.record = PlatformRecordFormat().decode(json.dumps(EXAMPLE).encode())
    context.configuration, context.problems = decode_document(context.record.document)


@then("its number is {number:d} and it has no problems")
def check_number(context, number):
    assert context.record.number == number
    assert not context.problems, context.problems


@then('the route of "{path}" at "{host}" is a resumable stream with {count:d} services')
def check_route(context, path, host, count):
    _, route = RouteTable(configuration=context.configuration).find(host, path)
    assert route.kind is RouteKind.STREAM
    assert route.resumable
    assert len(route.services) == count
    assert route.time_limit_seconds == 8.0


@then("the workspace of the example has {tokens:d} tokens and urgency {urgency:d}")
def check_workspace(context, tokens, urgency):
    workspace = context.configuration.workspaces["hule930"]
    assert workspace.budget_tokens == tokens
    assert workspace.urgency == urgency
    assert len(workspace.key_hashes) == 2


@then("the engines of the example hold {tokens:d} tokens in an event")
def check_engine(context, tokens):
    assert context.configuration.services["huvo11a"].engine.tokens_per_event == tokens


@given("a configuration service that follows the platform")
def follow_configuration(context):
    context.control.put(CONFIGURATION_KEY, json.dumps(EXAMPLE).encode())
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
        work = context.configuration_service.follow_store_periodically()
        context.following = asyncio.create_task(work)

    async def stop():
        context.following.cancel()
        await asyncio.gather(context.following, return_exceptions=True)

    run(context, start())
    context.cleanups.append((context.real, stop))


@when("the configuration {value} is written")
def write_configuration(context, value):
    context.control.put(CONFIGURATION_KEY, value.encode())
    run(context, asyncio.sleep(0.4))


@then("the number in force is {number:d}")
def check_in_force(context, number):
    assert context.configuration_service.number == number
