"""Steps for the graceful stop of a router process with its own interface."""

import asyncio
import json
import signal
from urllib.parse import urlsplit

from behave import given, then, when
from contract_steps import run
from laburnumpier_core.result_codes import ResultCode
from laburnumpier_measure.local_fleet import LocalFleet, make_configuration

TOKEN_SECONDS = 0.05
SIGNAL_INTERVAL_SECONDS = 0.1
LONG_CHAT_SECONDS = 20.0
HEAD_READ_SECONDS = 0.3
"""Time that the router is given to read the head of a request."""


@given("a router process with its own interface and an engine")
def start_router_and_engine(context):
    context.local_fleet = LocalFleet()

    async def start():
        fleet = await context.local_fleet.__aenter__()
        await fleet.start_platform()
        engine = await fleet.start_engine("dairy", token_seconds=TOKEN_SECONDS, answer_tokens=0)
        context.chat_router = await fleet.start_router("vm-1", "dc-1")
        patch = make_configuration({"engine": engine.url}, {}, {"office": 100_000})
        status, response = await fleet.call_operator(
            context.chat_router, "PATCH", "/configuration", patch, {"If-Match": "0"}
        )
        assert status == 200, response
        assert await fleet.wait_for_configuration(response["number"])
        async with asyncio.timeout(10):
            while (await send_chat(context, 1))[0] != 200:
                await asyncio.sleep(0.1)

    async def stop():
        await context.local_fleet.__aexit__(None, None, None)

    context.cleanups.append((context.real, stop))
    run(context, start())


def make_chat_body(tokens):
    return {
        "model": "dairy",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "Plan the dawn round."}],
    }


async def send_chat(context, tokens):
    """Returns the status of a chat, its result code, and whether its end was received."""
    body = make_chat_body(tokens)
    async with context.local_fleet.session.post(
        f"{context.chat_router.callers_url}/v1/chat/completions",
        headers={"Authorization": "Bearer key-office"},
        json=body,
    ) as response:
        context.closes_connection = response.headers.get("Connection") == "close"
        text = await response.text()
        code = response.headers.get("X-Result-Code")
        return response.status, code, "data: [DONE]" in text


@given("chats that stream for {first:d} and {second:d} seconds")
def open_chats(context, first, second):
    async def begin():
        context.chat_tasks = [
            asyncio.create_task(send_chat(context, round(seconds / TOKEN_SECONDS)))
            for seconds in (first, second)
        ]
        await asyncio.sleep(0.4)
        assert not any(task.done() for task in context.chat_tasks)

    run(context, begin())


@when("the store falls silent and the router receives SIGTERM, then SIGTERM, SIGHUP and SIGINT")
def stop_with_silent_store(context):
    async def play():
        context.local_fleet.platform.process.send_signal(signal.SIGSTOP)
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            context.chat_router.process.send_signal(number)
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)

    run(context, play())


@when(
    "the head of a chat arrives, the router receives SIGTERM, and the body arrives "
    "{seconds:f} seconds later"
)
def stop_between_head_and_body(context, seconds):
    async def play():
        url = urlsplit(context.chat_router.callers_url)
        reader, writer = await asyncio.open_connection(url.hostname, url.port)
        body = json.dumps(make_chat_body(round(LONG_CHAT_SECONDS / TOKEN_SECONDS))).encode()
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: {url.hostname}\r\n"
            f"Authorization: Bearer key-office\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode())
        await asyncio.sleep(HEAD_READ_SECONDS)
        context.chat_router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(seconds)
        writer.write(body)
        async with asyncio.timeout(LONG_CHAT_SECONDS):
            context.late_head = (await reader.readuntil(b"\r\n\r\n")).decode()
        writer.close()

    run(context, play())


@then("that chat is refused as not run and its connection closes")
def check_late_chat(context):
    lines = context.late_head.split("\r\n")
    assert lines[0].split()[1] == "503", lines
    assert f"X-Result-Code: {int(ResultCode.STOPPING)}" in lines, lines
    assert "Connection: close" in lines, lines


@then("a new chat is refused as not run and its connection closes")
def check_new_chat(context):
    status, code, _ = run(context, send_chat(context, 1))
    assert (status, code) == (503, str(int(ResultCode.STOPPING))), (status, code)
    assert context.closes_connection


@then("all chats are whole")
def check_chats(context):
    results = run(context, gather_chats(context))
    assert all(status == 200 and is_whole for status, _, is_whole in results), results


async def gather_chats(context):
    return await asyncio.gather(*context.chat_tasks)


@then("the router process exits with code {code:d} within {seconds:d} seconds after {them}")
def check_router_exit(context, code, seconds, them):
    async def wait():
        async with asyncio.timeout(seconds):
            return await context.chat_router.process.wait()

    assert run(context, wait()) == code
