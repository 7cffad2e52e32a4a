"""Steps for forwarded requests, over loopback connections to scripted servers."""

import asyncio
import logging
import random
from unittest import mock
from unittest.mock import AsyncMock

import aiohttp
from aiohttp import web
from behave import given, then, when
from contract_steps import run
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.hashing import hash_key, rank_by_rendezvous
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode
from laburnumpier_platform.headers import PlatformDialect
from laburnumpier_router.budget.grant_pool import Reservation
from laburnumpier_router.configuration.document import (
    Configuration,
    EngineProfile,
    Route,
    RouteKind,
    Service,
    WeightedService,
    Workspace,
)
from laburnumpier_router.forward.crash_guard import CrashGuard
from laburnumpier_router.forward.frontend import ForwardFrontend
from laburnumpier_router.forward.http_client import HttpServerClient
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
from scripted_server import ScriptedServer

HOST = "shop.example"
KEY = "secret"
KINDS = {
    "idempotent": (RouteKind.IDEMPOTENT, False),
    "non-idempotent": (RouteKind.NON_IDEMPOTENT, False),
    "resumable stream": (RouteKind.STREAM, True),
    "plain stream": (RouteKind.STREAM, False),
}


class FakeConfiguration:
    """A configuration service whose configuration is set by the test."""

    def __init__(self):
        self.number = 1
        self.configuration = Configuration()
        self.confirmed_seconds = float("inf")
        self.is_confirmed = True
        self.newer = None

    async def confirm(self):
        """Activates the newer configuration, if the test has set one."""
        if self.newer is not None:
            self.number, self.configuration, self.newer = self.number + 1, self.newer, None
        return self.is_confirmed

    def find_workspace_of_key(self, key_hash):
        """Returns the workspace of a hashed key."""
        owners = {hash_key(KEY): "office"}
        return owners.get(key_hash)


class FakeBudget:
    """Grants every reservation, unless an error is set, and adds up the charged tokens."""

    def __init__(self):
        self.charged = 0
        self.error = None

    async def reserve(self, workspace, amount, deadline_seconds):
        """Returns a reservation or raises the error that is set."""
        if self.error is not None:
            raise self.error
        return Reservation(workspace=workspace, amount=amount, parts=[])

    def settle_unbilled(self, reservation, used):
        """Adds the used tokens to the charged ones, up to the reservation."""
        self.charged += min(used, reservation.amount)


class FakeOrigins:
    """Remembers where streams began, in memory."""

    def __init__(self):
        self._origins = {}

    def record(self, attempt_id, origin, keep_seconds):
        """Remembers an origin."""
        self._origins[attempt_id] = origin

    async def find(self, attempt_id):
        """Returns a remembered origin or None."""
        return self._origins.get(attempt_id)


class FakeHistory:
    """A history of servers that state no version."""

    def find_only_version(self, service, seconds):
        """Returns the only version."""
        return ""

    def has_several_versions(self, service, seconds):
        """Returns that there is one version."""
        return False


class FakeFleet:
    """A fleet of one router."""

    self_name = "r@1"

    def list_peers(self):
        """Returns no other router."""
        return []

    def find_home(self, key):
        """Returns the only router."""
        return self.self_name


class RecordHandler(logging.Handler):
    """Appends log records to a list."""

    def __init__(self, records):
        super().__init__()
        self._records = records

    def emit(self, record):
        """Appends a record."""
        self._records.append(record)


IMPOSSIBLE_ADDRESSES = {
    "has an empty label in its host": "a..b:80",
    "has a label of 64 letters in its host": "a" * 64 + ".example:80",
    "has an impossible IP address": "999.1.1.1:80",
}


def set_route(context, kind, max_attempts=1, limit_seconds=4.0):
    route_kind, resumable = KINDS[kind]
    route = Route(
        host=HOST,
        path_prefix="/shop/",
        kind=route_kind,
        services=[WeightedService(service="s")],
        time_limit_seconds=limit_seconds,
        target_latency_seconds=0.2,
        target_gap_seconds=0.1,
        max_attempts=max_attempts,
        resumable=resumable,
    )
    context.configuration.configuration = Configuration(
        routes={"r": route},
        services={"s": Service(engine=EngineProfile(tokens_per_event=3))},
        workspaces={"office": Workspace(budget_tokens=1000, key_hashes=[hash_key(KEY)])},
    )


