"""Steps for responses without a length or chunks, which end with their connection."""

import asyncio
import gzip
import socket

from answer_end_steps import read_answer, send_raw
from behave import given, then, when
from contract_steps import run
from forward_steps import HOST, make_headers, set_route
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.forward.exchange import ForwardRequest
from multidict import CIMultiDict, CIMultiDictProxy
from process_steps import HEADERS, start_router_process
from scripted_server import EVENTS, LARGE_EVENT

RELAY_SECONDS = 0.5
"""Time in which a router passes on the events that a server sends at once."""
SOCKET_BYTES = 4096
"""Size of the buffers of sockets that hold few bytes."""
SMALL_SOCKETS = f"""
import socket
bind = socket.socket.bind
def bind_small(self, address):
    self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, {SOCKET_BYTES})
    bind(self, address)
socket.socket.bind = bind_small
"""


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


class StuckSink:
    """A response of which the caller takes all but the end."""

    def __init__(self):
        self.started = False
        self.finished = False
        self.aborted = False
        self.has_explicit_end = False

    async def start_stream(self, status, headers, *, has_explicit_end):
        """Takes the head."""
        self.started = True
        self.has_explicit_end = has_explicit_end

    async def send_chunk(self, data):
        """Takes events."""

    async def finish_stream(self):
        """Waits for a caller that reads nothing."""
        await asyncio.Event().wait()

    def abort(self):
        """Ends the response."""
        self.aborted = True


@when("a caller that does not take the end sends a {kind} request with a limit of 1 second")
def send_to_stuck_sink(context, kind):
    set_route(context, kind, 2, limit_seconds=1.0)
    context.sink = StuckSink()
    headers = CIMultiDictProxy(CIMultiDict(make_headers(kind)))

    async def serve():
        loop = asyncio.get_running_loop()
        request = ForwardRequest(
            method="POST",
            target="/shop/2f",
            host=HOST,
            headers=headers,
            body=b"order",
            head=PlatformDialect().read_request(headers),
            received_seconds=loop.time(),
        )
        serving = asyncio.create_task(context.frontend._service.serve(request, context.sink))
        await asyncio.wait([serving], timeout=4.0)
        context.duration_seconds = loop.time() - request.received_seconds
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    run(context, serve())


@then("the request has ended within {seconds:g} seconds, and its response is aborted")
def check_ended(context, seconds):
    assert context.duration_seconds <= seconds, context.duration_seconds
    assert context.sink.aborted


@then("the caller has nothing but the events {numbers}")
def check_only_events(context, numbers):
    expected = b"".join(EVENTS[int(number)] for number in numbers.split())
    assert context.answer.body == expected, context.answer


@then("its events hold each piece once at most")
def check_pieces(context):
    pieces = [line for line in context.answer.body.split(b"\n") if line.startswith(b"data: ")]
    assert len(pieces) == len(set(pieces)), context.answer


@then("the caller sees no answer that is complete")
def check_incomplete(context):
    is_success = context.answer.status < 300
    assert not (is_success and context.answer.end == "framed and complete"), context.answer


@when("a caller sends a body that is coded with gzip and {state}")
def send_coded_body(context, state):
    set_route(context, "non-idempotent", 1, limit_seconds=2.5)
    context.sent_body = gzip.compress(bytes(range(256)) * 40)
    if state == "cut short":
        context.sent_body = context.sent_body[:-20]
    headers = {**make_headers(), "Content-Encoding": "gzip"}
    answer = send_raw(context.urls[0], headers, "1.1", context.sent_body)
    context.answer = run(context, asyncio.wait_for(answer, 4.0))


@then("the server has the bytes of the caller, or no request")
def check_server_body(context):
    bodies = [body for _, body in context.servers[0].requests]
    assert bodies in ([], [context.sent_body]), (context.answer.status, bodies)


@when("callers send {count:d} resumable stream requests with at most {attempts:d} attempts")
def send_streams(context, count, attempts):
    kind = "resumable stream"
    set_route(context, kind, attempts, limit_seconds=2.5)

    async def send_all():
        headers = make_headers(kind)
        return [await send_raw(context.urls[0], headers, "1.1", b"order") for _ in range(count)]

    context.answers = run(context, asyncio.wait_for(send_all(), 60.0))


@when("the first server {first} from now on, and the second {second}")
def change_behaviours(context, first, second):
    context.servers[0].behaviour = first
    context.servers[1].behaviour = second


@then("no caller has fewer than 5 events in an answer that looks complete")
def check_all_whole(context):
    cut = [
        answer
        for answer in context.answers
        if answer.body.count(b"id: ") < len(EVENTS)
        and answer.end in ("closed", "framed and complete")
    ]
    assert not cut, f"{len(cut)} of {len(context.answers)} answers, such as {cut[0]}"


@then("the third server was not asked")
def check_third_server(context):
    assert not context.servers[2].requests, len(context.servers[2].requests)


@then("no caller has fewer than 5 events in any answer")
def check_all_events(context):
    cut = [answer for answer in context.answers if answer.body.count(b"id: ") < len(EVENTS)]
    assert not cut, f"{len(cut)} of {len(context.answers)} answers, such as {cut[0]}"


@given(
    "a router process whose sockets hold few bytes, "
    "with a grace period of {grace_seconds:d} seconds"
)
def start_with_small_sockets(context, grace_seconds):
    start_router_process(
        context, grace_seconds, early_sighup=False, site_customization=SMALL_SOCKETS
    )


@given("a caller of HTTP/{version} that takes nothing of a server that {behaviour}")
def begin_unread_answer(context, version, behaviour):
    context.backend.behaviour = behaviour
    context.caller = socket.socket()
    context.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    context.caller.connect(("127.0.0.1", context.ports[0]))
    lines = [f"POST /shop/x HTTP/{version}", *(f"{k}: {v}" for k, v in HEADERS.items())]
    context.caller.send("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
    run(context, asyncio.sleep(RELAY_SECONDS))


@then("the caller sees the whole stream, or an answer that is {end}")
def check_unread_answer(context, end):
    async def read():
        await asyncio.wait_for(context.process.wait(), 8.0)
        reader, writer = await asyncio.open_connection(sock=context.caller)
        try:
            return await asyncio.wait_for(read_answer(reader), 4.0)
        finally:
            writer.transport.abort()

    answer = run(context, read())
    is_whole = answer.body == LARGE_EVENT
    assert is_whole or answer.end == end, (len(answer.body), len(LARGE_EVENT), answer.end)
