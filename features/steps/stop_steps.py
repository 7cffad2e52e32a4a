"""Steps for the graceful stop of a router process, as callers on open connections see it.

Callers speak HTTP over plain sockets, because an HTTP client would send a request again on a new
connection without saying so.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import tempfile

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
from behave import given, then, when
from contract_steps import run
from laburnumpier_platform_standin.launch import PlatformRouterProcess
from laburnumpier_platform_standin.soak_proxy import FaultProxy, LinkFault
from laburnumpier_platform_standin.store import PlatformStoreStandIn

HOST = "shop.example"
EVENT_INTERVAL_SECONDS = 0.03
OPEN_CONNECTIONS = 150
ORDER_MS = 300
"""Time that an order takes at its server."""
SHUTDOWN_SECONDS = 1.0
"""Time that a server gives its requests when it is stopped after a scenario."""
ANSWER_BODY = b"done" * 100
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "stream",
            "Host": HOST,
            "Prefix": "/stream/",
            "Kind": "streaming",
            "TimeoutMs": 30000,
            "Service": "s",
        },
        {
            "Name": "order",
            "Host": HOST,
            "Prefix": "/order/",
            "Kind": "non_idempotent",
            "TimeoutMs": 1000,
            "Service": "s",
        },
        {
            "Name": "long-order",
            "Host": HOST,
            "Prefix": "/long-order/",
            "Kind": "non_idempotent",
            "TimeoutMs": 30000,
            "Service": "s",
        },
        {
            "Name": "query",
            "Host": HOST,
            "Prefix": "/query/",
            "Kind": "idempotent",
            "TimeoutMs": 30000,
            "Service": "s",
        },
        {
            "Name": "resumable",
            "Host": HOST,
            "Prefix": "/resumable/",
            "Kind": "streaming",
            "Resumable": True,
            "TimeoutMs": 30000,
            "Service": "s",
        },
    ],
    "Services": [{"Name": "s", "InferenceEngine": {"Slots": 512, "Stride": 3}}],
    "Tenants": [{"Name": "office", "ApiKeys": ["secret"], "Prepaid": 1000000}],
}


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request as its caller sees it; times are of the event loop.

    Attributes:
        begun_seconds: When its head was sent; None if the connection was closed by then.
        sent_seconds: When its last byte was sent; None if it never was.
        ended_seconds: When its answer was whole, or its connection ended.
        status: Status of a whole answer; 0 without one.
        connection_closes: Whether the connection cannot be used again.
    """

    attempt: str
    begun_seconds: float | None = None
    sent_seconds: float | None = None
    ended_seconds: float = 0.0
    status: int = 0
    connection_closes: bool = True


class TimedServer:
    """Backend server: `/stream/N` streams for N seconds, `/order/N` answers after N milliseconds.

    `/resumable/N` is as `/stream/N`, `/long-order/N` and `/query/N` are as `/order/N`.

    Attributes:
        event_interval_seconds: Time between two events of a stream.
        runs: How often each attempt ran.
        address: Host and port; empty before `start`.
    """

    def __init__(self):
        """Creates a server; `start` makes it listen."""
        self.event_interval_seconds = EVENT_INTERVAL_SECONDS
        self.runs = collections.Counter()
        self.address = ""
        self._runner = None

    async def start(self):
        """Starts listening on a free port."""
        # As most servers do, it drops a request when the connection closes.
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_SECONDS)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stops the server and the requests that run."""
        await self._runner.cleanup()

    async def _handle(self, request):
        attempt = request.headers.get("X-Attempt-Id", "")
        headers = {"X-Attempt-Id": attempt, "X-Server-Signature": "sig"}
        await request.read()
        self.runs[attempt] += 1
        _, kind, amount = request.path.split("/")
        if kind not in ("stream", "resumable"):
            await asyncio.sleep(float(amount) / 1000)
            return web.Response(body=ANSWER_BODY, headers=headers)
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        await response.prepare(request)
        end = asyncio.get_running_loop().time() + float(amount)
        number = 0
        with contextlib.suppress(ConnectionError):
            while asyncio.get_running_loop().time() < end:
                number += 1
                await response.write(b"id: %d\ndata: x\n\n" % number)
                await asyncio.sleep(self.event_interval_seconds)
            await response.write_eof()
        return response


class CallerConnection:
    """A connection of a caller to a router, which sends one request after the other."""

    def __init__(self, *, port, body_delay_seconds=0.0):
        """Creates a connection to a port of this machine; `open` connects it."""
        self._port = port
        self._body_delay_seconds = body_delay_seconds

    async def open(self):
        """Connects to the router."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)

    async def send(self, path, attempt, tokens="", deadline_ms=None):
        """Sends a request and reads its answer; returns a `SentRequest`."""
        loop = asyncio.get_running_loop()
        result = SentRequest(attempt=attempt)
        body = b"order"
        usage = f"X-Token-Usage: {tokens}\r\n" if tokens else ""
        if deadline_ms is not None:
            usage += f"X-Deadline-Ms: {deadline_ms}\r\n"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n{usage}"
            f"Authorization: Token secret\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            if not self._reader.at_eof():
                result.begun_seconds = loop.time()
            self._writer.write(head.encode())
            if self._body_delay_seconds:
                await asyncio.sleep(self._body_delay_seconds)
            self._writer.write(body)
            await self._writer.drain()
            if result.begun_seconds is not None:
                result.sent_seconds = loop.time()
            await self._read_answer(result)
        except (ConnectionError, asyncio.IncompleteReadError):
            result.status = 0
        result.ended_seconds = loop.time()
        return result

    async def _read_answer(self, result):
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        if "content-length" in headers:
            await self._reader.readexactly(int(headers["content-length"]))
        else:
            await self._read_chunks()
        result.status = int(lines[0].split()[1])
        result.connection_closes = headers.get("connection") == "close"

    async def _read_chunks(self):
        size = 1
        while size:
            line = await self._reader.readline()
            if not line.strip():
                raise asyncio.IncompleteReadError(line, None)
            size = int(line, 16)
            await self._reader.readexactly(size + 2)


