"""Steps about the fault soak."""

from behave import then, when
from laburnumpier_platform_standin.soak import run_soak


@when("a soak of {routers:d} routers plays seed {seed:d} for {seconds:d} seconds")
def play(context, routers, seed, seconds):
    context.ledger, context.faults, context.folder = run_soak(
        seed=seed, seconds=seconds, routers=routers
    )


@then("callers were served and no promise was broken")
def check(context):
    assert context.ledger.outcomes[200], context.ledger.outcomes
    assert context.faults, "no fault was played"
    assert not context.ledger.broken, (context.ledger.broken, context.folder)
