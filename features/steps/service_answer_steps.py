"""Steps for the ends of plain services' answers, as callers see them on their sockets."""

import asyncio
import json

from answer_end_steps import read_answer
from behave import given, then, when
from contract_steps import run
from http_steps import CHAT_PATH, make_valid_body
from laburnumpier_core.errors import NOT_RUN_STATUSES
from laburnumpier_router.backend.http_clients import HttpEngineClient, HttpServiceClient
from scripted_server import ScriptedServer

METHODS = {"posts to": "POST", "gets": "GET"}
STALL_SECONDS = 1.0
ANSWER_SECONDS = 10.0
POLL_SECONDS = 0.01


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
    line = f"{METHODS[action]} /services/orders/x"
    sending = send(context, line, b"", f"Idempotency-Key: {key}\r\n")
    context.answer = run(context, sending)


async def send(context, request_line, body, headers=""):
    """Sends one request on a connection of its own and returns the answer."""
    host, port = context.callers.host, context.callers.port
    reader, writer = await asyncio.open_connection(host, port)
    head = (
        f"{request_line} HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer key-w\r\n"
        f"{headers}Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    try:
        return await asyncio.wait_for(read_answer(reader), ANSWER_SECONDS)
    finally:
        writer.transport.abort()


@then("the caller has no complete success")
def check_no_success(context):
    is_success = context.answer.status < 300
    assert not (is_success and context.answer.end == "framed and complete"), context.answer


@given("a chat engine that {behaviour}")
def start_engine(context, behaviour):
    context.engine = ScriptedServer(behaviour)
    client = HttpEngineClient(stall_seconds=STALL_SECONDS)

    def stream(url, call, last_event_id):
        return client.stream(f"http://{context.engine.address}", call, last_event_id)

    async def stop():
        await client.close()
        await context.engine.stop()

    run(context, context.engine.start())
    context.cleanups.append((context.real, stop))
    context.fleet.backends.stream = stream


async def send_chat(context, kind):
    body = {**make_valid_body(), "stream": kind == "streamed"}
    return await send(context, f"POST {CHAT_PATH}", json.dumps(body).encode())


@when("a caller asks for a {kind} chat")
def ask_for_chat(context, kind):
    context.answer = run(context, send_chat(context, kind))


@when("the router closes while a caller waits for a {kind} chat")
def close_router(context, kind):
    async def close():
        asking = asyncio.create_task(send_chat(context, kind))
        while not context.engine.requests:
            await asyncio.sleep(POLL_SECONDS)
        await context.fleet.routers["vm-1"].application.close()
        return await asking

    context.answer = run(context, asyncio.wait_for(close(), ANSWER_SECONDS))


@then("the caller has no success, and is not told that nothing ran")
def check_failure(context):
    assert context.answer.status >= 300, context.answer
    assert context.answer.status not in NOT_RUN_STATUSES, context.answer
    assert json.loads(context.answer.body)["ran"] != "no", context.answer


@then("the service has run at most {count:d} of these calls")
def check_run_count(context, count):
    assert context.service.runs <= count, context.service.runs
