"""Steps for the fault soak of router processes."""

from behave import then, when
from laburnumpier_platform_standin.soak import run_soak


@when("a soak of {routers:d} routers with seed {seed:d} runs for {seconds:d} seconds")
def run_soak_with_seed(context, routers, seed, seconds):
    context.ledger, context.fault_counts, context.directory = run_soak(
        seed=seed, seconds=seconds, routers=routers
    )


@then("callers were served and no guarantee was violated")
def check_guarantees(context):
    assert context.ledger.outcomes[200], context.ledger.outcomes
    assert context.fault_counts, "no fault was injected"
    assert not context.ledger.violations, (context.ledger.violations, context.directory)
