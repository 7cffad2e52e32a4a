"""Steps for complete routers that relay, in virtual time.

They guard against parts that work alone and are not connected: heartbeats, handlers, dumps.
"""

import asyncio
import itertools

from behave import given, then, when
from cut_off_world import CutClient, CutWorld
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.application import ForwardingPorts
from laburnumpier_router.forward.exchange import ServerCall
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.memory_registry import MemoryServerRegistry, register_server
from multidict import CIMultiDict

START_SECONDS = 8.0
"""Time until all routers know each other and the servers."""


def run(context, coroutine):
    return context.virtual.run(coroutine)


@given("a fleet of {routers:d} complete routers with relaying switched {state}")
def start_fleet(context, routers, state):
    context.world = CutWorld(0, 3)
    names = (f"vm-{number}" for number in itertools.count())
    context.fleet = fleet = MemoryFleet(
        seed=1,
        settings={"backend.relay": "yes" if state == "on" else "no"},
        make_forwarding=lambda store: ForwardingPorts(
            dialect=PlatformDialect(),
            registry=MemoryServerRegistry(store=store, control=fleet.store),
            client=CutClient(context.world, next(names)),
        ),
    )

    async def start():
        for number in range(routers):
            await fleet.start_router(f"vm-{number}")
        for server in context.world.servers:
            entry = RegisteredServer(
                server_id=server.server_id, service="s", address=server.address, started_ms=1
            )
            register_server(fleet.store, entry)
        await asyncio.sleep(START_SECONDS)

    context.cleanups.append((context.virtual, fleet.close))
    run(context, start())


async def send_call(context, name):
    """Sends a request to a server with the router's client, and returns the answer."""
    server = context.world.servers[0]
    call = ServerCall(
        method="POST",
        address=server.address,
        target="/x",
        headers=CIMultiDict({"X-Attempt-Id": "a1", "X-Expected-Instance": server.server_id}),
        body=b"order",
        server_id=server.server_id,
        remaining_seconds=4.0,
    )
    application = context.fleet.routers[name].application
    async with application._relay.client.open(call) as exchange:
        context.dumps = {
            router: memory.application._reports.dump_state()["relay"]
            for router, memory in context.fleet.routers.items()
        }
        return await exchange.read()


@when("servers are out of reach of {name}, which gets a request")
def cut_and_send(context, name):
    async def play():
        for other in context.fleet.routers:
            await send_call(context, other)
        context.world.cuts[name] = "hang"
        await asyncio.sleep(1.0)
        context.body = await send_call(context, name)
        # Heartbeats tell the others within two intervals.
        await asyncio.sleep(2.5)

    run(context, play())
    context.cut_name = name


@then("the answer comes through another router, and the state dumps show it")
def check_dumps(context):
    assert context.body == b"done"
    assert context.dumps[context.cut_name]["contact"] == "cut_off"
    assert context.dumps[context.cut_name]["sent_through_others"] == 1
    assert sum(dump["held_for_others"] for dump in context.dumps.values()) == 1


@then("the others know that it is cut off")
def check_heartbeats(context):
    own = context.fleet.routers[context.cut_name].application
    name = own.fleet.self_name
    for router, memory in context.fleet.routers.items():
        if router != context.cut_name:
            contacts = memory.application._relay.monitor.peers._contacts
            assert contacts[name].failed_seconds > contacts[name].reached_seconds


@then("no router relays, and heartbeats say nothing of servers")
def check_off(context):
    async def check():
        for memory in context.fleet.routers.values():
            application = memory.application
            assert application._relay is None
            assert application._reports.dump_state()["relay"] is None
            assert application.fleet._make_heartbeat().server_reach is None

    run(context, check())
