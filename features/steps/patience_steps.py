"""Steps about waits whose time limit does not end what they wait for, in virtual time."""

import asyncio

from behave import then, when
from laburnumpier_router.forward.patience import PatientWait, StillWaitingError


@when("an operation raises {error} and is waited for with a time limit")
def wait_for_error(context, error):
    async def fail():
        await asyncio.sleep(0.1)
        raise {"TimeoutError": TimeoutError, "OSError": OSError}[error]

    async def wait():
        async with PatientWait(fail()) as waiting:
            try:
                await waiting.get_result(1.0)
            except (StillWaitingError, TimeoutError, OSError) as raised:
                return type(raised).__name__

    context.raised = context.virtual.run(wait())


@then("the wait ends with {error}")
def check_error(context, error):
    assert context.raised == error, context.raised


@when("an operation of {seconds:g} seconds is waited for twice for {limit:g} second and then left")
def wait_twice(context, seconds, limit):
    context.was_cancelled = False
    context.raised = []

    async def work():
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            context.was_cancelled = True
            raise

    async def wait():
        async with PatientWait(work()) as waiting:
            for _ in range(2):
                try:
                    await waiting.get_result(limit)
                except StillWaitingError:
                    context.raised.append(waiting.is_done)

    context.virtual.run(wait())


@then("both waits ended while it went on")
def check_waits(context):
    assert context.raised == [False, False], context.raised


@then("the operation was cancelled")
def check_cancelled(context):
    assert context.was_cancelled
