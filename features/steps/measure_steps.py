"""Steps that play measured scenarios."""

from behave import then, when
from laburnumpier_measure.measure import MUST_BE_ZERO, Case, play_case
from laburnumpier_measure.scenario import SCENARIOS


@when("scenario {name} is played for {deployment} with design {design} and seed {seed:d}")
def play(context, name, deployment, design, seed):
    (scenario,) = [entry for entry in SCENARIOS if entry.name == name]
    context.verdict = play_case(
        Case(scenario=scenario, deployment=deployment, design=design, seed=seed)
    )


@then("no promise is broken")
def check_promises(context):
    broken = {name: getattr(context.verdict, name) for name in MUST_BE_ZERO}
    assert not any(broken.values()), broken


@then("at least {percent:d} percent of the requests were served")
def check_served(context, percent):
    verdict = context.verdict
    assert verdict.served * 100 >= percent * verdict.requests, verdict
