"""Steps for fleets in which callers crowd at one router."""

import asyncio
import random

from behave import given, then, when
from fleet_steps import build_fleet, read_account, run
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import ResultCode
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
PROMPT_TOKENS = (9190, 2368, 715)
"""Prompt lengths of the platform's services."""
MAX_ANSWER_TOKENS = 200
ANSWER_SECONDS = 0.8


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
