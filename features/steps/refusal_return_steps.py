"""Steps for the Retry-After of requests whose tokens were not reached, without a network."""

from behave import given, then, when
from laburnumpier_router.budget.demand import DemandMeter, SettledMeter
from laburnumpier_router.budget.grant_pool import GrantPool
from laburnumpier_router.budget.peers import AccountSeen
from laburnumpier_router.budget.refusal import build_refusal
from laburnumpier_router.budget.state import AcquisitionResult, BudgetState

NOW_SECONDS = 100.0


@given("a budget about which the store or a lender answered {age} seconds ago")
def create_budget(context, age):
    context.state = state = BudgetState(
        pool=GrantPool(workspace="office"),
        demand=DemandMeter(window_seconds=30.0, now_seconds=0.0),
        fleet_demand=SettledMeter(window_seconds=30.0, now_seconds=0.0),
    )
    if age != "never":
        state.account = AccountSeen(
            unspent=1000, available=1000, in_doubt=0, configuration_number=1
        )
        state.account_seconds = NOW_SECONDS - float(age)


@when("a request for it is refused as its tokens were not reached in time")
def refuse(context):
    result = AcquisitionResult(
        at_seconds=NOW_SECONDS,
        configuration_number=0,
        peers_answered=False,
        obtainable=0,
        unspent=None,
    )
    context.refusal = build_refusal(context.state, result, 500, NOW_SECONDS)


@then("its caller is told to come again after {seconds:g} seconds")
def check_return(context, seconds):
    assert context.refusal.retry_after_seconds == seconds, context.refusal.retry_after_seconds
