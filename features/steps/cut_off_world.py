"""Routers before servers in virtual time, some of which are cut off from all servers.

The messages between routers are encoded and decoded as on a network, and can be lost or doubled.
"""

import asyncio
import collections
import contextlib
import math
import random
from unittest.mock import AsyncMock

import msgspec
from crash_world import HOST, KEY, OneVersionHistory, WorldBudget, WorldConfiguration, WorldOrigins
from laburnumpier_core.errors import (
    PeerUnreachableError,
    RequestError,
    ServerConnectionLostError,
    ServerUnreachableError,
)
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import RESULT_CODE_TABLE
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.configuration.document import RouteKind
from laburnumpier_router.fleet.peer_link import PeerLink
from laburnumpier_router.fleet.service import LOCAL_PARTNERS, REMOTE_PARTNERS
from laburnumpier_router.forward import crash_messages
from laburnumpier_router.forward.crash_guard import CrashGuard
from laburnumpier_router.forward.exchange import ForwardRequest
from laburnumpier_router.forward.request_limiter import RequestLimiter
from laburnumpier_router.forward.retry_budget import RetryBudget
from laburnumpier_router.forward.server_rate_limits import ServerRateLimits
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.forward.service import build_forward_service
from laburnumpier_router.forward.stream_versions import StreamVersions
from laburnumpier_router.forward.time_limits import TimeLimits
from laburnumpier_router.intake.memory import make_caller_memory
from laburnumpier_router.notices.server_notices import ServerNotices
from laburnumpier_router.places import place_messages
from laburnumpier_router.places.place_keeper import build_place_keeper
from laburnumpier_router.ports.server_memory import make_server_memory
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_router.relay.feature import RelayFeature
from laburnumpier_router.relay.messages import MESSAGE_TYPES
from laburnumpier_router.response_end import EndMarker
from laburnumpier_standins.memory_network import MemoryPeerNetwork, NetworkHub
from laburnumpier_standins.virtual_loop import VirtualClock
from multidict import CIMultiDict, CIMultiDictProxy

HEARTBEAT_SECONDS = 1.0
ANSWER_SECONDS = 0.02
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 6)]
EVENT_SECONDS = 0.3
CHUNK_BYTES = 65536
NEVER_SECONDS = 3600.0


class CutServer:
    """A server that records which requests it ran.

    Attributes:
        slots: Requests that it runs at a time; it rejects others.
        running: Requests that it runs now.
        rejected: Times at which it rejected requests.
        arrivals: Time, router and attempt id of each request that it ran.
        left: Attempt ids of exchanges that were given up before their end.
    """

    def __init__(self, number):
        self.server_id = f"i-{number}"
        self.address = f"10.0.0.{number}:80"
        self.is_up = True
        self.slots = math.inf
        self.running = 0
        self.rejected = []
        self.arrivals = []
        self.bodies = []
        self.left = []
        self.probe_count = 0

    def run(self, seconds):
        """Runs a request, also if its answer does not get back to the router."""
        self.running += 1
        asyncio.get_running_loop().call_later(seconds, self._end_run)

    def _end_run(self):
        self.running -= 1


class CutExchange:
    """An answer that arrives as long as the connection of its router works."""

    def __init__(self, world, router, server, call, attempt_id):
        self._world = world
        self._router = router
        self._server = server
        self._call = call
        self._attempt_id = attempt_id
        self.status = 200
        media_type = "text/event-stream" if world.answer == "stream" else "text/plain"
        headers = [("Content-Type", media_type), ("X-Attempt-Id", attempt_id), *world.headers]
        self.headers = CIMultiDictProxy(CIMultiDict(headers))
        self.end_marker = world.end_marker

    async def pass_cut(self, seconds):
        """Waits, and then for the end of a cut that stops open connections too."""
        await asyncio.sleep(seconds)
        mode = self._world.cuts.get(self._router)
        if mode in ("hang", "accept and hang"):
            await asyncio.sleep(NEVER_SECONDS)
        if mode in ("reset", "accept and reset") or not self._server.is_up:
            raise ServerConnectionLostError("reset")

    async def iterate_chunks(self):
        """Yields the answer piece by piece."""
        for number, piece in enumerate(self._world.list_pieces(self._call)):
            is_later_event = number and self._world.answer == "stream"
            await self.pass_cut(self._world.event_seconds if is_later_event else 0)
            yield piece
        if self._world.breaks_off:
            raise ServerConnectionLostError("reset")

    async def read(self):
        """Returns the whole answer."""
        return b"".join([piece async for piece in self.iterate_chunks()])


