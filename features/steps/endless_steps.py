"""Steps for servers that send without end, over loopback connections.

They guard against responses that take memory or time without a limit. The servers count the bytes
that they could send, which includes those in the buffers of both sockets.
"""

import asyncio
import base64
import itertools
import json
import pathlib
import random
import socket

from aiohttp import web
from behave import given, then, when
from contract_steps import run
from forward_steps import make_headers, send, set_route
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.errors import LaburnumpierError, RequestError
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran
from laburnumpier_platform.store import PlatformStore
from laburnumpier_router.backend.engine_port import EngineCall, EngineOrder, ServiceCall
from laburnumpier_router.backend.http_clients import HttpEngineClient, HttpServiceClient
from laburnumpier_router.backend.server_state import ServerState
from laburnumpier_router.forward.registry_follower import RegistryFollower
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.ports.etcd_service import EtcdKeyValueService
from laburnumpier_router.ports.key_value_service import Write
from laburnumpier_router.ports.server_memory import ServerMemory
from laburnumpier_router.ports.store_era import StorePosition
from laburnumpier_router.ports.vm_list import HttpVmList
from laburnumpier_router.request.answer_log import AnswerLog
from laburnumpier_router.request.chat_request import ChatRequest
from laburnumpier_router.request.chat_runner import ChatRunner, RunProgress
from process_steps import HEADERS
from scripted_server import MAX_ENDLESS_BYTES, ScriptedServer

MEBIBYTE = 1024 * 1024
CALL_LIMIT_SECONDS = 6.0
"""Time after which a call that does not end is given up."""
CLOSE_TIMEOUT_SECONDS = 1.0
MAX_RUN_EVENTS = 30
MANY_ENDLESS_BYTES = 512 * 1024 * 1024
STORE_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.05
READ_BUFFER_BYTES = 65536
PAGE_BYTES = 1024 * 1024
LARGE_HISTORY_BYTES = 5 * 1024 * 1024


@given("a server that {behaviour}")
def start_server(context, behaviour):
    context.servers = [ScriptedServer(behaviour, receive_bytes=READ_BUFFER_BYTES)]
    context.engine = HttpEngineClient(stall_seconds=1.0)
    context.service = HttpServiceClient()

    async def stop():
        await context.engine.close()
        await context.service.close()
        await context.servers[0].stop()

    run(context, context.servers[0].start())
    context.cleanups.append((context.real, stop))


@given("an account of {mebibytes:d} MiB for the answers of a server that {behaviour}")
def start_server_with_account(context, mebibytes, behaviour):
    start_server(context, behaviour)
    context.servers[0].max_endless_bytes = MANY_ENDLESS_BYTES
    memory = ServerMemory(limit_bytes=mebibytes * MEBIBYTE)
    context.engine = HttpEngineClient(stall_seconds=1.0, server_memory=memory)


@when("{count:d} runs start at once")
def start_runs(context, count):
    context.events = []
    url = f"http://{context.servers[0].address}"

    async def start_all():
        async with asyncio.timeout(CALL_LIMIT_SECONDS):
            runs = (read_run(context, url) for _ in range(count))
            context.outcomes = await asyncio.gather(*runs, return_exceptions=True)

    run(context, start_all())


@then("all runs end with {outcome}, and the server has sent at most {mebibytes:d} MiB")
def check_runs(context, outcome, mebibytes):
    names = {type(found).__name__ for found in context.outcomes}
    assert names == {outcome}, context.outcomes
    sent_bytes = context.servers[0].sent_bytes
    assert sent_bytes <= mebibytes * MEBIBYTE, sent_bytes


async def read_run(context, url):
    body = {"model": "m", "messages": []}
    call = EngineCall(run_id="r", body=body, priority=5, max_events=MAX_RUN_EVENTS)
    async for event in context.engine.stream(url, call, 0):
        context.events.append(event)


