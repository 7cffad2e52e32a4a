"""Steps for servers of several software versions, over loopback connections.

Complete routers run in this process, each with its own HTTP port, peer socket and store client.
Servers are scripted, and their events tell the version that wrote them.
"""

import asyncio
import collections
import dataclasses
import json
import tempfile

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
from behave import given, then, when
from contract_steps import run
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.settings import parse_settings
from laburnumpier_measure.local_fleet import find_free_port
from laburnumpier_platform.main import make_ports
from laburnumpier_platform_standin.launch import render_router_settings
from laburnumpier_platform_standin.store import PlatformStoreStandIn
from laburnumpier_router.main import make_application
from laburnumpier_standins.store_state import StoreFault
from scripted_server import ScriptedServer

HOST = "shop.example"
NO_VERSION = "none"
PREFIX = "stream-origins/"
CALLERS = 12
"""Callers that take streams up; the least number for which the target of streams that go on
holds."""
MIN_SHARE_THAT_GOES_ON = 0.5
"""Target: share of the taken-up streams that go on, of the share of new streams that begin."""
READY_TIMEOUT_SECONDS = 20.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Taken:
    """One try of a caller: what it got of its stream.

    Attributes:
        events: Id and version of each event, in order.
        complete: Whether the response ended as a complete one.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    events: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    complete: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """A caller and all its tries of one stream.

    Attributes:
        first_attempt: Attempt that brought the first event; empty before that.
    """

    name: str
    first_attempt: str = ""
    tries: list[Taken] = dataclasses.field(default_factory=list)

    @property
    def events(self):
        """All events over all tries."""
        return [event for taken in self.tries for event in taken.events]


class RouterInProcess:
    """A complete router in this process; `kill` leaves its peers and the store uninformed."""

    def __init__(self, *, name, store_url, wrap_ports=lambda ports: ports):
        """Creates a router, whose ports may be wrapped; `start` makes it listen."""
        ports = [find_free_port() for _ in range(4)]
        text = render_router_settings(name=name, ports=ports, store_url=store_url, grace_seconds=8)
        settings = parse_settings(text)
        metrics = Metrics()
        wrapped = wrap_ports(make_ports(settings, metrics))
        self.application = make_application(settings, wrapped, metrics)
        self.url = ""
        self._runner = None

    async def start(self):
        """Starts the router and its HTTP listener."""
        await self.application.start()
        self._runner = web.ServerRunner(
            self.application.forward_frontend.make_server(), shutdown_timeout=0.01
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"

    async def kill(self):
        """Ends the router at once."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await self.application.close()
            await runner.cleanup()


def make_configuration(*, attempts, limit_ms):
    route = {
        "Name": "r",
        "Host": HOST,
        "Prefix": "/shop/",
        "Kind": "streaming",
        "Resumable": True,
        "MaxAttempts": attempts,
        "TimeoutMs": limit_ms,
        "TargetLatencyMs": 200,
        "TargetGapMs": 100,
        "Service": "s",
    }
    return {
        "Version": 3,
        "Routes": [route],
        "Services": [{"Name": "s", "InferenceEngine": {"Slots": 64, "Stride": 3}}],
        "Tenants": [{"Name": "office", "ApiKeys": ["secret"], "Prepaid": 1000000}],
    }


def register(context, number, state="ready"):
    """Writes the registry entry of a server, at the version that the test gave it."""
    entry = {
        "Service": "s",
        "Address": context.servers[number].address,
        "State": state,
        "Zone": "here",
        "Slots": 64,
        "born": context.starts[number],
    }
    version = context.entry_versions[number]
    if version != NO_VERSION:
        entry["Version"] = version
    context.version_store.put(f"servers/i-{number}", json.dumps(entry).encode())


def make_prompt_prefix(count):
    """Returns prompt parts whose placement prefers the servers in the order of their numbers."""
    names = [f"i-{number}" for number in range(count)]
    prefix = next(str(n) for n in range(1000) if rank_by_rendezvous(str(n), names) == names)
    return f"{prefix}:80,ff:20"


