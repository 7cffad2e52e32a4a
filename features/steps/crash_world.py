"""A small world in virtual time: routers, servers that crash or name limits, and callers."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
from unittest.mock import AsyncMock

import msgspec
from laburnumpier_core.errors import (
    PeerUnreachableError,
    RequestError,
    ServerConnectionLostError,
    ServerUnreachableError,
)
from laburnumpier_core.hashing import hash_key, rank_by_rendezvous
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.cold.cold_servers import ColdServers
from laburnumpier_router.cold.messages import AskColdPermit
from laburnumpier_router.cold.permits import ColdPermits
from laburnumpier_router.configuration.document import (
    Configuration,
    EngineProfile,
    Route,
    RouteKind,
    Service,
    WeightedService,
    Workspace,
)
from laburnumpier_router.fleet.member import Member
from laburnumpier_router.forward.crash_guard import CrashGuard
from laburnumpier_router.forward.crash_messages import AskTrial, CrashSeen, TellParts
from laburnumpier_router.forward.exchange import ForwardRequest
from laburnumpier_router.forward.permit_messages import AskPermit
from laburnumpier_router.forward.request_limiter import RequestLimiter
from laburnumpier_router.forward.retry_budget import RetryBudget
from laburnumpier_router.forward.server_rate_limits import ServerRateLimits
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.forward.service import build_forward_service
from laburnumpier_router.forward.stream_versions import StreamVersions
from laburnumpier_router.forward.time_limits import TimeLimits
from laburnumpier_router.notices.server_notices import ServerNotices
from laburnumpier_router.places.place_keeper import build_place_keeper
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_router.response_end import EndMarker
from laburnumpier_standins.virtual_loop import VirtualClock
from multidict import CIMultiDict, CIMultiDictProxy

HOST = "shop.example"
KEY = "secret"
PREFILL_SECONDS = (0.05, 0.4)
EVENT_COUNT = 6
EVENT_SECONDS = 0.15
HEARTBEAT_SECONDS = 1.0
PEER_SECONDS = 0.003
RESTART_SECONDS = (1.5, 3.0)


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """What is known of a request, times in seconds of the event loop."""

    sent_seconds: float
    guilty_part: str
    body: str = ""
    arrivals: list[float] = dataclasses.field(default_factory=list)
    has_begun: bool = False
    is_whole: bool = False
    took_seconds: float = 0.0
    error: RequestError | None = None


class CrashingServer:
    """A server that crashes when it begins to answer certain prompts.

    Attributes:
        limit: What it names as its limit in its answers; None for nothing.
        arrivals: Time and router of each request that reached it.
        told: Time at which each router first had an answer with a limit.
        notices: Further headers of its answers.
        is_rejecting: Whether it rejects all requests as not run.
        noticed: Times at which each router had an answer with such headers.
    """

    def __init__(self, world, number):
        """Creates a server that runs."""
        self._world = world
        self.server_id = f"i-{number}"
        self.address = f"10.0.0.{number}:80"
        self.is_up = True
        self.crashed = asyncio.Event()
        self.limit = None
        self.arrivals = []
        self.told = {}
        self.notices = {}
        self.is_rejecting = False
        self.noticed = {}

    def crash(self):
        """Resets all connections and closes the port, for some seconds."""
        self.is_up = False
        self.crashed.set()
        delay_seconds = self._world.random.uniform(*RESTART_SECONDS)
        asyncio.get_running_loop().call_later(delay_seconds, self._start_again)

    def _start_again(self):
        self.is_up = True
        self.crashed = asyncio.Event()


class CrashingExchange:
    """The answer of a crashing server."""

    def __init__(self, world, server, call, parts):
        """Creates an exchange whose head has arrived."""
        attempt_id = call.headers["X-Attempt-Id"]
        self._world = world
        self._call = call
        self._crashed = server.crashed
        self._server = server
        self._attempt_id = attempt_id
        self._parts = parts
        self.status = 200
        media_type = "text/event-stream" if world.is_streaming else "text/plain"
        headers = {"Content-Type": media_type, "X-Attempt-Id": attempt_id}
        if server.limit is not None:
            headers["Server-Limit"] = server.limit
        headers.update(server.notices)
        if server.is_rejecting:
            self.status = 503
            headers["X-Not-Executed"] = "full"
        self.headers = CIMultiDictProxy(CIMultiDict(headers))
        self.end_marker = EndMarker.CHUNKS

    async def wait(self, seconds):
        """Waits, unless the server crashes meanwhile."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._crashed.wait()
        if self._crashed.is_set():
            raise ServerConnectionLostError("reset by peer")

    async def begin(self, events):
        """Crashes the server if it has written so many events of a guilty request."""
        guilty = self._world.find_guilty(self._parts) or self._world.find_guilty_call(self._call)
        if guilty and events == self._world.crash_after_events:
            self._world.record_crash(guilty)
            self._server.crash()
        await self.wait(0)

    async def iterate_chunks(self):
        """Yields the events."""
        for number in range(1, EVENT_COUNT + 1):
            await self.begin(number - 1)
            self._world.attempts[self._attempt_id].has_begun = True
            yield f"id: {number}\ndata: x\n\n".encode()
            # The first events leave a server together.
            await self.wait(0.01 if number <= 2 else EVENT_SECONDS)

    async def read(self):
        """Returns a body."""
        await self.begin(0)
        self._world.attempts[self._attempt_id].has_begun = True
        return b"done"


