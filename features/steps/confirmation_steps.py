"""Steps for the confirmation of a configuration by the store, in virtual time.

They guard against refusals that rest on an old configuration, and against a store call for each
refused request.
"""

import asyncio
import random

import msgspec
from behave import given, then, when
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.configuration.record import CONFIGURATION_KEY, ConfigurationRecord
from laburnumpier_router.configuration.service import ConfigurationService
from laburnumpier_standins.memory_store import MemoryKeyValueService, StoreControl
from laburnumpier_standins.store_state import StoreFault
from laburnumpier_standins.virtual_loop import VirtualClock

INVALID_DOCUMENT = {"routes": {"r": {"host": "h", "path_prefix": "no-slash"}}}


def store_record(context, number, document=None):
    record = ConfigurationRecord(number=number, document=document or {})
    value = msgspec.json.encode(record)
    assert context.control.state.commit({}, [(CONFIGURATION_KEY, value, 0)])


@given("a configuration service that does not follow its store")
def make_service(context):
    context.control = StoreControl()
    store_record(context, 1)
    context.service = ConfigurationService(
        store=MemoryKeyValueService(control=context.control, client="r"),
        fleet=None,
        clock=VirtualClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        is_watcher=lambda: False,
        on_change=lambda configuration: None,
    )

    async def start():
        await context.service.refresh_from_store()
        await asyncio.sleep(5.0)

    context.virtual.run(start())
    context.calls_before = context.control.state.call_count


@when("configuration 2 is stored")
def store_newer(context):
    store_record(context, 2)


@when("the store is down")
def stop_store(context):
    context.control.fault = StoreFault.DOWN


@when("the store does not answer")
def silence_store(context):
    context.control.timed_out_clients.add("r")


@when("configuration 2 cannot be read")
def store_unreadable(context):
    assert context.control.state.commit({}, [(CONFIGURATION_KEY, b"{", 0)])


@when("configuration 2 is not accepted")
def store_invalid(context):
    store_record(context, 2, INVALID_DOCUMENT)


@when("{count:d} requests ask for a confirmation at once")
def ask(context, count):
    async def ask_all():
        started_seconds = asyncio.get_running_loop().time()
        context.answers = await asyncio.gather(*(context.service.confirm() for _ in range(count)))
        context.waited_seconds = asyncio.get_running_loop().time() - started_seconds

    context.virtual.run(ask_all())


@when("{seconds:g} seconds later {count:d} requests ask for a confirmation at once")
def ask_later(context, seconds, count):
    context.virtual.run(asyncio.sleep(seconds))
    ask(context, count)


@then("the configuration is confirmed, and its number is {number:d}")
def check_confirmed(context, number):
    assert all(context.answers), context.answers
    assert context.service.number == number, context.service.number


@then("the store received {count:d} call")
def check_calls(context, count):
    assert context.control.state.call_count - context.calls_before == count


@then("nothing is confirmed within {seconds:g} seconds")
def check_unconfirmed(context, seconds):
    assert not any(context.answers), context.answers
    assert context.waited_seconds <= seconds, context.waited_seconds