@given("2 servers of which the first {behaviour}")
def start_router(context, behaviour):
    streams = "stream" in context.scenario.name.lower() or "silent" in behaviour
    streams = streams and "misbehaves" not in context.scenario.name
    context.servers = [ScriptedServer(behaviour), ScriptedServer("streams")]
    if not streams:
        context.servers[1].behaviour = "answers"
    context.configuration = FakeConfiguration()
    context.budget = FakeBudget()
    context.server_table = table = ServerTable()
    client = HttpServerClient()
    clock = SystemClock()
    metrics = Metrics()
    time_limits = TimeLimits()
    context.retry_budget = RetryBudget(ratio=0.2, extra=20, window_seconds=10)
    context.rate_limits = limits = ServerRateLimits(clock=clock, metrics=metrics)
    notices = ServerNotices(clock=clock, metrics=metrics)
    table.add_exclusion(notices.is_excluded)
    context.places = build_place_keeper(
        fleet=FakeFleet(), clock=clock, metrics=metrics, random_source=random.Random(1)
    )
    context.frontend = ForwardFrontend(
        service=build_forward_service(
            configuration=context.configuration,
            budget=context.budget,
            table=table,
            client=client,
            crash_guard=CrashGuard(
                fleet=FakeFleet(), table=table, client=client, clock=clock, metrics=metrics
            ),
            stream_versions=StreamVersions(
                origins=FakeOrigins(),
                history=FakeHistory(),
                confirm_history=AsyncMock(return_value=True),
                table=table,
                metrics=metrics,
            ),
            dialect=PlatformDialect(),
            retry_budget=context.retry_budget,
            rate_limits=limits,
            limiter=RequestLimiter(
                fleet=FakeFleet(),
                limits=limits,
                clock=clock,
                metrics=metrics,
                random_source=random.Random(1),
            ),
            notices=notices,
            places=context.places,
            time_limits=time_limits,
            clock=clock,
            metrics=metrics,
            random_source=random.Random(1),
            data_centre="near",
            estimates=getattr(context, "estimates", None),
        ),
        dialect=PlatformDialect(),
        time_limits=time_limits,
        clock=clock,
        metrics=metrics,
        is_ready=lambda: True,
        max_body_bytes=100_000,
    )
    set_route(context, "idempotent")
    context.runners = []

    async def start():
        for number, server in enumerate(context.servers):
            await server.start()
            address = IMPOSSIBLE_ADDRESSES.get(server.behaviour, server.address)
            # The second server is in another data centre, so that the first one is preferred.
            entry = RegisteredServer(
                server_id=f"i-{number}",
                service="s",
                address=address,
                data_centre="far" if number else "near",
            )
            table.upsert(entry)
        context.urls = []
        for server in (
            context.frontend.make_server(),
            context.frontend.make_readiness_server(),
        ):
            runner = web.ServerRunner(server, shutdown_timeout=0.1)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            context.runners.append(runner)
            port = runner.addresses[0][1]
            context.urls.append(f"http://127.0.0.1:{port}")
        context.session = aiohttp.ClientSession(auto_decompress=False)

    async def stop():
        await context.session.close()
        for server in context.servers:
            await server.stop()
        for runner in context.runners:
            await runner.cleanup()
        await client.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


def make_headers(kind="idempotent", **extra):
    headers = {
        "Host": HOST,
        "X-Attempt-Id": "a1",
        "Authorization": f"Token {KEY}",
        "X-Deadline-Ms": "4000",
    }
    if "stream" in kind:
        headers["X-Token-Usage"] = "100,30"
        headers["X-Prompt-Prefix"] = make_prompt_prefix()
    return {**headers, **extra}


def make_prompt_prefix():
    """Returns prompt parts whose shared prefix is placed on the first server."""
    names = ["i-0", "i-1"]
    prefix = next(str(n) for n in range(100) if rank_by_rendezvous(str(n), names)[0] == "i-0")
    return f"{prefix}:80,ff:20"


async def send(context, headers, path="/shop/2f?x=1%20y", body=b"order"):
    loop = asyncio.get_running_loop()
    started = loop.time()
    context.body, context.complete = b"", True
    url = context.urls[0] + path
    async with context.session.post(url, headers=headers, data=body) as response:
        context.status = response.status
        context.headers = response.headers
        try:
            async for part in response.content.iter_any():
                context.body += part
        except aiohttp.ClientError:
            context.complete = False
    context.duration_seconds = loop.time() - started


@when("a caller sends a {kind} request with at most {attempts:d} attempts")
def send_request(context, kind, attempts):
    set_route(context, kind, attempts, limit_seconds=2.5)
    context.log_records = []
    handler = RecordHandler(context.log_records)
    logger = logging.getLogger("laburnumpier.forward")
    logger.addHandler(handler)
    logging.disable(logging.NOTSET)
    logger.setLevel(logging.INFO)
    try:
        run(context, send(context, make_headers(kind)))
    finally:
        logging.disable(logging.CRITICAL)
        logger.removeHandler(handler)


