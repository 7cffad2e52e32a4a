"""Steps about the records of where streams began, with routers on a simulated network."""

import asyncio
import logging
import random

import msgspec
from behave import given, step, then, when
from fleet_steps import DATA_CENTRES, kill, router_name, run
from fuzz_steps import JSON_VALUES, check_property
from hypothesis import strategies
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.application import PEER_MESSAGE_TYPES
from laburnumpier_router.fleet.member import Heartbeat
from laburnumpier_router.fleet.peer_link import Envelope, PeerLink, Refused
from laburnumpier_router.forward import origin_messages
from laburnumpier_router.forward.origin_memory import MIN_STALE_EXPIRIES, OriginMemory
from laburnumpier_router.forward.origin_placement import HOLDERS_PER_ORIGIN
from laburnumpier_router.forward.stream_origin import StreamOrigin
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.memory_network import MemoryPeerNetwork
from laburnumpier_standins.virtual_loop import VirtualClock

KEEP_SECONDS = 120.0
FIND_LIMIT_SECONDS = 0.15
TIMER_TOLERANCE_SECONDS = 0.001
FIRST = StreamOrigin(service="chat", software_version="v1")
SECOND = StreamOrigin(service="chat", software_version="v1.2")


def get_origins(context, number):
    return context.fleet.routers[router_name(number)].application.stream_origins


def get_counter(context, number, name):
    metrics = context.fleet.routers[router_name(number)].application.metrics
    return metrics.counters.get(name, 0)


def list_live(context, data_centre=None):
    return [
        router.application
        for router in context.fleet.routers.values()
        if router.alive
        and router.application not in context.old_releases
        and data_centre in (None, router.application.fleet.member.data_centre)
    ]


def make_attempts(context, count):
    context.attempts = [f"{context.random.getrandbits(64):016x}" for _ in range(count)]
    # Streams of three versions, so that an origin of another attempt would be noticed.
    context.expected = {
        attempt: StreamOrigin(service="chat", software_version=f"v{index % 3}")
        for index, attempt in enumerate(context.attempts)
    }


def record_streams(context, number, count, keep_seconds=KEEP_SECONDS, within_seconds=0.0):
    make_attempts(context, count)
    origins = get_origins(context, number)

    async def record():
        for attempt in context.attempts:
            origins.record(attempt, context.expected[attempt], keep_seconds)
            if within_seconds:
                await asyncio.sleep(within_seconds / count)

    run(context, record())


def find_timed(context, application, attempt):
    async def find():
        loop = asyncio.get_running_loop()
        started = loop.time()
        origin = await application.stream_origins.find(attempt)
        return origin, loop.time() - started

    return run(context, find())


def list_holding(context, attempt):
    """Returns the live routers that remember an attempt themselves."""

    async def ask(application):
        message = origin_messages.FindOrigin(attempt_id=attempt)
        return (await application.stream_origins.handle_find("test", message)).known

    return [application for application in list_live(context) if run(context, ask(application))]


def check_found(context, applications):
    """Checks that each stream is found by one of some routers, drawn for each."""
    context.lookups = []
    for attempt in context.attempts:
        application = context.random.choice(applications)
        origin, seconds = find_timed(context, application, attempt)
        context.lookups.append((attempt, origin, seconds))
        assert origin == context.expected[attempt], (attempt, application.fleet.self_name, origin)
        assert seconds <= FIND_LIMIT_SECONDS + TIMER_TOLERANCE_SECONDS, seconds


@given("{routers:d} routers in {centres:d} data centres that record where streams began")
def start_fleet(context, routers, centres):
    context.random = random.Random(11)
    context.old_releases = []
    context.fleet = MemoryFleet(seed=11)
    context.cleanups.append((context.virtual, context.fleet.close))

    async def start():
        for number in range(1, routers + 1):
            data_centre = DATA_CENTRES[(number - 1) % centres]
            await context.fleet.start_router(router_name(number), data_centre)
        await asyncio.sleep(8)

    run(context, start())


