"""Steps for requests that crash servers, in virtual time.

They guard against a request that ends one server after the other, and against sound requests that
are refused because they were lost in the same crashes.
"""

import asyncio

from behave import given, then, when
from crashing_part_steps import play, run
from laburnumpier_core.result_codes import Ran, ResultCode
from laburnumpier_router.configuration.document import RouteKind
from laburnumpier_router.forward.request_fingerprint import is_request_fingerprint

CONTACT_SECONDS = 3.0
QUIET_SECONDS = 6.0
THIRD = 2
"""Index of the third crash."""
REPEAT_SECONDS = (0.05, 0.3)
EVENTS = {
    "all routers but one have started again": "all routers but one start again",
    "a router is cut off for 6 seconds": "router 1 is cut off",
    "all routers have started again": "all routers start again once",
}


@given("{kind} without prompts")
def use_kind(context, kind):
    context.world.has_prompts = False
    if kind == "idempotent calls":
        context.world.use_plain_calls()
    elif kind == "calls that must not run twice":
        context.world.use_plain_calls(RouteKind.NON_IDEMPOTENT)


@given("streams with prompts")
def use_prompts(context):
    context.world.has_prompts = True


@given("{count:d} requests that crash servers")
def set_guilty_bodies(context, count):
    context.world.guilty_bodies = [f"guilty-{number}" for number in range(count)]


@given("{share:g} of the sound requests have the same body")
def set_popular(context, share):
    context.world.popular_share = share


@given("{event}, {seconds:d} seconds after the begin")
def set_event(context, event, seconds):
    context.event = (EVENTS[event], seconds)


@when(
    "{rate:d} sound requests a second come for {seconds:d} seconds and those each {interval:g}"
    " seconds"
)
def send_with_guilty(context, rate, seconds, interval):
    world = context.world

    async def send():
        if not hasattr(context, "begun_seconds"):
            await world.send_requests(rate, QUIET_SECONDS)
            context.begun_seconds = asyncio.get_running_loop().time()
        await play(
            context,
            asyncio.gather(
                world.send_requests(rate, seconds),
                world.repeat_guilty_requests(interval, seconds),
            ),
        )

    run(context, send())


@when(
    "{rate:d} requests a second are sent again and again for {seconds:d} seconds while servers"
    " crash each second"
)
def send_repeated(context, rate, seconds):
    world = context.world

    async def send_until_served(number):
        for _ in range(4):
            await world.send_request("", body=f"repeated-{number}")
            *_, attempt = world.attempts.values()
            if attempt.is_whole:
                return
            await asyncio.sleep(world.random.uniform(*REPEAT_SECONDS))

    async def send():
        loop = asyncio.get_running_loop()
        end_seconds, number = loop.time() + seconds, 0
        async with asyncio.TaskGroup() as group:
            while loop.time() < end_seconds:
                await asyncio.sleep(world.random.expovariate(rate))
                number += 1
                group.create_task(send_until_served(number))

    async def play_all():
        await play(context, send(), crash_interval=1.0)

    run(context, play_all())


def list_guilty(context, body):
    return [attempt for attempt in context.world.attempts.values() if attempt.body == body]


@then("at most {count:d} servers crash under each of them")
def check_crashes(context, count):
    crashes = {body: len(times) for body, times in context.world.crashes.items()}
    assert set(crashes) == set(context.world.guilty_bodies), crashes
    assert max(crashes.values()) <= count, context.world.crashes


@then(
    "at most {count:d} of each reach a server later than {seconds:d} seconds after its third crash"
)
def check_late(context, count, seconds):
    for body, times in context.world.crashes.items():
        if len(times) <= THIRD:
            continue
        arrivals = [at for attempt in list_guilty(context, body) for at in attempt.arrivals]
        late = [at for at in arrivals if at > times[THIRD] + seconds]
        assert len(late) <= count, (body, times, late)


@then("no attempt has crashed more than {count:d} servers")
def check_attempts(context, count):
    for body in context.world.guilty_bodies:
        arrivals = [len(attempt.arrivals) for attempt in list_guilty(context, body)]
        assert max(arrivals) <= count, arrivals


def compare_served(context, attempts, from_seconds, share):
    before = [attempt for attempt in attempts if attempt.sent_seconds < context.begun_seconds]
    after = [attempt for attempt in attempts if attempt.sent_seconds > from_seconds]
    assert min(len(before), len(after)) >= 20
    shares = [sum(attempt.is_whole for attempt in group) / len(group) for group in (before, after)]
    assert shares[1] >= share * shares[0], shares


def get_first_crash(context):
    return min(min(times) for times in context.world.crashes.values())


@then(
    "sound requests are served {share:g} times as often as before, {seconds:d} seconds after the"
    " first crash"
)
def check_sound(context, share, seconds):
    guilty = set(context.world.guilty_bodies)
    sound = [a for a in context.world.attempts.values() if a.body not in guilty]
    compare_served(context, sound, get_first_crash(context) + seconds, share)


@then(
    "the popular request is never refused as blocked, and served {share:g} times as often as"
    " before, {seconds:d} seconds after the first crash"
)
def check_popular(context, share, seconds):
    assert all(attempt.body != "popular" for attempt in context.world.list_refused())
    popular = list_guilty(context, "popular")
    compare_served(context, popular, get_first_crash(context) + seconds, share)


@then("at most {share:g} of the requests are refused as blocked")
def check_refused_share(context, share):
    refused = len(context.world.list_refused())
    assert refused <= share * len(context.world.attempts), refused


@then("no shared part is blocked at the end")
def check_no_part(context):
    async def list_blocked():
        return context.world.list_blocked()

    blocked = run(context, list_blocked())
    assert all(is_request_fingerprint(suspect) for suspect in blocked), blocked


@then("the last of those is served")
def check_last(context):
    *_, last = list_guilty(context, "guilty-0")
    assert last.is_whole, last


@then(
    "each refused one has reached no server, took {seconds:g} seconds at most and is told a time"
)
def check_refusals(context, seconds):
    refused = context.world.list_refused()
    assert len(refused) >= 5, len(refused)
    for attempt in refused:
        assert attempt.body in context.world.guilty_bodies, attempt
        assert attempt.error.code is ResultCode.PROMPT_BLOCKED, attempt
        assert attempt.error.ran is Ran.NO, attempt
        assert not attempt.arrivals, attempt
        assert attempt.took_seconds <= seconds, attempt
        assert attempt.error.retry_after_seconds > 0, attempt


@then("the same body on another path is served")
def check_other_path(context):
    world = context.world
    world.is_mended = True

    async def send():
        await world.send_request("", body="guilty-0", target="/shop/y")

    run(context, send())
    *_, attempt = world.attempts.values()
    assert attempt.is_whole, attempt
