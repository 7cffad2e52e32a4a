"""Steps for callers that do not behave, at router processes on VMs with little memory."""

import asyncio
import hashlib
import itertools
import json
import math
import re
from urllib.parse import urlsplit

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
from behave import given, then, when
from contract_steps import run
from crowd import Crowd, ProcessWatch
from laburnumpier_core.settings import SETTING_FIELDS
from laburnumpier_measure.local_fleet import LocalFleet, make_configuration
from process_steps import start_router_process

KIB = 1024
MIB = 1024 * 1024
MEGABYTE = 1_000_000
DEFAULT_DESCRIPTORS = 4100
LARGE_BODY_BYTES = 64 * KIB
CLOSE_SECONDS = 30.0
SETTLE_SECONDS = 0.5
"""Time in which the process handles what has been sent, before it is looked at."""
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r",
            "Host": "shop.example",
            "Prefix": "/shop/",
            "Kind": "non_idempotent",
            "TimeoutMs": 60000,
            "Service": "s",
        }
    ],
    "Services": [{"Name": "s"}],
    "Tenants": [{"Name": "office", "ApiKeys": ["secret"], "Prepaid": 100000}],
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
HEAD = (
    "POST /shop/{path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n"
    "Authorization: Token {key}\r\nX-Deadline-Ms: 60000\r\n"
)
SMUGGLED = b"POST /shop/smuggled HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"
BODY_PATTERN = re.compile(
    r"a body of (?P<size>\d+) (?P<unit>MiB|kB|bytes)"
    r"(?: (?P<framing>with a length|in chunks of (?P<chunk>\d+) (?P<chunk_unit>KiB|byte)))?"
    r"(?P<unknown> and an unknown key)?"
)
UNITS = {"MiB": MIB, "KiB": KIB, "kB": 1000, "byte": 1, "bytes": 1}

_numbers = itertools.count()


class RecordingServer:
    """A server of the platform that records bodies and answers as it is told.

    Attributes:
        kept_bytes: Size from which the requests of crowds are kept without an answer.
        answer_bytes: Size of its answers.
        bodies: Hash of the body of each request by its attempt id.
        paths: Paths of all requests.
    """

    def __init__(self):
        """Creates a server that answers every request at once."""
        self.kept_bytes = math.inf
        self.answer_bytes = 5
        self.bodies: dict[str, str] = {}
        self.paths: list[str] = []
        self.address = ""
        self._server = TestServer(self._make_app())

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=64 * MIB)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def start(self) -> None:
        """Listens on a loopback port."""
        await self._server.start_server()
        self.address = f"127.0.0.1:{self._server.port}"

    async def stop(self) -> None:
        """Stops listening."""
        await self._server.close()

    async def _handle(self, request: web.Request) -> web.Response:
        if request.method == "OPTIONS":
            return web.Response(status=421)
        body = await request.read()
        attempt = request.headers.get("X-Attempt-Id", "")
        self.paths.append(request.path)
        self.bodies[attempt] = hashlib.sha256(body).hexdigest()
        if attempt.startswith("crowd") and len(body) >= self.kept_bytes:
            await asyncio.sleep(60)
        return web.Response(
            body=b"x" * self.answer_bytes,
            headers={"X-Attempt-Id": attempt, "X-Server-Signature": "sig"},
        )


def start_forwarding_router(context, limits, vm_limits, descriptors):
    """Starts a router process whose VM and configuration have limits."""
    configuration = {**CONFIGURATION, "Limits": {**LIMITS, **limits}}
    start_router_process(
        context,
        4,
        early_sighup=False,
        backend=RecordingServer(),
        configuration=configuration,
        vm_limits=vm_limits,
        max_descriptors=descriptors,
    )
    watch_process(context, context.process.pid, context.ports[:2])
    context.callers_port = context.ports[0]


def watch_process(context, pid, ports):
    context.watch = ProcessWatch(pid=pid, ports=ports)
    context.crowds = []

    async def leave():
        for crowd in context.crowds:
            await crowd.leave()

    context.cleanups.append((context.real, leave))


