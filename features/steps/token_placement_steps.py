"""Steps for fleets in which callers crowd at one router."""

import asyncio
import random

from behave import given, then, when
from fleet_steps import build_fleet, read_account, run
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import ResultCode
from laburnumpier_router.budget.held_ahead import (
    HELD_AHEAD_SHARE,
    Balance,
    HeldAhead,
    compute_even_tokens,
)
from laburnumpier_router.budget.service import LENDER_DRAINING_SHARE
from lending_steps import find_lender, list_live_routers, start_refills

# Budget settings of platform/settings.ini.
PLATFORM_BUDGET_SETTINGS = {
    "budget.account_shards": "16",
    "budget.gather_seconds": "0",
    "budget.grant_minimum_tokens": "2000",
    "budget.grant_horizon_seconds": "12",
    "budget.grant_floor_share": "0.03",
    "budget.grant_held_share": "0.7",
    "budget.refill_seconds": "1.5",
    "budget.admission_wait_seconds": "0.1",
}
PREFETCH_SECONDS = 5.0
MINIMUM_TOKENS = int(PLATFORM_BUDGET_SETTINGS["budget.grant_minimum_tokens"])
PROMPT_TOKENS = (9190, 2368, 715)
"""Prompt lengths of the platform's services."""
MAX_ANSWER_TOKENS = 200
ANSWER_SECONDS = 0.8
STORE_TIMEOUT_SECONDS = 0.3
"""Time limit of a store call in the forwarding deployments."""


@given(
    "a lending fleet of {routers:d} routers with the platform's settings"
    " and a budget of {tokens:d} tokens"
)
def make_fleet(context, routers, tokens):
    context.tokens = tokens
    run(context, build_fleet(context, routers, 1, tokens, settings=PLATFORM_BUDGET_SETTINGS))
    start_refills(context)
    run(context, asyncio.sleep(PREFETCH_SECONDS))


@given("calls between routers take between {least:d} and {most:d} ms")
def delay_calls(context, least, most):
    context.fleet.hub.delay_range_seconds = (least / 2000, most / 2000)


async def serve_request(context, router, amount, used):
    budget = router.application.budget
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        reservation = await budget.reserve("w", amount, started + 1.0)
    except RequestError as error:
        drawable = read_account(context).available
        context.refusals.append((router.name, amount, round(loop.time(), 3), error, drawable))
        return
    context.waits.append(loop.time() - started)
    await asyncio.sleep(ANSWER_SECONDS)
    if router.alive:
        context.spent_tokens += budget.settle_unbilled(reservation, used)


async def serve_crowd(context, router, count, seconds, source):
    """Serves requests of mixed size at random times."""

    async def serve_later():
        prompt, answer = source.choice(PROMPT_TOKENS), source.randint(1, MAX_ANSWER_TOKENS)
        await asyncio.sleep(source.uniform(0, seconds))
        await serve_request(context, router, prompt + MAX_ANSWER_TOKENS, prompt + answer)

    await asyncio.gather(*(serve_later() for _ in range(count)))


def find_crowded_router(context):
    """Returns a router that is not the lender."""
    lender = find_lender(context)
    return next(
        router
        for router in list_live_routers(context)
        if router.application.fleet.self_name != lender
    )


@when("one router gets {crowd:d} requests and each other one {count:d} within {seconds:d} seconds")
def serve_uneven(context, crowd, count, seconds):
    context.waits = []
    source = random.Random(16)
    crowded = find_crowded_router(context)
    context.calls_before = context.fleet.store.state.call_count
    context.peer_calls_before = context.fleet.hub.call_count

    async def serve_all():
        await asyncio.gather(
            *(
                serve_crowd(
                    context, router, crowd if router is crowded else count, seconds, source
                )
                for router in list_live_routers(context)
            )
        )

    run(context, serve_all())


def list_unreachable(context):
    return [
        refusal
        for refusal in context.refusals
        if refusal[3].code is ResultCode.BUDGET_UNREACHABLE and refusal[4] > context.tokens // 10
    ]


@then("no request was refused as unreachable while over a tenth of the budget was drawable")
def check_unreachable(context):
    unreachable = list_unreachable(context)
    assert not unreachable, (len(unreachable), len(context.waits), unreachable[:3])


@then("no more than the budget was spent")
def check_not_overspent(context):
    assert context.spent_tokens <= context.tokens, context.spent_tokens
    assert read_account(context).committed <= context.tokens


@then("fewer than {count:d} store calls were made")
def check_store_calls(context, count):
    calls = context.fleet.store.state.call_count - context.calls_before
    assert calls < count, calls


def get_state(router):
    return router.application.budget.states["w"]