@when("a caller sends {count:d} idempotent requests on one connection")
def send_several(context, count):
    async def send_in_turn():
        for _ in range(count):
            await send(context, make_headers())
            assert context.status == 200, context.status

    run(context, send_in_turn())


@then("the first server was connected to {count:d} times")
def check_connection_count(context, count):
    assert context.servers[0].connection_count == count, context.servers[0].connection_count


@then("nothing is noted of the first server but a failure")
def check_nothing_noted(context):
    server = context.server_table.servers["i-0"]
    assert context.server_table.is_usable(server.entry)
    assert context.rate_limits.find_latest("i-0") is None
    assert server.reported_seconds == float("-inf"), server
    assert server.failure_share > 0


@when("a caller with the last event id {event_id:d} sends a resumable stream request")
def send_resumed(context, event_id):
    set_route(context, "resumable stream", 2)
    headers = make_headers("stream", **{"Last-Event-Id": str(event_id)})
    run(context, send(context, headers))


@when("a caller sends a non-idempotent request with a route time limit of {seconds:f} seconds")
def send_with_time_limit(context, seconds):
    set_route(context, "non-idempotent", 1, seconds)
    run(context, send(context, make_headers()))


@when("a caller of a {kind} request disconnects after {seconds:f} seconds")
def disconnect(context, kind, seconds):
    set_route(context, kind, 2)

    async def send_and_cancel():
        sending = asyncio.create_task(send(context, make_headers(kind)))
        await asyncio.sleep(seconds)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    run(context, send_and_cancel())


@when("a caller sends a non-idempotent request with headers reserved for routers")
def send_reserved_headers(context):
    set_route(context, "non-idempotent")
    headers = make_headers(
        **{
            "X-Tenant": "rich",
            "X-Expected-Instance": "i-9",
            "X-Request-Priority": "0",
            "X-Cache-Retention": "r",
            "X-Pin-Duration-Ms": "9",
            "X-Kv-Backup": "10.0.0.1:1",
            "Kv-From": "10.0.0.1:1/h",
            "Connection": "X-Private",
            "X-Private": "1",
            "X-Other": "kept",
        }
    )
    run(context, send(context, headers))


@when("a caller sends a request with {fault}")
def send_invalid(context, fault):
    set_route(context, "non-idempotent")
    headers, path = make_headers(), "/shop/2f"
    match fault:
        case "an unknown key":
            headers["Authorization"] = "Token other"
        case "no key":
            del headers["Authorization"]
        case "an unknown path":
            path = "/elsewhere/2f"
        case "an unknown host":
            headers["Host"] = "other.example"
        case "two attempt ids":
            headers = [*headers.items(), ("X-Attempt-Id", "a2")]
        case "unreadable token counts":
            headers["X-Token-Usage"] = "many,few"
        case _:
            name, _, value = fault.partition(" ")
            value = value.replace("of 5000 digits", f"540,{'9' * 5000}")
            headers[name] = value.encode().decode("unicode_escape")
    run(context, send(context, headers, path))


@given("the second server cannot be reached")
def make_second_unreachable(context):
    run(context, context.servers[1].stop())


@given("the second server has just failed to connect")
def back_second_off(context):
    run(context, context.servers[1].stop())
    context.server_table.servers["i-1"].record_unreachable(context.real.get_loop().time())


@given("the second server {state}")
def set_second_behaviour(context, state):
    behaviours = {
        "has no room": "refuses the named request as full",
        "fails": "fails",
        "resets what it gets": "resets",
        "keeps what it gets": "keeps requests",
        "is silent as well": "is silent",
        "resets streams": "breaks off before its first event",
        "fails and stops within its body": "fails and stops within its body",
    }
    context.servers[1].behaviour = behaviours[state]


def patch_guard(context, **methods):
    for name, method in methods.items():
        patch = mock.patch.object(CrashGuard, name, method)
        patch.start()

        async def stop(patch=patch):
            patch.stop()

        context.cleanups.append((context.real, stop))


@given("the request is the trial of a blocked prompt")
def make_trial(context):
    patch_guard(
        context,
        admit=AsyncMock(return_value=True),
        is_blocked=lambda self, service, parts: True,
        check=lambda self, service, parts, suspects: None,
    )


@given("a part of the prompt is blocked 1 second after its start")
def block_part_later(context):
    blocked_from_seconds = context.real.get_loop().time() + 1.0

    def is_blocked(self, service, parts):
        return asyncio.get_running_loop().time() >= blocked_from_seconds

    patch_guard(context, is_blocked=is_blocked)


@given("the retry budget is used up")
def use_up_retries(context):
    now = context.real.get_loop().time()
    while context.retry_budget.try_acquire("s", now):
        pass


@given("no configuration in force")
def remove_configuration(context):
    context.configuration.number = 0


