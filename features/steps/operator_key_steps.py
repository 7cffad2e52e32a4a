"""Steps for evacuations that come with the configuration from the platform's store."""

import asyncio
import json
import random
import re

from behave import given, then, when
from contract_steps import run
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.errors import StoreUnavailableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_platform.records import CONFIGURATION_KEY, PlatformRecordFormat
from laburnumpier_router.configuration.service import ConfigurationService
from registry_steps import EXAMPLE_CONFIGURATION

POLL_SECONDS = 0.02


@given("a configuration service that follows evacuations")
def follow(context):
    context.control.put(CONFIGURATION_KEY, json.dumps(EXAMPLE_CONFIGURATION).encode())
    context.heard = []
    context.store.set_evacuation_listener(context.heard.append)
    context.service = ConfigurationService(
        store=context.store,
        fleet=None,
        clock=SystemClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        is_watcher=lambda: True,
        on_change=lambda configuration: None,
        record_format=PlatformRecordFormat(),
        watch_seconds=0.3,
    )

    async def start():
        await context.service.refresh_from_store()
        context.task = asyncio.create_task(context.service.follow_store_periodically())
        await asyncio.sleep(0.05)

    async def stop():
        context.task.cancel()
        await asyncio.gather(context.task, return_exceptions=True)

    run(context, start())
    context.cleanups.append((context.real, stop))


def put(context, name, value):
    context.control.put(f"op/evacuate/{name}", value.encode())


@when("nothing is written")
def write_nothing(context):
    pass


@when("the configuration {number:d} is written beside an evacuation")
def write_configuration(context, number):
    value = {**EXAMPLE_CONFIGURATION, "Version": number}
    context.control.put(CONFIGURATION_KEY, json.dumps(value).encode())
    put(context, "dc-0", "{}")


@when("{value} is written for {rest}")
def write_evacuation(context, value, rest):
    first, _, second = value.partition(" and then ")
    names = [""] if "empty name" in rest else re.findall(r"dc-\d", rest)
    if "reset" in rest:
        context.control.aborts_watches = True
    for name in names:
        put(context, name, first)
    if "reset" in rest:
        run(context, asyncio.sleep(0.4))
        context.control.aborts_watches = False
    elif second or "removed" in rest or "no JSON" in rest:
        run(context, asyncio.sleep(0.1))
    if second or "no JSON" in rest:
        put(context, "dc-0", second or "no JSON")
    if "removed" in rest:
        context.control.remove("op/evacuate/dc-0")
    if "comes back" in rest:
        context.control.rewind(writes=1)
    if "history is lost" in rest:
        context.control.compact_history()


@when("watches of 10 s have become silent")
def silence_watches(context):
    context.control.silences_watches = True
    context.service._watch_seconds = 10.0
    run(context, asyncio.sleep(0.5))
    context.control.silences_watches = False


@when("another call fails and the next one is answered")
def fail_and_answer(context):
    async def call():
        context.control.is_silent = True
        context.store._timeout_seconds = 0.2
        try:
            await context.store.read_servers()
        except StoreUnavailableError:
            context.control.is_silent = False
        await context.store.read_servers()

    run(context, call())


@then("within {seconds:g} s {names} is evacuated")
def check_evacuated(context, seconds, names):
    expected = set() if names == "nothing" else set(names.split(","))
    run(context, asyncio.sleep(seconds))
    assert context.heard[-1].data_centres == expected, context.heard[-1]


@then("configuration {number:d} is followed")
def check_configuration(context, number):
    assert context.service.number == number, context.service.number
    assert not context.task.done()


@then("in {seconds:g} s the store gets only watches, at most {count:d}")
def check_calls(context, seconds, count):
    context.control.called_paths.clear()
    run(context, asyncio.sleep(seconds))
    paths = context.control.called_paths
    assert set(paths) == {"/kv-watch"} and len(paths) <= count, paths