@given("a stopping router with a grace period of {grace_seconds:d} seconds")
def start_router(context, grace_seconds):
    context.grace_seconds = grace_seconds
    context.stop_store = PlatformStoreStandIn()
    context.timed_server = TimedServer()
    context.stop_directory = tempfile.TemporaryDirectory()
    context.body_delay_seconds = 0.0
    context.stream_task = None
    context.sent_requests = []

    async def start():
        await context.timed_server.start()
        entry = {"Service": "s", "Address": context.timed_server.address, "State": "ready"}
        context.stop_store.put("servers/i-1", json.dumps(entry).encode())
        context.stop_store.put("op/config", json.dumps(CONFIGURATION).encode())
        context.stop_store_server = TestServer(context.stop_store.make_app())
        await context.stop_store_server.start_server(access_log=None)
        context.store_proxy = FaultProxy(host="127.0.0.1", port=context.stop_store_server.port)
        await context.store_proxy.start()
        context.router = make_router(context, "vm-1")
        await context.router.start()
        async with aiohttp.ClientSession() as session:
            await context.router.wait_until_ready(session)
        await wait_until_server_is_known(context)

    async def stop():
        await context.router.kill()
        if context.stream_task is not None:
            context.stream_task.cancel()
        await context.store_proxy.close()
        await context.timed_server.stop()
        await context.stop_store_server.close()
        context.stop_directory.cleanup()

    context.cleanups.append((context.real, stop))
    run(context, start())


def make_router(context, name):
    return PlatformRouterProcess(
        name=name,
        directory=pathlib.Path(context.stop_directory.name),
        store_url=context.store_proxy.url,
        grace_seconds=context.grace_seconds,
    )


async def wait_until_server_is_known(context):
    """Readiness depends on the configuration only; the registry is read in parallel."""
    async with asyncio.timeout(10):
        status = 0
        while status != 200:
            connection = CallerConnection(port=context.router.ports[0])
            await connection.open()
            status = (await connection.send("/order/1", "first")).status


@given("a stream that ends {seconds:f} seconds after SIGTERM")
def open_stream(context, seconds):
    async def begin():
        # A refused request, as while the first tokens are drawn, is sent again.
        async with asyncio.timeout(10):
            while context.stream_task is None or context.stream_task.done():
                connection = CallerConnection(port=context.router.ports[0])
                await connection.open()
                call = connection.send(f"/stream/{seconds + 0.3}", "stream", tokens="100,3000")
                context.stream_task = asyncio.create_task(call)
                await asyncio.sleep(0.3)

    run(context, begin())


@given("a stream that never ends")
def open_endless_stream(context):
    open_stream(context, 60.0)


@given("connections to the store are silent from SIGTERM on")
def silence_store(context):
    context.store_proxy.fault = LinkFault.SILENT


@given("callers that send their bodies {seconds:f} seconds after their heads")
def delay_bodies(context, seconds):
    context.body_delay_seconds = seconds


@when("the router receives SIGTERM and callers use their open connections until it is gone")
def stop_under_traffic(context):
    run(context, stop_router(context, []))


@when("the router receives SIGTERM, then SIGTERM, SIGHUP and SIGINT every {interval:f} seconds")
def stop_with_further_signals(context, interval):
    further = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
    run(context, stop_router(context, [(interval, number) for number in further * 6]))


