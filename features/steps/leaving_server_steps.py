"""Steps for servers that drain and leave while callers send streams to a router process."""

import asyncio
import json

import aiohttp
from behave import given, then, when
from contract_steps import run
from process_steps import HEADERS, start_router_process
from registry_steps import ODD_ENTRIES
from scripted_server import EVENTS, ScriptedServer

DRAIN_SECONDS = 2.0
"""Time after the report of a drain from which the server must get no more requests."""
SOUND_ENTRY = b'{"Service":"other","Address":"127.0.0.1:9","State":"ready"}'


def put_entry(context, server, state):
    entry = {"Service": "s", "Address": server.address, "State": state}
    context.store.put(f"servers/{context.server_ids[server]}", json.dumps(entry).encode())


@given("a router process with 2 servers whose streams take 2 seconds")
def start_process_and_servers(context):
    start_router_process(context, 4, early_sighup=False)
    context.backend.behaviour = "streams over two seconds"
    other = ScriptedServer("streams over two seconds")
    context.server_ids = {context.backend: "i-1", other: "i-2"}

    async def start():
        await other.start()
        put_entry(context, other, "ready")
        await asyncio.sleep(0.5)

    context.cleanups.append((context.real, other.stop))
    run(context, start())


@when("callers keep sending streams, {rate:d} a second")
def begin_traffic(context, rate):
    context.answers = []
    context.is_sending = True

    async def send(number):
        headers = {**HEADERS, "X-Attempt-Id": f"a{number}", "X-Token-Usage": "10,30"}
        url = f"http://127.0.0.1:{context.ports[0]}/shop/x"
        try:
            async with context.session.post(url, headers=headers) as response:
                return response.status, await response.read()
        except aiohttp.ClientError as error:
            return 0, repr(error).encode()

    async def send_all():
        number = 0
        while context.is_sending:
            number += 1
            context.answers.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / rate)

    async def begin():
        context.traffic = asyncio.create_task(send_all())
        await asyncio.sleep(1.0)

    run(context, begin())


@when("a registry entry {kind} is written beside them")
def write_entry(context, kind):
    context.store.put("servers/stranger", ODD_ENTRIES.get(kind, SOUND_ENTRY))


@when("a server reports that it drains, and leaves {seconds:g} seconds later")
def drain_and_leave(context, seconds):
    async def leave():
        await asyncio.sleep(0.5)
        put_entry(context, context.backend, "draining")
        await asyncio.sleep(DRAIN_SECONDS)
        context.requests_at_drain = len(context.backend.requests)
        await asyncio.sleep(seconds - DRAIN_SECONDS)
        context.late_requests = context.backend.requests[context.requests_at_drain :]
        await context.backend.leave()
        context.is_sending = False
        await context.traffic
        context.answers = await asyncio.gather(*context.answers)

    run(context, leave())


@then("the server got no request later than 2 seconds after its report")
def check_late_requests(context):
    assert context.requests_at_drain > 0
    assert not context.late_requests, len(context.late_requests)


@then("each caller had the whole stream")
def check_answers(context):
    whole = (200, b"".join(EVENTS.values()))
    lost = [answer for answer in context.answers if answer != whole]
    assert not lost, (len(lost), len(context.answers), lost[:3])
