"""Steps for the ends of plain services' answers, as callers see them on their sockets."""

import asyncio

from answer_end_steps import read_answer
from behave import given, then, when
from contract_steps import run
from laburnumpier_router.backend.http_clients import HttpServiceClient
from scripted_server import ScriptedServer

METHODS = {"posts to": "POST", "gets": "GET"}


@given("a service that {behaviour}")
def start_service(context, behaviour):
    context.service = ScriptedServer(behaviour)
    client = HttpServiceClient()

    async def call(url, service_call, timeout_seconds):
        address = f"http://{context.service.address}"
        return await client.call(address, service_call, timeout_seconds)

    async def stop():
        await client.close()
        await context.service.stop()

    run(context, context.service.start())
    context.cleanups.append((context.real, stop))
    context.fleet.backends.call = call


@when("a caller {action} the service with key {key}")
def call_service(context, action, key):
    method = METHODS[action]

    async def send():
        host, port = context.callers.host, context.callers.port
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            f"{method} /services/orders/x HTTP/1.1\r\nHost: {host}\r\n"
            f"Authorization: Bearer key-w\r\nIdempotency-Key: {key}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        try:
            return await read_answer(reader)
        finally:
            writer.transport.abort()

    context.answer = run(context, asyncio.wait_for(send(), 10.0))


@then("the caller has no complete success")
def check_no_success(context):
    is_success = context.answer.status < 300
    assert not (is_success and context.answer.end == "framed and complete"), context.answer