class CrashingClient:
    """Sends requests to the servers of a world."""

    def __init__(self, world, router):
        """Creates the client of a router."""
        self._world = world
        self._router = router

    @contextlib.asynccontextmanager
    async def open(self, call):
        """Sends a request and waits for its prompt to be read."""
        server = self._world.find_server(call.address)
        if not server.is_up:
            raise ServerUnreachableError("refused")
        if call.method == "OPTIONS":
            yield None
            return
        attempt_id = call.headers["X-Attempt-Id"]
        attempt = self._world.attempts[attempt_id]
        loop = asyncio.get_running_loop()
        attempt.arrivals.append(loop.time())
        server.arrivals.append((loop.time(), self._router))
        prefix = call.headers.get("X-Prompt-Prefix", "")
        parts = [part.partition(":")[0] for part in prefix.split(",")]
        exchange = CrashingExchange(self._world, server, call, parts)
        await exchange.wait(self._world.random.uniform(*PREFILL_SECONDS))
        if self._world.crash_after_events == 0:
            await exchange.begin(0)
        if "Server-Limit" in exchange.headers:
            server.told.setdefault(self._router, loop.time())
        if server.notices:
            server.noticed.setdefault(self._router, []).append(loop.time())
        yield exchange

    async def is_refusing(self, address):
        """Returns whether a server is down."""
        await asyncio.sleep(0.001)
        return not self._world.find_server(address).is_up

    async def is_accepting(self, address):
        """Returns whether a server is up."""
        return not await self.is_refusing(address)

    async def close(self):
        """Does nothing."""


class OneVersionHistory:
    """A history of servers that state no version."""

    def find_only_version(self, service, seconds):
        """Returns the only version."""
        return ""

    def has_several_versions(self, service, seconds):
        """Returns that there is one version."""
        return False


class WorldFleet:
    """The other routers of a world, as one router sees them."""

    def __init__(self, world, name):
        """Creates the view of a router."""
        self._world = world
        self.self_name = name

    def list_peers(self):
        """Returns the other routers."""
        return [name for name in self._world.routers if name != self.self_name]

    def find_home(self, key):
        """Returns the router on which a key is placed."""
        return rank_by_rendezvous(key, list(self._world.routers))[0]

    def count_vms(self):
        """Returns the number of routers."""
        return len(self._world.routers)

    def count_live_vms(self):
        """Returns the number of routers that this one hears of."""
        cut_off = self._world.cut_off
        return 1 if self.self_name in cut_off else len(self._world.routers) - len(cut_off)

    is_registered = True

    @property
    def member(self):
        """This router, each of which is alone on its VM."""
        return Member(
            incarnation=self.self_name, vm=self.self_name, data_centre="", peers_address=""
        )

    def map_vms(self):
        """Returns the routers by VM."""
        return {name: name for name in self._world.routers}

    async def call(self, peer, message, timeout_seconds):
        """Calls the handler of another router, unless one of the two is cut off."""
        await asyncio.sleep(PEER_SECONDS)
        if self._world.cut_off & {peer, self.self_name}:
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        if peer not in self._world.routers:
            raise PeerUnreachableError(peer)
        guard = self._world.routers[peer].guard
        handlers = {
            CrashSeen: guard.handle_crash_seen,
            TellParts: guard.handle_tell_parts,
            AskTrial: guard.handle_ask_trial,
            AskPermit: self._world.routers[peer].limiter.handle_ask_permit,
        }
        if isinstance(message, AskColdPermit):
            return await self._world.routers[peer].cold.handle_ask(self.self_name, message)
        return await handlers[type(message)](self.self_name, message)


class WorldConfiguration:
    """A configuration with one route."""

    number = 1
    confirmed_seconds = 0.0

    def __init__(self, kind):
        """Creates a configuration whose route is of a kind."""
        route = Route(
            host=HOST,
            path_prefix="/shop/",
            kind=kind,
            services=[WeightedService(service="s")],
            time_limit_seconds=20.0,
            target_latency_seconds=1.0,
            target_gap_seconds=0.3,
            max_attempts=3,
            resumable=kind is RouteKind.STREAM,
        )
        self.configuration = Configuration(
            routes={"r": route},
            services={"s": Service(engine=EngineProfile())},
            workspaces={"office": Workspace(budget_tokens=1000, key_hashes=[hash_key(KEY)])},
        )

    def find_workspace_of_key(self, key_hash):
        """Returns the only workspace."""
        return "office"


