"""Steps about the controllers that give orders to engines."""

import asyncio

import msgspec
from behave import given, then, when
from fleet_steps import run
from laburnumpier_router.orders.lease import ORDER_TIMEOUT_SECONDS, ControllerRecord
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.store_state import StoreFault

ENGINES = 3


@given("a fleet with a controller whose engines {check}")
def make_fleet(context, check):
    checks = check == "check the number"

    async def start():
        settings = {
            "backend.give_engine_orders": "yes",
            "backend.load_interval_seconds": "10",
        }
        context.fleet = fleet = MemoryFleet(seed=5, settings=settings)
        for number in (1, 2, 3):
            await fleet.start_router(f"vm-{number}", "dc-a")
        context.engines = [
            MemoryServer(name=f"s{index}", models=[], checks_fencing=checks)
            for index in range(ENGINES)
        ]
        urls = {server.name: fleet.add_server(server) for server in context.engines}
        document = {
            "servers": {
                name: {"url": url, "data_centre": "dc-a", "checks_fencing": checks}
                for name, url in urls.items()
            }
        }
        await fleet.configure("vm-1", document)
        await asyncio.sleep(20)

    run(context, start())
    context.cleanups.append((context.virtual, context.fleet.close))


def find_controller(context):
    entry = context.fleet.store.state.entries["controller/dc-a"]
    return msgspec.msgpack.decode(entry.value, type=ControllerRecord)


async def configure_models(context, names):
    living = next(
        router.name
        for router in context.fleet.routers.values()
        if router.alive and router.name not in context.fleet.store.cut_off
    )
    servers = [server.name for server in context.engines]
    await context.fleet.configure(living, {"models": {n: {"servers": servers} for n in names}})


@when("model {name} is configured for all engines")
def configure_model(context, name):
    run(context, configure_models(context, [name]))


@when("{count:d} models are configured for all engines")
def configure_many(context, count):
    run(context, configure_models(context, [f"model-{index}" for index in range(count)]))


def list_orders(context):
    return [order for server in context.engines for order in server.orders]


@then("model {name} is loaded at {count:d} engine")
def check_loaded(context, name, count):
    loaded = [server.name for server in context.engines if name in server.models]
    assert len(loaded) == count, (loaded, list_orders(context))


@then("a chat for model {name} can be given to an engine")
def check_eligible(context, name):
    async def list_eligible():
        directory = context.fleet.routers["vm-1"].application.directory
        return directory.list_eligible([server.name for server in context.engines], name)

    assert len(run(context, list_eligible())) == 1


@then("at most {count:d} loads were ordered")
def check_rate(context, count):
    assert 1 <= len(list_orders(context)) <= count, list_orders(context)


@then("all {count:d} models are loaded, each at 1 engine")
def check_all_loaded(context, count):
    loaded = sorted(model for server in context.engines for model in server.models)
    assert loaded == sorted(f"model-{index}" for index in range(count)), loaded


@when("the controller is cut off from the store but not from the engines")
def cut_controller(context):
    name = find_controller(context).holder.split("@")[0]
    context.fleet.isolate(name)


@then("no engine took an order of a lower number after a higher one")
def check_order_numbers(context):
    for server in context.engines:
        numbers = [number for number, _ in server.orders]
        assert numbers == sorted(numbers), numbers


@when("the controller stops gracefully and a model is missing")
def stop_controller(context):
    async def play():
        name = find_controller(context).holder.split("@")[0]
        await context.fleet.stop(name)
        context.stopped_at = asyncio.get_running_loop().time()
        await configure_models(context, ["late"])
        before = find_controller(context).fencing_number
        while find_controller(context).fencing_number == before:
            await asyncio.sleep(0.05)
        context.taken_at = asyncio.get_running_loop().time()
        while not list_orders(context):
            await asyncio.sleep(0.05)
        context.ordered_at = asyncio.get_running_loop().time()

    run(context, play())


@then("the next controller gives its first order no sooner than the longest flight of an order")
def check_wait(context):
    waited = context.ordered_at - context.taken_at
    assert waited >= ORDER_TIMEOUT_SECONDS - 0.1, waited


@when("the store loses every answer and the controller is killed")
def kill_controller(context):
    name = find_controller(context).holder.split("@")[0]
    context.fleet.store.fault = StoreFault.ANSWER_LOST
    run(context, context.fleet.kill(name))


@then("nobody gives orders")
def check_nobody(context):
    assert list_orders(context) == []
