"""Steps for chats that callers take up with Last-Event-ID, over HTTP and in-memory engines."""

import asyncio
import json

import aiohttp
from aiohttp.test_utils import TestServer
from behave import given, then, when
from contract_steps import run
from laburnumpier_core.hashing import hash_key
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import MemoryFleet

CHAT_PATH = "/v1/chat/completions"
ANSWER_TOKENS = 20
START_TIMEOUT_SECONDS = 20.0


@given("{count:d} routers that serve chats over HTTP, and an engine of version {version}")
def start_fleet(context, count, version):
    context.fleet = MemoryFleet(seed=5)
    context.chat_servers = {}
    context.chat_events = []
    context.chat_status = 0
    context.chat_whole = False
    context.chat_key = ""

    async def start():
        for number in range(1, count + 1):
            await context.fleet.start_router(f"vm-{number}")
        context.engine = MemoryServer(name="s0", version=version, tokens_per_event=1)
        url = context.fleet.add_server(context.engine)
        await context.fleet.configure(
            "vm-1",
            {
                "servers": {"s0": {"url": url}},
                "models": {"m": {"servers": ["s0"], "max_output_tokens": 512}},
                "workspaces": {
                    "w": {
                        "budget_tokens": 10000,
                        "key_hashes": [hash_key("key-w")],
                        "models": ["m"],
                    }
                },
            },
        )
        for router in context.fleet.routers.values():
            await router.application.configuration.refresh_from_store()
            await router.application.backend_directory.probe_once("s0")
            server = TestServer(router.application.caller_frontend.make_app())
            await server.start_server()
            context.chat_servers[router.name] = server
        await wait_until_members_known(context)
        context.chat_session = aiohttp.ClientSession()

    async def stop():
        await context.chat_session.close()
        for server in context.chat_servers.values():
            await server.close()
        await context.fleet.close()

    context.cleanups.append((context.real, stop))
    run(context, start())


async def wait_until_members_known(context):
    """Waits until every router counts the others as live."""
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        for router in context.fleet.routers.values():
            while len(router.application.fleet.view.live) < len(context.fleet.routers) - 1:
                await asyncio.sleep(0.02)


async def read_chat(context, number, *, key, last_event_id=0, leave_after=None):
    """Sends a chat to a router and reads its events, up to a number of them if given."""
    headers = {"Authorization": "Bearer key-w"}
    if key:
        headers["Idempotency-Key"] = key
    if last_event_id:
        headers["Last-Event-ID"] = str(last_event_id)
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": ANSWER_TOKENS,
        "stream": True,
    }
    url = context.chat_servers[f"vm-{number}"].make_url(CHAT_PATH)
    text, left = "", False
    async with context.chat_session.post(url, json=body, headers=headers) as response:
        context.chat_status = response.status
        async for part in response.content.iter_any():
            text += part.decode()
            if leave_after is not None and text.count("\n\n") >= leave_after:
                left = True
                break
    if context.chat_status == 200:
        parts = text.split("\n\n")[:-1][:leave_after]
        context.chat_events += [event for event in map(parse_event, parts) if event]
        context.chat_whole = not left and parts[-1:] == ["data: [DONE]"]


def parse_event(text):
    """Returns id and content of an event, or None if it has no content."""
    lines = dict(line.split(": ", 1) for line in text.split("\n"))
    if "id" not in lines:
        return None
    choices = json.loads(lines["data"])["choices"]
    return (int(lines["id"]), choices[0]["delta"]["content"]) if choices else None


def choose_key(context, home):
    """Returns a key whose home is the given router."""
    fleet = context.fleet.routers["vm-1"].application.fleet
    home_name = context.fleet.routers[home].application.fleet.self_name
    return next(f"k{n}" for n in range(1000) if fleet.find_home(f"request/w/k{n}") == home_name)


@when("a caller reads {count:d} events of a keyed chat at router 1, and router 1 dies")
def read_and_kill(context, count):
    context.chat_key = choose_key(context, "vm-3")

    async def read():
        await read_chat(context, 1, key=context.chat_key, leave_after=count)
        await context.fleet.kill("vm-1")

    run(context, read())


@when("the engine comes back at version {version}")
def restart_engine(context, version):
    context.engine.runs.clear()
    context.engine.version = version


@when("another caller sends the same chat to router {number:d} and gets the whole answer")
def send_again(context, number):
    events, context.chat_events = context.chat_events, []
    run(context, read_chat(context, number, key=context.chat_key))
    assert context.chat_whole, context.chat_events
    context.chat_events, context.chat_whole = events, False


@when("the caller comes back at router {number:d} after event {event_id:d}")
def come_back(context, number, event_id):
    run(context, read_chat(context, number, key=context.chat_key, last_event_id=event_id))


@when("a caller comes back at router {number:d} after event {event_id:d} with {key}")
def come_back_unknown(context, number, event_id, key):
    name = "forgotten" if key == "an unknown key" else ""
    run(context, read_chat(context, number, key=name, last_event_id=event_id))


@then("the caller has the whole answer of version {version}")
def check_whole(context, version):
    check_version(context, version)
    assert [event_id for event_id, _ in context.chat_events] == list(range(1, ANSWER_TOKENS + 1))
    assert context.chat_whole


@then("the caller's events are all of version {version}")
def check_version(context, version):
    wrong = [event for event in context.chat_events if not event[1].endswith(f"@{version};")]
    assert not wrong, wrong


@then("the caller is told that the answer cannot be completed")
def check_not_whole(context):
    assert not context.chat_whole, context.chat_events


@then("the engine has run {count:d} chats")
def check_runs(context, count):
    assert len(context.engine.started) == count, context.engine.started