class WorldBudget:
    """A budget that grants everything, after a time."""

    wait_seconds = 0.0
    error = None

    async def reserve(self, workspace, amount, deadline_seconds):
        """Grants nothing to settle."""
        await asyncio.sleep(self.wait_seconds)
        if self.error is not None:
            raise self.error

    def settle_unbilled(self, reservation, used):
        """Does nothing."""


class WorldOrigins:
    """Origins of streams that nobody takes up."""

    def record(self, attempt_id, origin, keep_seconds):
        """Does nothing."""


class WorldSink:
    """Takes the response of a request."""

    has_explicit_end = True

    def __init__(self):
        """Creates a sink that has received nothing."""
        self.started = self.finished = self.aborted = False

    async def send_complete(self, status, headers, body, *, has_explicit_end):
        """Takes a whole response."""
        self.started = self.finished = True

    async def start_stream(self, status, headers, *, has_explicit_end):
        """Takes the head of a stream."""
        self.started = True

    async def send_chunk(self, data):
        """Takes a piece."""

    async def finish_stream(self):
        """Takes the end."""
        self.finished = True

    def abort(self):
        """Takes the abort."""
        self.aborted = True


class WorldRouter:
    """The forwarding part of a router."""

    def __init__(self, world, name):
        """Creates a router without evidence."""
        clock, metrics = VirtualClock(), Metrics()
        self.table = table = ServerTable()
        client = CrashingClient(world, name)
        for server in world.servers:
            table.upsert(
                RegisteredServer(
                    server_id=server.server_id, service="s", address=server.address, slots=32
                )
            )
        self.cold = None
        self.table = table
        self.fleet = WorldFleet(world, name)
        self.guard = CrashGuard(
            fleet=self.fleet, table=table, client=client, clock=clock, metrics=metrics
        )
        self.limits = ServerRateLimits(clock=clock, metrics=metrics)
        self.notices = ServerNotices(clock=clock, metrics=metrics)
        table.add_exclusion(self.notices.is_excluded)
        self.limiter = RequestLimiter(
            fleet=self.fleet,
            limits=self.limits,
            clock=clock,
            metrics=metrics,
            random_source=random.Random(2),
        )
        self.service = build_forward_service(
            configuration=world.configuration,
            budget=world.budget,
            table=table,
            client=client,
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
            rate_limits=self.limits,
            limiter=self.limiter,
            notices=self.notices,
            places=build_place_keeper(
                fleet=self.fleet, clock=clock, metrics=metrics, random_source=random.Random(3)
            ),
            time_limits=TimeLimits(),
            clock=clock,
            metrics=metrics,
            random_source=random.Random(1),
            data_centre="here",
        )

    def use_cold_permits(self, configuration, bound):
        """Requires permits for requests to cold servers."""
        clock, metrics = VirtualClock(), Metrics()
        self.cold = ColdPermits(
            fleet=self.fleet,
            servers=ColdServers(clock=clock, metrics=metrics),
            configuration=configuration,
            bound=bound,
            clock=clock,
            metrics=metrics,
            random_source=random.Random(self.fleet.self_name),
        )
        self.table.add_listener(self.cold.servers.note_entry)
        self.limiter._cold = self.cold

    def say_cold(self, server, cold_ms):
        """Puts a server into the registry that says it is cold."""
        known = self.table.servers[server.server_id].entry
        self.table.upsert(msgspec.structs.replace(known, cold_ms=cold_ms))