class CutClient:
    """One router's direct way to the servers."""

    def __init__(self, world, router):
        self._world = world
        self._router = router

    @contextlib.asynccontextmanager
    async def open(self, call):
        """Sends a request as the cut of the router allows."""
        world = self._world
        server = world.find_server(call.address)
        mode = world.cuts.get(self._router)
        if mode == "hang":
            await asyncio.sleep(call.connect_timeout_seconds)
            raise ServerUnreachableError("timeout")
        if mode in ("reset", "refuse new ones"):
            raise ServerUnreachableError("refused")
        if mode == "accept and hang":
            await asyncio.sleep(NEVER_SECONDS)
        if mode == "accept and reset":
            raise ServerConnectionLostError("reset")
        await asyncio.sleep(0.001)
        if not server.is_up:
            raise ServerUnreachableError("refused")
        attempt_id = call.headers.get("X-Attempt-Id", "")
        if call.headers["X-Expected-Instance"] != server.server_id:
            server.probe_count += 1
            yield MisdirectedExchange()
            return
        now = asyncio.get_running_loop().time()
        if server.running >= server.slots:
            server.rejected.append(now)
            yield FullExchange(world, attempt_id)
            return
        server.arrivals.append((now, self._router, attempt_id))
        server.bodies.append(call.body)
        world.calls.append(call)
        exchange = CutExchange(world, self._router, server, call, attempt_id)
        server.run(world.answer_seconds)
        try:
            await exchange.pass_cut(world.answer_seconds)
            yield exchange
        except (asyncio.CancelledError, GeneratorExit):
            server.left.append(attempt_id)
            raise

    async def is_refusing(self, address):
        """Returns whether connections are refused."""
        await asyncio.sleep(0.001)
        mode = self._world.cuts.get(self._router)
        return mode in ("reset", "refuse new ones") or not self._world.find_server(address).is_up

    async def is_accepting(self, address):
        """Returns whether connections are accepted."""
        await asyncio.sleep(0.001)
        mode = self._world.cuts.get(self._router)
        is_accepted = mode is None or mode.startswith("accept")
        return is_accepted and self._world.find_server(address).is_up

    async def close(self):
        """Does nothing."""


class MisdirectedExchange:
    """The answer to a request for another server."""

    status = 421
    headers = CIMultiDictProxy(CIMultiDict())
    end_marker = EndMarker.LENGTH

    async def iterate_chunks(self):
        """Yields nothing."""
        for chunk in ():
            yield chunk


class FullExchange:
    """The answer of a server that has no room for a request."""

    status = 503
    end_marker = EndMarker.LENGTH

    def __init__(self, world, attempt_id):
        headers = [("X-Attempt-Id", attempt_id), ("X-Not-Executed", "1"), *world.headers]
        self.headers = CIMultiDictProxy(CIMultiDict(headers))


class CutFleet:
    """The other routers as one router sees them, with faults in the messages to them.

    A router that was killed counts as live for the whole play.
    """

    def __init__(self, world, name, link):
        self._world = world
        self._link = link
        self.self_name = name

    def list_peers(self):
        """Returns the other routers."""
        names = [*self._world.routers, *self._world.killed]
        return [name for name in names if name != self.self_name]

    def is_near(self, peer):
        """Returns that all routers are in one data centre."""
        return True

    def find_home(self, key):
        """Returns this router."""
        return self.self_name

    def count_vms(self):
        """Returns the number of routers."""
        return len(self._world.routers)

    async def send_heartbeats(self):
        """Exchanges heartbeats with the partners now."""
        self._world.exchange_heartbeats_of(self.self_name)

    async def call(self, peer, message, timeout_seconds):
        """Sends a message, unless it or its reply is to be lost."""
        kind = type(message).__name__
        self._world.sent[kind] += 1
        self._world.sent_to[kind, peer] += 1
        if self._world.take_fault("lost message", kind):
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        if self._world.take_fault("doubled message", kind):
            await self._link.call(peer, peer, message, timeout_seconds)
        reply = await self._link.call(peer, peer, message, timeout_seconds)
        if kind == self._world.kill_after:
            self._world.kill_after = ""
            self._world.kill(peer)
        if self._world.take_fault("lost reply", kind):
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        return reply


class RecordingSink:
    """Takes the response of a request, each piece after a time."""

    def __init__(self, piece_seconds):
        self._piece_seconds = piece_seconds
        self.started = self.finished = self.aborted = False
        self.has_explicit_end = True
        self.status = None
        self.headers = None
        self.pieces = []

    @property
    def body(self):
        """What was received."""
        return b"".join(piece for _, piece in self.pieces)

    async def send_complete(self, status, headers, body, *, has_explicit_end):
        """Takes a whole response."""
        self.status, self.headers = status, headers
        self.has_explicit_end = has_explicit_end
        self.pieces.append((asyncio.get_running_loop().time(), body))
        self.started = self.finished = True

    async def start_stream(self, status, headers, *, has_explicit_end):
        """Takes the head of a stream."""
        self.status, self.headers = status, headers
        self.has_explicit_end = has_explicit_end
        self.started = True

    async def send_chunk(self, data):
        """Takes a piece."""
        await asyncio.sleep(self._piece_seconds)
        self.pieces.append((asyncio.get_running_loop().time(), data))

    async def finish_stream(self):
        """Takes the end."""
        self.finished = True

    def abort(self):
        """Takes the abort."""
        self.aborted = True


