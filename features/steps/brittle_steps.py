"""Steps for brittle servers, in virtual time.

They guard against servers that fall over because routers send more than they let wait, against
places that stay unused, and against refusals that are late or untrue.
"""

import asyncio

from behave import given, then, when
from brittle_world import BrittleWorld
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, Ran

SEED = 47
USUAL_SECONDS = 2.0
CONTACT_SECONDS = 3.0
OVERLOAD = 1.5
MAX_RETRY_AFTER_SECONDS = 10.0


def run(context, coroutine):
    return context.virtual.run(coroutine)


@given(
    "{routers:d} routers before {servers:d} brittle servers with {slots:d} slots"
    " that bear {rejects:d} rejects"
)
def make_world(context, routers, servers, slots, rejects):
    async def make():
        context.world = BrittleWorld(routers, servers, slots, SEED)

    run(context, make())
    context.rejects = rejects
    context.event = None


@given("{kind} to brittle servers")
def use_kind(context, kind):
    async def use():
        context.world.use_streams()

    if kind == "streams":
        run(context, use())


@given("{seconds:d} seconds into the brittle time {event}")
def set_event(context, seconds, event):
    context.event = (seconds, event)


async def cause_event(world, seconds, event):
    await asyncio.sleep(seconds)
    names = list(world.routers)
    if event == "the home of a server dies":
        world.kill_router(rank_by_rendezvous("place/i-0", names)[0])
    elif event == "three routers die":
        for name in names[:3]:
            world.kill_router(name)
    elif event == "all routers start again":
        for name in names:
            world.kill_router(name)
        for name in names:
            world.start_router(name)
    elif event == "three routers start again one by one":
        for name in names[:3]:
            world.kill_router(name)
            await asyncio.sleep(1.0)
            world.start_router(name)
    elif event == "three routers reach no other side":
        cut(world, {name: int(name in names[:3]) for name in names})
    elif event == "half of the routers reach no other side":
        cut(world, {name: number % 2 for number, name in enumerate(names)})
    elif event == "no router reaches another one for 8 s":
        cut(world, {name: number for number, name in enumerate(names)})
        await asyncio.sleep(8.0)
        world.sides = {}
    elif event == "a server starts again":
        world.servers[0].stop()
        await asyncio.sleep(1.0)
        world.servers[0].start()
    elif event == "a server falls over":
        world.servers[0].fall()
    elif event == "servers run 4 requests":
        for server in world.servers:
            server.slots = 4
    elif event == "servers send junk for 2 s":
        notices = [server.notice for server in world.servers]
        for server in world.servers:
            server.notice = "many"
        await asyncio.sleep(2.0)
        for server, notice in zip(world.servers, notices, strict=True):
            server.notice = notice
    else:
        raise ValueError(event)


def cut(world, sides):
    world.sides = sides
    world.cut_since = asyncio.get_running_loop().time()


def set_notices(world, notice):
    for server in world.servers:
        server.notice = notice


def set_brittle(world, max_rejects):
    for server in world.servers:
        server.max_rejects = max_rejects
        server.room = 0


def end_brittle(world):
    for server in world.servers:
        server.notice = server.max_rejects = None
        server.room = 40


async def play(context, brittle_seconds, usual_seconds=0.0, notice=None):
    """Sends more than the servers can run, while they are brittle for a time."""
    world, loop = context.world, asyncio.get_running_loop()
    context.began_seconds = loop.time() + USUAL_SECONDS
    context.ended_seconds = context.began_seconds + brittle_seconds
    tasks = [asyncio.create_task(world.exchange_heartbeats())]
    if notice is not None:
        loop.call_at(context.began_seconds, set_notices, world, notice)
    if context.event is not None:
        seconds, event = context.event
        tasks.append(asyncio.create_task(cause_event(world, seconds + USUAL_SECONDS, event)))
    if notice == str(context.rejects):
        at_seconds = context.began_seconds + CONTACT_SECONDS
        loop.call_at(at_seconds, set_brittle, world, context.rejects)
    loop.call_at(context.ended_seconds, end_brittle, world)
    seconds = USUAL_SECONDS + brittle_seconds + usual_seconds
    context.quiet_seconds = context.began_seconds - USUAL_SECONDS + seconds - 4.0
    loop.call_at(context.quiet_seconds, lambda: setattr(context, "asked", count_asked(world)))
    await world.send_requests(OVERLOAD * world.capacity_per_second, seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def count_asked(world):
    return sum(r.metrics.counters.get("places.asked", 0) for r in world.routers.values())


@when("they are brittle for {seconds:d} seconds")
def play_brittle(context, seconds):
    run(context, play(context, seconds, notice=str(context.rejects)))


@when("they are brittle for {seconds:d} seconds, and usual for {usual:d} more")
def play_end(context, seconds, usual):
    run(context, play(context, seconds, usual, notice=str(context.rejects)))


@when("they are never brittle for {seconds:d} seconds")
def play_usual(context, seconds):
    run(context, play(context, seconds))


@when("their notice is '{value}' for {seconds:d} seconds")
def play_junk(context, value, seconds):
    run(context, play(context, seconds, notice=value))


@then("at most 2 + a tenth of their number fall over")
def check_falls(context):
    servers = context.world.servers
    falls = sum(len(server.falls) for server in servers)
    if context.event is not None and context.event[1] == "a server falls over":
        falls -= 1
    rejects = sum(len(server.rejects) for server in servers)
    assert falls <= 2 + 0.1 * len(servers), (falls, rejects)


@then("at least {share:g} of what the servers can run is served")
def check_served(context, share):
    world = context.world
    from_seconds = context.began_seconds + CONTACT_SECONDS
    ends = [seconds for server in world.servers for seconds in server.ends]
    served = sum(from_seconds <= seconds < context.ended_seconds for seconds in ends)
    possible = world.capacity_per_second * (context.ended_seconds - from_seconds)
    assert served >= share * possible, (served, possible, served / possible)


@then("all refusals are true and told within {seconds:g} seconds")
def check_refusals(context, seconds):
    from_seconds = context.began_seconds + CONTACT_SECONDS
    refused = [
        attempt
        for attempt in context.world.attempts.values()
        if attempt.error is not None and attempt.error.ran is Ran.NO
    ]
    assert refused
    for attempt in refused:
        assert RESULT_CODE_TABLE[attempt.error.code].http_status == 503
        assert not attempt.runs
        assert 0 < attempt.error.retry_after_seconds <= MAX_RETRY_AFTER_SECONDS
        if attempt.sent_seconds > from_seconds:
            took_seconds = attempt.ended_seconds - attempt.sent_seconds
            assert took_seconds <= seconds, took_seconds


@then("no server is known as brittle")
def check_end(context):
    for router in context.world.routers.values():
        assert not [t for t in run(context, list_told(router)) if t.max_rejects is not None]


async def list_told(router):
    return router.places.servers.list_told()


@then("no place was asked for in the last 4 seconds")
def check_no_late_asks(context):
    assert context.asked > 0
    assert count_asked(context.world) == context.asked


@then("no place was asked for")
def check_no_asks(context):
    assert count_asked(context.world) == 0


@then("all requests have an answer")
def check_answers(context):
    attempts = context.world.attempts.values()
    assert all(attempt.is_whole or attempt.error is not None for attempt in attempts)
