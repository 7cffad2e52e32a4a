"""Steps for routers that are cut off from all servers, in virtual time.

They guard against requests that fail although other routers reach the servers, that run twice, or
whose outcome is reported wrongly.
"""

import asyncio
import itertools
import random
import statistics

import msgspec
from behave import given, then, when
from cut_off_world import EVENT_SECONDS, EVENTS, CutWorld
from laburnumpier_core.result_codes import Ran
from laburnumpier_router.configuration.document import RouteKind
from laburnumpier_router.relay import held_exchange, relay_host
from laburnumpier_router.relay.messages import (
    AskContact,
    KeepRequest,
    ReadExchange,
    RelayReason,
    StartExchange,
)
from laburnumpier_router.response_end import EndMarker

CUT_SECONDS = 2.0
"""Time of the play at which a cut begins."""
SERVED_FROM_SECONDS = 2.0
"""Time after which first attempts must be served."""
REQUESTS_PER_SECOND = 4
PLAY_SECONDS = 10
BRITTLE_REJECTS = 4
"""Requests that a brittle server may reject in a second."""
LARGE_BODY_BYTES = 4 * 1024 * 1024
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non-idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}


def run(context, coroutine):
    return context.virtual.run(coroutine)


@given("{routers:d} routers that may relay before {servers:d} servers")
def make_world(context, routers, servers):
    context.world = CutWorld(routers, servers)
    run(context, context.world.start())
    context.cleanups.append((context.virtual, context.world.stop))


@given("{kind} requests to relay")
def set_kind(context, kind):
    context.world.set_route(KINDS[kind])
    if kind == "stream":
        context.world.answer = "stream"
        context.world.end_marker = EndMarker.CHUNKS


@given("a cut of {count:d} routers in which connections {mode}")
def plan_cut(context, count, mode):
    context.cut_routers = list(context.world.routers)[:count]
    context.mode = mode


@given("router {name} knows that connections {mode} there")
def know_cut(context, name, mode):
    """Cuts a router off and lets it find out by requests."""
    context.mode = mode
    context.name = name
    world = context.world

    async def find_out():
        await asyncio.gather(*(world.send(peer) for peer in world.routers))
        world.cuts[name] = mode
        await asyncio.sleep(1.0)
        await world.send(name)
        await asyncio.sleep(1.0)
        world.attempts.clear()
        for server in world.servers:
            server.arrivals.clear()
            server.bodies.clear()
            server.left.clear()
        world.sent.clear()

    run(context, find_out())
    assert world.routers[name].relay.monitor.is_cut_off


def cut(context):
    for name in context.cut_routers:
        context.world.cuts[name] = context.mode


@given("router {name} starts while connections {mode} there, and the others are idle")
def start_cut_off(context, name, mode):
    context.world.cuts[name] = mode


@given("all routers but {name} are of an earlier release")
def use_earlier_release(context, name):
    for other, router in context.world.routers.items():
        if other != name:
            router.link._handlers.clear()


@given("callers that wait {seconds:g} s")
def set_patience(context, seconds):
    context.world.set_route(RouteKind.NON_IDEMPOTENT, limit_seconds=seconds)


@given("server i-0 is down")
def stop_server(context):
    context.world.servers[0].is_up = False


@given("servers that are brittle and run {slots:d} requests at a time, each for {seconds:g} s")
def make_servers_brittle(context, slots, seconds):
    world = context.world
    world.answer_seconds = seconds
    world.event_seconds = 0.0
    world.headers = [("Server-Brittle", str(BRITTLE_REJECTS))]
    for server in world.servers:
        server.slots = slots
    for router in world.routers.values():
        for server in list(router.table.servers.values()):
            router.table.upsert(msgspec.structs.replace(server.entry, slots=slots))


@when("callers send {rate:d} requests a second to each router before, in and after the cut")
def play_cut_at_rate(context, rate):
    play_cut(context, rate)


@when("callers send requests to all routers before, in and after the cut")
def play_cut(context, rate=REQUESTS_PER_SECOND):
    world = context.world
    context.began_seconds = context.virtual.get_loop().time()

    async def play():
        async def change():
            await asyncio.sleep(CUT_SECONDS)
            cut(context)
            await asyncio.sleep(PLAY_SECONDS - 2 * CUT_SECONDS)
            world.cuts.clear()

        changing = asyncio.create_task(change())
        await world.send_requests(rate, PLAY_SECONDS)
        await changing

    run(context, play())