def get_free(router):
    return get_state(router).pool.free


def list_held(context):
    return [get_free(router) for router in list_live_routers(context)]


@then("each router holds at least {tokens:d} free tokens")
def check_first_tokens(context, tokens):
    assert min(list_held(context)) >= tokens, list_held(context)


@then("all routers together hold at most {share:f} of the budget")
def check_total_held(context, share):
    assert sum(list_held(context)) <= share * context.tokens, sum(list_held(context))


@when(
    "{rate:d} requests a second come to one router for {first:d} seconds,"
    " then to another one for {second:d} second"
)
def move_demand(context, rate, first, second):
    context.waits = []
    source = random.Random(5)
    lender = find_lender(context)
    routers = [
        router
        for router in list_live_routers(context)
        if router.application.fleet.self_name != lender
    ]
    context.busy_router = routers[1]

    async def serve():
        first_crowd = asyncio.create_task(
            serve_crowd(context, routers[0], rate * first, first, source)
        )
        await asyncio.sleep(first)
        second_crowd = asyncio.create_task(
            serve_crowd(context, routers[1], rate * second, second, source)
        )
        await asyncio.sleep(second)
        context.busy_free = get_free(routers[1])
        await asyncio.gather(first_crowd, second_crowd)

    run(context, serve())
    mean_tokens = sum(PROMPT_TOKENS) / len(PROMPT_TOKENS) + MAX_ANSWER_TOKENS
    context.busy_tokens_per_second = rate * mean_tokens


@then("the router with the demand holds enough for two loans of {milliseconds:d} ms at its demand")
def check_busy_holding(context, milliseconds):
    needed = 2 * milliseconds / 1000 * context.busy_tokens_per_second
    assert context.busy_free >= needed, (context.busy_free, needed)


@when("a router gets a request of {large:d} tokens, and 20 ms later requests of {small:d} tokens")
def mix_sizes(context, large, small):
    context.waits = []
    router = find_crowded_router(context)
    count = get_free(router) // small + 3

    async def serve():
        large_request = asyncio.create_task(serve_request(context, router, large, 1))
        await asyncio.sleep(0.02)
        await asyncio.gather(
            large_request, *(serve_request(context, router, small, small) for _ in range(count))
        )

    run(context, serve())
    context.large = large


@then("only the large request is refused")
def check_only_large(context):
    assert [refusal[1] for refusal in context.refusals] == [context.large], context.refusals


@then("each of the others waited at most {seconds:f} seconds")
def check_waits(context, seconds):
    assert context.waits and max(context.waits) <= seconds, max(context.waits, default=None)


@when(
    "a router gets a request of more than it holds, and one of the same size"
    " {seconds:f} seconds later"
)
def repeat_request(context, seconds):
    context.waits = []
    router = find_crowded_router(context)
    amount = get_free(router) + 5000

    async def serve():
        await serve_request(context, router, amount, amount)
        context.first_refusals = len(context.refusals)
        await asyncio.sleep(seconds)
        await serve_request(context, router, amount, amount)

    run(context, serve())


@then("only the first of these requests is refused")
def check_only_first(context):
    assert context.first_refusals == 1 == len(context.refusals), context.refusals