def make_call(context, name):
    url = f"http://{context.servers[0].address}"
    match name:
        case "asks for its load":
            return context.engine.probe(url)
        case "has it count tokens":
            return context.engine.count_tokens(url, {"model": "m", "messages": []})
        case "cancels a run":
            return context.engine.cancel(url, "r")
        case "sends it an order":
            order = EngineOrder(action="load", model="m", fencing_number=1)
            return context.engine.order(url, order, 1.0)
        case "starts a run":
            return read_run(context, url)
        case "calls it as a service with 4 MiB":
            body = bytes(4 * MEBIBYTE)
            call = ServiceCall(method="POST", path="p", query="", headers={}, body=body)
            return context.service.call(url, call, 1.0)
        case "calls it as a service":
            call = ServiceCall(method="POST", path="p", query="", headers={}, body=b"{}")
            return context.service.call(url, call, 1.0)
    raise ValueError(f"unknown call: {name}")


@when("a call {call}")
def call_server(context, call):
    context.events = []
    run(context, measure(context, make_call(context, call)))


async def measure(context, call):
    loop = asyncio.get_running_loop()
    started_seconds = loop.time()
    try:
        async with asyncio.timeout(CALL_LIMIT_SECONDS):
            context.outcome = await call
    except (LaburnumpierError, TimeoutError) as error:
        context.outcome = error
    context.duration_seconds = loop.time() - started_seconds


@then("the call ends with {outcome} within {seconds:f} seconds")
def check_call(context, outcome, seconds):
    found = context.outcome
    name = "nothing" if found is None else type(found).__name__
    assert name == outcome, found
    assert context.duration_seconds <= seconds, context.duration_seconds


@then("the server's connection is closed before it has sent {mebibytes:d} MiB")
def check_closed_early(context, mebibytes):
    server = context.servers[0]
    sent_bytes = server.sent_bytes
    assert sent_bytes < MAX_ENDLESS_BYTES, sent_bytes
    closed = asyncio.wait_for(server.client_closed.wait(), CLOSE_TIMEOUT_SECONDS)
    try:
        run(context, closed)
    except TimeoutError as error:
        raise AssertionError(f"not closed after {server.sent_bytes} bytes") from error
    assert server.sent_bytes <= mebibytes * MEBIBYTE, server.sent_bytes


@then("the run has yielded at most {count:d} events")
def check_run_events(context, count):
    assert len(context.events) <= count, len(context.events)


class SingleServerDispatcher:
    """Assigns the same server to every run."""

    def __init__(self, url):
        self._state = ServerState(name="engine", url=url)

    async def acquire(self, item, *, is_retry=False):
        """Returns the server."""
        return self._state

    def release(self, server):
        """Does nothing, as the server has no limit."""


@when("a chat with {tokens:d} tokens is run there")
def run_chat(context, tokens):
    runner = ChatRunner(
        engines=context.engine,
        directory=None,
        dispatcher=SingleServerDispatcher(f"http://{context.servers[0].address}"),
        clock=SystemClock(),
        metrics=Metrics(),
    )
    request = ChatRequest(
        workspace="w",
        request_id="r",
        has_idempotency_key=False,
        body={"model": "m", "messages": []},
        body_hash="h",
        model="m",
        servers=["engine"],
        max_output_tokens=tokens,
        max_prompt_tokens=0,
        prompt_prefix_hash="",
        priority=5,
        deadline_seconds=0.0,
    )
    progress = RunProgress(request=request, log=AnswerLog(), limit_tokens=tokens)
    run(context, measure(context, runner.run(progress)))


@then("the chat fails as one that may have run")
def check_chat_failed(context):
    assert isinstance(context.outcome, RequestError), context.outcome
    assert context.outcome.ran is Ran.YES, context.outcome.ran


@then("the server has received the chat at most {count:d} times")
def check_chat_count(context, count):
    assert len(context.servers[0].requests) <= count, len(context.servers[0].requests)


