"""Steps that run measurement scenarios."""

from behave import then, when
from laburnumpier_measure.measure import INVARIANT_VIOLATIONS, ScenarioCase, run_case
from laburnumpier_measure.scenario import SCENARIOS


@when(
    "measurement scenario {name} runs for deployment {deployment} with design {design} "
    "and seed {seed:d}"
)
def run_scenario(context, name, deployment, design, seed):
    (scenario,) = [entry for entry in SCENARIOS if entry.name == name]
    context.audit_result = run_case(
        ScenarioCase(scenario=scenario, deployment=deployment, design=design, seed=seed)
    )


@then("the run violates no invariant")
def check_invariants(context):
    counts = {name: getattr(context.audit_result, name) for name in INVARIANT_VIOLATIONS}
    assert not any(counts.values()), counts


@then("at least {percent:d} percent of the requests were served")
def check_served_share(context, percent):
    result = context.audit_result
    assert result.served * 100 >= percent * result.requests, result