@given("every router misses one other in its view, drawn with seed {seed:d}")
def make_views_differ(context, seed):
    context.random = random.Random(seed)

    async def change_views():
        now = asyncio.get_running_loop().time()
        for application in list_live(context):
            view = application.fleet.view
            del view.known[context.random.choice(view.live)]
            view.refresh(now)
            assert len(view.live) == len(context.fleet.routers) - 2

    run(context, change_views())


@step("router {number:d} is cut off from all others")
def cut_off(context, number):
    context.fleet.isolate(router_name(number))


@given("routers {numbers} run an earlier release without these messages")
def run_earlier_release(context, numbers):
    types = set(PEER_MESSAGE_TYPES) - set(origin_messages.MESSAGE_TYPES)
    for number in numbers.replace(" and", ",").split(","):
        router = context.fleet.routers[router_name(int(number))]
        context.old_releases.append(router.application)
        network = MemoryPeerNetwork(hub=context.fleet.hub, address=router.address)
        link = PeerLink(
            network=network,
            self_name=router.application.fleet.self_name,
            token="fleet",
            message_types=types,
            metrics=Metrics(),
        )

        async def handle_heartbeat(sender, message, fleet=router.application.fleet):
            return message

        link.register_handler(Heartbeat, handle_heartbeat)
        run(context, link.start())


@when("router {number:d} records a stream, drawn with seed {seed:d}")
def record_one(context, number, seed):
    context.random = random.Random(seed)
    record_streams(context, number, 1)
    run(context, asyncio.sleep(0.02))
    (attempt,) = context.attempts
    context.holders = [
        application.fleet.member.vm
        for application in list_holding(context, attempt)
        if application is not context.fleet.routers[router_name(number)].application
    ]
    assert len(context.holders) == HOLDERS_PER_ORIGIN, context.holders
    context.random.shuffle(context.holders)


@when("router 1 and the stream's first holder are killed")
def kill_writer_and_holder(context):
    run(context, context.fleet.kill(router_name(1)))
    run(context, context.fleet.kill(context.holders[0]))


@when("another router takes up the stream")
def take_up(context):
    applications = [
        application
        for application in list_live(context)
        if application.fleet.member.vm not in context.holders
    ]
    context.second = context.random.choice(applications)
    (attempt,) = context.attempts
    origin, _ = find_timed(context, context.second, attempt)
    assert origin == context.expected[attempt], origin
    run(context, asyncio.sleep(1))


@when("that router and the stream's other holder are killed")
def kill_second_and_other_holder(context):
    run(context, context.fleet.kill(context.second.fleet.member.vm))
    run(context, context.fleet.kill(context.holders[1]))


@when("router {number:d} records {count:d} streams")
def record_and_tell(context, number, count):
    record_streams(context, number, count)
    run(context, asyncio.sleep(0.05))


@when("router {number:d} records {count:d} streams for {seconds:d} seconds")
def record_for(context, number, count, seconds):
    record_streams(context, number, count, keep_seconds=seconds)


@when("router {number:d} records {count:d} streams within 1 second")
def record_within_second(context, number, count):
    context.sent_before = get_counter(context, number, "peer.messages_sent")
    record_streams(context, number, count, within_seconds=1.0)


@when("router {number:d} records {count:d} streams and is killed {milliseconds:d} ms later")
def record_and_kill(context, number, count, milliseconds):
    record_streams(context, number, count)
    run(context, asyncio.sleep(milliseconds / 1000))
    kill(context, number)


@when("router {number:d} is killed as well")
def kill_as_well(context, number):
    kill(context, number)


@when("router {number:d} starts in data centre {data_centre}")
def start_router(context, number, data_centre):
    run(context, context.fleet.start_router(router_name(number), data_centre))


@when("the data centres are cut off from each other")
def cut_data_centres(context):
    routers = list(context.fleet.routers.values())
    for data_centre in DATA_CENTRES:
        inside = [
            r.address for r in routers if r.application.fleet.member.data_centre == data_centre
        ]
        outside = [r.address for r in routers if r.address not in inside]
        context.fleet.hub.partition(inside, outside)


