"""Steps for cold servers: permits across many routers, in virtual time and without a network."""

import asyncio
import random

from behave import given, then, when
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, Ran
from laburnumpier_router.cold.cold_servers import ColdServers
from laburnumpier_router.cold.messages import ColdServer
from laburnumpier_router.cold.permits import ColdPermits
from laburnumpier_router.cold.quota import ColdBound, find_grantor_vms
from laburnumpier_router.configuration.document import Configuration, Service
from laburnumpier_router.fleet.member import Member
from laburnumpier_router.ports.server_registry import RegisteredServer
from laburnumpier_standins.virtual_loop import VirtualClock

SERVER = RegisteredServer(
    server_id="i-1", service="s", address="10.0.0.1:1", cold_ms=20000, started_ms=1
)
PEER_SECONDS = (0.001, 0.02)
CONNECT_SECONDS = (0.001, 0.1)
RESTART_SECONDS = 0.3
PLAY_SECONDS = 20.0
TRY_SECONDS = 0.02


def run(context, coroutine):
    return context.virtual.run(coroutine)


def now():
    return asyncio.get_running_loop().time()


def count_most(arrivals, window_seconds=1.0):
    """Returns the largest number of arrivals within a window."""
    arrivals, most, first = sorted(arrivals), 0, 0
    for last, seconds in enumerate(arrivals):
        while arrivals[first] <= seconds - window_seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


class OneService:
    """A configuration with one service."""

    def __init__(self, rate):
        self.configuration = Configuration(
            services={"s": Service(cold_requests_per_second=rate, cold_start_seconds=3.0)}
        )


class ColdFleet:
    """The other routers, as one of them sees them."""

    is_registered = True

    def __init__(self, world, vm, sequence):
        self._world = world
        self.self_name = f"{vm}@{sequence}"
        self.member = Member(incarnation=self.self_name, vm=vm, data_centre="dc", peers_address="")

    def map_vms(self):
        """Returns the routers by VM, new ones a while after their start."""
        known = {
            vm: router.fleet.self_name
            for vm, router in self._world.routers.items()
            if now() >= self._world.known_from.get(vm, 0.0)
        }
        return {**known, self.member.vm: self.self_name}

    async def call(self, peer, message, timeout_seconds):
        """Asks another router."""
        vm = peer.partition("@")[0]
        await asyncio.sleep(self._world.random.uniform(*PEER_SECONDS))
        if self._world.is_silent(self.member.vm, vm):
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        reply = await self._world.routers[vm].permits.handle_ask(self.self_name, message)
        delay_seconds = self._world.random.uniform(*PEER_SECONDS) + self._world.late_seconds
        if delay_seconds > timeout_seconds:
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(peer)
        await asyncio.sleep(delay_seconds)
        return reply


class ColdRouter:
    """A router that sends to the cold server whenever it may."""

    def __init__(self, world, vm, sequence):
        clock = VirtualClock()
        self.fleet = ColdFleet(world, vm, sequence)
        servers = ColdServers(clock=clock, metrics=Metrics())
        servers.note_entry(SERVER)
        self.permits = ColdPermits(
            fleet=self.fleet,
            servers=servers,
            configuration=world.configuration,
            bound=world.bound,
            clock=clock,
            metrics=Metrics(),
            random_source=random.Random(self.fleet.self_name),
        )
        self.task = asyncio.create_task(self._send(world))

    async def _send(self, world):
        while True:
            await asyncio.sleep(TRY_SECONDS * world.random.uniform(0.5, 1.5))
            max_wait_seconds = world.random.choice((0.0, 0.0, 0.3))
            if self.permits.may_have_permit(SERVER) and await self.permits.acquire(
                SERVER, max_wait_seconds
            ):
                world.arrive()


class ColdWorld:
    """Routers before one cold server."""

    def __init__(self, routers, rate):
        self.random = random.Random(3)
        self.rate = rate
        self.configuration = OneService(rate)
        self.bound = ColdBound(overshoot=1.5, slack_requests=5.0)
        self.names = [f"vm-{number}" for number in range(routers)]
        self.routers, self.known_from, self.arrivals = {}, {}, []
        self.silent, self.sides, self.late_seconds, self.sequence = set(), {}, 0.0, 0

    @property
    def grantors(self):
        """The VMs that give permits at first."""
        return find_grantor_vms(SERVER.server_id, self.names)

    def is_silent(self, vm, other):
        """Whether a call fails."""
        is_cut = self.sides.get(vm) != self.sides.get(other)
        return is_cut or other in self.silent or other not in self.routers

    def start(self, vm):
        """Starts a router."""
        self.sequence += 1
        self.routers[vm] = ColdRouter(self, vm, self.sequence)

    def kill(self, vm):
        """Kills a router; what it has sent arrives nevertheless."""
        self.routers.pop(vm).task.cancel()

    def arrive(self):
        """Lets a request arrive after the time of its connection."""
        delay_seconds = self.random.uniform(*CONNECT_SECONDS)
        asyncio.get_running_loop().call_later(delay_seconds, lambda: self.arrivals.append(now()))


