"""Steps for requests that the active configuration of a router does not allow.

They guard against refusals that cannot be explained from the log, and against refusals of requests
that a newer configuration allows.
"""

import json
import logging
import os

import msgspec
from behave import given, then, when
from contract_steps import run
from forward_steps import make_headers, send, set_route
from laburnumpier_core.log import JsonLineHandler, LogRateLimiter


@when("{served:d} requests are served and {refused:d} are refused within a second")
def send_with_log(context, served, refused):
    set_route(context, "idempotent")
    context.configuration.confirmed_seconds = 0.0
    reader, writer = os.pipe()
    handler = JsonLineHandler(
        descriptor=writer, rate_limiter=LogRateLimiter(get_seconds=lambda: 0.0)
    )
    logger = logging.getLogger("laburnumpier.forward")
    logger.addHandler(handler)
    logging.disable(logging.NOTSET)
    logger.setLevel(logging.INFO)
    try:
        for _ in range(served):
            run(context, send(context, make_headers()))
            assert context.status == 200, context.status
        for number in range(refused):
            run(context, send(context, make_headers(), f"/elsewhere/{number}?key=1"))
            assert context.status == 404, context.status
    finally:
        logging.disable(logging.CRITICAL)
        logger.removeHandler(handler)
        os.close(writer)
    with os.fdopen(reader, "rb") as lines:
        context.log_lines = [json.loads(line) for line in lines]


@then("{count:d} lines explain the refusals")
def check_refusal_lines(context, count):
    refusals = [line for line in context.log_lines if line.get("outcome") == "not_found"]
    assert len(refusals) == count, len(refusals)
    assert [line["path"] for line in refusals] == [f"/elsewhere/{n}" for n in range(count)]
    for line in refusals:
        assert line["host"] == "shop.example", line
        assert line["configuration"] == 1, line
        assert line["confirmed_ms"] > 0, line


@given("the store has a newer configuration with the route of the request")
def set_newer_configuration(context):
    set_route(context, "non-idempotent")
    known = context.configuration.configuration
    route = msgspec.structs.replace(known.routes["r"], path_prefix="/elsewhere/")
    context.configuration.newer = msgspec.structs.replace(
        known, routes={**known.routes, "new": route}
    )


@given("a configuration that cannot be confirmed")
def set_unconfirmed(context):
    context.configuration.is_confirmed = False


@then("the refusal has code {code:d} and says when to come back")
def check_refusal(context, code):
    body = json.loads(context.body)
    assert (body["result_code"], body["ran"]) == (code, "no"), body
    assert float(context.headers["Retry-After"]) > 0