@when("routers 1 and 2 record another version for the same streams")
def record_another_version(context):
    context.first_holding = {
        attempt: list_holding(context, attempt) for attempt in context.attempts
    }
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logger = logging.getLogger("laburnumpier.forward")
    logger.addHandler(handler)
    logging.disable(logging.NOTSET)

    async def record():
        for attempt in context.attempts:
            for number in (1, 2):
                get_origins(context, number).record(attempt, SECOND, KEEP_SECONDS)
        await asyncio.sleep(0.05)

    try:
        run(context, record())
    finally:
        logging.disable(logging.CRITICAL)
        logger.removeHandler(handler)


@when("{count:d} streams with times drawn with seed {seed:d} are kept in a memory of {size:d}")
def keep_in_memory(context, count, seed, size):
    context.random = random.Random(seed)

    async def keep():
        context.memory = OriginMemory(clock=VirtualClock(), metrics=Metrics(), max_entries=size)
        context.times = {}
        for index in range(count):
            seconds = context.random.uniform(10, 500)
            context.memory.keep(f"a{index}", FIRST, seconds)
            context.times[f"a{index}"] = seconds
            assert len(context.memory) <= size

    run(context, keep())


@then("each stream is found by one of the other routers")
def check_found_by_others(context):
    writer = context.fleet.routers[router_name(1)].application
    check_found(context, [other for other in list_live(context) if other is not writer])


@then("each stream is found by router {number:d}")
def check_found_by(context, number):
    check_found(context, [context.fleet.routers[router_name(number)].application])


@then("each stream is found by one of the routers of data centre {data_centre}")
def check_found_in_data_centre(context, data_centre):
    check_found(context, list_live(context, data_centre))


@then("each stream is found by one of the routers of the new release")
def check_found_by_new_release(context):
    check_found(context, list_live(context))


@then("lookups at the other routers of the new release took under {seconds:f} seconds")
def check_lookup_times(context, seconds):
    assert max(taken for _, _, taken in context.lookups) < seconds


@then("each stream is remembered by {count:d} of the other routers")
def check_remembered(context, count):
    run(context, asyncio.sleep(0.05))
    writer = context.fleet.routers[router_name(1)].application
    for attempt in context.attempts:
        holding = [one for one in list_holding(context, attempt) if one is not writer]
        assert len(holding) >= count, (attempt, len(holding))


@then("lookups at router {number:d} end as unknown within {seconds:f} seconds")
def check_unknown_in_time(context, number, seconds):
    application = context.fleet.routers[router_name(number)].application
    assert application.fleet.view.live
    for attempt in context.attempts:
        origin, taken = find_timed(context, application, attempt)
        assert origin is None
        assert taken <= seconds + TIMER_TOLERANCE_SECONDS, taken
    assert get_counter(context, number, "forward.origins_unanswered") == len(context.attempts)


@then("an attempt that was never recorded is unknown to all routers")
def check_never_recorded(context):
    for application in list_live(context):
        origin, _ = find_timed(context, application, "0" * 16)
        assert origin is None
        assert application.metrics.counters["forward.origins_unknown"] == 1


@then("an attempt with an id of {length:d} characters is unknown to all routers")
def check_long_id(context, length):
    attempt = "a" * length

    async def record(origins):
        origins.record(attempt, FIRST, KEEP_SECONDS)

    for application in list_live(context):
        run(context, record(application.stream_origins))
        origin, _ = find_timed(context, application, attempt)
        assert origin is None


@then("each stream is unknown to all routers")
def check_unknown(context):
    for application in list_live(context):
        for attempt in context.attempts:
            origin, _ = find_timed(context, application, attempt)
            assert origin is None, (application.fleet.self_name, attempt)


@then("no router remembers more than {count:d} streams")
def check_kept_counts(context, count):
    for application in list_live(context):

        async def record(origins=application.stream_origins):
            origins.record("after", FIRST, 0.0)

        run(context, record())
        assert application.stream_origins.kept_count <= count + 1


@then("router 1 and the holders still know the first version of each")
def check_first_version(context):
    writer = context.fleet.routers[router_name(1)].application
    for attempt, holding in context.first_holding.items():
        assert writer in holding and len(holding) == 1 + HOLDERS_PER_ORIGIN
        for application in holding:
            origin, _ = find_timed(context, application, attempt)
            assert origin == context.expected[attempt], origin


