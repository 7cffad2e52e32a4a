"""Steps for responses without a length or chunks, which end with their connection."""

import asyncio

from answer_end_steps import send_raw
from behave import given, then
from contract_steps import run
from process_steps import HEADERS

RELAY_SECONDS = 0.5
"""Time in which a router passes on the events that a server sends at once."""


@given("a caller of HTTP/{version} that has 2 events of a server that {behaviour}")
def begin_answer(context, version, behaviour):
    context.backend.behaviour = behaviour

    async def begin():
        url = f"http://127.0.0.1:{context.ports[0]}"
        context.call_task = asyncio.create_task(send_raw(url, HEADERS, version, b"order"))
        await asyncio.sleep(RELAY_SECONDS)
        assert not context.call_task.done()

    run(context, begin())


@then("the caller's answer ends")
def wait_for_answer(context):
    async def wait():
        await context.process.wait()
        return await asyncio.wait_for(context.call_task, 4.0)

    context.answer = run(context, wait())
