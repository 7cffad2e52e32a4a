"""Steps for estimates that learn from forwarded requests, over loopback connections."""

import random

from behave import given, then, when
from contract_steps import run
from forward_steps import make_headers, send, set_route
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.estimates.estimate_placement import EstimatePlacement


@given("placement by estimates")
def make_estimates(context):
    context.estimates = EstimatePlacement(
        clock=SystemClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        find_cache_tokens=lambda service: 100_000,
        count_routers=lambda: 1,
    )


async def describe(context):
    return context.estimates.describe()


@then("no request counts as pending at any server")
def check_pending(context):
    servers = run(context, describe(context))["servers"]
    assert servers, servers
    assert all(server["pending"] == 0 for server in servers.values()), servers
    assert all(load.in_flight == 0 for load in context.server_table.servers.values())


@then("the line of the request says why its server was chosen")
def check_reason(context):
    lines = [r for r in context.log_records if r.getMessage() == "request ended"]
    assert len(lines) == 1, context.log_records
    assert "load=" in lines[0].fields["chosen"], lines[0].fields


@then("one server is assumed to hold the parts of its prompt")
def check_held_parts(context):
    servers = run(context, describe(context))["servers"]
    assert sorted(server["held_parts"] for server in servers.values()) == [0, 2], servers


@when("a caller sends {count:d} idempotent requests one after the other")
def send_many(context, count):
    set_route(context, "idempotent", 2)
    for _ in range(count):
        run(context, send(context, make_headers("idempotent")))


@then("the first server received at most {count:d} of them")
def check_failing(context, count):
    assert len(context.servers[0].requests) <= count, len(context.servers[0].requests)
