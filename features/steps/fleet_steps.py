"""Steps that run a fleet of routers over in-memory ports on a virtual clock."""

import asyncio

import msgspec
from behave import given, step, then, when
from laburnumpier_core.result_codes import Ran, ResultCode
from laburnumpier_router.budget.account import find_account_errors
from laburnumpier_router.budget.shard_writer import choose_newest_shards
from laburnumpier_router.budget.slot import Slot
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.store_state import StoreFault

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")


def run(context, coroutine):
    return context.virtual.run(coroutine)


def router_name(number):
    return f"vm-{number}"


def read_account(context, workspace="w"):
    entries = context.fleet.store.state.entries
    for shard in choose_newest_shards({key: entry.value for key, entry in entries.items()}):
        if workspace in shard.accounts:
            return shard.accounts[workspace]
    raise AssertionError("the workspace has no account")


def read_bills(context, workspace="w"):
    bills = []
    for key, entry in context.fleet.store.state.entries.items():
        if key.startswith(f"slot/{workspace}/"):
            slot = msgspec.msgpack.decode(entry.value, type=Slot)
            if slot.bill is not None:
                bills.append(slot.bill)
    return bills


def list_live_budgets(context):
    for router in context.fleet.routers.values():
        if router.alive and "w" in router.application.budget.states:
            yield router, router.application.budget.states["w"]


def list_served_chats(context):
    return [outcome for outcome in context.outcomes if outcome.error is None]


async def build_fleet(context, routers, servers, tokens, policy="hold", settings=None):
    fleet = MemoryFleet(
        seed=7,
        settings={
            "budget.grant_minimum_tokens": "200",
            "budget.in_doubt_policy": policy,
            **(settings or {}),
        },
    )
    context.fleet = fleet
    context.cleanups.append((context.virtual, fleet.close))
    for number in range(1, routers + 1):
        await fleet.start_router(router_name(number), DATA_CENTRES[(number - 1) % 3])
    urls = {
        f"s{i}": fleet.add_server(MemoryServer(name=f"s{i}", tokens_per_event=1))
        for i in range(servers)
    }
    orders = fleet.add_server(MemoryServer(name="orders-1", models=[]))
    document = {
        "servers": {
            name: {"url": url, "vm": f"vm-{name}"} for name, url in {**urls, "o1": orders}.items()
        },
        "models": {"m": {"servers": list(urls)}},
        "services": {"orders": {"servers": ["o1"], "price_tokens": 5}},
        "workspaces": {
            "w": {"budget_tokens": tokens, "models": ["m"], "services": ["orders"]},
            "other": {"budget_tokens": tokens, "models": ["m"], "services": ["orders"]},
        },
    }
    await fleet.configure(router_name(1), document)
    await asyncio.sleep(8)


@given(
    "a fleet of {routers:d} routers, {servers:d} model servers and a budget of {tokens:d} tokens"
)
def make_fleet(context, routers, servers, tokens):
    context.outcomes = []
    context.tokens = tokens
    context.fleet_arguments = (routers, servers, tokens)
    run(context, build_fleet(context, routers, servers, tokens))


@given("the in-doubt policy is {policy}")
def set_policy(context, policy):
    run(context, context.fleet.close())
    run(context, build_fleet(context, *context.fleet_arguments, policy=policy))


@step("a chat of {tokens:d} tokens is sent to router {number:d}")
def send_chat(context, tokens, number):
    outcome = run(context, context.fleet.chat(router_name(number), "w", max_tokens=tokens))
    context.outcomes.append(outcome)


@step("chats of {tokens:d} tokens are sent to router {number:d} until one is refused")
def send_until_refused(context, tokens, number):
    async def send():
        for _ in range(500):
            outcome = await context.fleet.chat(router_name(number), "w", max_tokens=tokens)
            context.outcomes.append(outcome)
            if outcome.error is not None:
                return
        raise AssertionError("no chat was refused")

    application = context.fleet.routers[router_name(number)].application
    state = application.budget.states.get("w")
    context.free_before = state.pool.free if state else 0
    count_before = len(context.outcomes)
    run(context, send())
    context.latest_outcomes = context.outcomes[count_before:]


