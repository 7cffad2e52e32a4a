"""Steps for prompts that crash servers, in virtual time.

They guard against servers that crash one after the other on the same part of prompts, and against
sound requests that are refused because of it.
"""

import asyncio

from behave import given, then, when
from crash_world import CrashWorld
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import Ran, ResultCode
from laburnumpier_router.fleet.member import BlockedPart

SEED = 31
QUIET_SECONDS = 6.0
"""Time without guilty requests, in which the usual share of sound ones is measured."""
CONTACT_SECONDS = 3.0
MAX_REFUSED_SHARE = 0.005
"""Share of sound requests that may be refused for a part; no part is guilty."""
FIFTH = 4
"""Index of the fifth crash."""


def run(context, coroutine):
    return context.virtual.run(coroutine)


@given("{routers:d} routers before {servers:d} servers")
def make_world(context, routers, servers):
    async def make():
        context.world = CrashWorld(routers, servers, SEED)

    run(context, make())
    context.event = None


@given("servers that crash on {kind}")
def set_guilty(context, kind):
    world = context.world
    world.guilty_parts = ["guilty-0", "guilty-1"] if kind.startswith("two") else ["guilty-0"]
    context.was_answered = "known" in kind
    if "plain calls" in kind:
        world.use_plain_calls()
    if "after two events" in kind:
        world.crash_after_events = 2


@given("prompts of {count:d} documents")
def set_documents(context, count):
    context.world.documents = count


@given("after {seconds:d} seconds {event}")
def set_event(context, event, seconds):
    context.event = (event, seconds)


async def play(context, traffic, **beside):
    """Sends traffic beside heartbeats, crashes and the event of the scenario."""
    world = context.world
    tasks = [asyncio.create_task(world.exchange_heartbeats())]
    if "crash_interval" in beside:
        tasks.append(asyncio.create_task(world.crash_servers(beside["crash_interval"])))
    if context.event is not None:
        tasks.append(asyncio.create_task(cause_event(world, *context.event)))
    await traffic
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def cause_event(world, event, seconds):
    await asyncio.sleep(seconds)
    while event == "all routers start again":
        for name in list(world.routers):
            world.start_router(name)
        await asyncio.sleep(seconds)
    if event == "all routers start again once":
        for name in list(world.routers):
            world.start_router(name)
        return
    if event == "all routers but one start again":
        for name in list(world.routers)[1:]:
            world.start_router(name)
        return
    world.cut_off.add("r1")
    await asyncio.sleep(6.0)
    world.cut_off.clear()


@when(
    "{rate:d} sound requests a second and {guilty:d} with a part that crashes servers are sent"
    " for {seconds:d} seconds"
)
def send_guilty(context, rate, guilty, seconds):
    world = context.world

    async def send():
        guilty_parts = world.guilty_parts
        if context.was_answered:
            world.guilty_parts = []
            await send_sound_with(world, guilty_parts, rate)
            world.guilty_parts = guilty_parts
        else:
            await world.send_requests(rate, QUIET_SECONDS)
        context.begun_seconds = asyncio.get_running_loop().time()
        await play(context, world.send_requests(rate, seconds, guilty))

    run(context, send())


async def send_sound_with(world, parts, rate):
    """Sends requests of which some have parts that will crash servers later."""
    sending = asyncio.create_task(world.send_requests(rate, QUIET_SECONDS))
    for _ in range(20):
        await world.send_request(parts[0])
        await asyncio.sleep(0.1)
    await sending


@when(
    "{rate:d} sound requests a second are sent for {seconds:d} seconds while a server crashes"
    " each {interval:d} seconds"
)
def send_beside_crashes(context, rate, seconds, interval):
    world = context.world

    async def send():
        await world.send_requests(rate, QUIET_SECONDS)
        context.begun_seconds = asyncio.get_running_loop().time()
        await play(context, world.send_requests(rate, seconds), crash_interval=interval)

    run(context, send())


@when("the servers are mended")
def mend_servers(context):
    context.world.is_mended = True
    context.mended_seconds = context.virtual.get_loop().time()


@when("{rate:d} sound requests a second are sent for {seconds:d} seconds")
def send_sound(context, rate, seconds):
    run(context, play(context, context.world.send_requests(rate, seconds)))


@when(
    "{rate:d} sound requests a second are sent for {seconds:d} seconds while servers crash on all"
    " of them"
)
def send_while_all_crash(context, rate, seconds):
    world = context.world

    async def send():
        await world.send_requests(rate, QUIET_SECONDS)
        context.begun_seconds = asyncio.get_running_loop().time()
        world.guilty_parts = ["system"]
        await play(context, world.send_requests(rate, seconds))

    run(context, send())


@when("all routers are started again each {interval:d} seconds")
def start_again(context, interval):
    context.event = ("all routers start again", interval)


@then(
    "sound requests begin at least {share:f} times as often as before, {seconds:d} seconds after"
    " the mending"
)
def check_mended(context, share, seconds):
    attempts = list(context.world.attempts.values())
    before = [attempt for attempt in attempts if attempt.sent_seconds < context.begun_seconds]
    after = [
        attempt for attempt in attempts if attempt.sent_seconds > context.mended_seconds + seconds
    ]
    shares = [
        sum(attempt.has_begun for attempt in group) / len(group) for group in (before, after)
    ]
    assert shares[1] >= share * shares[0], shares


@when(
    "{rate:d} sound requests a second and {guilty:d} with that part are sent for {seconds:d}"
    " seconds"
)
def send_mended(context, rate, guilty, seconds):
    run(context, play(context, context.world.send_requests(rate, seconds, guilty)))


