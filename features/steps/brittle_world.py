"""Brittle servers and routers in virtual time: servers that fall over when they have to reject."""

import asyncio
import collections
import contextlib
import dataclasses
import random
from unittest.mock import AsyncMock

from crash_world import (
    HOST,
    KEY,
    OneVersionHistory,
    WorldBudget,
    WorldConfiguration,
    WorldOrigins,
    WorldSink,
)
from laburnumpier_core.errors import (
    PeerUnreachableError,
    RequestError,
    ServerConnectionLostError,
    ServerUnreachableError,
)
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.metrics import Metrics
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.configuration.document import RouteKind
from laburnumpier_router.forward.crash_guard import CrashGuard
from laburnumpier_router.forward.exchange import ForwardRequest
from laburnumpier_router.forward.request_limiter import RequestLimiter
from laburnumpier_router.forward.retry_budget import RetryBudget
from laburnumpier_router.forward.server_rate_limits import ServerRateLimits
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.forward.service import build_forward_service
from laburnumpier_router.forward.stream_versions import StreamVersions
from laburnumpier_router.forward.time_limits import TimeLimits
from laburnumpier_router.notices.server_notices import ServerNotices
from laburnumpier_router.places.place_keeper import build_place_keeper
from laburnumpier_router.places.place_messages import AskPlace, HoldPlaces, ReturnPlaces
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_router.response_end import EndMarker
from laburnumpier_standins.virtual_loop import VirtualClock
from multidict import CIMultiDict, CIMultiDictProxy

RUN_SECONDS = (0.15, 0.45)
MEAN_RUN_SECONDS = 0.3
USUAL_ROOM = 40
"""Requests that a server lets wait in usual times."""
FALLEN_SECONDS = 3.0
PEER_SECONDS = 0.002
SERVER_SECONDS = 0.001
"""Time of a message between two routers, and from a router to a server."""
SUSPICION_SECONDS = 5.0
HEARTBEAT_SECONDS = 1.0
HEARTBEAT_PARTNERS = 6
EVENTS = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class BrittleAttempt:
    """What is known of a request, times in seconds of the event loop."""

    sent_seconds: float
    router: str
    runs: int = 0
    ended_seconds: float = 0.0
    is_whole: bool = False
    error: RequestError | None = None


class BrittleServer:
    """A server that runs some requests at a time, lets some wait, and rejects the others.

    Attributes:
        notice: Value of its notice; None for none.
        room: Number of requests that it lets wait.
        max_rejects: Rejections in a second above which it falls over; None for never.
        falls: Times at which it fell over.
        rejects: Times at which it rejected.
        ends: Times at which requests were complete.
    """

    def __init__(self, world, number, slots):
        """Creates a server that runs."""
        self._world = world
        self.server_id = f"i-{number}"
        self.address = f"10.0.0.{number}:80"
        self.slots = slots
        self.started_ms = 1
        self.notice = None
        self.room = USUAL_ROOM
        self.max_rejects = None
        self.is_up = True
        self.fallen = asyncio.Event()
        self.running = 0
        self.waiting = collections.deque()
        self.falls = []
        self.rejects = []
        self.ends = []

    def fall(self):
        """Ends all requests and refuses connections for some seconds."""
        loop = asyncio.get_running_loop()
        self.falls.append(loop.time())
        self.stop()
        loop.call_later(FALLEN_SECONDS, self.start)

    def stop(self):
        """Ends all requests."""
        self.is_up = False
        self.fallen.set()

    def start(self):
        """Starts again, as another process with the same id."""
        self.fallen = asyncio.Event()
        self.running = 0
        self.waiting.clear()
        self.is_up = True
        self.started_ms += 1
        self._world.register(self)

    def reject(self):
        """Records a rejection, which may be one too many."""
        now = asyncio.get_running_loop().time()
        self.rejects.append(now)
        count = sum(seconds > now - 1.0 for seconds in self.rejects[-2000:])
        if self.max_rejects is not None and count > self.max_rejects:
            self.fall()

    @contextlib.asynccontextmanager
    async def take_slot(self):
        """Waits for a slot; yields False if there is no room to wait."""
        if self.running >= self.slots and len(self.waiting) >= self.room:
            yield False
            return
        fallen = self.fallen
        if self.running < self.slots:
            self.running += 1
        else:
            await self._wait_for_slot(fallen)
        try:
            yield True
        finally:
            if fallen is self.fallen and not fallen.is_set():
                self._free_slot()

    async def _wait_for_slot(self, fallen):
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await race(turn, fallen)
        except BaseException:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif not fallen.is_set():
                self._free_slot()
            raise

    def _free_slot(self):
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