@when("{count:d} chats of {tokens:d} tokens are sent to all routers at once")
def send_concurrently(context, count, tokens):
    names = list(context.fleet.routers)

    async def send():
        return await asyncio.gather(
            *(
                context.fleet.chat(names[i % len(names)], "w", max_tokens=tokens)
                for i in range(count)
            )
        )

    context.outcomes.extend(run(context, send()))


@given("router {number:d} has served chats and holds tokens")
def serve_chats(context, number):
    async def send():
        for _ in range(3):
            outcome = await context.fleet.chat(router_name(number), "w", max_tokens=20)
            context.outcomes.append(outcome)
        await asyncio.sleep(1)

    run(context, send())
    application = context.fleet.routers[router_name(number)].application
    assert application.budget.states["w"].pool.free > 0


@given("every router has served chats and holds tokens")
def serve_chats_on_all_routers(context):
    for number in range(1, 1 + len(context.fleet.routers)):
        serve_chats(context, number)


@step("{seconds:d} seconds pass")
def pass_time(context, seconds):
    run(context, asyncio.sleep(seconds))


@given("the store {fault}")
def set_store_fault(context, fault):
    control = context.fleet.store
    if fault == "loses half of the answers":
        control.answer_loss_probability = 0.5
        return
    control.fault = {
        "works": StoreFault.NONE,
        "is down": StoreFault.DOWN,
        "is slow": StoreFault.SLOW,
        "loses every answer": StoreFault.ANSWER_LOST,
        "gives stale reads": StoreFault.STALE_READ,
    }[fault]


@when("the store is back")
def heal_store(context):
    context.fleet.store.fault = StoreFault.NONE
    context.fleet.store.answer_loss_probability = 0.0


@given("router 1 and the store are cut off from routers 2 and 3")
def isolate_routers_2_and_3(context):
    addresses = [router.address for router in context.fleet.routers.values()]
    context.fleet.hub.partition(addresses[:1], addresses[1:])
    context.fleet.store.unreachable_clients.update({"vm-2", "vm-3"})


@step("router {number:d} is isolated from the network")
def isolate(context, number):
    context.fleet.isolate(router_name(number))


@when("the partition heals")
def heal_partition(context):
    context.fleet.heal_partitions()


@when("router {number:d} is killed")
def kill(context, number):
    router = context.fleet.routers[router_name(number)]
    context.killed_incarnation = router.application.fleet.self_name
    run(context, context.fleet.kill(router_name(number)))


@when("router {number:d} starts again on its VM")
def restart(context, number):
    data_centre = DATA_CENTRES[(number - 1) % 3]
    run(context, context.fleet.start_router(router_name(number), data_centre))


@when("router {number:d} stops gracefully")
def stop(context, number):
    run(context, context.fleet.stop(router_name(number)))


@given("the platform lists all VMs")
def list_all_vms(context):
    context.fleet.vm_list.set(dict.fromkeys(context.fleet.routers, "live"))
    run(context, asyncio.sleep(10))


@given("the platform lists no VM")
def list_no_vm(context):
    context.fleet.vm_list.set({})


@when("the platform twice lists all VMs except that of router {number:d}")
def list_all_vms_except(context, number):
    names = [name for name in context.fleet.routers if name != router_name(number)]
    for _ in range(2):
        context.fleet.vm_list.set(dict.fromkeys(names, "live"))
        run(context, asyncio.sleep(10))


@when("an operator declares router {number:d} dead")
def declare_dead(context, number):
    reports = context.fleet.routers["vm-1"].application.reports
    run(context, reports.declare_dead(context.killed_incarnation, "test"))


@when("the budget is topped up by {tokens:d} tokens, twice with the same id")
def top_up(context, tokens):
    async def send():
        for name in ("vm-1", "vm-3"):
            configuration = context.fleet.routers[name].application.configuration
            await configuration.top_up("w", tokens, "top-up-1", "test")
        await asyncio.sleep(4)

    run(context, send())


@when("the budget is set to {tokens:d} tokens")
def set_budget(context, tokens):
    async def send():
        await context.fleet.configure("vm-1", {"workspaces": {"w": {"budget_tokens": tokens}}})
        await asyncio.sleep(4)

    run(context, send())