@given("an unreachable budget")
def make_budget_unreachable(context):
    context.budget.error = RequestError(ResultCode.BUDGET_UNREACHABLE, retry_after_seconds=2.0)


@then("the response status is {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.body)


@then("servers ran the request {count:d} times")
def check_runs(context, count):
    runs = [server.runs for server in context.servers]
    assert sum(runs) == count, runs


@then("at most {count:d} servers received the request")
def check_received_count(context, count):
    assert sum(len(server.requests) for server in context.servers) <= count


@then("the caller receives the events {numbers}")
def check_events(context, numbers):
    expected = [] if numbers == "none" else numbers.split()
    received = [line[4:] for line in context.body.decode().split("\n") if line.startswith("id: ")]
    assert received == expected, context.body
    assert context.body.count(b"data: piece") == len(expected)


@then("the response is complete")
def check_complete(context):
    assert context.complete


@then("the response is aborted")
def check_aborted(context):
    assert not context.complete


@then("{tokens:d} tokens are charged")
def check_charged(context, tokens):
    assert context.budget.charged == tokens, context.budget.charged


@then("the server's connection is closed within {seconds:f} seconds")
def check_closed(context, seconds):
    run(context, asyncio.wait_for(context.servers[0].client_closed.wait(), seconds))
    run(context, asyncio.sleep(0.05))


@then("the second server's connection is closed as well")
def check_second_closed(context):
    assert context.servers[1].runs == 1, context.servers[1].runs
    run(context, asyncio.wait_for(context.servers[1].client_closed.wait(), 0.5))


@then("no request holds a place")
def check_no_places(context):
    async def describe():
        return context.places.describe()["held"]

    held = run(context, describe())
    assert not held, held


@then("the request took at most {seconds:f} seconds")
def check_duration(context, seconds):
    assert context.duration_seconds <= seconds, context.duration_seconds


@then("the server received the caller's method, path, query and body unchanged")
def check_unchanged(context):
    head, body = context.servers[0].requests[0]
    assert head.startswith(b"POST /shop/2f?x=1%20y HTTP/1.1\r\n"), head
    assert body == b"order"


@then("the server received the router's own headers and no credentials")
def check_headers(context):
    head = context.servers[0].requests[0][0].decode().lower()
    lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
    assert lines["x-tenant"] == "office"
    assert lines["x-expected-instance"] == "i-0"
    assert lines["x-attempt-id"] == "a1"
    assert lines["host"] == HOST
    assert lines["x-other"] == "kept"
    assert 0 < int(lines["x-deadline-ms"]) <= 4000
    for name in (
        "authorization",
        "x-private",
        "x-request-priority",
        "x-cache-retention",
        "x-pin-duration-ms",
        "x-kv-backup",
        "kv-from",
    ):
        assert name not in lines, name


@when("the router begins to stop")
def begin_stop(context):
    set_route(context, "non-idempotent")

    async def begin():
        end_seconds = asyncio.get_running_loop().time() + 6.0
        context.frontend.begin_stop(end_seconds)

    run(context, begin())


@then("the readiness check returns {status:d}")
def check_readiness(context, status):
    async def get_status():
        async with context.session.get(context.urls[1] + "/readiness") as response:
            return response.status

    assert run(context, get_status()) == status


@then("a request on an open connection gets 200 and the connection is closed")
def check_served_and_closed(context):
    run(context, send(context, make_headers()))
    assert context.status == 200, context.status
    assert context.headers["Connection"].lower() == "close"


@then("a request after the load balancer's switch-over gets 503 if it may outlast the stop")
def check_refused(context):
    run(context, asyncio.sleep(2.6))
    run(context, send(context, make_headers()))
    assert context.status == 503, context.status
    assert "Retry-After" in context.headers


@then("a request after the load balancer's switch-over gets 200 if it ends before the stop does")
def check_served_late(context):
    run(context, send(context, make_headers(**{"X-Deadline-Ms": "1000"})))
    assert context.status == 200, context.status
    assert context.headers["Connection"].lower() == "close"


@then("the router is idle within {seconds:f} seconds")
def check_idle(context, seconds):
    run(context, asyncio.wait_for(context.frontend.wait_until_idle(), seconds))
    assert not context.frontend.open_request_count


@then("the log record has the outcome {outcome} and the servers {servers}")
def check_log_record(context, outcome, servers):
    events = ("request ended", "request refused")
    records = [r for r in context.log_records if r.getMessage() in events]
    assert len(records) == 1, context.log_records
    is_served = outcome in ("answered", "broken_off")
    assert records[0].getMessage() == events[0 if is_served else 1], records[0]
    fields = records[0].fields
    assert fields["request"] == "a1"
    assert fields["outcome"] == outcome, fields
    assert fields["tried"] == servers, fields