async def wait_until_seen(context):
    """Waits until every router knows the others and the servers as registered."""
    expected = {f"i-{number}" for number in context.entry_versions}
    store = context.version_store
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        for router in context.routers.values():
            table = router.application._server_table
            while (
                not router.application.is_ready()
                or len(router.application.fleet.view.live) < len(context.routers) - 1
                or set(table.servers) != expected
                or router.application._registry_follower._position is None
                or router.application._registry_follower._position.revision < store.state.revision
            ):
                await asyncio.sleep(0.02)


async def start_router_in_process(context, number, *, store_url="", **options):
    store_url = store_url or context.store_url
    router = RouterInProcess(name=f"vm-{number}", store_url=store_url, **options)
    context.routers[number] = router
    await router.start()


@given("{count:d} routers and servers of the software versions {versions}")
def start_fleet(context, count, versions):
    context.version_store = PlatformStoreStandIn()
    context.directory = tempfile.TemporaryDirectory()
    context.entry_versions = dict(enumerate(versions.split()))
    context.starts = dict.fromkeys(context.entry_versions, 1000)
    context.servers = [
        ScriptedServer("streams slowly", version) for version in context.entry_versions.values()
    ]
    context.routers = {}
    context.callers = []
    context.attempts = 0

    async def start():
        context.session = aiohttp.ClientSession()
        context.store_server = TestServer(context.version_store.make_app())
        await context.store_server.start_server(access_log=None)
        context.store_url = str(context.store_server.make_url("")).rstrip("/")
        for number, server in enumerate(context.servers):
            await server.start()
            register(context, number)
        put_configuration(context)
        for number in range(1, count + 1):
            await start_router_in_process(context, number)
        await wait_until_seen(context)

    async def stop():
        await context.session.close()
        for router in context.routers.values():
            await router.kill()
        for server in context.servers:
            await server.stop()
        await context.store_server.close()
        context.directory.cleanup()

    context.cleanups.append((context.real, stop))
    run(context, start())


def put_configuration(context, *, attempts=3, limit_ms=4000):
    document = make_configuration(attempts=attempts, limit_ms=limit_ms)
    context.version_store.put("op/config", json.dumps(document).encode())


@given("the route allows {attempts:d} attempts within {limit_ms:d} ms")
def limit_route(context, attempts, limit_ms):
    document = make_configuration(attempts=attempts, limit_ms=limit_ms)
    document["Version"] = 4
    context.version_store.put("op/config", json.dumps(document).encode())

    async def wait():
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while any(r.application.configuration.number < 4 for r in context.routers.values()):
                await asyncio.sleep(0.02)

    run(context, wait())


@given("the server i-{number:d} {behaviour}")
def set_behaviour(context, number, behaviour):
    context.servers[number].behaviour = behaviour


async def take(context, caller, router, *, last=None, resumes=None, leave_after=None, prefix=""):
    """Sends one try of a caller; it leaves after a number of events, if given."""
    context.attempts += 1
    attempt = f"{caller.name}-{context.attempts}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "Authorization": "Token secret",
        "X-Deadline-Ms": "2500",
        "X-Token-Usage": "100,30",
    }
    if prefix:
        headers["X-Prompt-Prefix"] = prefix
    if last is not None:
        headers["Last-Event-Id"] = str(last)
    if resumes is not None:
        headers["Resumes"] = resumes
    taken = Taken()
    caller.tries.append(taken)
    url = context.routers[router].url + "/shop/2f"
    try:
        async with context.session.post(url, headers=headers, data=b"order") as response:
            taken.status = response.status
            taken.headers = dict(response.headers)
            async for part in response.content.iter_any():
                taken.body += part
                if leave_after is not None and taken.body.count(b"\n\n") >= leave_after:
                    taken.complete = False
                    break
    except aiohttp.ClientError:
        taken.complete = False
    if taken.status == 200:
        taken.events = parse_events(taken.body)
        if taken.events and not caller.first_attempt:
            caller.first_attempt = attempt
    return taken


def parse_events(body):
    """Returns id and version of each complete event."""
    events = []
    for text in body.decode().split("\n\n")[:-1]:
        lines = text.split("\n")
        event_id = next(int(line[4:]) for line in lines if line.startswith("id: "))
        version = next((line[9:] for line in lines if line.startswith("data: by ")), "")
        events.append((event_id, version))
    return events


