"""Steps for the periodic tasks of a router, in virtual time.

They guard against a task that ends for good by an error that nobody expected.
"""

import asyncio
from unittest import mock

import msgspec
from behave import given, then, when
from fleet_steps import build_fleet
from laburnumpier_router.backend.directory import BackendDirectory
from laburnumpier_router.configuration.record import CONFIGURATION_KEY, ConfigurationRecord
from laburnumpier_standins.memory_store import MemoryKeyValueService

FAILING_CALLS = {
    "watch of the configuration": (MemoryKeyValueService, "wait_for_change"),
    "activation of a change": (BackendDirectory, "apply_configuration"),
}


def store_next_configuration(context):
    """Stores the current document under the next number, as an operator elsewhere does."""
    state = context.fleet.store.state
    stored = msgspec.json.decode(state.get(CONFIGURATION_KEY).value, type=ConfigurationRecord)
    context.number = stored.number + 1
    record = msgspec.structs.replace(stored, number=context.number)
    assert state.commit({}, [(CONFIGURATION_KEY, msgspec.json.encode(record), 0)])


@given("a single router whose {task} fails once with an unexpected error")
def start_router(context, task):
    owner, name = FAILING_CALLS[task]
    original = getattr(owner, name)
    failures = [ValueError("not expected")]

    def fail_once(self, *arguments):
        if failures:
            raise failures.pop()
        return original(self, *arguments)

    async def start():
        await build_fleet(context, routers=1, servers=2, tokens=9000)
        with mock.patch.object(owner, name, fail_once):
            store_next_configuration(context)
            await asyncio.sleep(1.0)
        assert not failures, "the router did not call it"

    context.virtual.run(start())
    (router,) = context.fleet.routers.values()
    context.application = router.application


@when("a new configuration is stored {seconds:g} seconds later")
def store_later(context, seconds):
    context.virtual.run(asyncio.sleep(seconds))
    store_next_configuration(context)


@then("it is in force on the router within {seconds:g} seconds")
def check_in_force(context, seconds):
    context.virtual.run(asyncio.sleep(seconds))
    assert context.application.configuration.number == context.number


@then("the restart of a task is counted")
def check_restart(context):
    text = context.application.metrics.render_prometheus_text().decode()
    assert 'laburnumpier_events_total{event="tasks.restarted"} 1.0' in text, text
