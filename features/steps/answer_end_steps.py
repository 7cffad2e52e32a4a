"""Steps for the ends of answers, as callers see them on their sockets."""

import asyncio
import contextlib
import dataclasses

from behave import given, then, when
from contract_steps import run
from forward_steps import KINDS, make_headers, set_route, start_router
from laburnumpier_core.errors import NOT_RUN_STATUSES, ServerConnectionLostError
from laburnumpier_router.forward.exchange import ServerCall
from laburnumpier_router.forward.http_client import HttpServerClient
from laburnumpier_router.ports.server_registry import RegisteredServer
from multidict import CIMultiDict
from scripted_server import EVENTS, ScriptedServer

READ_BYTES = 65536
REPEATABLE_KINDS = ("idempotent", "resumable stream")


@dataclasses.dataclass(slots=True, kw_only=True)
class RawAnswer:
    """An answer as it arrived on the socket of a caller.

    Attributes:
        body: The body without its chunk framing.
        end: `framed and complete`, `framed and incomplete`, or for an answer without a length how
            its connection ended, `closed` or `reset`.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    end: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindOutcome:
    """What became of the request of one kind.

    Attributes:
        runs: How often each of the two servers began to work on it.
    """

    answer: RawAnswer
    runs: list[int]


async def read_answer(reader: asyncio.StreamReader) -> RawAnswer:
    """Reads one answer until its framing or its connection ends."""
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    parts: list[bytes] = []
    if headers.get("transfer-encoding") == "chunked":
        end = await _read_framed(_read_chunks(reader, parts))
    elif "content-length" in headers:
        end = await _read_framed(_read_length(reader, parts, int(headers["content-length"])))
    else:
        end = await _read_until_closed(reader, parts)
    status = int(status_line.split(" ")[1])
    return RawAnswer(status=status, headers=headers, body=b"".join(parts), end=end)


async def _read_framed(reading) -> str:
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await reading
        return "framed and complete"
    return "framed and incomplete"


async def _read_chunks(reader: asyncio.StreamReader, parts: list[bytes]) -> None:
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)


async def _read_length(reader: asyncio.StreamReader, parts: list[bytes], length: int) -> None:
    while length:
        part = await reader.read(length)
        if not part:
            raise asyncio.IncompleteReadError(b"", length)
        parts.append(part)
        length -= len(part)


async def _read_until_closed(reader: asyncio.StreamReader, parts: list[bytes]) -> str:
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(READ_BYTES):
            parts.append(part)
        return "closed"
    return "reset"


async def send_raw(
    url: str, headers: dict[str, str], version: str, body: bytes, path: str = "/shop/2f"
) -> RawAnswer:
    """Sends one request on a connection of its own and returns the answer."""
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"POST {path} HTTP/{version}", *(f"{k}: {v}" for k, v in headers.items())]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
    writer.write(head.encode() + body)
    try:
        return await read_answer(reader)
    finally:
        writer.transport.abort()


@given("a server that {first} and one that {second}")
def start_two_servers(context, first, second):
    start_router(context, first)
    context.servers[1].behaviour = second


@given("a third server that {behaviour}")
def add_server(context, behaviour):
    server = ScriptedServer(behaviour)
    context.servers.append(server)
    run(context, server.start())
    context.server_table.upsert(
        RegisteredServer(
            server_id="i-2", service="s", address=server.address, data_centre="farther"
        )
    )


@when("a caller of HTTP/{version} sends a {kind} request with at most {attempts:d} attempts")
def send_as_raw_caller(context, version, kind, attempts):
    set_route(context, kind, attempts, limit_seconds=2.5)
    answer = send_raw(context.urls[0], make_headers(kind), version, b"order")
    context.answer = run(context, asyncio.wait_for(answer, 4.0))


@when(
    "callers send a request of each kind, with at most {attempts:d} attempts, "
    "where the first server {stop} after {part} and {end}"
)
def send_each_kind(context, attempts, stop, part, end):
    context.outcomes = {}
    for kind in KINDS:
        is_stream = "stream" in kind
        first = f"{stop}{' its stream' if is_stream else ''} after {part} and {end}"
        start_two_servers(context, first, "streams" if is_stream else "answers")
        send_as_raw_caller(context, "1.1", kind, attempts)
        runs = [server.runs for server in context.servers]
        context.outcomes[kind] = KindOutcome(answer=context.answer, runs=runs)


@then("no caller has a success")
def check_no_success(context):
    for kind, outcome in context.outcomes.items():
        assert outcome.answer.status >= 300, (kind, outcome)


@then("callers whose requests may be repeated have the whole answer of the second server")
def check_repeated(context):
    for kind in REPEATABLE_KINDS:
        outcome = context.outcomes[kind]
        body = b"".join(EVENTS.values()) if "stream" in kind else b"hello"
        assert outcome.answer.status == 200, (kind, outcome)
        assert outcome.answer.headers["x-server-signature"] == "sig", (kind, outcome)
        assert outcome.answer.end == "framed and complete", (kind, outcome)
        assert outcome.answer.body == body, (kind, outcome)
        assert outcome.runs == [1, 1], (kind, outcome)


@then("the other callers have no success, and their requests ran once")
def check_not_repeated(context):
    for kind in KINDS.keys() - set(REPEATABLE_KINDS):
        outcome = context.outcomes[kind]
        assert outcome.answer.status >= 300, (kind, outcome)
        assert outcome.runs == [1, 0], (kind, outcome)


@then("each request ran once, and no caller is told that it did not")
def check_told(context):
    for kind, outcome in context.outcomes.items():
        assert outcome.runs == [1, 0], (kind, outcome)
        assert outcome.answer.status not in NOT_RUN_STATUSES, (kind, outcome)


@then("no caller is told that its request did not run")
def check_not_promised(context):
    for kind, outcome in context.outcomes.items():
        assert outcome.answer.status not in NOT_RUN_STATUSES, (kind, outcome)


@then("the caller has the events {numbers}")
def check_events(context, numbers):
    expected = [] if numbers == "none" else numbers.split()
    lines = context.answer.body.decode().split("\n")
    received = [line[4:] for line in lines if line.startswith("id: ")]
    assert received == expected, context.answer


@then("the caller sees an answer that is {end}")
def check_end(context, end):
    assert context.answer.end == end, context.answer


@then("its body is {text}")
def check_body(context, text):
    assert context.answer.body == text.encode(), context.answer


@given("a server that answers and resets before it has read the body")
def start_resetting_server(context):
    server = ScriptedServer("answers and resets before it has read the body")
    run(context, server.start())
    context.servers = [server]
    context.cleanups.append((context.real, server.stop))


@when("a request with a body of {size:d} bytes is sent to it")
def exchange_large_body(context, size):
    call = ServerCall(
        method="POST",
        address=context.servers[0].address,
        target="/",
        headers=CIMultiDict(),
        body=bytes(size),
    )

    async def exchange():
        client = HttpServerClient()
        try:
            async with client.open(call) as response:
                context.outcome = await response.read()
        except ServerConnectionLostError as error:
            context.outcome = error
        finally:
            await client.close()

    run(context, asyncio.wait_for(exchange(), 4.0))


@then("the exchange ends as a lost connection")
def check_lost(context):
    assert isinstance(context.outcome, ServerConnectionLostError), context.outcome
