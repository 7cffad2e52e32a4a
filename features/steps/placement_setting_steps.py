"""Steps for the setting of the placement, at a whole router in virtual time."""

from behave import given, then
from laburnumpier_core.errors import RequestError
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.application import ForwardingPorts
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.memory_registry import MemoryServerRegistry
from store_call_steps import UnusedClient


@given("a router that forwards requests, started with {text}")
def start_router(context, text):
    name, _, value = text.partition(" = ")
    context.fleet = MemoryFleet(
        seed=5,
        settings={name: value} if value else {},
        make_forwarding=lambda store: ForwardingPorts(
            dialect=PlatformDialect(),
            registry=MemoryServerRegistry(store=store, control=context.fleet.store),
            client=UnusedClient(),
        ),
    )
    context.cleanups.append((context.virtual, context.fleet.close))
    context.virtual.run(context.fleet.start_router("vm-1"))
    configuration = {"services": {"s": {"engine": {"slots": 8, "cache_tokens": 1000}}}}
    context.virtual.run(context.fleet.configure("vm-1", configuration))
    context.reports = context.fleet.routers["vm-1"].application.reports


@then("its state dump has {expected}")
def check_dump(context, expected):
    async def dump():
        return context.reports.dump_state()["estimates"]

    estimates = context.virtual.run(dump())
    assert (estimates is not None) == (expected == "estimates"), estimates


@then("the question of an operator where a request would go is {outcome}")
def check_question(context, outcome):
    async def ask():
        return context.reports.explain_placement("s", "a:5", 1, 0.0)

    try:
        report = context.virtual.run(ask())
    except RequestError:
        report = None
    assert (report is not None) == (outcome == "answered"), report