@given("a router process on a VM with {megabytes:d} MB of memory")
def start_small_router(context, megabytes):
    start_forwarding_router(context, {}, {"MemoryMb": megabytes}, None)


@given("a router process on a VM with {megabytes:d} MB of memory and {descriptors:d} descriptors")
def start_router_with_descriptors(context, megabytes, descriptors):
    limits = {"MemoryMb": megabytes, "FileDescriptors": descriptors}
    start_forwarding_router(context, {}, limits, descriptors)


@given(
    "a router process whose configuration has a header timeout of {header:d} s "
    "and an idle timeout of {idle:d} s"
)
def start_router_with_timeouts(context, header, idle):
    limits = {"HeaderTimeoutMs": 1000 * header, "IdleTimeoutMs": 1000 * idle}
    start_forwarding_router(context, limits, {}, None)


@given(
    "a router process whose configuration limits heads to {head:d} bytes "
    "and bodies to {body:d} bytes"
)
def start_router_with_sizes(context, head, body):
    limits = {"MaxHeaderBytes": head, "MaxBodyBytes": body}
    start_forwarding_router(context, limits, {}, None)


@given("the platform's server keeps the crowd's requests")
def keep_requests(context):
    context.backend.kept_bytes = 0


@given("the platform's server keeps the crowd's large requests")
def keep_large_requests(context):
    context.backend.kept_bytes = LARGE_BODY_BYTES


@given("the platform's server answers with {size:d} MiB")
def answer_with(context, size):
    context.backend.answer_bytes = size * MIB


def make_head(key="secret", path="x", extra=""):
    attempt = f"crowd{next(_numbers)}"
    return (HEAD.format(path=path, attempt=attempt, key=key) + extra).encode()


