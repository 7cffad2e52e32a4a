"""Steps for connections to the platform's store that fall silent while new ones work.

They guard against a router that stays on what it knew when its connections fell silent.
"""

import asyncio
import json
import random

from aiohttp.test_utils import TestServer
from behave import given, then, when
from contract_steps import run
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.metrics import Metrics
from laburnumpier_platform.records import CONFIGURATION_KEY, PlatformRecordFormat
from laburnumpier_platform.store import PlatformStore
from laburnumpier_platform_standin.soak_proxy import FaultProxy
from laburnumpier_platform_standin.store import PlatformStoreStandIn
from laburnumpier_router.configuration.service import ConfigurationService
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