@when(
    "the router receives SIGTERM, is paused after {seconds:f} seconds for {duration:f} seconds, "
    "and callers go on"
)
def stop_with_pause(context, seconds, duration):
    run(context, stop_router(context, [(seconds, signal.SIGSTOP), (duration, signal.SIGCONT)]))


@when("the router receives SIGTERM and runs for {run_ms:d} of {period_ms:d} milliseconds only")
def stop_starved(context, run_ms, period_ms):
    paused_seconds = (period_ms - run_ms) / 1000
    period = [(run_ms / 1000, signal.SIGSTOP), (paused_seconds, signal.SIGCONT)]
    periods = round(context.grace_seconds * 1000 / period_ms)
    run(context, stop_router(context, period * periods))


async def stop_router(context, further_signals):
    """Stops the router while callers send on their open connections until these are closed."""
    source = random.Random(25)
    connections = [
        CallerConnection(
            port=context.router.ports[0], body_delay_seconds=context.body_delay_seconds
        )
        for _ in range(OPEN_CONNECTIONS)
    ]
    for connection in connections:
        await connection.open()
    # Each connection is first used at another moment of the stop.
    delays = [source.uniform(0.0, context.grace_seconds) for _ in connections]
    callers = [
        asyncio.create_task(use_connection(context, number, connection, delay))
        for number, (connection, delay) in enumerate(zip(connections, delays, strict=True))
    ]
    loop = asyncio.get_running_loop()
    context.signalled_seconds = loop.time()
    context.router.send_signal(signal.SIGTERM)
    signals_task = asyncio.create_task(send_signals(context, further_signals))
    async with asyncio.timeout(context.grace_seconds + 10):
        context.exit_code = await context.router.process.wait()
    context.exited_seconds = loop.time()
    signals_task.cancel()
    await asyncio.gather(*callers)


async def use_connection(context, number, connection, delay):
    """Sends a request after a delay, and further ones while the connection stays open."""
    await asyncio.sleep(delay)
    sequence = 0
    while True:
        sequence += 1
        sent = await connection.send(f"/order/{ORDER_MS}", f"o-{number}-{sequence}")
        context.sent_requests.append(sent)
        if sent.connection_closes:
            return
        await asyncio.sleep(0.05)


async def send_signals(context, signals):
    for delay, signal_number in signals:
        await asyncio.sleep(delay)
        context.router.send_signal(signal_number)


@then("the stream is whole")
def check_stream(context):
    assert run(context, wait_for_stream(context)).status == 200


async def wait_for_stream(context):
    async with asyncio.timeout(5):
        return await context.stream_task


@then("the process has exited with code 0 within the grace period")
def check_exit(context):
    took_seconds = context.exited_seconds - context.signalled_seconds
    assert context.exit_code == 0, context.exit_code
    assert took_seconds <= context.grace_seconds, (took_seconds, list_app_events(context))


def list_app_events(context):
    """Returns the events of the router's life from its log, each with its time."""
    text = (pathlib.Path(context.stop_directory.name) / "vm-1.log").read_text()
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [(line["time"], line["event"]) for line in lines if line["part"] in ("app", "budget")]


def list_unanswered(context, slack_seconds):
    """Returns the unanswered requests that were begun some time before their connection ended."""
    return [
        sent
        for sent in context.sent_requests
        if sent.status == 0
        and sent.begun_seconds is not None
        and sent.begun_seconds < sent.ended_seconds - slack_seconds
    ]


@then("every request begun {seconds:f} seconds before its connection was closed was answered")
def check_answers(context, seconds):
    unanswered = list_unanswered(context, seconds)
    assert not unanswered, unanswered
    assert any(sent.status == 200 for sent in context.sent_requests), context.sent_requests


@then("no request that was not answered ran at a server")
def check_runs(context):
    runs = context.timed_server.runs
    ran = [sent for sent in context.sent_requests if sent.status == 0 and runs[sent.attempt]]
    assert not ran, ran


@given("a second router that starts while the store is silent")
def start_second_router(context):
    async def start():
        context.store_proxy.fault = LinkFault.SILENT
        context.second_router = make_router(context, "vm-2")
        await context.second_router.start()
        # Its callers' port is opened before it first reads from the store.
        async with asyncio.timeout(20):
            while True:
                try:
                    await CallerConnection(port=context.second_router.ports[0]).open()
                    return
                except ConnectionError:
                    await asyncio.sleep(0.02)

    async def stop():
        await context.second_router.kill()

    context.cleanups.append((context.real, stop))
    run(context, start())


@when("the second router receives SIGTERM")
def stop_second_router(context):
    context.second_router.send_signal(signal.SIGTERM)


@then("the second router exits with code {code:d} within {seconds:d} seconds")
def check_second_exit(context, code, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            return await context.second_router.process.wait()

    assert run(context, wait()) == code