@then("at most {count:d} servers crash for each of the parts")
def check_crash_count(context, count):
    crashes = {part: len(times) for part, times in context.world.crashes.items()}
    assert set(crashes) == set(context.world.guilty_parts), crashes
    assert max(crashes.values()) <= count, crashes


@then(
    "at most {count:d} requests with each part reach a server later than {seconds:d} seconds"
    " after its fifth crash"
)
def check_late_arrivals(context, count, seconds):
    for part, times in context.world.crashes.items():
        if len(times) <= FIFTH:
            continue
        late = [
            arrival
            for attempt in context.world.attempts.values()
            if attempt.guilty_part == part
            for arrival in attempt.arrivals
            if arrival > times[FIFTH] + seconds
        ]
        assert len(late) <= count, (part, times, late)


@then(
    "sound requests begin at least {share:f} times as often as before, {seconds:d} seconds after"
    " the first crash"
)
def check_sound(context, share, seconds):
    first_crash = min(min(times) for times in context.world.crashes.values())
    sound = [attempt for attempt in context.world.attempts.values() if not attempt.guilty_part]
    before = [attempt for attempt in sound if attempt.sent_seconds < context.begun_seconds]
    after = [attempt for attempt in sound if attempt.sent_seconds > first_crash + seconds]
    assert min(len(before), len(after)) >= 20
    shares = [
        sum(attempt.has_begun for attempt in group) / len(group) for group in (before, after)
    ]
    assert shares[1] >= share * shares[0], shares


@then("no part is blocked at the end, and few requests were refused for one")
def check_innocent(context):
    assert not context.world.list_blocked(), context.world.list_blocked()
    refused = context.world.list_refused()
    assert len(refused) <= MAX_REFUSED_SHARE * len(context.world.attempts), len(refused)


@then("no part is blocked at the end")
def check_no_block(context):
    assert not context.world.list_blocked(), context.world.list_blocked()


@then(
    "each refusal for a blocked part has reached no server, took {seconds:f} seconds at most and"
    " names a time"
)
def check_refusals(context, seconds):
    refused = context.world.list_refused()
    assert len(refused) >= 5, len(refused)
    for attempt in refused:
        assert not attempt.arrivals, attempt
        assert attempt.took_seconds <= seconds, attempt
        assert attempt.error.retry_after_seconds > 0, attempt


@then("no request of the part was sent to two servers")
def check_single_sends(context):
    guilty = [attempt for attempt in context.world.attempts.values() if attempt.guilty_part]
    assert all(len(attempt.arrivals) <= 1 for attempt in guilty), guilty


@given("tokens that are granted after {seconds:d} second")
def delay_tokens(context, seconds):
    context.world.budget.wait_seconds = seconds


@when("a request waits for tokens while its part is blocked")
def block_while_waiting(context):
    world = context.world
    block = BlockedPart(
        service="s", part="p", crash_ages_ms=[10, 3000], is_certain=True, is_common=False
    )

    async def play_request():
        sending = asyncio.create_task(world.send_request("p"))
        await asyncio.sleep(0.5)
        for router in world.routers.values():
            router.guard.adopt_blocks("r1", [block])
        await sending

    run(context, play_request())


@then("it is refused for a blocked part and has reached no server")
def check_refused(context):
    (attempt,) = context.world.attempts.values()
    assert attempt.error is not None, attempt
    assert attempt.error.code is ResultCode.PROMPT_BLOCKED, attempt
    assert attempt.error.ran is Ran.NO, attempt
    assert not attempt.arrivals, attempt


@when("a part is blocked {seconds:f} seconds after the first event of an answer with it")
def block_after_first_event(context, seconds):
    world = context.world

    async def play_request():
        sending = asyncio.create_task(world.send_request("p"))
        while not world.attempts or not world.attempts["a0"].has_begun:
            await asyncio.sleep(0.01)
        await asyncio.sleep(seconds)
        block = BlockedPart(
            service="s", part="p", crash_ages_ms=[10, 3000], is_certain=True, is_common=False
        )
        for router in world.routers.values():
            router.guard.adopt_blocks("r1", [block])
        assert world.list_blocked() == ["p"]
        await sending
        await asyncio.sleep(0.1)

    run(context, play_request())


@then("the answer is whole, and the part is no longer blocked")
def check_whole(context):
    assert context.world.attempts["a0"].is_whole
    assert not context.world.list_blocked()


@given("a part that is blocked and due for its trial")
def block_due_part(context):
    block = BlockedPart(
        service="s", part="p", crash_ages_ms=[20_000, 23_000], is_certain=True, is_common=False
    )

    async def adopt():
        for router in context.world.routers.values():
            router.guard.adopt_blocks("r1", [block])

    run(context, adopt())


@when("{count:d} requests with the part get no tokens and then one does")
def send_without_tokens(context, count):
    world = context.world

    async def send():
        world.budget.error = RequestError(ResultCode.BUDGET_UNREACHABLE, retry_after_seconds=1.0)
        for _ in range(count):
            await world.send_request("p")
        world.budget.error = None
        await asyncio.sleep(0.01)
        await world.send_request("p")
        await asyncio.sleep(0.1)

    run(context, send())


@then("the answer of the last one is whole, and the part is no longer blocked")
def check_last_whole(context):
    *_, last = context.world.attempts.values()
    assert last.is_whole, last
    assert not context.world.list_blocked()
