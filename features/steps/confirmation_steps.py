"""Steps for the confirmation of a configuration by the store, in virtual time.

They guard against refusals that rest on an old configuration, and against a store call for each
refused request.
"""

import asyncio
import random

import msgspec
from behave import given, then, when
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.configuration.peer_sources import ConfigurationFetched
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


def make_configuration_service(context, fleet):
    return ConfigurationService(
        store=MemoryKeyValueService(control=context.control, client="r"),
        fleet=fleet,
        clock=VirtualClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        is_watcher=lambda: False,
        on_change=lambda configuration: None,
    )


@given("a configuration service that does not follow its store")
def make_service(context):
    context.control = StoreControl()
    store_record(context, 1)
    context.service = make_configuration_service(context, None)

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


class ScriptedFleet:
    """Peers of which all but the last one do not answer."""

    def __init__(self, names, record):
        """Creates peers of which the last one has a record."""
        self.names = names
        self._record = record

    async def call(self, peer, message, timeout_seconds):
        """Returns the record of the last peer."""
        if peer != self.names[-1]:
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        await asyncio.sleep(0.01)
        return ConfigurationFetched(record=self._record)


@given("peers of which {count:d} are silent and the last has configuration 3")
def make_peers(context, count):
    names = [f"peer-{number}" for number in range(count + 1)]
    fleet = ScriptedFleet(names, ConfigurationRecord(number=3))
    context.peer_names = names
    context.service = make_configuration_service(context, fleet)


@when("all peers name configuration 3 once, {method}")
def name_configuration(context, method):
    # The store does not have it yet, as after a return from an older copy.
    hear = {
        "in heartbeats": context.service.fetch_if_newer,
        "as watchers": context.service.refresh_if_newer,
    }[method]

    async def name():
        for peer in context.peer_names:
            hear(peer, 3)
            await asyncio.sleep(0.02)

    context.virtual.run(name())


@then("configuration 3 is in force within {seconds:g} seconds")
def check_in_force_soon(context, seconds):
    context.virtual.run(asyncio.sleep(seconds))
    assert context.service.number == 3, context.service.number