def make_store(context, name):
    url = f"http://{context.servers[0].address}"
    options = {"url": url, "timeout_seconds": STORE_TIMEOUT_SECONDS}
    match name:
        case "platform":
            store = PlatformStore(**options, metrics=Metrics())
        case "etcd":
            store = EtcdKeyValueService(**options, metrics=Metrics())
        case "VM-list":
            store = HttpVmList(**options)
    context.cleanups.append((context.real, store.close))
    return store


def make_store_call(store, name):
    position = StorePosition(era=0, revision=1)
    match name:
        case "reads a key":
            return store.read(["k"])
        case "writes a key":
            return store.commit({}, [Write(key="k", value=b"v")])
        case "watches servers":
            return store.wait_for_changes(position, STORE_TIMEOUT_SECONDS)
        case "watches a key":
            return store.wait_for_change("k", position, STORE_TIMEOUT_SECONDS)
        case "reads all servers":
            return store.read_servers()
        case "reads the list":
            return store.read()
    raise ValueError(f"unknown call: {name}")


@when("the client of the {store} store {call}")
def call_store(context, store, call):
    context.store = make_store(context, store)
    run(context, measure(context, make_store_call(context.store, call)))


def make_item(key, size_bytes=0):
    """Returns the entry of a server as the store lists it."""
    entry = {"Service": "s", "Address": "127.0.0.1:1", "State": "ready", "Slots": 1}
    value = json.dumps({**entry, "Other": "x" * size_bytes}).encode()
    return {"Key": key, "Revision": 1, "Value": base64.b64encode(value).decode()}