class CutRouter:
    """The forwarding part of a router that may relay."""

    def __init__(self, world, name):
        clock = VirtualClock()
        self.metrics = metrics = Metrics()
        self.table = table = ServerTable()
        self.network = MemoryPeerNetwork(hub=world.hub, address=name)
        self.link = PeerLink(
            network=self.network,
            self_name=name,
            token="t",
            message_types=(
                *MESSAGE_TYPES,
                *crash_messages.MESSAGE_TYPES,
                *place_messages.MESSAGE_TYPES,
            ),
            metrics=metrics,
        )
        self.fleet = CutFleet(world, name, self.link)
        for server in world.servers:
            table.upsert(
                RegisteredServer(
                    server_id=server.server_id, service="s", address=server.address, slots=32
                )
            )
        self.relay = RelayFeature(
            client=CutClient(world, name),
            dialect=PlatformDialect(),
            fleet=self.fleet,
            table=table,
            clock=clock,
            metrics=metrics,
            random_source=random.Random(name),
            memory=make_caller_memory(0),
            server_memory=make_server_memory(0),
        )
        self.relay.register_handlers(self.link)
        limits = ServerRateLimits(clock=clock, metrics=metrics)
        self.places = build_place_keeper(
            fleet=self.fleet, clock=clock, metrics=metrics, random_source=random.Random(3)
        )
        home = self.places.home
        self.link.register_handler(place_messages.AskPlace, home.handle_ask_place)
        self.link.register_handler(place_messages.ReturnPlaces, home.handle_return_places)
        self.link.register_handler(place_messages.HoldPlaces, home.handle_hold_places)
        self.guard = CrashGuard(
            fleet=self.fleet, table=table, client=self.relay.client, clock=clock, metrics=metrics
        )
        self.service = build_forward_service(
            configuration=world.configuration,
            budget=WorldBudget(),
            table=table,
            client=self.relay.client,
            crash_guard=self.guard,
            stream_versions=StreamVersions(
                origins=WorldOrigins(),
                history=OneVersionHistory(),
                confirm_history=AsyncMock(return_value=True),
                table=table,
                metrics=metrics,
            ),
            dialect=PlatformDialect(),
            retry_budget=RetryBudget(ratio=0.2, extra=20, window_seconds=10),
            rate_limits=limits,
            limiter=RequestLimiter(
                fleet=self.fleet,
                limits=limits,
                clock=clock,
                metrics=metrics,
                random_source=random.Random(2),
            ),
            notices=ServerNotices(clock=clock, metrics=metrics),
            places=self.places,
            time_limits=TimeLimits(),
            clock=clock,
            metrics=metrics,
            random_source=random.Random(name),
            data_centre="here",
        )


class Attempt:
    """A request of a caller and what came of it; times in seconds of the event loop."""

    def __init__(self, attempt_id, router, sent_seconds, piece_seconds):
        self.attempt_id = attempt_id
        self.router = router
        self.sent_seconds = sent_seconds
        self.took_seconds = None
        self.sink = RecordingSink(piece_seconds)
        self.error = None

    @property
    def is_served(self):
        """Whether the caller has a whole answer."""
        return self.sink.finished and self.sink.status == 200

    @property
    def status(self):
        """HTTP status for the caller."""
        if self.error is not None:
            return RESULT_CODE_TABLE[self.error.code].http_status
        return self.sink.status


