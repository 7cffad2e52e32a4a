"""Set-up and clean-up around each scenario.

Each scenario gets an event loop in virtual time, one in real time, and one of the kind that the
routers run on. Steps add clean-up coroutines to `context.cleanups`, each with its runner; they
run in reverse order.

Scenarios named by a `skip FEATURE: SCENARIO` line of KNOWN-RED.txt are skipped and printed. A line
that names an outline skips all its examples, unless it ends with the number of one, ` -- @1.1`.

What failed is printed once more at the end, because records of CI runs may keep only that part.
"""

import asyncio
import logging
import pathlib

import uvloop
from laburnumpier_standins.virtual_loop import VirtualLoop

KNOWN_RED_PATH = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
SKIP_PREFIX = "skip "
EXAMPLE_SEPARATOR = " -- @"
MAX_MESSAGE_LENGTH = 3000


def read_known_red():
    """Returns the feature file and the name of each scenario that is known to fail."""
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    entries = [line.removeprefix(SKIP_PREFIX) for line in lines if line.startswith(SKIP_PREFIX)]
    return {tuple(entry.split(": ", 1)) for entry in entries}


def before_all(context):
    logging.disable(logging.CRITICAL)
    context.counts = {"passed": 0, "failed": 0}
    context.known_red = read_known_red()
    context.failure_messages = []


def before_scenario(context, scenario):
    # An example has its number and the name of its table behind the name of the outline.
    name, _, example = scenario.name.partition(EXAMPLE_SEPARATOR)
    example_name = f"{name}{EXAMPLE_SEPARATOR}{example.split(' ')[0]}"
    if context.known_red & {(scenario.filename, name), (scenario.filename, example_name)}:
        print(f"\nknown red, skipped: {scenario.filename}: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")
    context.virtual = asyncio.Runner(loop_factory=VirtualLoop)
    context.real = asyncio.Runner()
    context.uvloop = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    context.cleanups = []


def after_scenario(context, scenario):
    for runner, cleanup in reversed(context.cleanups):
        runner.run(cleanup())
    context.virtual.close()
    context.real.close()
    context.uvloop.close()
    if scenario.status.name != "skipped":
        outcome = "passed" if scenario.status.name == "passed" else "failed"
        context.counts[outcome] += 1
    for step in scenario.all_steps:
        if step.error_message:
            message = step.error_message[:MAX_MESSAGE_LENGTH]
            context.failure_messages.append(f"{scenario.location} {step.name}:\n{message}")


def after_all(context):
    for message in context.failure_messages:
        print(f"\nfailed: {message}")
    counts = context.counts
    print(f"\nscenarios: {counts['passed']} passed, {counts['failed']} failed")
