"""Steps for a listener that closes while requests arrive."""

import asyncio
import contextlib
import socket

from aiohttp import web
from behave import given, then, when
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.settings import Address
from laburnumpier_measure.local_fleet import find_free_port
from laburnumpier_router.callers.http_listener import HttpListener

REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n\r\n"
REQUEST_BODY = b"order"


def run(context, coroutine):
    """Runs a coroutine on the event loop of the router, which accepts in its own way."""
    return context.uvloop.run(coroutine)


@given("a listener whose handler takes {seconds:f} seconds")
def open_listener(context, seconds):
    open_listener_with_body(context, seconds, 5)


@given("a listener whose handler takes {seconds:f} seconds and answers {size:d} bytes")
def open_listener_with_body(context, seconds, size):
    context.body_size = size

    async def handle(request):
        await request.read()
        await asyncio.sleep(seconds)
        return web.Response(body=b"x" * size)

    async def start():
        port = context.port = find_free_port()
        context.listener = HttpListener(
            runner=web.ServerRunner(web.Server(handle, access_log=None), shutdown_timeout=0.01),
            address=Address(host="127.0.0.1", port=port),
            tls_context=None,
            clock=SystemClock(),
        )
        await context.listener.open()
        context.reader, context.writer = await asyncio.open_connection("127.0.0.1", port)
        # The server's side of the connection is accepted and waits for a request.
        await asyncio.sleep(0.05)

    async def stop():
        with contextlib.suppress(ConnectionError):
            context.writer.close()
            await context.writer.wait_closed()

    context.cleanups.append((context.uvloop, stop))
    run(context, start())


async def close_listener(context, until_seconds=None):
    loop = asyncio.get_running_loop()
    started_seconds = loop.time()
    await context.listener.close(until_seconds)
    context.close_seconds = loop.time() - started_seconds


async def read_answer(context):
    """Returns the size of the answer's body; 0 if the connection ended without a whole answer."""
    try:
        head = await context.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        return len(await context.reader.readexactly(context.body_size))
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0


@when("a request arrives and the listener closes before it is read")
def close_before_read(context):
    async def play():
        # A plain send leaves the bytes in the socket; the event loop reads them in its next turn.
        with socket.socket(
            fileno=socket.dup(context.writer.get_extra_info("socket").fileno())
        ) as plain:
            plain.send(REQUEST_HEAD + REQUEST_BODY)
        context.answer_size, _ = await asyncio.gather(
            read_answer(context), close_listener(context)
        )

    run(context, play())


@when(
    "{count:d} callers connect and send requests, and the listener closes before it accepts them"
)
def close_before_accept(context, count):
    close_with_waiting_callers(context, count, limit_seconds=None)


@when("{count:d} callers connect and send requests, and the listener closes with its time over")
def close_with_time_over(context, count):
    close_with_waiting_callers(context, count, limit_seconds=-0.05)


def close_with_waiting_callers(context, count, limit_seconds):
    async def play():
        loop = asyncio.get_running_loop()
        context.writer.close()
        await asyncio.sleep(0.05)
        sockets = [socket.create_connection(("127.0.0.1", context.port)) for _ in range(count)]
        for caller in sockets:
            caller.send(REQUEST_HEAD + REQUEST_BODY)
            caller.setblocking(False)
        until_seconds = None if limit_seconds is None else loop.time() + limit_seconds
        _, *answers = await asyncio.gather(
            close_listener(context, until_seconds),
            *(read_first_line(loop, caller) for caller in sockets),
        )
        context.answers = answers

    run(context, play())


async def read_first_line(loop, caller):
    """Returns the first line of the answer that a plain socket receives; empty without one."""
    try:
        return (await loop.sock_recv(caller, 4096)).split(b"\r\n")[0]
    except ConnectionError:
        return b""
    finally:
        caller.close()


@then("all of them are answered")
def check_all_answered(context):
    assert context.answers.count(b"HTTP/1.1 200 OK") == len(context.answers), context.answers


@when(
    "the head of a request arrives, the listener closes, and the body arrives {seconds:f} "
    "seconds later"
)
def close_before_body(context, seconds):
    async def play():
        context.writer.write(REQUEST_HEAD)
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(close_listener(context))
        await asyncio.sleep(seconds)
        context.writer.write(REQUEST_BODY)
        context.answer_size = await read_answer(context)
        await closing

    run(context, play())


@when("a caller reads the answer {seconds:f} seconds after the listener closes")
def read_late(context, seconds):
    async def play():
        context.reader._transport.pause_reading()
        context.writer.write(REQUEST_HEAD + REQUEST_BODY)
        await asyncio.sleep(0.1)
        closing = asyncio.create_task(close_listener(context))
        await asyncio.sleep(seconds)
        context.reader._transport.resume_reading()
        context.answer_size = await read_answer(context)
        await closing

    run(context, play())


async def close_without_reading(context, limit_seconds):
    context.reader._transport.pause_reading()
    context.writer.write(REQUEST_HEAD + REQUEST_BODY)
    await asyncio.sleep(0.1)
    until_seconds = None
    if limit_seconds is not None:
        until_seconds = asyncio.get_running_loop().time() + limit_seconds
    await close_listener(context, until_seconds)


@when("a caller reads nothing and the listener closes within {seconds:f} seconds")
def never_read(context, seconds):
    run(context, close_without_reading(context, seconds))


@when("a caller reads nothing and the listener closes")
def never_read_without_limit(context):
    run(context, close_without_reading(context, None))


@then("the request is answered")
def check_answered(context):
    assert context.answer_size == context.body_size, context.answer_size


@then("the listener has closed all connections within {seconds:d} second")
@then("the listener has closed all connections within {seconds:d} seconds")
def check_closed(context, seconds):
    assert context.close_seconds < seconds, context.close_seconds
