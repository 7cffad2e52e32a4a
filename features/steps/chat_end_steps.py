"""Steps for the ends of streamed chats, as callers see them on their sockets."""

import asyncio
import json
from unittest import mock

from aiohttp import web
from answer_end_steps import read_answer
from behave import then, when
from contract_steps import run
from http_steps import CHAT_PATH, make_valid_body
from laburnumpier_router.callers import frontend

WRITE_TIMEOUT_SECONDS = 0.05
WHOLE_EVENTS = 1
"""Number of events that the caller takes before it is too slow."""


class SlowWrites:
    """Replaces the writes of responses by ones that block after the first events."""

    def __init__(self):
        self._write = web.StreamResponse.write
        self._count = 0

    async def write(self, response, data):
        """Writes the first events, and waits for ever at later ones."""
        self._count += 1
        if self._count > WHOLE_EVENTS:
            await asyncio.Event().wait()
        await self._write(response, data)


@when("a caller of HTTP/{version} is too slow for the rest of its stream")
def send_slow(context, version):
    body = json.dumps({**make_valid_body(), "stream": True}).encode()
    writes = SlowWrites()

    async def write(response, data):
        await writes.write(response, data)

    async def send():
        host, port = context.callers.host, context.callers.port
        reader, writer = await asyncio.open_connection(host, port)
        head = (
            f"POST {CHAT_PATH} HTTP/{version}\r\nHost: {host}\r\n"
            f"Authorization: Bearer key-w\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        try:
            return await read_answer(reader)
        finally:
            writer.transport.abort()

    with (
        mock.patch.object(web.StreamResponse, "write", write),
        mock.patch.object(frontend, "WRITE_TIMEOUT_SECONDS", WRITE_TIMEOUT_SECONDS),
    ):
        context.answer = run(context, asyncio.wait_for(send(), 5.0))


@then("the caller has no end marker")
def check_no_marker(context):
    assert context.answer.status == 200, context.answer
    assert b"[DONE]" not in context.answer.body, context.answer
