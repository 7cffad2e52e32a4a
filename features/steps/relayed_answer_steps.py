"""Steps that compare relayed answers with direct ones, on real sockets and connections.

They guard against answers that arrive in another form or with another end than the server sent.
"""

import asyncio
import contextlib
import random
import socket

from behave import given, then, when
from contract_steps import run
from cut_off_world import CutFleet
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.errors import ServerConnectionLostError, ServerUnreachableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_measure.local_fleet import find_free_port
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.fleet.peer_link import PeerLink
from laburnumpier_router.fleet.peer_network import PynngPeerNetwork
from laburnumpier_router.forward.exchange import ServerCall
from laburnumpier_router.forward.http_client import HttpServerClient
from laburnumpier_router.forward.response_limits import MAX_EVENT_BYTES
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.intake.memory import make_caller_memory
from laburnumpier_router.ports.server_memory import ServerMemory, make_server_memory
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_router.relay.feature import RelayFeature
from laburnumpier_router.relay.messages import (
    MESSAGE_TYPES,
    ExchangeHead,
    ExchangeReply,
    ExchangeState,
    StartExchange,
)
from laburnumpier_standins.memory_fleet import make_settings
from multidict import CIMultiDict
from scripted_server import ScriptedServer

QUEUED_CONNECTIONS = 8
SERVER_RECEIVE_BYTES = 64 * 1024
LOST_REASON = "broke_off"
"""Reason of an exchange whose connection was lost before there was an answer."""
INVALID_REASON = "invalid_head"
"""Reason of an exchange whose answer has a head that breaks the protocol."""
GAVE_WAY_REASON = "answers_too_large"
"""Reason of an exchange whose answer gave way to others."""
SAMPLE_SECONDS = 0.01
CROWD_SECONDS = 2.0


class CutOffClient:
    """A way to the servers on which no connection is made."""

    @contextlib.asynccontextmanager
    async def open(self, call):
        """Fails as unreachable."""
        raise ServerUnreachableError("cut off")
        yield

    async def close(self):
        """Does nothing."""


class AddressedFleet(CutFleet):
    """Two routers that know each other's addresses."""

    async def call(self, peer, message, timeout_seconds):
        """Sends a message."""
        return await self._link.call(self._world.addresses[peer], peer, message, timeout_seconds)


class SocketWorld:
    """Two routers, of which `r0` is cut off."""

    def __init__(self, server):
        self.server_memory = make_server_memory(0)
        self.addresses = {name: f"127.0.0.1:{find_free_port()}" for name in ("r0", "r1")}
        self.routers, self.killed = {}, {}
        for name, client in (("r0", CutOffClient()), ("r1", HttpServerClient())):
            self.routers[name] = self.make_router(name, client, server)

    def make_router(self, name, client, server):
        """Returns the link and the parts of a router."""
        metrics, table = Metrics(), ServerTable()
        settings = make_settings({"router.peers_address": self.addresses[name]})
        link = PeerLink(
            network=PynngPeerNetwork(settings=settings),
            self_name=name,
            token="t",
            message_types=MESSAGE_TYPES,
            metrics=metrics,
        )
        table.upsert(RegisteredServer(server_id="i-0", service="s", address=server.address))
        relay = RelayFeature(
            client=client,
            dialect=PlatformDialect(),
            fleet=AddressedFleet(self, name, link),
            table=table,
            clock=SystemClock(),
            metrics=metrics,
            random_source=random.Random(1),
            memory=make_caller_memory(0),
            server_memory=self.server_memory,
        )
        relay.register_handlers(link)
        return link, relay

    async def close(self):
        """Closes all."""
        for link, relay in self.routers.values():
            await relay.close()
            await link.close()


@given("two routers on sockets, one of them cut off from a server that {behaviour}")
def make_socket_world(context, behaviour):
    context.server = ScriptedServer(behaviour, receive_bytes=SERVER_RECEIVE_BYTES)

    async def start():
        await context.server.start()
        context.sockets = SocketWorld(context.server)
        for link, _ in context.sockets.routers.values():
            await link.start()

    async def stop():
        await context.sockets.close()
        await context.server.stop()

    run(context, start())
    context.cleanups.append((context.real, stop))