def make_body_message(text, *, head=None, is_whole, content=None):
    """Returns the blocks of a request with a body that is described in words."""
    match = BODY_PATTERN.fullmatch(text)
    size = int(match["size"]) * UNITS[match["unit"]]
    content = (content or b"x" * 64)[:size]
    body = (content * (size // len(content) + 1))[:size]
    head = head or make_head("unknown" if match["unknown"] else "secret")
    if match["chunk"] is None:
        sent = body if is_whole else body[:-1]
        return [head + b"Content-Length: %d\r\n\r\n" % size, sent]
    chunk = int(match["chunk"]) * UNITS[match["chunk_unit"]]
    chunks = [body[start : start + chunk] for start in range(0, size, chunk)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in chunks)
    ended = framed + b"0\r\n\r\n" if is_whole else framed[:-3]
    return [head + b"Transfer-Encoding: chunked\r\n\r\n", ended]


def send_crowd(context, messages, *, reads=True, port=None):
    """Sends a crowd that stays, and samples the process meanwhile."""
    crowd = Crowd(port=port or context.callers_port, reads=reads)
    context.crowds.append(crowd)

    async def send():
        async with context.watch.sample():
            await crowd.send(messages)
            await asyncio.sleep(SETTLE_SECONDS)

    run(context, send())
    return crowd


@when("{count:d} callers send {body} and stop before its end")
def send_unfinished_bodies(context, count, body):
    if " to /" in body:
        body, _, path = body.partition(" to ")
        head = make_own_head(path)
        messages = [make_body_message(body, head=head, is_whole=False) for _ in range(count)]
    else:
        messages = [make_body_message(body, is_whole=False) for _ in range(count)]
    send_crowd(context, messages)


@when("{count:d} callers send a body of {size} with a length")
def send_whole_bodies(context, count, size):
    body = f"a body of {size} with a length"
    send_crowd(context, [make_body_message(body, is_whole=True) for _ in range(count)])


@when("{count:d} callers send bodies of 4 MiB that are full of requests")
def send_bodies_of_requests(context, count):
    body = "a body of 4 MiB with a length"
    messages = [make_body_message(body, is_whole=True, content=SMUGGLED) for _ in range(count)]
    context.attempts = [re.search(rb"X-Attempt-Id: (\w+)", m[0])[1].decode() for m in messages]
    context.crowd = send_crowd(context, messages)


@when("{count:d} callers send {requests:d} requests of {size:d} kB ahead and read no answer")
def send_ahead(context, count, requests, size):
    messages = []
    for _ in range(count):
        body = b"y" * (size * 1000)
        heads = [make_head() for _ in range(requests)]
        messages.append([h + b"Content-Length: %d\r\n\r\n%b" % (len(body), body) for h in heads])
    send_crowd(context, messages, reads=False)


@when("{count:d} callers send a head of {lines:d} lines of {size:d} kB without an end")
def send_endless_heads(context, count, lines, size):
    line = b"z" * (size * 1000 - 200)
    messages = [
        [make_head(), *(b"X-Line-%d: %b\r\n" % (n, line) for n in range(lines))]
        for _ in range(count)
    ]
    send_crowd(context, messages)


@when("{count:d} callers send {sent} and wait")
def send_and_wait(context, count, sent):
    messages = [make_waiting_message(sent) for _ in range(count)]
    context.crowd = send_crowd(context, messages)


def make_waiting_message(sent):
    match sent:
        case "nothing":
            return []
        case "half a head":
            return [make_head()]
        case "a whole request":
            return [make_head() + b"Content-Length: 5\r\n\r\nhello"]
    raise ValueError(sent)


@when("a lone caller sends a request with {what}")
def send_one_request(context, what):
    if what.startswith("a head of"):
        head = make_head()
        size = int(what.split()[3])
        rest = b"X-Line: %b\r\nContent-Length: 0\r\n\r\n"
        line = b"z" * (size - len(head) - len(rest) + 2)
        message = [head + rest % line]
    else:
        message = make_body_message(what, is_whole=True)
    context.crowd = send_crowd(context, [message])


@when("a lone caller sends {body} to its end")
def send_one_body(context, body):
    message = make_body_message(body, is_whole=True)
    context.sent_hash = hashlib.sha256((b"x" * 4 * MIB)[: parse_size(body)]).hexdigest()
    context.crowd = send_crowd(context, [message])
    caller = context.crowd.callers[0]

    async def wait():
        async with context.watch.sample(), asyncio.timeout(CLOSE_SECONDS):
            while not caller.status and not caller.is_closed:
                await asyncio.sleep(0.05)

    run(context, wait())


@when("a lone caller sends a whole request and a head of {size:d} bytes behind it")
def send_head_behind(context, size):
    whole = make_head() + b"Content-Length: 5\r\n\r\nhello"
    lines = [b"X-Line-%d: %b\r\n" % (number, b"z" * 1000) for number in range(size // 1000)]
    context.crowd = send_crowd(context, [[whole + make_head() + b"".join(lines)]])


@then("the lone caller gets one answer")
def check_one_answer(context):
    received = bytes(context.crowd.callers[0].received)
    assert received.count(b"HTTP/1.1 ") == 1, received


def parse_size(body):
    match = BODY_PATTERN.fullmatch(body)
    return int(match["size"]) * UNITS[match["unit"]]


@then("the server has received that body")
def check_received_body(context):
    assert context.sent_hash in context.backend.bodies.values(), context.backend.bodies


@then("the lone caller gets {status:d} with the result code {code}")
def check_refusal(context, status, code):
    caller = context.crowd.callers[0]
    assert (caller.status, caller.result_code or "none") == (status, code), caller


@then("the lone caller gets {status:d}")
def check_status(context, status):
    caller = context.crowd.callers[0]
    assert caller.status == status, caller


@then("the router closes their connections")
def check_closed(context):
    left = run(context, context.crowd.wait_until_closed(CLOSE_SECONDS))
    assert left == 0, f"{left} of {len(context.crowd.callers)} are open"


@then("each caller whose body did not reach the server gets 503 with the result code {code}")
def check_told(context, code):
    pairs = list(zip(context.attempts, context.crowd.callers, strict=True))
    refused = [caller for attempt, caller in pairs if attempt not in context.backend.bodies]
    assert refused
    told = [(caller.status, caller.result_code) for caller in refused]
    assert set(told) == {(503, code)}, told


@then("servers received no request that no caller sent")
def check_not_smuggled(context):
    assert set(context.backend.paths) <= {"/shop/x"}, set(context.backend.paths)


@then("the router process runs")
def check_process_runs(context):
    process = get_process(context)
    assert process.returncode is None, process.returncode


def get_process(context):
    chat_router = getattr(context, "chat_router", None)
    return chat_router.process if chat_router is not None else context.process


@then("its memory was within {megabytes:d} MB")
def check_memory(context, megabytes):
    context.watch.take_sample()
    peak_bytes = context.watch.peak_bytes
    assert peak_bytes <= megabytes * MEGABYTE, f"{peak_bytes / MEGABYTE:.1f} MB"


@then("its open descriptors were at most {most:d}")
def check_descriptors(context, most):
    context.watch.take_sample()
    peak = context.watch.peak_descriptors
    assert peak <= most, f"{peak} descriptors"


@then("an ordinary request is answered")
def check_ordinary_request(context):
    async def send():
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": f"ordinary{next(_numbers)}",
            "Authorization": "Token secret",
            "X-Deadline-Ms": "60000",
        }
        url = f"http://127.0.0.1:{context.callers_port}/shop/x"
        timeout = aiohttp.ClientTimeout(total=CLOSE_SECONDS)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, headers=headers, data=b"order") as response,
        ):
            return response.status, await response.read()

    status, body = run(context, send())
    assert status == 200, (status, body[:200])


@given("a router process with its own interface whose callers may send {size:d} bytes")
def start_limited_own_router(context, size):
    context.local_fleet = LocalFleet(settings={"request.max_body_bytes": str(size)})

    async def start():
        fleet = await context.local_fleet.__aenter__()
        await fleet.start_platform()
        context.chat_router = await fleet.start_router("vm-1", "dc-1")

    async def stop():
        await context.local_fleet.__aexit__(None, None, None)

    context.cleanups.append((context.real, stop))
    run(context, start())


@when("an operator sends a patch of {size:d} bytes")
def send_patch(context, size):
    servers = {f"engine-{number}": {"url": f"http://10.0.0.1:{number}"} for number in range(size)}
    patch = {"servers": dict(list(servers.items())[: size // 40])}
    context.patch_answer = run(
        context,
        context.local_fleet.call_operator(
            context.chat_router, "PATCH", "/configuration", patch, {"If-Match": "0"}
        ),
    )


@then("the patch is applied")
def check_patch(context):
    assert context.patch_answer[0] == 200, context.patch_answer


def start_own_router(context, megabytes, descriptors):
    """Starts a router process of the own interface, and limits it as far as its settings can."""
    known = {f"{field.section}.{field.name}" for field in SETTING_FIELDS}
    settings = {
        "limits.memory_mb": str(megabytes),
        "limits.file_descriptors": str(descriptors or DEFAULT_DESCRIPTORS),
    }
    settings = {name: value for name, value in settings.items() if name in known}
    context.local_fleet = LocalFleet(settings=settings, max_descriptors=descriptors)

    async def start():
        fleet = await context.local_fleet.__aenter__()
        await fleet.start_platform()
        engine = await fleet.start_engine("dairy", token_seconds=0.001, answer_tokens=0)
        orders = await fleet.start_order_service()
        context.chat_router = await fleet.start_router("vm-1", "dc-1")
        patch = make_configuration(
            {"engine": engine.url}, {"orders": orders.url}, {"office": 10**9}
        )
        status, response = await fleet.call_operator(
            context.chat_router, "PATCH", "/configuration", patch, {"If-Match": "0"}
        )
        assert status == 200, response
        assert await fleet.wait_for_configuration(response["number"])
        async with asyncio.timeout(10):
            while (await send_short_chat(context))[0] != 200:
                await asyncio.sleep(0.1)

    async def stop():
        await context.local_fleet.__aexit__(None, None, None)

    context.cleanups.append((context.real, stop))
    run(context, start())
    router = context.chat_router
    urls = {"callers": router.callers_url, "operators": router.operators_url}
    context.own_ports = {name: urlsplit(url).port for name, url in urls.items()}
    context.callers_port = context.own_ports["callers"]
    watch_process(context, router.process.pid, list(context.own_ports.values()))


@given("a router process with its own interface on a VM with {megabytes:d} MB of memory")
def start_small_own_router(context, megabytes):
    start_own_router(context, megabytes, None)


@given(
    "a router process with its own interface on a VM with {megabytes:d} MB of memory "
    "and {descriptors:d} descriptors"
)
def start_own_router_with_descriptors(context, megabytes, descriptors):
    start_own_router(context, megabytes, descriptors)


def make_own_head(path, extra=""):
    return (
        f"POST {path} HTTP/1.1\r\nHost: router.example\r\nAuthorization: Bearer key-office\r\n"
        f"Content-Type: application/json\r\n{extra}"
    ).encode()


async def send_short_chat(context):
    body = {
        "model": "dairy",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "Plan the dawn round."}],
    }
    url = f"{context.chat_router.callers_url}/v1/chat/completions"
    headers = {"Authorization": "Bearer key-office"}
    timeout = aiohttp.ClientTimeout(total=CLOSE_SECONDS)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(url, headers=headers, json=body) as response,
    ):
        return response.status, await response.text()


@when("{count:d} callers send a chat of 900 kB that decodes to many objects")
def send_expanding_chats(context, count):
    chat = {
        "model": "dairy",
        "max_tokens": 400,
        "messages": [{"role": "user", "content": "Plan the dawn round."}],
        "metadata": [],
    }
    body = json.dumps(chat).replace("[]", "[" + "[]," * 300_000 + "[]]").encode()
    head = make_own_head("/v1/chat/completions", f"Content-Length: {len(body)}\r\n\r\n")
    send_crowd(context, [[head, body] for _ in range(count)])


@when("{count:d} callers of the {address} send {sent}")
def send_to_own_address(context, count, address, sent):
    path = "/v1/models" if address == "callers" else "/configuration"
    head = make_own_head(path).replace(b"POST", b"GET")
    if sent == "nothing":
        messages = [[] for _ in range(count)]
    elif sent.startswith("a head"):
        line = b"z" * 7800
        lines = [b"X-Line-%d: %b\r\n" % (number, line) for number in range(120)]
        messages = [[head, *lines] for _ in range(count)]
    else:
        body = b"y" * 10_000
        request = head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        messages = [[request] * 200 for _ in range(count)]
    reads = not sent.endswith("ahead")
    send_crowd(context, messages, reads=reads, port=context.own_ports[address])


@then("an ordinary chat is answered")
def check_ordinary_chat(context):
    status, text = run(context, send_short_chat(context))
    assert status == 200, (status, text[:200])


@when(
    "a caller with an open connection sends {size:d} bytes after the limit of bodies "
    "became {limit:d} bytes"
)
def send_after_change(context, size, limit):
    configuration = {**CONFIGURATION, "Version": 4, "Limits": {**LIMITS, "MaxBodyBytes": limit}}
    headers = {
        "Host": "shop.example",
        "X-Attempt-Id": f"ordinary{next(_numbers)}",
        "Authorization": "Token secret",
    }
    url = f"http://127.0.0.1:{context.callers_port}/shop/x"

    async def play():
        async with aiohttp.ClientSession(headers=headers) as session:
            async with session.post(url, data=b"x" * size) as response:
                assert response.status == 200, response.status
                await response.read()
            context.store.put("op/config", json.dumps(configuration).encode())
            async with asyncio.timeout(CLOSE_SECONDS):
                while 'config.number"} 4.0' not in await read_metrics(context):
                    await asyncio.sleep(0.05)
            async with session.post(url, data=b"x" * size) as response:
                context.open_connection_status = response.status

    run(context, play())


async def read_metrics(context):
    async with context.session.get(f"http://127.0.0.1:{context.ports[3]}/metrics") as response:
        return await response.text()


@then("that caller gets {status:d}")
def check_open_connection(context, status):
    assert context.open_connection_status == status, context.open_connection_status
