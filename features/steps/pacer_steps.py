"""Steps for the limit on the rate of store writes."""

import asyncio

from behave import then
from laburnumpier_router.budget.write_pacer import MINIMUM_BURST_WRITES, WritePacer
from laburnumpier_standins.virtual_loop import VirtualClock

WRITES_PER_WRITER = 5


@then("{writers:d} writers that share {rate:g} writes a second finish within the expected time")
def check_duration(context, writers, rate):
    async def measure_duration():
        pacer = WritePacer(clock=VirtualClock(), fleet_writes_per_second=rate)

        async def write():
            for _ in range(WRITES_PER_WRITER):
                await pacer.acquire_write()

        started = asyncio.get_running_loop().time()
        await asyncio.gather(*(write() for _ in range(writers)))
        return asyncio.get_running_loop().time() - started

    seconds = context.virtual.run(measure_duration())
    writes = writers * WRITES_PER_WRITER
    least = (writes - max(MINIMUM_BURST_WRITES, rate) - 1) / rate
    assert least <= seconds <= writes / rate + 1.0, seconds