@when("one router spends more than it and the lender hold, in requests of {tokens:d} tokens")
def spend_beyond_lender(context, tokens):
    context.waits = []
    router = find_crowded_router(context)
    lender = find_lender(context)
    context.reachable = sum(
        get_free(other)
        for other in list_live_routers(context)
        if other is router or other.application.fleet.self_name == lender
    )
    context.idle = sum(list_held(context)) - context.reachable
    context.spent_before = context.spent_tokens
    count = (context.reachable + context.idle) // tokens

    async def serve():
        requests = []
        for _ in range(count):
            requests.append(asyncio.create_task(serve_request(context, router, tokens, tokens)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*requests)

    run(context, serve())


@then("it spent at least half of what the idle routers held")
def check_recalled(context):
    beyond = context.spent_tokens - context.spent_before - context.reachable
    assert beyond >= context.idle / 2, (beyond, context.idle)


@given("a budget of {tokens:d} tokens of which {drawable:d} are drawable, and {routers:d} routers")
def make_balance(context, tokens, drawable, routers):
    context.balance = Balance(
        purchased=tokens,
        drawable=drawable,
        held_share=HELD_AHEAD_SHARE,
        routers=routers,
        minimum_tokens=MINIMUM_TOKENS,
    )


@then("each router may hold {tokens:d} tokens before its demand is measured")
def check_even_part(context, tokens):
    assert compute_even_tokens(context.balance) >= tokens, compute_even_tokens(context.balance)


@when("one router has all of the demand")
def lend_all_room(context):
    context.held_ahead = HeldAhead()
    for number in range(context.balance.routers):
        name = f"r{number}"
        context.held_ahead.record_report(name, 0, 1e6 if number == 0 else 0.0, 0.0)
    for _ in range(3):
        for number in range(context.balance.routers):
            name = f"r{number}"
            room = context.held_ahead.compute_room(name, context.balance, 0.0)
            context.held_ahead.record_loan(name, room)


@then("all borrowers hold at most {tokens:d} tokens")
def check_borrowers(context, tokens):
    assert context.held_ahead.total_tokens <= tokens, context.held_ahead.total_tokens


@then("the lender holds at most {tokens:d} more")
def check_lender_minimum(context, tokens):
    last_tenth = context.balance.purchased // 10
    if context.balance.drawable <= last_tenth:
        assert context.balance.drawable * LENDER_DRAINING_SHARE <= tokens


@when(
    "one router gets {crowd:d} requests and each other one {count:d},"
    " while it and the lender are cut off and killed"
)
def kill_under_load(context, crowd, count):
    context.waits = []
    source = random.Random(9)
    crowded = find_crowded_router(context)
    lender = context.fleet.routers[find_lender(context).split("@")[0]]

    async def disturb():
        for router in (crowded, lender):
            await asyncio.sleep(2)
            context.fleet.isolate(router.name)
            await asyncio.sleep(1)
            context.fleet.heal_partitions()
            await asyncio.sleep(1)
            await context.fleet.kill(router.name)

    async def serve():
        crowds = [
            asyncio.create_task(
                serve_crowd(context, router, crowd if router is crowded else count, 16, source)
            )
            for router in list_live_routers(context)
        ]
        await asyncio.gather(disturb(), *crowds, return_exceptions=True)

    run(context, serve())


@then("spent and held tokens are within the budget")
def check_within_budget(context):
    held = sum(
        get_state(router).pool.free + get_state(router).pool.reserved
        for router in list_live_routers(context)
    )
    assert context.waits
    assert context.spent_tokens + held <= context.tokens, (context.spent_tokens, held)
    assert read_account(context).committed <= context.tokens


@given("a forwarding fleet of {routers:d} routers that draw, and a budget of {tokens:d} tokens")
def make_small_fleet(context, routers, tokens):
    context.tokens = tokens
    run(context, build_fleet(context, routers, 1, tokens, settings=PLATFORM_BUDGET_SETTINGS))
    context.fleet.store.client_timeout_seconds = STORE_TIMEOUT_SECONDS
    context.fleet.hub.delay_range_seconds = (0.001, 0.004)
    start_refills(context)
    run(context, asyncio.sleep(PREFETCH_SECONDS))


@when(
    "store calls of {count:d} routers go unanswered for {outage:f} seconds of each {period:f},"
    " for {seconds:d} seconds"
)
def serve_through_outages(context, count, outage, period, seconds):
    context.waits = []
    source = random.Random(3)
    store = context.fleet.store

    async def fail_periodically():
        for _ in range(int(seconds // period)):
            await asyncio.sleep(period - outage)
            store.timed_out_clients.update(source.sample(list(context.fleet.routers), count))
            await asyncio.sleep(outage)
            store.timed_out_clients.clear()

    async def serve():
        crowds = (
            serve_crowd(context, router, 400 if number == 0 else 40, seconds, source)
            for number, router in enumerate(list_live_routers(context))
        )
        await asyncio.gather(fail_periodically(), *crowds)

    run(context, serve())


def count_all(context, name):
    return sum(
        router.application.metrics.counters.get(name, 0) for router in list_live_routers(context)
    )


@then("at most {count:d} writes of a shard conflicted")
def check_conflicts(context, count):
    conflicts = count_all(context, "budget.writer.conflicts")
    assert conflicts <= count, conflicts


@then("at most {count:d} store calls of shard writers failed")
def check_failed_calls(context, count):
    failures = count_all(context, "budget.writer.store_failures")
    assert failures <= count, failures


def list_room(context):
    return [
        context.held_ahead.compute_room(f"r{number}", context.balance, 0.0)
        for number in range(context.balance.routers)
    ]


@when("router {name} reports {free:d} free tokens and a rate of {rate}")
def report_impossible(context, name, free, rate):
    context.room_before = list_room(context)
    context.is_recorded = context.held_ahead.record_report(name, free, float(rate), 0.0)


@then("the report is refused and no other router's room changes")
def check_report_refused(context):
    assert context.is_recorded is False
    assert list_room(context) == context.room_before