@then("the conflicts are counted and logged")
def check_conflicts(context):
    counted = sum(
        application.metrics.counters.get("forward.origins_conflicting", 0)
        for application in list_live(context)
    )
    messages = [line for line in context.lines if "conflicts" in line.getMessage()]
    assert counted == len(messages) >= len(context.attempts), (counted, len(messages))
    assert all(line.levelno == logging.WARNING for line in messages)


@then("router 1 has sent each other router at most 1 message per 15 ms")
def check_message_rate(context):
    sent = get_counter(context, 1, "peer.messages_sent") - context.sent_before
    others = len(context.fleet.routers) - 1
    # Heartbeats go to six partners at most, once a second.
    limit = others * (1.0 / 0.015 + 1) + 2 * 6
    assert sent <= limit, (sent, limit)
    assert get_counter(context, 1, "forward.origins_dropped") == 0


@then("router {number:d} has at most {count:d} records waiting")
def check_waiting(context, number, count):
    waiting = get_origins(context, number).untold_count
    assert waiting <= count, waiting
    if count:
        assert waiting > 0


@then("every record was told, dropped or given up, and the drops were counted")
def check_given_up(context):
    copies = HOLDERS_PER_ORIGIN * len(context.attempts)
    dropped = get_counter(context, 1, "forward.origins_dropped")
    given_up = get_counter(context, 1, "forward.origins_untold")
    told = get_counter(context, 1, "forward.origins_told")
    assert told == 0, told
    assert dropped + given_up == copies, (dropped, given_up, copies)
    assert dropped > 0, (dropped, given_up)


@then("the memory holds the {count:d} that expire last")
def check_memory(context, count):
    last = sorted(context.times, key=context.times.get)[-count:]

    async def list_kept():
        return {attempt for attempt in context.times if context.memory.find(attempt) is not None}

    assert run(context, list_kept()) == set(last)


@then("moving the expiry of one entry {count:d} times does not make it grow")
def check_moved_expiry(context, count):
    async def move():
        attempt = max(context.times, key=context.times.get)
        for index in range(count):
            context.memory.keep(attempt, FIRST, 500 + index * 0.001)

    run(context, move())
    size = len(context.memory)
    assert len(context.memory._expiries) <= 2 * size + MIN_STALE_EXPIRIES + 1


@then("{count:d} arbitrary messages about origins are accepted or refused as unreadable")
def check_arbitrary_messages(context, count):
    router = context.fleet.routers[router_name(1)]
    decoder = msgspec.msgpack.Decoder(
        Refused | origin_messages.OriginsKept | origin_messages.OriginAnswered
    )
    attempts = strategies.tuples(strategies.text(max_size=200), strategies.integers(-10, 2**40))
    groups = strategies.lists(
        strategies.tuples(
            strategies.text(max_size=20),
            strategies.text(max_size=20),
            strategies.lists(attempts, max_size=4),
        ),
        max_size=3,
    )
    bodies = strategies.one_of(
        groups.map(lambda value: {"type": "TellOrigins", "groups": value}),
        JSON_VALUES.map(lambda value: {"type": "TellOrigins", "groups": value}),
        strategies.text(max_size=300).map(
            lambda value: {"type": "FindOrigin", "attempt_id": value}
        ),
        JSON_VALUES.map(lambda value: {"type": "FindOrigin", "attempt_id": value}),
    )
    context.accepted = 0

    def is_encodable(body):
        try:
            msgspec.msgpack.encode(body)
        except (OverflowError, UnicodeEncodeError):
            return False
        return True

    def send(body):
        envelope = Envelope(
            sender="x@1", target="", token="fleet", body=msgspec.Raw(msgspec.msgpack.encode(body))
        )
        handler = context.fleet.hub.handlers[router.address]
        reply = decoder.decode(run(context, handler(msgspec.msgpack.encode(envelope))))
        if isinstance(reply, Refused):
            assert reply.reason == "the message is unreadable", reply
        else:
            context.accepted += 1

    check_property(count, bodies.filter(is_encodable), send)
    assert context.accepted > 0
