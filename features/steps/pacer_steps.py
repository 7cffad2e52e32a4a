"""Steps about the share of the store's write rate."""

import asyncio

from behave import then
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