async def restart_all(world):
    for vm in world.names:
        world.kill(vm)
    await asyncio.sleep(RESTART_SECONDS)
    for vm in world.names:
        world.start(vm)


async def restart_one_by_one(world):
    for vm in world.names:
        world.kill(vm)
        await asyncio.sleep(RESTART_SECONDS)
        world.start(vm)


async def restart_grantors(world):
    for _ in range(3):
        for vm in world.grantors:
            world.kill(vm)
        await asyncio.sleep(RESTART_SECONDS)
        for vm in world.grantors:
            world.start(vm)
        await asyncio.sleep(3.5)


async def add_routers(world):
    for number in range(len(world.names)):
        vm = f"new-{number}"
        world.known_from[vm] = now() + world.random.uniform(0, 5)
        world.start(vm)
        await asyncio.sleep(0.05)


async def cut(world, find_side):
    world.sides = {vm: find_side(vm) for vm in world.names}


async def cut_in_two(world):
    await cut(world, lambda vm: world.names.index(vm) % 2)


async def cut_between_grantors(world):
    first = world.grantors[0]
    await cut(world, lambda vm: vm == first or world.names.index(vm) % 2 == 0)


async def cut_all(world):
    await cut(world, lambda vm: vm)


async def silence_one(world):
    world.silent = set(world.grantors[:1])


async def silence_both(world):
    world.silent = set(world.grantors)


async def delay_answers(world):
    world.late_seconds = 0.14


async def do_nothing(world):
    pass


TROUBLES = {
    "nothing happens": do_nothing,
    "one router that gives permits is silent": silence_one,
    "both routers that give permits are silent": silence_both,
    "the fleet is cut in two": cut_in_two,
    "the fleet is cut between those that give": cut_between_grantors,
    "all routers are cut off from each other": cut_all,
    "all routers restart at once": restart_all,
    "the routers restart one by one": restart_one_by_one,
    "those that give permits restart again and again": restart_grantors,
    "routers on new VMs start, known to others late": add_routers,
    "answers of those that give permits are late": delay_answers,
}


@given("{routers:d} routers before a server that is cold for 20 s and bears {rate:g} a second")
def make_world(context, routers, rate):
    context.cold = ColdWorld(routers, rate)


@given("the settings allow a factor of {factor:g} and {slack:g} requests")
def set_bound(context, factor, slack):
    context.cold.bound = ColdBound(overshoot=factor, slack_requests=slack)


@given("after 5 s {trouble}")
def set_trouble(context, trouble):
    context.trouble = TROUBLES[trouble]


