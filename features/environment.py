"""Set-up and clean-up around each scenario.

Each scenario gets an event loop in virtual time and one in real time. Steps add clean-up
coroutines to `context.cleanups`, each with its runner; they run in reverse order.
"""

import asyncio
import logging

from laburnumpier_standins.virtual_loop import VirtualLoop


def before_all(context):
    logging.disable(logging.CRITICAL)
    context.counts = {"passed": 0, "failed": 0}


def before_scenario(context, scenario):
    context.virtual = asyncio.Runner(loop_factory=VirtualLoop)
    context.real = asyncio.Runner()
    context.cleanups = []


def after_scenario(context, scenario):
    for runner, cleanup in reversed(context.cleanups):
        runner.run(cleanup())
    context.virtual.close()
    context.real.close()
    outcome = "passed" if scenario.status.name == "passed" else "failed"
    context.counts[outcome] += 1


def after_all(context):
    counts = context.counts
    print(f"\nscenarios: {counts['passed']} passed, {counts['failed']} failed")