async def fetch(client, address, request_body=b"order"):
    """Returns all that is known of an answer, or the error in its place."""
    call = ServerCall(
        method="POST",
        address=address,
        target="/x?y=%201",
        headers=CIMultiDict({"X-Attempt-Id": "a1", "Last-Event-Id": "0"}),
        body=request_body,
        server_id="i-0",
        remaining_seconds=4.0,
    )
    body = b""
    try:
        async with client.open(call) as exchange:
            head = (exchange.status, list(exchange.headers.items()), exchange.end_marker)
            try:
                async for chunk in exchange.iterate_chunks():
                    body += chunk
            except ServerConnectionLostError as error:
                return (*head, body, error.reason)
            return (*head, body, "")
    except ServerConnectionLostError as error:
        return error.reason


@given("the answers that the cut-off router receives may hold {mebibytes:d} MiB")
def limit_answers(context, mebibytes):
    relay = context.sockets.routers["r0"][1]
    relay.sender._server_memory = ServerMemory(limit_bytes=mebibytes * 1024 * 1024)


class RelayedReaders:
    """Readers of relayed answers, each of which keeps an event or reads nothing at first."""

    def __init__(self, client, address):
        self._client, self._address = client, address
        self._exchanges, self._kept = {}, {}
        self.most_held_bytes = 0
        self.reasons = []

    async def read(self, number, *, way):
        """Sends a request and holds its answer until the answer is lost, or for a while."""
        self._kept[number] = 0
        call = ServerCall(
            method="POST",
            address=self._address,
            target="/x",
            headers=CIMultiDict({"X-Attempt-Id": f"a{number}"}),
            body=b"order",
            server_id="i-0",
            remaining_seconds=4.0,
            count_kept=lambda: self._kept[number],
        )
        try:
            async with asyncio.timeout(CROWD_SECONDS), self._client.open(call) as exchange:
                self._exchanges[number] = exchange
                await self._hold(number, exchange, way)
        except TimeoutError:
            pass
        except ServerConnectionLostError as error:
            self.reasons.append(error.reason)
        finally:
            self._exchanges.pop(number, None)
            self._kept[number] = 0

    async def watch(self):
        """Samples how much all answers hold."""
        while True:
            buffered = sum(exchange._buffered_bytes for exchange in self._exchanges.values())
            held_bytes = buffered + sum(self._kept.values())
            self.most_held_bytes = max(self.most_held_bytes, held_bytes)
            await asyncio.sleep(SAMPLE_SECONDS)

    async def _hold(self, number, exchange, way):
        if way == "leaves unread":
            await asyncio.sleep(CROWD_SECONDS / 2)
        async for chunk in exchange.iterate_chunks():
            if way == "keeps":
                self._kept[number] += len(chunk)
            if self._kept[number] > MAX_EVENT_BYTES:
                return


@when("{count:d} requests are sent through the other router, and each reader {way} its answer")
def read_many(context, count, way):
    relay = context.sockets.routers["r0"][1]
    context.readers = RelayedReaders(relay.client, context.server.address)

    async def play():
        watching = asyncio.create_task(context.readers.watch())
        await asyncio.gather(*(context.readers.read(number, way=way) for number in range(count)))
        watching.cancel()

    run(context, play())


@then("the cut-off router held at most {mebibytes:d} MiB of answers")
def check_held(context, mebibytes):
    most = context.readers.most_held_bytes
    assert 0 < most <= mebibytes * 1024 * 1024, (most, context.readers.reasons)


@then("answers gave way, and a further answer arrives whole")
def check_gave_way(context):
    assert set(context.readers.reasons) == {GAVE_WAY_REASON}, context.readers.reasons
    context.server.behaviour = "answers"
    relay = context.sockets.routers["r0"][1]
    answer = run(context, fetch(relay.client, context.server.address))
    assert answer[0] == 200 and answer[-2:] == (b"hello", ""), answer


@when("the same request is sent directly and through the other router")
def fetch_both(context):
    async def play():
        direct = HttpServerClient()
        context.direct = await fetch(direct, context.server.address)
        await direct.close()
        relay = context.sockets.routers["r0"][1]
        context.relayed = await fetch(relay.client, context.server.address)

    run(context, play())