def publish(context, taken):
    """Makes one try visible to the steps that check a response."""
    context.taken = taken
    context.status, context.body, context.complete = taken.status, taken.body, taken.complete
    context.headers = taken.headers


@when("a caller's stream begins at i-0")
def begin_stream(context):
    caller = Caller(name="c")
    context.callers = [caller]
    prefix = make_prompt_prefix(len(context.servers))
    publish(context, run(context, take(context, caller, 1, prefix=prefix)))


@when("a caller's stream begins at i-0, which {change} before it breaks off")
def begin_and_change(context, change):
    caller = Caller(name="c")
    context.callers = [caller]
    prefix = make_prompt_prefix(len(context.servers))

    async def begin():
        taking = asyncio.create_task(take(context, caller, 1, prefix=prefix))
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while b"\n\n" not in (caller.tries[0].body if caller.tries else b""):
                await asyncio.sleep(0.005)
        version = change.rpartition(" ")[2]
        await return_at_version(context, 0, version)
        context.servers[0].break_off()
        return await taking

    publish(context, run(context, begin()))


@when("a caller's stream at i-0 has begun and {event}")
def begin_and_lose_entry(context, event):
    caller = Caller(name="c")
    context.callers = [caller]
    prefix = make_prompt_prefix(len(context.servers))

    async def begin():
        taking = asyncio.create_task(take(context, caller, 1, prefix=prefix))
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while b"\n\n" not in (caller.tries[0].body if caller.tries else b""):
                await asyncio.sleep(0.005)
        match event:
            case "the entry of i-0 lapses":
                context.version_store.remove("servers/i-0")
            case "the entry of i-0 says that it is leaving":
                register(context, 0, state="draining")
            case "the store falls silent":
                context.version_store.fault = StoreFault.DOWN
        return await taking

    publish(context, run(context, begin()))


async def return_at_version(context, number, version):
    """Writes a server's entry anew, with a later start and another version, and waits for it."""
    context.entry_versions[number] = version
    context.starts[number] += 1000
    context.servers[number].version = version
    register(context, number)
    await wait_until_seen(context)


@when("the server i-{number:d} comes back at {version}")
def come_back(context, number, version):
    run(context, return_at_version(context, number, version))


@when("the server i-{number:d} starts again at {version} and its entry lags")
def come_back_unseen(context, number, version):
    context.servers[number].version = version
    context.servers[number].behaviour = "streams"


@when("the server i-{number:d} leaves the service")
def remove_server(context, number):
    context.entry_versions.pop(number)
    context.version_store.remove(f"servers/i-{number}")
    run(context, wait_until_seen(context))


@when("a server i-{number:d} of {version} registers")
def add_server(context, number, version):
    async def add():
        server = ScriptedServer("streams slowly", version)
        context.servers.append(server)
        await server.start()
        context.entry_versions[number] = version
        context.starts[number] = 1000
        register(context, number)
        await wait_until_seen(context)

    run(context, add())


@when("router {number:d} joins the others")
def start_one_router(context, number):
    async def start():
        await start_router_in_process(context, number)
        await wait_until_seen(context)

    run(context, start())