def list_attempts(context, from_seconds, to_seconds, is_cut):
    began = context.began_seconds
    return [
        attempt
        for attempt in context.world.attempts
        if from_seconds <= attempt.sent_seconds - began < to_seconds
        and (attempt.router in context.cut_routers) is is_cut
    ]


@then("from 2 s on {share:g} of the requests at the cut routers are served as at the others")
def check_share(context, share):
    from_seconds = CUT_SECONDS + SERVED_FROM_SECONDS
    to_seconds = PLAY_SECONDS - CUT_SECONDS
    inside = list_attempts(context, from_seconds, to_seconds, True)
    outside = list_attempts(context, from_seconds, to_seconds, False)
    served = sum(attempt.is_served for attempt in inside) / len(inside)
    others = sum(attempt.is_served for attempt in outside) / len(outside)
    assert served >= share * others, (served, others)


@then("from {seconds:g} s on {share:g} of all requests in the cut are served")
def check_served_share(context, seconds, share):
    to_seconds = PLAY_SECONDS - CUT_SECONDS
    attempts = [
        attempt
        for is_cut in (True, False)
        for attempt in list_attempts(context, CUT_SECONDS + seconds, to_seconds, is_cut)
    ]
    served = sum(attempt.is_served for attempt in attempts)
    assert served >= share * len(attempts), (served, len(attempts))


@then("no server has to reject more than {count:d} requests in a second")
def check_rejections(context, count):
    for server in context.world.servers:
        for begin in server.rejected:
            rejected = sum(begin <= seconds < begin + 1 for seconds in server.rejected)
            assert rejected <= count, (server.server_id, begin, rejected)


@then("the relayed requests take at most {milliseconds:d} ms longer at the median")
def check_added_time(context, milliseconds):
    from_seconds = CUT_SECONDS + SERVED_FROM_SECONDS
    to_seconds = PLAY_SECONDS - CUT_SECONDS
    inside, outside = (
        statistics.median(
            attempt.took_seconds
            for attempt in list_attempts(context, from_seconds, to_seconds, is_cut)
        )
        for is_cut in (True, False)
    )
    assert inside - outside <= milliseconds / 1000, (inside, outside)


@then("no request runs twice")
def check_single_runs(context):
    world = context.world
    for attempt in world.attempts:
        assert world.count_runs(attempt.attempt_id) <= 1, attempt.attempt_id


@then("no request that must not be repeated runs twice")
def check_single_runs_of_kind(context):
    route = context.world.configuration.configuration.routes["r"]
    if route.kind is RouteKind.NON_IDEMPOTENT:
        check_single_runs(context)


@then("each refusal that says not run is true")
def check_refusals(context):
    world = context.world
    for attempt in world.attempts:
        if attempt.error is not None and attempt.error.ran is Ran.NO:
            assert not world.count_runs(attempt.attempt_id), attempt.attempt_id
        if attempt.error is not None and attempt.error.ran is not Ran.NO:
            assert attempt.status in (502, 504)


@then("a second after the cut all requests are sent directly again")
def check_end(context):
    world = context.world
    late = list_attempts(context, PLAY_SECONDS - CUT_SECONDS + 1.0, PLAY_SECONDS, True)
    assert late
    routers = {a: router for server in world.servers for _, router, a in server.arrivals}
    for attempt in late:
        assert attempt.is_served
        assert routers[attempt.attempt_id] == attempt.router
    assert not any(router.relay.monitor.is_cut_off for router in world.routers.values())


@then("no server is reported as crashed")
def check_no_crash(context):
    assert context.world.count_events("forward.server_crashes") == 0


@when("all servers are down and callers send requests for {seconds:d} seconds")
def play_outage(context, seconds):
    world = context.world

    async def play():
        await world.send_requests(REQUESTS_PER_SECOND, 1)
        for server in world.servers:
            server.is_up = False
        context.down_count = len(world.attempts)
        world.sent.clear()
        await world.send_requests(REQUESTS_PER_SECOND, seconds)

    run(context, play())
    context.seconds = seconds


@then("at most {count:d} requests are handed over a router and second")
def check_no_storm(context, count):
    world = context.world
    per_router = world.sent["KeepRequest"] / len(world.routers) / context.seconds
    assert per_router <= count, per_router


