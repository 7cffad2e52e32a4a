"""Steps for fleets in which one router draws tokens and lends them to the others."""

import asyncio

from behave import given, then, when
from fleet_steps import build_fleet, read_account, run
from laburnumpier_core.errors import RequestError
from laburnumpier_router.budget.peers import RequestTransfer, TellSpending

REQUEST_TOKENS = 150
USED_TOKENS = 100

# Budget settings of the deployments that forward requests.
FORWARDING_BUDGET_SETTINGS = {
    "budget.refill_seconds": "1.5",
    "budget.grant_horizon_seconds": "12",
    "budget.grant_floor_share": "0.03",
    "budget.grant_held_share": "0.25",
    "budget.gather_seconds": "0.25",
}


@given("a lending fleet of {routers:d} routers and a budget of {tokens:d} tokens")
def make_fleet(context, routers, tokens):
    run(context, build_fleet(context, routers, 1, tokens, settings=FORWARDING_BUDGET_SETTINGS))


def list_live_routers(context):
    return [router for router in context.fleet.routers.values() if router.alive]


def start_refills(context):
    """Starts background refills on all routers, as deployments that forward requests do.

    The first call also initializes the counts of the scenario; later calls do nothing.
    """
    if "spent_tokens" in context:
        return
    context.spent_tokens, context.refusals, context.refill_tasks = 0, [], []
    for router in list_live_routers(context):
        refills = router.application.budget.refill_periodically()
        context.refill_tasks.append(context.virtual.get_loop().create_task(refills))

    async def stop_refills():
        for task in context.refill_tasks:
            task.cancel()
        await asyncio.gather(*context.refill_tasks, return_exceptions=True)

    context.cleanups.append((context.virtual, stop_refills))


async def serve_requests(context, router, count, seconds):
    budget = router.application.budget
    loop = asyncio.get_running_loop()
    for _ in range(count):
        await asyncio.sleep(seconds / count)
        if not router.alive:
            return
        try:
            reservation = await budget.reserve("w", REQUEST_TOKENS, loop.time() + 1.0)
        except RequestError as error:
            context.refusals.append((loop.time(), router.name, error))
            continue
        await asyncio.sleep(0.2)
        if router.alive:
            context.spent_tokens += budget.settle_unbilled(reservation, USED_TOKENS)


@when(
    "each router serves {count:d} requests that reserve 150 tokens and use 100,"
    " within {seconds:d} seconds"
)
def serve_on_all_routers(context, count, seconds):
    start_refills(context)
    context.revision_before = context.fleet.store.state.revision

    async def serve_all():
        await asyncio.gather(
            *(
                serve_requests(context, router, count, seconds)
                for router in list_live_routers(context)
            )
        )

    run(context, serve_all())


def find_lender(context):
    return list_live_routers(context)[0].application.fleet.find_home("budget/w")


@when("the lender is killed")
def kill_lender(context):
    vm = find_lender(context).split("@")[0]
    run(context, context.fleet.kill(vm))


@when("each spending report reaches the lender twice, and its replies are lost")
def repeat_spending_reports(context):
    lender = find_lender(context)
    routers_by_incarnation = {
        router.application.fleet.self_name: router for router in list_live_routers(context)
    }
    for incarnation, router in routers_by_incarnation.items():
        pool = router.application.budget.states["w"].pool
        totals = {
            grant.grant_id: grant.spent_total
            for grant in pool.list_unreported_spending()
            if not grant.own
        }
        message = TellSpending(workspace="w", spender=incarnation, spent_totals=totals)
        for _ in range(2):
            routers_by_incarnation[lender].application.budget.record_borrower_spending(message)


@then("all of these requests were admitted")
def check_admitted(context):
    assert not context.refusals, context.refusals


@when("the store stops answering all routers")
def silence_store(context):
    context.fleet.store.silent_for.update(context.fleet.routers)


@then("at most {count:d} of these requests were refused")
def check_refusal_count(context, count):
    assert len(context.refusals) <= count, (len(context.refusals), context.refusals[:3])


@then("the lender answers {count:d} concurrent loan requests within {seconds:f} seconds")
def check_loan_latency(context, seconds, count):
    lender = context.fleet.routers[find_lender(context).split("@")[0]].application.budget

    async def request_loans():
        started = asyncio.get_running_loop().time()
        messages = [
            RequestTransfer(
                workspace="w",
                transfer_id=f"x/{i}",
                borrower="x",
                tokens=10**6,
                shortage=10**6,
                draw=True,
            )
            for i in range(count)
        ]
        await asyncio.gather(*(lender.lend(message) for message in messages))
        return asyncio.get_running_loop().time() - started

    elapsed = run(context, request_loans())
    assert elapsed <= seconds, elapsed


@when("a router that is not the lender is asked to draw {tokens:d} tokens for a peer")
def request_loan_from_another(context, tokens):
    lender = find_lender(context)
    other = next(
        router
        for router in list_live_routers(context)
        if router.application.fleet.self_name != lender
    )
    message = RequestTransfer(
        workspace="w", transfer_id="x/1", borrower="x", tokens=tokens, shortage=tokens, draw=True
    )
    context.offer = run(context, other.application.budget.lend(message))


@then("the peer is lent {tokens:d} tokens")
def check_lent(context, tokens):
    assert sum(part.tokens for part in context.offer.parts) == tokens, context.offer


@then("the lender holds at least {tokens:d} free tokens")
def check_lender_holds(context, tokens):
    lender = context.fleet.routers[find_lender(context).split("@")[0]].application.budget
    assert lender.states["w"].pool.free >= tokens, lender.states["w"].pool.free


@then("the account was written fewer than {count:d} times")
def check_writes(context, count):
    writes = context.fleet.store.state.revision - context.revision_before
    assert writes < count, writes


@then("only one router holds grants of the account")
def check_holders(context):
    holders = {grant.holder for grant in read_account(context).grants.values()}
    assert len(holders) <= 1, holders


@then("the account settles the {tokens:d} spent tokens within {seconds:d} seconds")
def check_settled(context, seconds, tokens):
    assert context.spent_tokens == tokens, context.spent_tokens
    for _ in range(seconds):
        run(context, asyncio.sleep(1))
        if read_account(context).settled == tokens:
            return
    raise AssertionError(read_account(context).settled)


@then("between {least:d} and {most:d} tokens were spent")
def check_spent(context, most, least):
    assert least <= context.spent_tokens <= most, context.spent_tokens
    assert read_account(context).committed <= most
