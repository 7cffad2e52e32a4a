"""Steps for evacuations in the product's own interface."""

import asyncio
import random

import msgspec
from behave import given, then, when
from contract_steps import run
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.backend.directory import BackendDirectory
from laburnumpier_router.backend.engine_port import LoadReport
from laburnumpier_router.configuration.document import Configuration, Server
from laburnumpier_router.configuration.record import CONFIGURATION_KEY, ConfigurationRecord
from laburnumpier_router.configuration.service import ConfigurationService
from laburnumpier_router.evacuation.administration import EvacuationAdministration
from laburnumpier_standins.store_state import StoreFault
from laburnumpier_standins.virtual_loop import VirtualClock


def put(context, key, value):
    context.control.state.commit({}, [(key, value, 0)])


def put_configuration(context, number):
    put(context, CONFIGURATION_KEY, msgspec.json.encode(ConfigurationRecord(number=number)))


@given("a configuration service of the own interface that follows evacuations")
def follow(context):
    context.heard = []
    context.store.set_evacuation_listener(context.heard.append)
    put_configuration(context, 3)
    context.service = ConfigurationService(
        store=context.store,
        fleet=None,
        clock=SystemClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        is_watcher=lambda: True,
        on_change=lambda configuration: None,
        watch_seconds=0.3,
    )
    context.administration = EvacuationAdministration(store=context.store)

    async def start():
        await context.service.refresh_from_store()
        context.task = asyncio.create_task(context.service.follow_store_periodically())

    async def stop():
        context.task.cancel()
        await asyncio.gather(context.task, return_exceptions=True)

    run(context, start())
    context.cleanups.append((context.real, stop))


@when("{first} and {second} are evacuated by an operator")
def evacuate(context, first, second):
    async def begin():
        await context.administration.begin(first, "test")
        await asyncio.sleep(0.05)
        await context.administration.begin(second, "test")

    run(context, begin())


@when("the evacuation of {name} is withdrawn")
def withdraw(context, name):
    run(context, context.administration.end(name, "test"))


@when("no JSON is stored for {name} and configuration {number:d} is stored")
def store_junk(context, name, number):
    put(context, f"op/evacuate/{name}", b"no JSON")
    put_configuration(context, number)


@when("the service fails while {name} is evacuated")
def fail(context, name):
    context.control.fault = StoreFault.DOWN
    put(context, f"op/evacuate/{name}", b"{}")
    run(context, asyncio.sleep(0.6))
    context.control.fault = StoreFault.NONE


@then("in the own interface {names} is evacuated")
def check(context, names):
    expected = set() if names == "nothing" else set(names.split(","))
    run(context, asyncio.sleep(1.5))
    assert context.heard[-1].data_centres == expected, context.heard[-1]


@then("in {seconds:g} s the own interface makes at most {count:d} calls")
def check_calls(context, seconds, count):
    before = context.control.state.call_count
    run(context, asyncio.sleep(seconds))
    assert context.control.state.call_count - before <= count


class ReadyEngines:
    """Engines that always report that they are ready."""

    async def probe(self, url):
        """Returns a report."""
        return LoadReport(models=["m"])


@given("a directory of servers in dc-0 and dc-1")
def make_directory(context):
    context.evacuated = set()
    context.directory = BackendDirectory(
        engines=ReadyEngines(),
        vm_list=None,
        clock=VirtualClock(),
        random_source=random.Random(1),
        probe_seconds=1.0,
        freshness_seconds=5.0,
        is_evacuated=lambda data_centre: data_centre in context.evacuated,
    )
    servers = {name: Server(url=f"http://{name}", data_centre=name) for name in ("dc-0", "dc-1")}
    context.directory.apply_configuration(Configuration(servers=servers))

    async def probe():
        for name in servers:
            await context.directory.probe_once(name)

    context.virtual.run(probe())


def list_eligible(context):
    async def get():
        return [state.name for state in context.directory.list_eligible(["dc-0", "dc-1"], "m")]

    return context.virtual.run(get())


@when("dc-0 is evacuated for the directory")
def evacuate_directory(context):
    context.evacuated.add("dc-0")


@when("the evacuation is withdrawn for the directory")
def withdraw_directory(context):
    context.evacuated.clear()


@then("only the server in dc-1 is eligible")
def check_one(context):
    assert list_eligible(context) == ["dc-1"]


@then("both servers are eligible")
def check_both(context):
    assert list_eligible(context) == ["dc-0", "dc-1"]


@then("the store has the evacuations {name}")
def check_stored(context, name):
    keys = [key for key in context.fleet.store.state.entries if key.startswith("op/evacuate/")]
    assert keys == [f"op/evacuate/{name}"], keys


@then("the store has no evacuations")
def check_nothing_stored(context):
    assert not any(k.startswith("op/evacuate/") for k in context.fleet.store.state.entries)