@then("the routers ask and probe at most {count:d} times a router and second")
def check_few_messages(context, count):
    world = context.world
    messages = world.sent["AskContact"] + world.count_events("relay.probes")
    assert messages / len(world.routers) / context.seconds <= count, messages


@then("all requests in the outage are refused as not run within {seconds:g} s")
def check_refused(context, seconds):
    for attempt in context.world.attempts[context.down_count :]:
        assert attempt.error is not None
        assert attempt.error.ran is Ran.NO, attempt.error.code
        assert attempt.took_seconds <= seconds, attempt.took_seconds


@when("router {name} gets a request when its connections {mode}")
def send_at_cut(context, name, mode):
    world = context.world

    async def play():
        await world.send_requests(REQUESTS_PER_SECOND, 1)
        await asyncio.sleep(1.0)
        world.cuts[name] = mode
        context.attempt = await world.send(name)

    run(context, play())


@given("the next {fault} of type {kind} {count:d} times")
def plan_fault(context, fault, kind, count):
    context.world.faults[fault, kind] = count


@given("a router that dies after a message of type {kind}")
def plan_kill(context, kind):
    context.world.kill_after = kind


@when("router {name} gets a request")
def send_one(context, name):
    context.attempt = run(context, context.world.send(name))


@when("router {name} gets a request with a body of 4 MiB that is sent back")
def send_large(context, name):
    context.world.body = bytes(range(256)) * (LARGE_BODY_BYTES // 256)
    context.attempt = run(context, context.world.send(name, body=context.world.body))


@then("the request is served within {seconds:g} s")
def check_served(context, seconds):
    attempt = context.attempt
    assert attempt.is_served, (attempt.error, attempt.sink.status)
    assert attempt.sink.body == context.world.body, attempt.sink.body[:100]
    assert attempt.took_seconds <= seconds, attempt.took_seconds


@then("the request has run once")
def check_one_run(context):
    assert context.world.count_runs(context.attempt.attempt_id) == 1


@then("at most {count:d} requests at the cut routers are lost")
def check_losses(context, count):
    attempts = list_attempts(context, 0, PLAY_SECONDS, True)
    lost = [attempt for attempt in attempts if not attempt.is_served]
    assert len(lost) <= count, len(lost)


@then("the request has not run")
def check_no_run(context):
    assert context.world.count_runs(context.attempt.attempt_id) == 0


@then("the outcome is reported as unknown within {seconds:g} s")
def check_unknown(context, seconds):
    attempt = context.attempt
    assert attempt.status in (502, 504), attempt.status
    assert attempt.error.ran is Ran.UNKNOWN
    assert attempt.took_seconds <= seconds, attempt.took_seconds


@then("the request is refused as not run within {seconds:g} s")
def check_not_run(context, seconds):
    attempt = context.attempt
    assert attempt.error is not None
    assert attempt.error.ran is Ran.NO
    assert attempt.status == 503
    assert attempt.error.retry_after_seconds is not None
    assert attempt.took_seconds <= seconds, attempt.took_seconds


@then("the server got the body unchanged")
def check_body(context):
    bodies = [body for server in context.world.servers for body in server.bodies]
    assert bodies == [context.world.body]


@when("router {name} gets a request whose caller leaves after {seconds:g} s")
def leave(context, name, seconds):
    world = context.world
    world.answer_seconds = 3.0

    async def play():
        sending = asyncio.create_task(world.send(name))
        await asyncio.sleep(seconds)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        context.attempt = world.attempts[-1]
        await asyncio.sleep(0.1)

    run(context, play())


@when("router {name} gets a request and dies after {seconds:g} s")
def die(context, name, seconds):
    world = context.world
    world.answer_seconds = 3.5

    async def play():
        sending = asyncio.create_task(world.send(name))
        await asyncio.sleep(seconds)
        world.kill(name)
        await asyncio.sleep(relay_host.SILENCE_SECONDS + 0.6)
        context.left = [list(server.left) for server in world.servers]
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        context.attempt = world.attempts[-1]

    run(context, play())


@then("the server's connection is closed")
def check_left(context):
    left = [attempt_id for server in context.world.servers for attempt_id in server.left]
    assert left == [context.attempt.attempt_id], left


@then("no router holds anything for others")
def check_nothing_held(context):
    run(context, asyncio.sleep(0.6))
    for router in context.world.routers.values():
        assert router.relay.host.exchange_count == 0
        assert router.relay.host.held_bytes == 0


def make_keep(context, number, **changes):
    server = context.world.servers[0]
    fields = {
        "number": number,
        "reason": RelayReason.CUT_OFF,
        "server_id": server.server_id,
        "address": server.address,
        "method": b"POST",
        "target": b"/shop/x",
        "headers": [(b"X-Attempt-Id", b"k"), (b"X-Expected-Instance", server.server_id.encode())],
        "body": b"",
        "remaining_ms": 4000,
    }
    return KeepRequest(**{**fields, **changes})


@given("{which} routers are busy with requests of others")
def fill_routers(context, which):
    names = [name for name in context.world.routers if name != "r0"]
    if which == "some":
        names = names[:-1]
    body = bytes(LARGE_BODY_BYTES)

    async def fill():
        for name in names:
            host = context.world.routers[name].relay.host
            for number in range(200):
                await host.handle_keep("other", make_keep(context, number, body=body))
                await host.handle_keep("other", make_keep(context, 1000 + number))
            assert host.held_bytes <= relay_host.MAX_HELD_BYTES

    run(context, fill())
    context.fill = fill


@given("server i-0 is {state} at the others")
def change_server(context, state):
    for name, router in context.world.routers.items():
        if name == context.name:
            continue
        if state == "unknown":
            for server in context.world.servers:
                router.table.remove(server.server_id)
        else:
            router.table.add_exclusion(lambda entry: True)


@then("the answer has the headers, end marker and events of the server")
def check_stream(context):
    sink = context.attempt.sink
    assert sink.finished
    assert not sink.aborted
    assert sink.body == b"".join(EVENTS)
    assert sink.headers.getall("X-Two") == ["a", "b\udcff"], sink.headers
    times = [seconds for seconds, _ in sink.pieces]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert len(gaps) == len(EVENTS) - 1, gaps
    assert all(abs(gap - EVENT_SECONDS) < 0.05 for gap in gaps), gaps
    assert sink.has_explicit_end is context.world.end_marker.is_explicit


@given("answers with repeated and undecodable headers that end by {marker}")
def set_answer(context, marker):
    context.world.headers = [("X-Two", "a"), ("X-Two", "b\udcff")]
    context.world.end_marker = EndMarker(marker)


@given("servers break off after their last piece")
def break_off(context):
    context.world.breaks_off = True


@then("the answer is broken off after all events")
def check_broken_off(context):
    sink = context.attempt.sink
    assert sink.body == b"".join(EVENTS)
    assert sink.aborted
    assert not sink.finished


@given("events of {size:d} bytes, {count:d} at once, and a caller that takes one in {seconds:g} s")
def make_slow_caller(context, size, count, seconds):
    world = context.world
    world.events = [
        b"id: %d\ndata: %b\n\n" % (number, b"x" * size) for number in range(1, count + 1)
    ]
    world.event_seconds = 0.0
    world.caller_seconds = seconds
    world.set_route(RouteKind.STREAM, limit_seconds=60.0)


@when("router {name} passes them on to the slow caller")
def send_slowly(context, name):
    world = context.world
    context.most_waiting = 0

    async def watch():
        while True:
            for router in world.routers.values():
                for exchange in router.relay.host._exchanges.values():
                    context.most_waiting = max(context.most_waiting, len(exchange._buffer))
            await asyncio.sleep(0.05)

    async def play():
        watching = asyncio.create_task(watch())
        context.attempt = await world.send(name)
        watching.cancel()

    run(context, play())


@then("the caller gets all events, and the buffers stay within their limits")
def check_slow(context):
    assert context.attempt.sink.finished, context.attempt.error
    assert context.attempt.sink.body == b"".join(context.world.events)
    assert 0 < context.most_waiting <= relay_host.EXCHANGE_BYTES, context.most_waiting


@when("{fault} while callers send {rate:d} requests a second for {seconds:d} seconds")
def play_calm(context, fault, rate, seconds):
    world = context.world
    if fault == "one server is down":
        world.servers[0].is_up = False
    if fault == "all servers take 1.5 s to answer":
        world.answer_seconds = 1.5
    run(context, world.send_requests(rate, seconds))
    context.seconds = seconds


@then("all are served directly, with at most {count:d} probes a router and second")
def check_direct(context, count):
    world = context.world
    assert all(attempt.is_served for attempt in world.attempts)
    assert world.sent["KeepRequest"] == 0
    assert world.count_events("relay.became_cut_off") == 0
    assert world.count_events("relay.became_all_fail") == 0
    probes = world.count_events("relay.probes") / len(world.routers) / context.seconds
    assert probes <= count, probes


@when("router {name} gets a request, and all others begin to stop after {seconds:g} s")
def stop_others(context, name, seconds):
    world = context.world
    world.answer_seconds = 1.0

    async def play():
        first = asyncio.create_task(world.send(name))
        await asyncio.sleep(seconds)
        hosts = [r.relay.host for n, r in world.routers.items() if n != name]
        for host in hosts:
            host.begin_stop(asyncio.get_running_loop().time() + 3.0)
        idle = asyncio.gather(*(host.wait_until_idle() for host in hosts))
        context.second = await world.send(name)
        context.attempt = await first
        await idle

    run(context, play())


@then("a request after it is refused as not run")
def check_second(context):
    assert context.second.error is not None
    assert context.second.error.ran is Ran.NO


@when("router {name} gets {rate:d} requests a second for {seconds:d} s, and {peer} dies after 1 s")
def send_while_one_dies(context, name, rate, seconds, peer):
    world = context.world

    async def play():
        sending = []
        for number in range(rate * seconds):
            sending.append(asyncio.create_task(world.send(name)))
            await asyncio.sleep(1 / rate)
            if number == rate:
                world.sent_to.clear()
                world.kill(peer)
        await asyncio.gather(*sending)

    run(context, play())
    context.dead, context.dead_seconds = peer, seconds - 1


@then("at most {count:d} of them are lost")
def check_lost(context, count):
    lost = [attempt for attempt in context.world.attempts if not attempt.is_served]
    assert len(lost) <= count, [attempt.error for attempt in lost]


@then("requests are handed to {peer} at most once a second after its death")
def check_hold_off(context, peer):
    count = context.world.sent_to["KeepRequest", peer]
    assert count <= context.dead_seconds, count


@when("router {name} gets {count:d} requests at once that take 1 s each")
def send_many(context, name, count):
    world = context.world
    world.answer_seconds = 1.0
    context.most_waiting = 0

    async def watch():
        while True:
            host = world.routers["r1"].relay.host
            waiting = sum(exchange.waiting_count for exchange in host._exchanges.values())
            context.most_waiting = max(context.most_waiting, waiting)
            await asyncio.sleep(0.001)

    async def play():
        watching = asyncio.create_task(watch())
        await asyncio.gather(*(world.send(name) for _ in range(count)))
        watching.cancel()

    run(context, play())


@then("all are served within {seconds:g} s")
def check_all_served(context, seconds):
    for attempt in context.world.attempts:
        assert attempt.is_served, attempt.error
        assert attempt.took_seconds <= seconds, attempt.took_seconds


@then("at most {count:d} replies waited at once")
def check_waiting(context, count):
    assert 0 < context.most_waiting <= count, context.most_waiting


@when("{fault} and router r0 has failed requests")
def fail_requests(context, fault):
    world = context.world

    async def play():
        await asyncio.gather(*(world.send(name) for name in world.routers))
        if fault == "all servers are down":
            for server in world.servers:
                server.is_up = False
        else:
            world.cuts["r0"] = "refuse new ones"
        await asyncio.sleep(1.0)
        await asyncio.gather(*(world.send(name) for name in world.routers))

    run(context, play())


@then("a refusing server is {verdict} at router r0")
def check_refusing(context, verdict):
    client = context.world.routers["r0"].relay.client
    address = context.world.servers[0].address
    is_refusing = run(context, client.is_refusing(address))
    assert is_refusing is (verdict == "refusing")


@given("answers with {count:d} header lines")
def set_many_headers(context, count):
    context.world.headers = [("X-Line", str(number)) for number in range(count)]


@when("a stream runs at router {name} while new connections are refused there")
def stream_through_cut(context, name):
    world = context.world

    async def play():
        streaming = asyncio.create_task(world.send(name))
        await asyncio.sleep(0.2)
        world.cuts[name] = "refuse new ones"
        await asyncio.sleep(0.4)
        later = await world.send(name)
        context.first, context.attempt = await streaming, later

    run(context, play())


@then("both streams are whole, the second one through another router")
def check_both(context):
    world = context.world
    routers = {a: router for server in world.servers for _, router, a in server.arrivals}
    for attempt in (context.first, context.attempt):
        assert attempt.sink.body == b"".join(EVENTS), attempt.error
        assert attempt.sink.finished
    assert routers[context.first.attempt_id] == context.first.router
    assert routers[context.attempt.attempt_id] != context.attempt.router


@when("router r1 gets junk messages")
def send_junk(context):
    world = context.world
    handler = world.hub.handlers["r1"]
    link = world.routers["r0"].link
    messages = [
        make_keep(context, 1, target=b"@elsewhere/x"),
        make_keep(context, 2, method=b"PO ST"),
        make_keep(context, 3, address="10.9.9.9:1"),
        make_keep(context, 4, server_id="i-77"),
        make_keep(context, 5, headers=[(b"a", b"b")] * 4097),
        make_keep(context, 6, body=bytes(LARGE_BODY_BYTES + 1)),
        make_keep(context, -7),
        StartExchange(number=8, wait_ms=10),
        StartExchange(number=8, wait_ms=10**9),
        ReadExchange(number=9, position=5, has_head=False, max_bytes=10**12, wait_ms=10),
        AskContact(),
    ]

    async def play():
        for message in messages:
            await handler(link._encode_envelope(message, "r1"))
        for junk in (
            b"",
            b"\xc1",
            bytes(1000),
            link._encode_envelope({"type": "KeepRequest"}, ""),
        ):
            await handler(junk)
        host = world.routers["r1"].relay.host
        await host.handle_keep("r0", make_keep(context, 20))
        await host.handle_start("r0", StartExchange(number=20, wait_ms=0))
        reply = await host.handle_read(
            "r0",
            ReadExchange(number=20, position=99, has_head=True, max_bytes=9, wait_ms=0),
        )
        assert reply.state == "unknown"

    run(context, play())


@then("nothing ran but the valid request, and router r1 still relays")
def check_junk(context):
    world = context.world
    run(context, asyncio.sleep(0.1))
    assert [a for server in world.servers for _, _, a in server.arrivals] == ["k"]
    assert world.count_events("relay.invalid_messages") == 1
    assert world.count_events("relay.refused_invalid") == 2
    assert world.count_events("relay.refused_server_unknown") == 2


@then("the memory set aside for one exchange covers its buffers")
def check_buffers(context):
    assert relay_host.EXCHANGE_BYTES >= held_exchange.BUFFER_BYTES + held_exchange.READ_BYTES


@when("random faults happen for {seconds:d} seconds with seed {seed:d}")
def play_faults(context, seconds, seed):
    world = context.world
    source = random.Random(seed)
    modes = ["hang", "reset", "refuse new ones", "accept and hang", "accept and reset"]
    message_faults = ["lost message", "lost reply", "doubled message"]
    kinds = ["KeepRequest", "StartExchange", "ReadExchange", "CancelExchange", "AskContact"]

    def make_fault():
        match source.randrange(5):
            case 0 | 1:
                names = source.sample(list(world.routers), source.randint(1, len(world.routers)))
                world.cuts = dict.fromkeys(names, source.choice(modes))
            case 2:
                fault = (source.choice(message_faults), source.choice(kinds))
                world.faults[fault] += source.randint(1, 5)
            case 3:
                server = source.choice(world.servers)
                server.is_up = not server.is_up
            case 4:
                world.answer_seconds = source.choice([0.02, 0.3, 1.5])

    async def change():
        while True:
            await asyncio.sleep(source.uniform(0.2, 2.0))
            make_fault()

    async def play():
        changing = asyncio.create_task(change())
        await world.send_requests(REQUESTS_PER_SECOND, seconds)
        changing.cancel()
        world.cuts, world.answer_seconds = {}, 0.02
        world.faults.clear()
        for server in world.servers:
            server.is_up = True
        await asyncio.sleep(3.0)
        context.late = [await world.send(name) for name in world.routers]

    run(context, play())


@then("all requests after the faults are served")
def check_late(context):
    for attempt in context.late:
        assert attempt.is_served, attempt.error


@then("no part of a router has failed")
def check_no_failure(context):
    assert context.world.count_events("tasks.failed") == 0


@then("each finished answer is whole")
def check_whole(context):
    world = context.world
    expected = b"".join(EVENTS) if world.answer == "stream" else world.body
    finished = [attempt for attempt in world.attempts if attempt.is_served]
    assert finished
    for attempt in finished:
        assert attempt.sink.body == expected, (attempt.attempt_id, attempt.sink.body)
