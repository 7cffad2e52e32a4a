"""Steps about waiting for tokens and for the share of the store's write rate."""

import asyncio

from behave import given, then, when
from laburnumpier_core.errors import RequestError
from laburnumpier_router.budget.write_pacer import MINIMUM_BURST_WRITES, WritePacer
from laburnumpier_standins.virtual_loop import VirtualClock

TURNS = 5


@then("{writers:d} writers that share {rate:g} writes a second take their turns in time")
def check_turns(context, writers, rate):
    async def play():
        pacer = WritePacer(clock=VirtualClock(), fleet_writes_per_second=rate)

        async def write():
            for _ in range(TURNS):
                await pacer.wait_for_turn()

        started = asyncio.get_running_loop().time()
        await asyncio.gather(*(write() for _ in range(writers)))
        return asyncio.get_running_loop().time() - started

    seconds = context.virtual.run(play())
    turns = writers * TURNS
    least = (turns - max(MINIMUM_BURST_WRITES, rate) - 1) / rate
    assert least <= seconds <= turns / rate + 1.0, seconds


@given("all tokens of the budget are reserved at router 2")
def reserve_all(context):
    async def play():
        budget = context.fleet.routers["vm-2"].application.budget
        deadline = asyncio.get_running_loop().time() + 10
        await budget.reserve("w", context.tokens, deadline)

    context.virtual.run(play())


@when("tokens are asked for at router 1 with {seconds:g} seconds left")
def ask_shortly(context, seconds):
    async def play():
        budget = context.fleet.routers["vm-1"].application.budget
        deadline = asyncio.get_running_loop().time() + seconds
        try:
            await budget.reserve("w", 100, deadline)
        except RequestError as error:
            return error
        return None

    context.refusal = context.virtual.run(play())


@then("the reservation is refused")
def check_refused(context):
    assert context.refusal is not None
    assert context.refusal.ran == "no"