class CutWorld:
    """Routers and servers.

    Attributes:
        cuts: How connections to servers fail, by router that is cut off.
        sent: Number of messages between routers by type.
        faults: Number of messages that are still to be lost or doubled, by fault and type.
        kill_after: Type of message after whose handling the receiver is killed.
    """

    def __init__(self, routers, servers):
        self.hub = NetworkHub()
        self.cuts = {}
        self.answer = "text"
        self.answer_seconds = ANSWER_SECONDS
        self.headers = []
        self.end_marker = EndMarker.LENGTH
        self.body = b"done"
        self.events = EVENTS
        self.event_seconds = EVENT_SECONDS
        self.caller_seconds = 0.0
        self.breaks_off = False
        self.calls = []
        self.sent = collections.Counter()
        self.sent_to = collections.Counter()
        self.faults = collections.Counter()
        self.kill_after = ""
        self.attempts = []
        self.servers = [CutServer(number) for number in range(servers)]
        self.configuration = WorldConfiguration(RouteKind.NON_IDEMPOTENT)
        self.set_route(RouteKind.NON_IDEMPOTENT)
        self.routers = {}
        self.killed = {}
        for number in range(routers):
            name = f"r{number}"
            self.routers[name] = CutRouter(self, name)

    def set_route(self, kind, limit_seconds=4.0):
        """Makes all requests of a kind."""
        document = WorldConfiguration(kind).configuration
        route = msgspec.structs.replace(
            document.routes["r"], time_limit_seconds=limit_seconds, target_latency_seconds=0.3
        )
        self.configuration.configuration = msgspec.structs.replace(document, routes={"r": route})

    async def start(self):
        """Lets all routers listen, and exchange heartbeats."""
        for router in self.routers.values():
            await router.link.start()
        self._heartbeats = asyncio.create_task(self._exchange_heartbeats())

    async def stop(self):
        """Ends all that is in progress."""
        self._heartbeats.cancel()
        await asyncio.gather(self._heartbeats, return_exceptions=True)
        for router in [*self.routers.values(), *self.killed.values()]:
            await router.relay.close()
            await router.places.close()
            await router.guard.close()

    def find_server(self, address):
        """Returns the server at an address."""
        return next(server for server in self.servers if server.address == address)

    def list_pieces(self, call):
        """Returns the pieces of an answer."""
        if self.answer == "stream":
            return self.events
        size = CHUNK_BYTES
        return [self.body[start : start + size] for start in range(0, len(self.body), size)]

    def take_fault(self, fault, kind):
        """Returns whether the next message of a type has a fault."""
        if not self.faults[fault, kind]:
            return False
        self.faults[fault, kind] -= 1
        return True

    def kill(self, name):
        """Ends a router without a word; what it sends does not arrive any more."""
        self.hub.isolated.add(name)
        if name in self.routers:
            self.killed[name] = self.routers.pop(name)

    async def _exchange_heartbeats(self):
        """Exchanges heartbeats between partners within the usual interval, in both directions."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, router in list(self.routers.items()):
                self.exchange_heartbeats_of(name)
                router.places.tell_held()
                router.places.home.maintain()

    def exchange_heartbeats_of(self, name):
        """Exchanges heartbeats of a router with its partners."""
        router = self.routers[name]
        peers = rank_by_rendezvous(name, router.fleet.list_peers())
        for peer in peers[: LOCAL_PARTNERS + REMOTE_PARTNERS]:
            if peer not in self.routers:
                continue
            other = self.routers[peer]
            other.relay.monitor.adopt(name, router.relay.monitor.make_reach())
            router.relay.monitor.adopt(peer, other.relay.monitor.make_reach())
            other.places.adopt(router.places.servers.list_told())
            router.places.adopt(other.places.servers.list_told())

    async def send(self, name, body=None):
        """Sends a caller's request to a router, and returns what came of it.

        Requests with the same body could be taken for one that crashes servers.
        """
        loop = asyncio.get_running_loop()
        attempt_id = f"a{len(self.attempts)}"
        attempt = Attempt(attempt_id, name, loop.time(), self.caller_seconds)
        self.attempts.append(attempt)
        headers = CIMultiDict(
            {"Host": HOST, "X-Attempt-Id": attempt.attempt_id, "Authorization": f"Token {KEY}"}
        )
        if self.answer == "stream":
            headers["X-Token-Usage"] = "10,30"
        request = ForwardRequest(
            method="POST",
            target="/shop/2f?x=1%20y",
            host=HOST,
            headers=CIMultiDictProxy(headers),
            body=body or attempt_id.encode(),
            head=PlatformDialect().read_request(CIMultiDictProxy(headers)),
            received_seconds=loop.time(),
        )
        router = self.routers[name]
        try:
            await router.service.serve(request, attempt.sink)
        except RequestError as error:
            attempt.error = error
        attempt.took_seconds = loop.time() - attempt.sent_seconds
        return attempt

    async def send_requests(self, per_second, seconds):
        """Sends requests to each router at a rate, and waits until all have ended."""
        tasks = []
        for _ in range(round(per_second * seconds)):
            tasks += [asyncio.create_task(self.send(name)) for name in list(self.routers)]
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    def count_runs(self, attempt_id):
        """Returns how often a request ran, at all servers."""
        return sum(a == attempt_id for server in self.servers for _, _, a in server.arrivals)

    def count_events(self, name):
        """Returns a counter, of all routers together."""
        routers = [*self.routers.values(), *self.killed.values()]
        return sum(router.metrics.counters.get(name, 0) for router in routers)
