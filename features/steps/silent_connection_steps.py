"""Steps for connections to the store and to other routers that fall silent while new ones work.

They guard against a router that stays on what it knew when its connections fell silent.
"""

import asyncio
import json
import random

from aiohttp.test_utils import TestServer
from behave import given, then, when
from contract_steps import run
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_measure.local_fleet import find_free_port
from laburnumpier_platform.records import CONFIGURATION_KEY, PlatformRecordFormat
from laburnumpier_platform.store import PlatformStore
from laburnumpier_platform_standin.soak_proxy import FaultProxy
from laburnumpier_platform_standin.store import PlatformStoreStandIn
from laburnumpier_router.configuration.service import ConfigurationService
from laburnumpier_router.fleet.peer_network import PynngPeerNetwork
from laburnumpier_standins.memory_fleet import make_settings
from registry_steps import EXAMPLE_CONFIGURATION

WATCH_SECONDS = 2.0
"""As in platform/settings.ini, like the time limit of calls."""
CALL_SECONDS = 1.0


def put_configuration(context, number):
    document = {**EXAMPLE_CONFIGURATION, "Version": number}
    context.control.put(CONFIGURATION_KEY, json.dumps(document).encode())


@given("a configuration service behind a proxy, with {count:d} idle connections to the store")
def start_behind_proxy(context, count):
    context.control = PlatformStoreStandIn()
    put_configuration(context, 7)

    async def start():
        context.server = TestServer(context.control.make_app())
        await context.server.start_server()
        context.proxy = FaultProxy(host="127.0.0.1", port=context.server.port)
        await context.proxy.start()
        context.store = PlatformStore(
            url=context.proxy.url, timeout_seconds=CALL_SECONDS, metrics=Metrics()
        )
        context.configuration_service = ConfigurationService(
            store=context.store,
            fleet=None,
            clock=SystemClock(),
            metrics=Metrics(),
            random_source=random.Random(1),
            is_watcher=lambda: True,
            on_change=lambda configuration: None,
            record_format=PlatformRecordFormat(),
            watch_seconds=WATCH_SECONDS,
        )
        await asyncio.gather(*(context.store.read([f"k{n}"]) for n in range(count)))
        await context.configuration_service.refresh_from_store()
        following = context.configuration_service.follow_store_periodically()
        context.follow_task = asyncio.create_task(following)

    async def stop():
        context.follow_task.cancel()
        await asyncio.gather(context.follow_task, return_exceptions=True)
        await context.store.close()
        await context.proxy.close()
        await context.server.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


@when("all connections fall silent {seconds:f} seconds after a watch began")
def silence_connections(context, seconds):
    async def silence():
        while "/kv-watch" not in context.control.called_paths:
            await asyncio.sleep(0.01)
        await asyncio.sleep(seconds)
        context.proxy.silence_connections()
        context.silent_at = asyncio.get_running_loop().time()

    run(context, silence())


@when("a new configuration is acknowledged {seconds:f} seconds later")
def acknowledge_configuration(context, seconds):
    run(context, asyncio.sleep(seconds))
    put_configuration(context, 9)


@then("it is in force {seconds:g} seconds after the connections fell silent")
def check_in_force(context, seconds):
    async def wait():
        await asyncio.sleep(context.silent_at + seconds - asyncio.get_running_loop().time())

    run(context, wait())
    assert context.configuration_service.number == 9, context.configuration_service.number


@given("two routers whose connection runs through a proxy")
def link_routers(context):
    async def answer(request):
        return request

    async def start():
        settings = make_peer_settings()
        listener = PynngPeerNetwork(settings=settings)
        await listener.serve(answer)
        host, port = str(settings.peers_address).rsplit(":", 1)
        context.proxy = FaultProxy(host=host, port=int(port))
        await context.proxy.start()
        context.peer_address = context.proxy.url.removeprefix("http://")
        context.caller = PynngPeerNetwork(settings=make_peer_settings())
        assert await context.caller.call(context.peer_address, b"1", 1.0) == b"1"
        context.listener = listener

    async def stop():
        await context.caller.close()
        await context.listener.close()
        await context.proxy.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


def make_peer_settings():
    return make_settings({"router.peers_address": f"127.0.0.1:{find_free_port()}"})


async def call_peer(context):
    """Returns whether a call is answered."""
    try:
        return await context.caller.call(context.peer_address, b"2", 0.5) == b"2"
    except PeerUnreachableError:
        return False


@when("the connection falls silent while {count:d} calls are open")
def silence_peer(context, count):
    async def silence():
        context.proxy.silence_connections()
        context.silent_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(call_peer(context) for _ in range(count)))

    run(context, silence())


@then("a call within {seconds:g} seconds after that is answered, and so are all later ones")
def check_answered(context, seconds):
    async def call():
        loop = asyncio.get_running_loop()
        while not await call_peer(context):
            assert loop.time() < context.silent_at + seconds, "no call was answered"
        assert all([await call_peer(context) for _ in range(10)])

    run(context, call())
