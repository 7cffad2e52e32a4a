"""Steps about the controllers that send load orders to engines."""

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
def make_controlled_fleet(context, check):
    checks_fencing = check == "check the fencing number"

    async def start_fleet():
        settings = {
            "backend.give_engine_orders": "yes",
            "backend.load_interval_seconds": "10",
        }
        context.fleet = fleet = MemoryFleet(seed=5, settings=settings)
        for number in (1, 2, 3):
            await fleet.start_router(f"vm-{number}", "dc-a")
        context.engines = [
            MemoryServer(name=f"s{index}", models=[], checks_fencing=checks_fencing)
            for index in range(ENGINES)
        ]
        urls = {server.name: fleet.add_server(server) for server in context.engines}
        document = {
            "servers": {
                name: {"url": url, "data_centre": "dc-a", "checks_fencing": checks_fencing}
                for name, url in urls.items()
            }
        }
        await fleet.configure("vm-1", document)
        await asyncio.sleep(20)

    run(context, start_fleet())
    context.cleanups.append((context.virtual, context.fleet.close))


def read_controller_record(context):
    entry = context.fleet.store.state.entries["controller/dc-a"]
    return msgspec.msgpack.decode(entry.value, type=ControllerRecord)


async def configure_models(context, names):
    connected = next(
        router.name
        for router in context.fleet.routers.values()
        if router.alive and router.name not in context.fleet.store.cut_off
    )
    servers = [server.name for server in context.engines]
    await context.fleet.configure(connected, {"models": {n: {"servers": servers} for n in names}})


@when("model {name} is configured for all engines")
def configure_model(context, name):
    run(context, configure_models(context, [name]))


@when("{count:d} models are configured for all engines")
def configure_models_for_all(context, count):
    run(context, configure_models(context, [f"model-{index}" for index in range(count)]))


def list_orders(context):
    return [order for server in context.engines for order in server.orders]


@then("model {name} is loaded at {count:d} engine")
def check_loaded(context, name, count):
    loaded = [server.name for server in context.engines if name in server.models]
    assert len(loaded) == count, (loaded, list_orders(context))


@then("a chat for model {name} can be sent to an engine")
def check_eligible(context, name):
    async def list_eligible():
        directory = context.fleet.routers["vm-1"].application.backend_directory
        return directory.list_eligible([server.name for server in context.engines], name)

    assert len(run(context, list_eligible())) == 1


@then("at most {count:d} loads were ordered")
def check_load_count(context, count):
    assert 1 <= len(list_orders(context)) <= count, list_orders(context)


@then("all {count:d} models are loaded, each at 1 engine")
def check_all_loaded(context, count):
    loaded = sorted(model for server in context.engines for model in server.models)
    assert loaded == sorted(f"model-{index}" for index in range(count)), loaded


@when("the controller is cut off from the store but not from the engines")
def isolate_controller(context):
    name = read_controller_record(context).holder.split("@")[0]
    context.fleet.isolate(name)


@then("no engine accepted an order with a lower fencing number after a higher one")
def check_fencing_numbers(context):
    for server in context.engines:
        numbers = [number for number, _ in server.orders]
        assert numbers == sorted(numbers), numbers


@when("the controller stops gracefully and a model is missing")
def stop_controller(context):
    async def stop_and_wait_for_order():
        name = read_controller_record(context).holder.split("@")[0]
        await context.fleet.stop(name)
        context.stopped_at = asyncio.get_running_loop().time()
        await configure_models(context, ["late"])
        previous_number = read_controller_record(context).fencing_number
        while read_controller_record(context).fencing_number == previous_number:
            await asyncio.sleep(0.05)
        context.acquired_at = asyncio.get_running_loop().time()
        while not list_orders(context):
            await asyncio.sleep(0.05)
        context.ordered_at = asyncio.get_running_loop().time()

    run(context, stop_and_wait_for_order())


@then("the next controller waits for the time limit of an order before its first order")
def check_first_order_delay(context):
    waited = context.ordered_at - context.acquired_at
    assert waited >= ORDER_TIMEOUT_SECONDS - 0.1, waited


@when("all store replies are lost and the controller is killed")
def lose_replies_and_kill_controller(context):
    name = read_controller_record(context).holder.split("@")[0]
    context.fleet.store.fault = StoreFault.ANSWER_LOST
    run(context, context.fleet.kill(name))


@then("no order is sent")
def check_no_orders(context):
    assert list_orders(context) == []