@when("a request with a body of 4 MiB is sent through the other router")
def fetch_large(context):
    context.large_body = bytes(range(256)) * 16384
    relay = context.sockets.routers["r0"][1]
    context.relayed = run(context, fetch(relay.client, context.server.address, context.large_body))


@then("the server has received it, and its answer arrives")
def check_large(context):
    assert context.relayed[0] == 200, context.relayed
    assert context.relayed[-2:] == (b"hello", "")
    assert context.large_body in [body for _, body in context.server.requests]


@then("both answers are the same, to their end")
def compare(context):
    assert context.relayed == context.direct, (context.relayed, context.direct)
    sent = [(head.split(b" HTTP", 1)[0], body) for head, body in context.server.requests]
    assert sent.count((b"POST /x?y=%201", b"order")) == 2, sent


@then("its answer is not complete")
def check_relayed_part(context):
    reason = context.relayed if isinstance(context.relayed, str) else context.relayed[-1]
    assert reason == LOST_REASON, context.relayed
    assert context.server.runs == 1, context.server.requests


@then("neither has an answer, and both exchanges end as a lost connection")
def check_lost(context):
    assert context.direct == LOST_REASON, context.direct
    assert context.relayed == LOST_REASON, context.relayed
    assert context.server.runs == 2, context.server.requests


@then("neither has an answer, as the head is invalid")
def check_invalid(context):
    assert context.direct == INVALID_REASON, context.direct
    assert context.relayed == INVALID_REASON, context.relayed
    assert context.server.runs == 2, context.server.requests


@given("a router of an earlier release that relays a head with {fault}")
def relay_broken_head(context, fault):
    make_socket_world(context, "answers")
    name, _, text = fault.removeprefix("the ").partition(" ")
    status, lines = 200, [(b"X-Attempt-Id", b"a1"), (b"Content-Length", b"5")]
    if name == "status":
        status = int(text)
    else:
        field, _, value = text.encode().decode("unicode_escape").encode("latin-1").partition(b": ")
        lines.insert(1, (field, value))

    async def reply(sender, message):
        head = ExchangeHead(status=status, headers=lines, end_marker="length")
        return ExchangeReply(state=ExchangeState.ENDED, head=head, data=b"hello")

    link, _ = context.sockets.routers["r1"]
    link.register_handler(StartExchange, reply)


@when("a request is sent through that router")
def fetch_relayed(context):
    relay = context.sockets.routers["r0"][1]
    context.relayed = run(context, fetch(relay.client, context.server.address))


@then("it has no answer, as the head is invalid")
def check_relayed_invalid(context):
    assert context.relayed == INVALID_REASON, context.relayed


@given("a port at which connections hang")
def hang(context):
    # The kernel drops further connection requests while the queue of the listener is full.
    context.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    port = context.listener.getsockname()[1]
    context.queued = []
    for _ in range(QUEUED_CONNECTIONS):
        queued = socket.socket()
        queued.setblocking(False)
        queued.connect_ex(("127.0.0.1", port))
        context.queued.append(queued)

    async def close():
        for item in [context.listener, *context.queued]:
            item.close()

    context.address = f"127.0.0.1:{port}"
    context.cleanups.append((context.real, close))


@when("a request with a connect timeout of {seconds:g} s is sent there")
def send_to_hanging(context, seconds):
    async def play():
        client = HttpServerClient()
        call = ServerCall(
            method="POST",
            address=context.address,
            target="/",
            headers=CIMultiDict(),
            body=b"x",
            connect_timeout_seconds=seconds,
        )
        started = asyncio.get_running_loop().time()
        try:
            async with client.open(call):
                context.error = None
        except ServerUnreachableError as error:
            context.error = error
        context.took_seconds = asyncio.get_running_loop().time() - started
        await client.close()

    run(context, play())


@then("it fails as not sent within {low:g} to {high:g} s")
def check_hang(context, low, high):
    assert context.error is not None
    assert low <= context.took_seconds <= high, context.took_seconds