@then("the chat is served whole")
def check_served(context):
    outcome = context.outcomes[-1]
    assert outcome.error is None, (outcome.error.code, outcome.error.detail)
    runs = [
        engine_run
        for server in context.fleet.backends.servers.values()
        for run_id, engine_run in server.runs.items()
        if run_id.startswith(f"w/{outcome.request_id}/") and not engine_run.cancelled
    ]
    complete_contents = [
        "".join(
            choice["delta"].get("content", "")
            for event in engine_run.events
            for choice in event["choices"]
        )
        for engine_run in runs
    ]
    assert outcome.content in complete_contents, (outcome.content, complete_contents)


@then("exactly {count:d} bill is stored, of the tokens that the engine counted")
def check_bill_count(context, count):
    bills = read_bills(context)
    assert len(bills) == count, bills
    assert bills[0].tokens == 4 + 20, bills[0]


@then("no reservation is left")
def check_no_reservation(context):
    for router, state in list_live_budgets(context):
        assert state.pool.reserved == 0, router.name


@then("the last refusal is {code} and says it did not run")
def check_refusal(context, code):
    error = context.outcomes[-1].error
    assert error is not None
    assert error.code is ResultCode[code], error.code
    assert error.ran is Ran.NO


@then("every chat is served whole or refused as not run")
def check_served_or_refused(context):
    for outcome in context.outcomes:
        assert outcome.error is None or outcome.error.ran is Ran.NO


@then("fewer than {tokens:d} tokens are left in the whole budget")
def check_tokens_left(context, tokens):
    account = read_account(context)
    left = account.configured - account.settled
    assert left < tokens, left


@then("the budget's invariants hold")
def check_budget_invariants(context):
    account = read_account(context)
    assert find_account_errors(account) == []
    bills = read_bills(context)
    assert account.settled == sum(bill.tokens for bill in bills)
    assert account.written_off == 0
    purchased = max(account.configured, context.tokens)
    assert account.settled <= purchased, (account.settled, purchased)
    for router, state in list_live_budgets(context):
        for grant in state.pool.grants.values():
            stored = account.grants.get(grant.grant_id)
            amount = stored.amount if stored else 0
            assert grant.held <= amount, (router.name, grant, amount)


@then("every served chat is billed once")
def check_chats_billed_once(context):
    billed = sorted(bill.request_id for bill in read_bills(context))
    expected = sorted({outcome.request_id for outcome in list_served_chats(context)})
    assert billed == expected, (len(billed), len(expected))


@then("the purchased total is {tokens:d} tokens")
def check_purchased(context, tokens):
    service = context.fleet.routers["vm-1"].application.configuration
    assert service.configuration.workspaces["w"].budget_tokens == tokens


@then("more tokens were spent at router 1 than it held itself")
def check_borrowed(context):
    spent = 24 * len([outcome for outcome in context.latest_outcomes if outcome.error is None])
    assert spent > context.free_before, (spent, context.free_before)


def list_grant_holders(context):
    return {grant.holder for grant in read_account(context).grants.values()}


@then("no grant of a dead router is open")
def check_no_dead_holder(context):
    live_incarnations = {
        router.application.fleet.self_name
        for router in context.fleet.routers.values()
        if router.alive
    }
    assert list_grant_holders(context) <= live_incarnations, (
        list_grant_holders(context) - live_incarnations
    )


@then("another router holds the tokens that router {number:d} held")
def check_tokens_given_to_peer(context, number):
    borrowed = [
        grant
        for _, state in list_live_budgets(context)
        for grant in state.pool.grants.values()
        if not grant.own and grant.grant_id.startswith(router_name(number))
    ]
    assert sum(grant.free for grant in borrowed) > 0
    stopped = context.fleet.routers[router_name(number)].application
    assert stopped.budget.states["w"].pool.free == 0


@then("no grant of router {number:d} is open")
def check_no_grant_open(context, number):
    assert not any(
        holder.startswith(router_name(number)) for holder in list_grant_holders(context)
    )


@then("the grants of router {number:d} are still open")
def check_grants_open(context, number):
    assert any(holder.startswith(router_name(number)) for holder in list_grant_holders(context))


@then("the grants of the killed router {number:d} are still open")
def check_killed_router_grants_open(context, number):
    assert context.killed_incarnation in list_grant_holders(context)


@then("{amount} tokens are in doubt")
def check_in_doubt(context, amount):
    in_doubt = sum(read_account(context).in_doubt.values())
    assert (in_doubt > 0) == (amount == "some"), in_doubt
