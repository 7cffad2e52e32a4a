"""Steps for budgets while the store does not answer some or all of the routers."""

import asyncio

import msgspec
from behave import given, then, when
from fleet_steps import build_fleet, read_account, run
from laburnumpier_core.hashing import choose_shard
from lending_steps import (
    FORWARDING_BUDGET_SETTINGS,
    list_live_routers,
    serve_requests,
    start_refills,
)

# Settings of the deployments that forward requests; 0.1 s is the longest wait for tokens.
FORWARDING_SETTINGS = {
    **FORWARDING_BUDGET_SETTINGS,
    "budget.admission_wait_seconds": "0.1",
    "budget.gather_seconds": "0",
}


@given("a forwarding fleet of {routers:d} routers and a budget of {tokens:d} tokens")
def make_fleet(context, routers, tokens):
    run(context, build_fleet(context, routers, 1, tokens, settings=FORWARDING_SETTINGS))


@given("each router holds tokens")
def prefetch_tokens(context):
    start_refills(context)
    run(context, asyncio.sleep(5))


@when("store calls of all routers go unanswered")
def silence_store_for_all(context):
    context.fleet.store.timed_out_clients.update(context.fleet.routers)


@when("store calls of the account's home, vm-1 and {count:d} more routers go unanswered")
def silence_store_for_some(context, count):
    submitter = list_live_routers(context)[0].application.submitter
    shard = choose_shard("w", submitter.shard_count)
    home = (
        list_live_routers(context)[0].application.fleet.find_home(f"shard/{shard}").split("@")[0]
    )
    others = [name for name in sorted(context.fleet.routers) if name not in (home, "vm-1")]
    context.fleet.store.timed_out_clients.update({home, "vm-1"}, others[:count])


@when("store calls are answered again")
def answer_store_calls(context):
    context.fleet.store.timed_out_clients.clear()


@when("the store answers all routers again")
def restore_store(context):
    context.fleet.store.timed_out_clients.clear()
    run(context, asyncio.sleep(4))


@when(
    "router {name} serves {count:d} requests that reserve 150 tokens and use 100,"
    " within {seconds:d} seconds"
)
def serve_on_one_router(context, name, count, seconds):
    router = context.fleet.routers[name]
    run(context, serve_requests(context, router, count, seconds))


@then("at least {least:d} of {count:d} requests were admitted")
def check_admitted(context, least, count):
    admitted = count - len(context.refusals)
    assert admitted >= least, (admitted, context.refusals[:3], context.refusals[-3:])


@then("every router reports the store as reachable")
def check_store_reachability(context):
    reachable = {
        router.name: router.application.submitter.store_reachability.is_reachable
        for router in list_live_routers(context)
    }
    assert all(reachable.values()), reachable


@when("router {name} begins to stop")
def begin_graceful_stop(context, name):
    async def begin():
        context.fleet.routers[name].application.budget.begin_stop()

    run(context, begin())


@then("within {seconds:f} seconds no grant of {name} is open")
def check_none_open(context, seconds, name):
    run(context, asyncio.sleep(seconds))
    held = {
        grant_id: grant.amount
        for grant_id, grant in read_account(context).grants.items()
        if grant.holder.startswith(f"{name}@") and grant.amount
    }
    assert not held, held


def get_state(context, name):
    return context.fleet.routers[name].application.budget.states["w"]


@when("the target holding of {name} falls to a tenth for {seconds:d} seconds")
def lower_target(context, name, seconds):
    state = get_state(context, name)
    context.free_before = state.pool.free
    account = state.account
    state.account = msgspec.structs.replace(
        account, unspent=account.unspent // 10, available=account.available // 10
    )
    run(context, asyncio.sleep(seconds))


@then("{name} has as many free tokens as before")
def check_free_kept(context, name):
    assert get_state(context, name).pool.free >= context.free_before > 0


@when("{name} returns its free tokens")
def return_free_tokens(context, name):
    async def give_back():
        context.fleet.routers[name].application.budget.return_free_tokens("w")
        await asyncio.sleep(2)

    run(context, give_back())


@then("all returns of {name} are confirmed within {seconds:d} seconds")
def check_returns_confirmed(context, name, seconds):
    run(context, asyncio.sleep(seconds))
    grants = get_state(context, name).pool.grants.values()
    open_returns = [g for g in grants if g.returned_total != g.confirmed_returned_total]
    assert not open_returns, open_returns
