"""Steps about budgets while the store does not answer some of the routers."""

import asyncio

from behave import given, then, when
from fleet_steps import build_fleet, read_account, run
from laburnumpier_core.hashing import choose_shard
from lending_steps import SETTINGS, live, spend, start_refills

# How deployments that forward requests admit them: a request hardly waits for tokens.
FORWARDING = {**SETTINGS, "budget.admission_wait_seconds": "0.1", "budget.gather_seconds": "0"}


@given("a forwarding fleet of {routers:d} routers and a budget of {tokens:d} tokens")
def make_fleet(context, routers, tokens):
    run(context, build_fleet(context, routers, 1, tokens, settings=FORWARDING))


@given("each router holds tokens")
def prepare(context):
    start_refills(context)
    run(context, asyncio.sleep(5))


@when("calls of all routers to the store stay silent")
def silence_all(context):
    context.fleet.store.silent_for.update(context.fleet.routers)


@when("calls of the account's home, vm-1 and {count:d} more routers to the store stay silent")
def silence_some(context, count):
    submitter = live(context)[0].application.submitter
    shard = choose_shard("w", submitter.shard_count)
    home = live(context)[0].application.fleet.find_home(f"shard/{shard}").split("@")[0]
    others = [name for name in sorted(context.fleet.routers) if name not in (home, "vm-1")]
    context.fleet.store.silent_for.update({home, "vm-1"}, others[:count])


@when("all routers reach the store")
def end_silence(context):
    context.fleet.store.silent_for.clear()
    run(context, asyncio.sleep(4))


@when("router {name} spends {count:d} times 100 of 150 reserved tokens within {seconds:d} seconds")
def spend_at_one(context, name, count, seconds):
    router = context.fleet.routers[name]
    run(context, spend(context, router, count, seconds))


@then("at least {least:d} of {count:d} requests were admitted")
def check_admitted(context, least, count):
    admitted = count - len(context.refused)
    assert admitted >= least, (admitted, context.refused[:3], context.refused[-3:])


@then("every router believes that it reaches the store")
def check_belief(context):
    beliefs = {
        router.name: router.application.submitter.store_reachability.is_reachable
        for router in live(context)
    }
    assert all(beliefs.values()), beliefs


@when("router {name} begins to stop")
def begin_stop(context, name):
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
