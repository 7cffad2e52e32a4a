"""Steps for servers that name limits, in virtual time.

They guard against servers that get more requests than the limit that they have named, and against
limits that are kept badly: starts that nobody uses, limits that never end, returns at one moment.
"""

import asyncio
import collections
import itertools

from behave import given, then, when
from crash_world import HEARTBEAT_SECONDS, CrashWorld
from crashing_part_steps import SEED
from laburnumpier_core.result_codes import RESULT_CODE_TABLE, Ran

CONTACT_SECONDS = 3.0
TOLD_SECONDS = 0.5
"""Time from the first answer with a limit at a router until the limit binds it."""
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
MAX_REFUSAL_SECONDS = 0.2


def run(context, coroutine):
    return context.virtual.run(coroutine)


def get_limits(context):
    return {
        server: float(limit)
        for server, limit in zip(context.world.servers, context.limits, strict=False)
        if limit != "none"
    }


@given("streams")
def use_streams(context):
    context.changes = []


@given("plain calls")
def use_plain_calls(context):
    context.changes = []
    context.world.use_plain_calls()
    context.world.has_prompts = False


@given("servers that name the limits {limits} after {seconds:d} seconds")
def name_limits(context, limits, seconds):
    context.limits = limits.split()
    context.named_seconds = seconds

    async def change():
        for server, limit in zip(context.world.servers, context.limits, strict=False):
            server.limit = None if limit == "none" else limit

    context.changes.append((seconds, change))


@given("all limits end after {seconds:d} seconds")
def end_limits(context, seconds):
    async def change():
        for server in context.world.servers:
            server.limit = None

    context.changes.append((seconds, change))


@given("servers that name '{value}' from the second {seconds:d} on")
def name_value(context, value, seconds):
    async def change():
        context.world.servers[0].limit = value

    context.changes.append((seconds, change))


@given("servers that name '' from the second {seconds:d} on")
def name_empty_value(context, seconds):
    name_value(context, "", seconds)


@given("after {seconds:d} seconds the routers start again one by one")
def restart_routers(context, seconds):
    async def change():
        for name in list(context.world.routers):
            context.world.start_router(name)
            await asyncio.sleep(1.5)

    context.changes.append((seconds, change))


@given("after {seconds:d} seconds three routers reach no other router")
def cut_routers(context, seconds):
    async def change():
        context.world.cut_off.update(list(context.world.routers)[:3])

    context.changes.append((seconds, change))


@given("after {seconds:d} seconds all routers but one are gone")
def remove_routers(context, seconds):
    async def change():
        for name in list(context.world.routers)[1:]:
            del context.world.routers[name]

    context.changes.append((seconds, change))


@when("{rate:d} requests a second come for {seconds:d} seconds")
def send_requests(context, rate, seconds):
    world = context.world

    async def make_change(delay_seconds, change):
        await asyncio.sleep(delay_seconds)
        await change()

    async def play():
        context.began_seconds = asyncio.get_running_loop().time()
        tasks = [asyncio.create_task(make_change(*change)) for change in context.changes]
        tasks.append(asyncio.create_task(world.exchange_heartbeats()))
        await world.send_requests(rate, seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(context, play())
    context.seconds = seconds
    context.rate = rate


@then(
    "no server gets more than one and a half times its limit and {extra:d} requests in 4 seconds"
)
def check_limits(context, extra):
    for server, limit in get_limits(context).items():
        from_seconds = min(server.told.values()) + CONTACT_SECONDS
        counted = [
            seconds
            for seconds, router in server.arrivals
            if seconds >= from_seconds
            and router not in context.world.cut_off
            and server.told.get(router, seconds) + TOLD_SECONDS <= seconds
        ]
        window, most = collections.deque(), 0
        for seconds in counted:
            window.append(seconds)
            while window[0] < seconds - WINDOW_SECONDS:
                window.popleft()
            most = max(most, len(window))
        allowed = LIMIT_FACTOR * limit * WINDOW_SECONDS + extra
        assert most <= allowed, (server.server_id, limit, most, allowed)


@then("servers with a limit get at least {share:g} times as many requests as it allows")
def check_use(context, share):
    from_seconds = context.began_seconds + context.named_seconds + CONTACT_SECONDS
    to_seconds = context.began_seconds + context.seconds
    limits = get_limits(context)
    arrived = sum(
        from_seconds <= seconds < to_seconds for server in limits for seconds, _ in server.arrivals
    )
    possible = sum(limits.values()) * (to_seconds - from_seconds)
    possible = min(possible, context.rate * (to_seconds - from_seconds))
    assert arrived >= share * possible, (arrived, possible)


@then("at least {share:g} of the requests of the last {seconds:d} seconds are served")
def check_served(context, share, seconds):
    from_seconds = context.began_seconds + context.seconds - seconds
    attempts = [a for a in context.world.attempts.values() if a.sent_seconds >= from_seconds]
    served = [attempt for attempt in attempts if attempt.is_whole]
    assert len(served) >= share * len(attempts), (len(served), len(attempts))


def count_arrivals(world, from_seconds):
    return [
        sum(seconds >= from_seconds for seconds, _ in server.arrivals) for server in world.servers
    ]


@then(
    "each server gets at least {share:g} times as many as without limits from second {second:d} on"
)
def check_share(context, share, second):
    async def play_without_limits():
        world = CrashWorld(len(context.world.routers), len(context.world.servers), SEED)
        world.is_streaming, world.has_prompts = (
            context.world.is_streaming,
            context.world.has_prompts,
        )
        world.configuration.configuration = context.world.configuration.configuration
        began_seconds = asyncio.get_running_loop().time()
        await world.send_requests(context.rate, context.seconds)
        return count_arrivals(world, began_seconds + second)

    usual = run(context, play_without_limits())
    counts = count_arrivals(context.world, context.began_seconds + second)
    assert all(count >= share * least for count, least in zip(counts, usual, strict=True)), (
        counts,
        usual,
    )


@then("each server gets a request in each {seconds:d} seconds")
def check_some(context, seconds):
    for server in context.world.servers:
        times = [time for time, _ in server.arrivals]
        gaps = [after - before for before, after in itertools.pairwise(times)]
        assert max(gaps) <= seconds, (server.server_id, max(gaps))


@then("the limit of the first server is {kept}")
def check_kept(context, kept):
    from_seconds = context.began_seconds + context.seconds - 10
    count = sum(seconds >= from_seconds for seconds, _ in context.world.servers[0].arrivals)
    # The usual share is 75; a limit of one a second allows 10 and what one window has beyond.
    assert (count <= 10 + EXTRA_REQUESTS) == (kept == "kept"), count


@then("requests were refused as not run, within 0.2 seconds or after the wait for a start")
def check_refusals(context):
    refused = [a for a in context.world.attempts.values() if a.error is not None]
    assert refused
    for attempt in refused:
        assert not attempt.arrivals
        assert attempt.error.ran is Ran.NO
        assert RESULT_CODE_TABLE[attempt.error.code].http_status == 503
        assert attempt.took_seconds <= MAX_REFUSAL_SECONDS, attempt.took_seconds


@then("no more than {count:d} of them are told to return in the same second")
def check_returns(context, count):
    returns = collections.Counter(
        int(attempt.sent_seconds + attempt.took_seconds + attempt.error.retry_after_seconds)
        for attempt in context.world.attempts.values()
        if attempt.error is not None
        and attempt.sent_seconds < context.began_seconds + context.seconds - HEARTBEAT_SECONDS
    )
    assert max(returns.values()) <= count, returns