@when("{seconds:g} seconds pass for the routers")
def wait(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("callers at router {router:d} leave their streams after {count:d} events")
def leave_streams(context, router, count):
    context.callers = [Caller(name=f"c{number}") for number in range(CALLERS)]

    async def leave():
        await asyncio.gather(
            *(take(context, caller, router, leave_after=count) for caller in context.callers)
        )

    run(context, leave())
    versions = collections.Counter(caller.events[0][1] for caller in context.callers)
    assert len(versions) == len(set(context.entry_versions.values())), versions


@when("router {number:d} is killed without notice")
def kill_router(context, number):
    run(context, context.routers.pop(number).kill())


@when("all routers are killed and {count:d} others start")
def replace_routers(context, count):
    run(context, start_others(context, count))


@when("all routers are killed, the server i-{number:d} leaves and {count:d} others start")
def replace_routers_and_remove(context, number, count):
    context.entry_versions.pop(number)
    context.version_store.remove(f"servers/i-{number}")
    run(context, start_others(context, count))


async def start_others(context, count):
    """Kills all routers at the same time and starts others."""
    killed, context.routers = context.routers, {}
    await asyncio.gather(*(router.kill() for router in killed.values()))
    for number in range(max(killed) + 1, max(killed) + 1 + count):
        await start_router_in_process(context, number)
    await wait_until_seen(context)


@when("the callers come back at router {router:d}")
def come_back_at_router(context, router):
    run(context, take_up(context, router, None))


@when("the callers come back at router {router:d}, again {times:d} times if they are refused")
def come_back_again(context, router, times):
    async def come():
        await take_up(context, router, None)
        for _ in range(times):
            if context.status != 503:
                return
            await asyncio.sleep(float(context.headers["Retry-After"]))
            await take_up(context, router, None)

    run(context, come())


@when("the callers come back at router {router:d} and leave after {count:d} events")
def come_back_and_leave(context, router, count):
    run(context, take_up(context, router, count))


async def take_up(context, router, leave_after):
    async def take_one(caller):
        last = caller.events[-1][0]
        resumes = caller.first_attempt
        return await take(
            context, caller, router, last=last, resumes=resumes, leave_after=leave_after
        )

    taken = await asyncio.gather(*(take_one(caller) for caller in context.callers))
    publish(context, taken[-1])


@when("the caller comes back at router {router:d}")
def one_comes_back(context, router):
    caller = context.callers[0]
    prefix = make_prompt_prefix(len(context.servers))
    last = caller.events[-1][0]
    taking = take(context, caller, router, last=last, resumes=caller.first_attempt, prefix=prefix)
    publish(context, run(context, taking))


@when("a caller takes up a stream after event {last:d} with {resumes}")
def take_up_unknown(context, last, resumes):
    caller = Caller(name="u")
    context.callers = [caller]
    names = {"an unknown attempt": "nobody-knows-it", "no attempt named": None}
    taking = take(context, caller, max(context.routers), last=last, resumes=names[resumes])
    publish(context, run(context, taking))


@when("a caller that has no event sends a stream with {header}")
def begin_without_event(context, header):
    caller = Caller(name="n")
    context.callers = [caller]
    last = {"Last-Event-Id 0": 0, "no Last-Event-Id": None}[header]
    publish(context, run(context, take(context, caller, 1, last=last, resumes="nobody-knows-it")))


@then("every caller has events of one version only")
def check_one_version(context):
    mixed = [
        caller.events
        for caller in context.callers
        if len({version for _, version in caller.events}) > 1
    ]
    assert not mixed, mixed


@then("every caller whose stream began at {version} was refused as not run")
def check_all_refused(context, version):
    last_tries = [c.tries[-1] for c in context.callers if c.events[0][1] == version]
    assert last_tries
    for taken in last_tries:
        assert taken.status == 503, taken
        assert json.loads(taken.body)["ran"] == "no", taken
        assert float(taken.headers["Retry-After"]) > 0, taken


@then("the store holds origins of streams in {least:d} to {most:d} values")
def check_archive(context, least, most):
    keys = [key for key in context.version_store.state.entries if key.startswith(PREFIX)]
    assert least <= len(keys) <= most, keys


@then("no caller misses an event or has one twice")
def check_order(context):
    for caller in context.callers:
        ids = [event_id for event_id, _ in caller.events]
        assert ids == list(range(1, len(ids) + 1)), ids


@then("the share of streams that go on is at least half of that of new streams that begin")
def check_share(context):
    begun = sum(caller.tries[0].status == 200 for caller in context.callers) / CALLERS
    last_tries = [caller.tries[-1] for caller in context.callers]
    go_on = sum(bool(taken.events) for taken in last_tries) / CALLERS
    assert go_on >= MIN_SHARE_THAT_GOES_ON * begun, (go_on, begun)


@then("all its events are of {version}")
def check_version(context, version):
    versions = {found for caller in context.callers for _, found in caller.events}
    assert versions <= {version}, versions


@then("the refusal says that nothing ran and when to come back")
def check_refusal(context):
    assert context.status == 503, (context.status, context.body)
    assert json.loads(context.body)["ran"] == "no", context.body
    assert float(context.headers["Retry-After"]) > 0, context.headers