async def race(awaitable, fallen):
    """Waits for something, unless the server falls over meanwhile."""
    task = asyncio.ensure_future(awaitable)
    fall = asyncio.ensure_future(fallen.wait())
    try:
        await asyncio.wait({task, fall}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        fall.cancel()
        if not task.done():
            task.cancel()
    if fallen.is_set():
        raise ServerConnectionLostError("reset by peer")


class BrittleExchange:
    """An answer of a brittle server."""

    end_marker = EndMarker.CHUNKS

    def __init__(self, server, attempt_id, *, is_streaming, is_rejected=False):
        """Creates an exchange whose head has arrived."""
        self._server = server
        self._fallen = server.fallen
        self.status = 503 if is_rejected else 200
        is_stream = is_streaming and not is_rejected
        headers = {"X-Attempt-Id": attempt_id}
        headers["Content-Type"] = "text/event-stream" if is_stream else "text/plain"
        headers["X-Server-Load"] = f"{server.running},{len(server.waiting)},{server.slots}"
        if server.notice is not None:
            headers["Server-Brittle"] = server.notice
        if is_rejected:
            headers["X-Not-Executed"] = "1"
        self.headers = CIMultiDictProxy(CIMultiDict(headers))

    async def iterate_chunks(self):
        """Yields the events over the time that the request runs."""
        for number in range(1, EVENTS + 1):
            await race(asyncio.sleep(MEAN_RUN_SECONDS / EVENTS), self._fallen)
            yield f"id: {number}\ndata: x\n\n".encode()
        self._server.ends.append(asyncio.get_running_loop().time())

    async def read(self):
        """Returns a body."""
        return b"done"


class BrittleClient:
    """Sends requests of one router to the servers."""

    def __init__(self, world, router):
        """Creates the client."""
        self._world = world
        self._router = router

    @contextlib.asynccontextmanager
    async def open(self, call):
        """Sends a request and waits for the head of its answer."""
        world, server = self._world, self._world.find_server(call.address)
        await asyncio.sleep(SERVER_SECONDS)
        if not server.is_up:
            raise ServerUnreachableError("refused")
        if call.method == "OPTIONS":
            yield None
            return
        attempt_id = call.headers["X-Attempt-Id"]
        async with server.take_slot() as has_slot:
            is_streaming = world.is_streaming
            if not has_slot:
                fallen = server.fallen
                exchange = BrittleExchange(
                    server, attempt_id, is_streaming=is_streaming, is_rejected=True
                )
                server.reject()
                if fallen.is_set():
                    raise ServerConnectionLostError("reset by peer")
                yield exchange
                return
            world.attempts[attempt_id].runs += 1
            if not is_streaming:
                run_seconds = world.random.uniform(*RUN_SECONDS)
                await race(asyncio.sleep(run_seconds), server.fallen)
                server.ends.append(asyncio.get_running_loop().time())
            yield BrittleExchange(server, attempt_id, is_streaming=is_streaming)

    async def is_refusing(self, address):
        """Returns whether a server is down."""
        return not self._world.find_server(address).is_up

    async def is_accepting(self, address):
        """Returns whether a server is up."""
        return self._world.find_server(address).is_up

    async def close(self):
        """Does nothing."""


class BrittleFleet:
    """The other routers, as one router sees them; what it does not hear of is suspected late."""

    def __init__(self, world, name):
        """Creates the view of a router."""
        self._world = world
        self.self_name = name

    def list_peers(self):
        """Returns the other routers."""
        return [name for name in self._list_live() if name != self.self_name]

    def find_home(self, key):
        """Returns the router on which a key is placed."""
        return rank_by_rendezvous(key, self._list_live())[0]

    def count_vms(self):
        """Returns the number of routers that are not proven to have ended."""
        return self._world.vm_count

    def count_live_vms(self):
        """Returns the number of routers that this one hears of."""
        return len(self._list_live())

    def _list_live(self):
        return self._world.list_live(self.self_name)

    async def send_heartbeats(self):
        """Sends a heartbeat to each partner now."""
        await asyncio.sleep(PEER_SECONDS)
        if self.self_name in self._world.routers:
            self._world.exchange_heartbeat(self.self_name)

    async def call(self, peer, message, timeout_seconds):
        """Calls the handler of another router, unless it is not reached."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await asyncio.sleep(PEER_SECONDS)
                if not self._world.is_reached(self.self_name, peer):
                    await asyncio.sleep(timeout_seconds)
                home = self._world.routers[peer].places.home
                handlers = {
                    AskPlace: home.handle_ask_place,
                    ReturnPlaces: home.handle_return_places,
                    HoldPlaces: home.handle_hold_places,
                }
                answer = await handlers[type(message)](self.self_name, message)
                await asyncio.sleep(PEER_SECONDS)
                return answer
        except (TimeoutError, KeyError) as error:
            raise PeerUnreachableError(peer) from error


class BrittleRouter:
    """The forwarding part of a router."""

    def __init__(self, world, name):
        """Creates a router that has just started."""
        clock, metrics = VirtualClock(), Metrics()
        self.table, client = ServerTable(), BrittleClient(world, name)
        self.metrics = metrics
        # In order, so that a kill cancels them in the same order in each play.
        self.tasks = {}
        fleet = BrittleFleet(world, name)
        limits = ServerRateLimits(clock=clock, metrics=metrics)
        seed = f"{name}-{world.random.random()}"
        self.places = build_place_keeper(
            fleet=fleet, clock=clock, metrics=metrics, random_source=random.Random(seed)
        )
        self.service = build_forward_service(
            configuration=world.configuration,
            budget=WorldBudget(),
            table=self.table,
            client=client,
            crash_guard=CrashGuard(
                fleet=fleet, table=self.table, client=client, clock=clock, metrics=metrics
            ),
            stream_versions=StreamVersions(
                origins=WorldOrigins(),
                history=OneVersionHistory(),
                confirm_history=AsyncMock(return_value=True),
                table=self.table,
                metrics=metrics,
            ),
            dialect=PlatformDialect(),
            retry_budget=RetryBudget(ratio=0.2, extra=20, window_seconds=10),
            rate_limits=limits,
            limiter=RequestLimiter(
                fleet=fleet,
                limits=limits,
                clock=clock,
                metrics=metrics,
                random_source=random.Random(seed),
            ),
            places=self.places,
            notices=ServerNotices(clock=clock, metrics=metrics),
            time_limits=TimeLimits(),
            clock=clock,
            metrics=metrics,
            random_source=random.Random(seed),
            data_centre="here",
        )
        self.teller = asyncio.create_task(self.places.tell_periodically())


class BrittleWorld:
    """Routers before brittle servers, with callers that want more than the servers can run.

    Attributes:
        attempts: All requests by attempt id.
        lost_since: Time at which each router died.
        sides: Side of each router in a cut; empty without a cut.
        cut_since: Time of the last cut.
        vm_count: Number of routers that are not proven to have ended.
    """

    def __init__(self, routers, servers, slots, seed):
        """Creates routers and servers that run."""
        self.random = random.Random(seed)
        self.is_streaming = False
        self.attempts = {}
        self.lost_since = {}
        self.sides = {}
        self.cut_since = 0.0
        self.vm_count = routers
        self.refused_routers = set()
        self.configuration = WorldConfiguration(RouteKind.IDEMPOTENT)
        self.routers = {}
        self.servers = [BrittleServer(self, number, slots) for number in range(servers)]
        for number in range(1, routers + 1):
            self.start_router(f"r{number}")

    def use_streams(self):
        """Makes all requests streams."""
        self.is_streaming = True
        self.configuration = WorldConfiguration(RouteKind.STREAM)
        for router in list(self.routers):
            self.kill_router(router)
            self.start_router(router)

    @property
    def capacity_per_second(self):
        """Requests a second that the servers can run."""
        return sum(server.slots for server in self.servers) / MEAN_RUN_SECONDS

    def start_router(self, name):
        """Starts a router, which knows nothing of before."""
        self.lost_since.pop(name, None)
        self.routers[name] = BrittleRouter(self, name)
        for server in self.servers:
            self._upsert(self.routers[name], server)

    def kill_router(self, name):
        """Kills a router with all its requests."""
        self.lost_since[name] = asyncio.get_running_loop().time()
        router = self.routers.pop(name)
        router.teller.cancel()
        for task in list(router.tasks):
            task.cancel()

    def register(self, server):
        """Shows all routers the newest entry of a server."""
        for router in self.routers.values():
            self._upsert(router, server)

    def _upsert(self, router, server):
        router.table.upsert(
            RegisteredServer(
                server_id=server.server_id,
                service="s",
                address=server.address,
                slots=server.slots,
                started_ms=server.started_ms,
            )
        )

    def find_server(self, address):
        """Returns the server at an address."""
        return next(server for server in self.servers if server.address == address)

    def is_reached(self, router, peer):
        """Returns whether a router reaches another one."""
        is_cut = self.sides and self.sides.get(router) != self.sides.get(peer)
        return peer in self.routers and not is_cut

    def list_live(self, router):
        """Returns the routers that a router believes to be live."""
        now = asyncio.get_running_loop().time()
        live = list(self.routers)
        if self.sides and now > self.cut_since + SUSPICION_SECONDS:
            live = [name for name in live if self.is_reached(router, name)]
        lost = self.lost_since.items()
        return live + [name for name, since in lost if now <= since + SUSPICION_SECONDS]

    async def exchange_heartbeats(self):
        """Tells partners which servers are brittle, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name in list(self.routers):
                self.exchange_heartbeat(name)

    def exchange_heartbeat(self, name):
        """Exchanges a heartbeat with each partner of a router."""
        router = self.routers[name]
        partners = rank_by_rendezvous(name, [n for n in self.routers if n != name])
        for partner in partners[:HEARTBEAT_PARTNERS]:
            if self.is_reached(name, partner):
                other = self.routers[partner]
                other.places.adopt(router.places.servers.list_told())
                router.places.adopt(other.places.servers.list_told())

    async def send_requests(self, rate, seconds):
        """Sends requests at random routers, and waits until all have ended."""
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + seconds
        tasks = []
        while loop.time() < end_seconds:
            await asyncio.sleep(self.random.expovariate(rate))
            name = self.random.choice(list(self.routers))
            router = self.routers[name]
            task = asyncio.create_task(self.send_request(name, router))
            router.tasks[task] = name
            task.add_done_callback(lambda task, tasks=router.tasks: tasks.pop(task, None))
            tasks.append(task)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def send_request(self, name, router):
        """Sends a request and waits until it has ended."""
        loop = asyncio.get_running_loop()
        attempt_id = f"a{len(self.attempts)}"
        attempt = BrittleAttempt(sent_seconds=loop.time(), router=name)
        self.attempts[attempt_id] = attempt
        headers = CIMultiDictProxy(
            CIMultiDict({"X-Attempt-Id": attempt_id, "Authorization": f"Token {KEY}"})
        )
        request = ForwardRequest(
            method="POST",
            target="/shop/x",
            host=HOST,
            headers=headers,
            body=b"body " + attempt_id.encode(),
            head=PlatformDialect().read_request(headers),
            received_seconds=loop.time(),
        )
        sink = WorldSink()
        try:
            await router.service.serve(request, sink)
        except RequestError as error:
            attempt.error = error
        attempt.is_whole = sink.finished
        attempt.ended_seconds = loop.time()
