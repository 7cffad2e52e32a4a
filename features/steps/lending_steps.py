"""Steps about fleets in which one router draws for the others."""

import asyncio

from behave import given, then, when
from fleet_steps import build_fleet, read_account, run
from laburnumpier_core.errors import RequestError
from laburnumpier_router.budget.peers import RequestTransfer, TellSpending

REQUEST_TOKENS = 150
USED_TOKENS = 100


# How deployments that forward requests set the budget.
SETTINGS = {
    "budget.refill_seconds": "1.5",
    "budget.grant_horizon_seconds": "12",
    "budget.grant_floor_share": "0.03",
    "budget.grant_held_share": "0.25",
    "budget.gather_seconds": "0.25",
}


@given("a lending fleet of {routers:d} routers and a budget of {tokens:d} tokens")
def make_fleet(context, routers, tokens):
    run(context, build_fleet(context, routers, 1, tokens, settings=SETTINGS))


def live(context):
    return [router for router in context.fleet.routers.values() if router.alive]


def start_refills(context):
    """Refills in the background, which only deployments that forward requests do."""
    if "spent" in context:
        return
    context.spent, context.refused, context.refillers = 0, [], []
    for router in live(context):
        work = router.application.budget.refill_periodically()
        context.refillers.append(context.virtual.get_loop().create_task(work))

    async def stop():
        for task in context.refillers:
            task.cancel()
        await asyncio.gather(*context.refillers, return_exceptions=True)

    context.cleanups.append((context.virtual, stop))


async def spend(context, router, count, seconds):
    budget = router.application.budget
    loop = asyncio.get_running_loop()
    for _ in range(count):
        await asyncio.sleep(seconds / count)
        if not router.alive:
            return
        try:
            reservation = await budget.reserve("w", REQUEST_TOKENS, loop.time() + 1.0)
        except RequestError as error:
            context.refused.append((loop.time(), router.name, error))
            continue
        await asyncio.sleep(0.2)
        if router.alive:
            context.spent += budget.settle_unbilled(reservation, USED_TOKENS)


@when("each router spends {count:d} times 100 of 150 reserved tokens within {seconds:d} seconds")
def spend_everywhere(context, count, seconds):
    start_refills(context)
    context.revision = context.fleet.store.state.revision

    async def play():
        await asyncio.gather(*(spend(context, router, count, seconds) for router in live(context)))

    run(context, play())


def find_lender(context):
    return live(context)[0].application.fleet.find_home("budget/w")


@when("the lender is killed")
def kill_lender(context):
    vm = find_lender(context).split("@")[0]
    run(context, context.fleet.kill(vm))


@when("each report of spending reaches the lender twice, and its answers are lost")
def tell_twice(context):
    lender = find_lender(context)
    by_name = {router.application.fleet.self_name: router for router in live(context)}
    for name, router in by_name.items():
        pool = router.application.budget.states["w"].pool
        totals = {
            grant.grant_id: grant.spent_total
            for grant in pool.list_unreported_spending()
            if not grant.own
        }
        message = TellSpending(workspace="w", spender=name, spent_totals=totals)
        for _ in range(2):
            by_name[lender].application.budget.take_told_spending(message)


@then("all of these requests were admitted")
def check_admitted(context):
    assert not context.refused, context.refused


@when("the store stays silent for all routers")
def silence_store(context):
    context.fleet.store.silent_for.update(context.fleet.routers)


@then("at most {count:d} of these requests were refused")
def check_few_refused(context, count):
    assert len(context.refused) <= count, (len(context.refused), context.refused[:3])


@then("within {seconds:f} seconds the lender answers {count:d} requests of borrowers at once")
def check_lender_answers(context, seconds, count):
    lender = context.fleet.routers[find_lender(context).split("@")[0]].application.budget

    async def ask():
        began = asyncio.get_running_loop().time()
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
        return asyncio.get_running_loop().time() - began

    took = run(context, ask())
    assert took <= seconds, took


@when("a router that is not the lender is asked to draw {tokens:d} tokens for a peer")
def ask_another(context, tokens):
    lender = find_lender(context)
    other = next(r for r in live(context) if r.application.fleet.self_name != lender)
    message = RequestTransfer(
        workspace="w", transfer_id="x/1", borrower="x", tokens=tokens, shortage=tokens, draw=True
    )
    context.offer = run(context, other.application.budget.lend(message))


@then("the peer is lent {tokens:d} tokens")
def check_lent(context, tokens):
    assert sum(part.tokens for part in context.offer.parts) == tokens, context.offer


@then("the lender holds at least {tokens:d} tokens free")
def check_lender_holds(context, tokens):
    lender = context.fleet.routers[find_lender(context).split("@")[0]].application.budget
    assert lender.states["w"].pool.free >= tokens, lender.states["w"].pool.free


@then("the account was written fewer than {count:d} times")
def check_writes(context, count):
    writes = context.fleet.store.state.revision - context.revision
    assert writes < count, writes


@then("only one router holds grants of the account")
def check_holders(context):
    holders = {grant.holder for grant in read_account(context).grants.values()}
    assert len(holders) <= 1, holders


@then("within {seconds:d} seconds the account has settled the {tokens:d} tokens spent")
def check_settled(context, seconds, tokens):
    assert context.spent == tokens, context.spent
    for _ in range(seconds):
        run(context, asyncio.sleep(1))
        if read_account(context).settled == tokens:
            return
    raise AssertionError(read_account(context).settled)


@then("no more than {most:d} tokens were spent, and at least {least:d}")
def check_spent(context, most, least):
    assert least <= context.spent <= most, context.spent
    assert read_account(context).committed <= most