class CrashWorld:
    """Routers before servers, with callers whose prompts share their parts.

    Attributes:
        guilty_parts: Parts that crash servers.
        guilty_bodies: Bodies of requests that crash servers.
        popular_share: Share of the sound requests that have one path, caller and body.
        documents: Number of documents, one of which each sound prompt has as its third part.
        attempts: All requests by attempt id.
        crashes: Times of the crashes by part; those without a part under an empty one.
        cut_off: Routers that reach no other one.
    """

    def __init__(self, routers, servers, seed):
        """Creates routers and servers that run."""
        self.random = random.Random(seed)
        self.guilty_parts = []
        self.guilty_bodies = []
        self.popular_share = 0.0
        self.documents = 20
        self.crash_after_events = 0
        self.is_streaming = True
        self.has_prompts = True
        self.is_mended = False
        self.attempts = {}
        self.crashes = {}
        self.cut_off = set()
        self.servers = [CrashingServer(self, number) for number in range(servers)]
        self.configuration = WorldConfiguration(RouteKind.STREAM)
        self.budget = WorldBudget()
        self.routers = {}
        for number in range(1, routers + 1):
            self.start_router(f"r{number}")

    def use_plain_calls(self, kind=RouteKind.IDEMPOTENT):
        """Makes all requests calls without a stream."""
        self.is_streaming = False
        self.configuration.configuration = WorldConfiguration(kind).configuration

    def start_router(self, name):
        """Starts a router, which knows nothing of before."""
        self.routers[name] = WorldRouter(self, name)

    def find_server(self, address):
        """Returns the server at an address."""
        return next(server for server in self.servers if server.address == address)

    def find_guilty(self, parts):
        """Returns the part of a prompt that crashes servers; empty if there is none."""
        if self.is_mended:
            return ""
        return next((part for part in parts[:-1] if part in self.guilty_parts), "")

    def find_guilty_call(self, call):
        """Returns the body of a request if it crashes servers; empty if it does not."""
        body = call.body.decode()
        return "" if self.is_mended or body not in self.guilty_bodies else body

    def record_crash(self, part):
        """Records a crash now."""
        self.crashes.setdefault(part, []).append(asyncio.get_running_loop().time())

    async def exchange_heartbeats(self):
        """Passes blocked parts and limits on between all routers, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, router in list(self.routers.items()):
                for peer, other in list(self.routers.items()):
                    if peer != name and not self.cut_off & {name, peer}:
                        other.guard.adopt_blocks(name, router.guard.list_blocked_parts())
                        other.limits.adopt(router.limits.list_told())
                        other.notices.adopt(router.notices.list_told())

    async def crash_servers(self, interval_seconds):
        """Crashes a server that runs, again and again, until cancelled."""
        while True:
            await asyncio.sleep(interval_seconds)
            running = [server for server in self.servers if server.is_up]
            self.record_crash("")
            self.random.choice(running).crash()

    async def send_requests(self, rate, seconds, guilty_rate=0.0):
        """Sends requests at random routers, and waits until all have ended."""
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end_seconds:
                await asyncio.sleep(self.random.expovariate(rate + guilty_rate))
                is_guilty = self.random.random() < guilty_rate / (rate + guilty_rate)
                guilty = self.random.choice(self.guilty_parts) if is_guilty else ""
                group.create_task(self.send_request(guilty))

    async def repeat_guilty_requests(self, interval_seconds, seconds):
        """Sends the requests that crash servers in turn, each time at a random router."""
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + seconds
        bodies = itertools.cycle(self.guilty_bodies)
        async with asyncio.TaskGroup() as group:
            while loop.time() < end_seconds:
                await asyncio.sleep(interval_seconds)
                group.create_task(self.send_request("", body=next(bodies)))

    async def send_request(self, guilty, body=None, target="/shop/x"):
        """Sends a request with a part or a body that may be guilty; waits until it has ended."""
        loop = asyncio.get_running_loop()
        attempt_id = f"a{len(self.attempts)}"
        if body is None:
            is_popular = self.popular_share and self.random.random() < self.popular_share
            body = "popular" if is_popular else f"body-{attempt_id}"
        attempt = Attempt(sent_seconds=loop.time(), guilty_part=guilty, body=body)
        self.attempts[attempt_id] = attempt
        router = self.random.choice(list(self.routers.values()))
        parts = ["system", f"caller-{self.random.randrange(4)}"]
        parts.append(guilty or f"document-{self.random.randrange(self.documents)}")
        prefix = ",".join(f"{part}:100" for part in [*parts, f"own-{attempt_id}"])
        headers = CIMultiDict({"X-Attempt-Id": attempt_id, "Authorization": f"Token {KEY}"})
        if self.has_prompts:
            headers.update({"X-Token-Usage": "400,30", "X-Prompt-Prefix": prefix})
        headers = CIMultiDictProxy(headers)
        request = ForwardRequest(
            method="POST",
            target=target,
            host=HOST,
            headers=headers,
            body=body.encode(),
            head=PlatformDialect().read_request(headers),
            received_seconds=loop.time(),
        )
        sink = WorldSink()
        try:
            await router.service.serve(request, sink)
        except RequestError as error:
            attempt.error = error
        attempt.is_whole = sink.finished
        attempt.took_seconds = loop.time() - attempt.sent_seconds

    def list_refused(self):
        """Returns the requests that were refused for a blocked part."""
        return [
            attempt
            for attempt in self.attempts.values()
            if attempt.error is not None and attempt.error.code is ResultCode.PROMPT_BLOCKED
        ]

    def list_blocked(self):
        """Returns the parts that any router blocks."""
        blocks = [router.guard.list_blocked_parts() for router in self.routers.values()]
        return sorted({block.part for told in blocks for block in told})