class PagedStore:
    """Handlers of a store with many pages, or with a history that no response may hold."""

    def __init__(self, pages):
        self.address = ""
        self.call_count = 0
        self._pages = pages
        self._runner = None

    async def start(self):
        """Listens on a loopback port."""
        app = web.Application()
        app.router.add_get("/kv-range", self._list)
        app.router.add_get("/kv-watch", self._watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stops listening."""
        await self._runner.cleanup()

    async def _list(self, request):
        self.call_count += 1
        return web.json_response(next(self._pages))

    async def _watch(self, request):
        items = [make_item("servers/b", LARGE_HISTORY_BYTES)]
        return web.json_response({"events": items, "At": 2})


def start_paged_store(context, pages):
    context.servers = [PagedStore(pages)]
    run(context, context.servers[0].start())
    context.cleanups.append((context.real, context.servers[0].stop))


@given("a store that lists {pages}")
def start_listing_store(context, pages):
    names = itertools.repeat(0) if pages == "the same page again" else itertools.count()
    start_paged_store(
        context,
        (
            {"Items": [make_item(f"servers/{n:06}", PAGE_BYTES)], "HasMore": True, "At": 1}
            for n in names
        ),
    )


@then("the store has received at most {count:d} calls")
def check_call_count(context, count):
    assert context.servers[0].call_count <= count, context.servers[0].call_count


@given("a store whose history is larger than a response may be")
def start_changed_store(context):
    first, second = make_item("servers/a"), make_item("servers/b")
    pages = [{"Items": [first], "At": 1}, {"Items": [first, second], "At": 2}]
    start_paged_store(context, itertools.chain(pages, itertools.repeat(pages[1])))


@when("a follower of the registry starts")
def follow_servers(context):
    context.store = make_store(context, "platform")
    context.server_table = ServerTable()
    follower = RegistryFollower(
        registry=context.store,
        table=context.server_table,
        clock=SystemClock(),
        random_source=random.Random(1),
        watch_seconds=1.0,
        lapsed_entry_seconds=1.0,
    )

    async def start():
        return asyncio.create_task(follower.follow_periodically())

    async def stop():
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    task = run(context, start())
    context.cleanups.append((context.real, stop))


@then("it knows all servers within {seconds:f} seconds")
def check_servers(context, seconds):
    async def wait_for_servers():
        async with asyncio.timeout(seconds):
            while set(context.server_table.servers) != {"a", "b"}:
                await asyncio.sleep(POLL_SECONDS)

    run(context, wait_for_servers())


@then("the caller receives at most {count:d} events with ids")
def check_event_count(context, count):
    ids = [line for line in context.body.split(b"\n") if line.startswith(b"id: ")]
    assert len(ids) <= count, len(ids)


@when("a caller sends a plain stream request that states no tokens")
def send_without_tokens(context):
    set_route(context, "plain stream", limit_seconds=2.5)
    run(context, send(context, make_headers()))


@when("a caller of a plain stream reads nothing for {seconds:f} seconds")
def send_without_reading(context, seconds):
    set_route(context, "plain stream", limit_seconds=seconds + 1.0)
    headers = make_headers("stream", **{"X-Token-Usage": "100,1000000", "Content-Length": "0"})
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    host, _, port = context.urls[0].removeprefix("http://").partition(":")

    async def open_and_wait():
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setblocking(False)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
            await loop.sock_connect(caller, (host, int(port)))
            await loop.sock_sendall(caller, f"POST /shop/2f HTTP/1.1\r\n{lines}\r\n".encode())
            await asyncio.sleep(seconds)
            context.sent_bytes = context.servers[0].sent_bytes

    run(context, open_and_wait())


@then("the first server has sent at most {mebibytes:d} MiB")
def check_sent(context, mebibytes):
    assert 0 < context.sent_bytes <= mebibytes * MEBIBYTE, context.sent_bytes


@when("{count:d} callers send non-idempotent requests at the same time")
def send_many(context, count):
    set_route(context, "non-idempotent", limit_seconds=1.5)

    async def send_one():
        url = context.urls[0] + "/shop/2f"
        async with context.session.post(url, headers=make_headers()) as response:
            return response.status

    async def send_all():
        context.servers[1].behaviour = context.servers[0].behaviour
        tasks = [asyncio.create_task(send_one()) for _ in range(count)]
        await asyncio.sleep(1.0)
        for server in context.servers:
            server.behaviour = "answers"
        context.small_status = await send_one()
        context.statuses = await asyncio.gather(*tasks)

    run(context, send_all())


@then("at most {count:d} of them wait for the end of the body, the others get 502 at once")
def check_waiting(context, count):
    assert set(context.statuses) == {502, 504}, context.statuses
    assert context.statuses.count(504) <= count, context.statuses


@then("a request with a small answer beside them gets {status:d}")
def check_small(context, status):
    assert context.small_status == status, context.small_status


@given("its server {behaviour}")
def set_backend_behaviour(context, behaviour):
    context.backend.behaviour = behaviour
    context.backend.max_endless_bytes = MANY_ENDLESS_BYTES


@when("{count:d} callers send it requests with a time limit of {seconds:f} seconds")
def send_to_process(context, count, seconds):
    url = f"http://127.0.0.1:{context.ports[0]}/shop/x"
    headers = {**HEADERS, "X-Deadline-Ms": str(round(seconds * 1000))}

    async def send_one():
        async with context.session.post(url, headers=headers) as response:
            return response.status

    async def send_all():
        return await asyncio.gather(*(send_one() for _ in range(count)))

    context.statuses = run(context, send_all())


@then("its memory had at most {megabytes:d} MB at its peak")
def check_peak_memory(context, megabytes):
    status = pathlib.Path(f"/proc/{context.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    kibibytes = int(line.split()[1])
    assert kibibytes * 1024 <= megabytes * 1_000_000, (kibibytes, context.statuses)


@then("each caller got 502 if the server ran its request, and 503 if not")
def check_all_statuses(context):
    assert set(context.statuses) <= {502, 503}, context.statuses
    runs = context.backend.runs
    assert 0 < runs == context.statuses.count(502), (runs, context.statuses)