@when("all routers try to send to it as often as they may")
def play(context):
    world = context.cold

    async def play_trouble():
        await asyncio.sleep(5.0)
        await context.trouble(world)

    async def play_all():
        for vm in world.names:
            world.start(vm)
        trouble = asyncio.create_task(play_trouble())
        await asyncio.sleep(PLAY_SECONDS - 0.2)
        await trouble
        tasks = [router.task for router in world.routers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(1.0)

    run(context, play_all())


@then("it gets at most {count:g} requests in any one second")
def check_most(context, count):
    most = count_most(context.cold.arrivals)
    assert most <= count, (most, count)


@then("it gets at least {share:g} of the requests that it bears")
def check_used(context, share):
    possible = context.cold.rate * PLAY_SECONDS
    assert len(context.cold.arrivals) >= share * possible, (len(context.cold.arrivals), possible)


@given("a service whose cold servers bear {rate:g} requests a second")
def make_permits(context, rate):
    context.cold = ColdWorld(1, rate)
    context.metrics = Metrics()
    context.servers = ColdServers(clock=VirtualClock(), metrics=context.metrics)

    async def make():
        context.permits = ColdPermits(
            fleet=ColdFleet(context.cold, "vm-0", 1),
            servers=context.servers,
            configuration=context.cold.configuration,
            bound=context.cold.bound,
            clock=VirtualClock(),
            metrics=context.metrics,
            random_source=random.Random(1),
        )
        context.began_seconds = now()

    run(context, make())


def make_entry(cold_ms):
    return RegisteredServer(
        server_id="i-1", service="s", address="10.0.0.1:1", cold_ms=cold_ms, started_ms=1
    )


@when("its registry entry says {first:d} ms")
def say_in_entry(context, first):
    context.entry = make_entry(first)

    async def say():
        context.servers.note_entry(context.entry)

    run(context, say())


@when("its registry entry says {first:d} ms and is removed after {seconds:g} s")
def say_and_remove(context, first, seconds):
    say_in_entry(context, first)

    async def remove():
        await asyncio.sleep(seconds)
        context.servers.note_entry(context.entry)

    run(context, remove())


@when("its registry entry says {first:d} ms and {second:d} ms again after {seconds:g} s")
@when("its registry entry says {first:d} ms and {second:d} ms after {seconds:g} s")
def say_twice(context, first, second, seconds):
    say_in_entry(context, first)

    async def say_again():
        await asyncio.sleep(seconds)
        # A table passes the replaced entry, and then the new one.
        context.servers.note_entry(context.entry)
        context.servers.note_entry(make_entry(second))

    run(context, say_again())


@when("an answer says {seconds:g} s")
def say_in_answer(context, seconds):
    async def say():
        context.servers.record_answer(make_entry(0), seconds)

    run(context, say())


@when("another router says {remaining:d} ms of an earlier start")
def say_of_earlier_start(context, remaining):
    say_by_router(context, remaining, started_ms=0)


@when("another router says {remaining:d} ms")
def say_by_router(context, remaining, started_ms=1):
    async def say():
        told = ColdServer(server_id="i-1", started_ms=started_ms, remaining_ms=remaining)
        context.servers.adopt("r-2", [told])

    run(context, say())


@then("the server is cold for {seconds:g} s")
def check_cold(context, seconds):
    async def check():
        end_seconds = context.began_seconds + seconds
        if seconds:
            await asyncio.sleep(end_seconds - 0.05 - now())
            assert context.permits.is_needed(make_entry(0))
        await asyncio.sleep(max(0.0, end_seconds + 0.05 - now()))
        assert not context.permits.is_needed(make_entry(0))

    run(context, check())


@when("an answer says 3 s, and two routers tell each other every 0.1 s with a delay of 0.05 s")
def tell_each_other(context):
    other = ColdServers(clock=VirtualClock(), metrics=Metrics())
    context.all_servers = [context.servers, other]

    async def tell():
        context.servers.record_answer(make_entry(0), 3.0)
        for _ in range(35):
            told = [servers.list_told() for servers in context.all_servers]
            await asyncio.sleep(0.05)
            context.servers.adopt("r-2", told[1])
            other.adopt("r-1", told[0])
            await asyncio.sleep(0.05)

    run(context, tell())


@then("no router treats the server as cold after 3.5 s")
def check_not_prolonged(context):
    async def check():
        return [servers.is_cold(make_entry(0)) for servers in context.all_servers]

    assert run(context, check()) == [False, False]


@given("{count:d} of them are cold for 6 s and bear {rate:g} requests a second")
def make_cold(context, count, rate):
    world = context.world
    context.cold_servers = world.servers[:count]

    async def start():
        for router in world.routers.values():
            router.use_cold_permits(OneService(rate), ColdBound(overshoot=1.5, slack_requests=5))
        # Routers give no permits in their first seconds.
        await asyncio.sleep(3.0)
        for router in world.routers.values():
            for server in context.cold_servers:
                router.say_cold(server, 6000)

    run(context, start())


@when("{rate:d} requests a second come for {seconds:d} seconds in which servers are cold")
def send(context, rate, seconds):
    run(context, context.world.send_requests(rate, seconds))


@then("no cold server gets more than {count:g} requests in any one second")
def check_cold_servers(context, count):
    for server in context.cold_servers:
        most = count_most([seconds for seconds, _ in server.arrivals])
        assert most <= count, (server.server_id, most)


@then("at least {share:g} of the requests are served")
def check_share(context, share):
    attempts = list(context.world.attempts.values())
    served = sum(attempt.is_whole for attempt in attempts)
    assert served >= share * len(attempts), (served, len(attempts))


@then(
    "the others are refused as not run within {seconds:g} s"
    " with a Retry-After of at most {longest:g} s"
)
def check_others(context, seconds, longest):
    for attempt in context.world.attempts.values():
        if attempt.is_whole:
            continue
        status = RESULT_CODE_TABLE[attempt.error.code].http_status
        assert status == 503 and attempt.error.ran is Ran.NO, attempt
        assert attempt.took_seconds <= seconds, attempt
        assert 0 < attempt.error.retry_after_seconds <= longest, attempt
