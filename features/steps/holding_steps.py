"""Steps for the target holding of a router and the measurement of demand."""

from behave import given, then, when
from laburnumpier_router.budget.demand import DemandMeter
from laburnumpier_router.budget.holding import HoldingParameters, compute_target_tokens


@given("{routers:d} routers that hold at most {share:f} of the unspent part of {tokens:d} tokens")
def set_holding_parameters(context, routers, share, tokens):
    context.purchased = tokens
    context.parameters = HoldingParameters(
        minimum_tokens=2000,
        horizon_seconds=12.0,
        floor_share=0.03,
        held_share=share,
        holders=routers,
    )


def compute_target(context, demand, unspent):
    context.target = compute_target_tokens(
        parameters=context.parameters,
        tokens_per_second=demand,
        purchased=context.purchased,
        unspent=unspent,
    )


@when("the demand at each is {demand:d} tokens a second and {unspent:d} tokens are unspent")
def set_demand(context, demand, unspent):
    compute_target(context, demand, unspent)


@when("the demand at each is {demand:d} tokens a second and the account has not been read")
def set_demand_before_first_read(context, demand):
    compute_target(context, demand, None)


@then("the target holding of all routers is between {least:d} and {most:d} tokens")
def check_target(context, least, most):
    fleet_target = context.target * context.parameters.holders
    assert least <= fleet_target <= most, fleet_target


@when(
    "a process that was idle for {idle:d} seconds spends {rate:d} tokens a second"
    " for {count:d} seconds"
)
def spend_after_idle_time(context, idle, rate, count):
    context.meter = DemandMeter(window_seconds=30.0, now_seconds=0.0)
    for step in range(count * 10):
        context.now = idle + step / 10
        context.meter.record(rate // 10, context.now)


@then("the measured demand is between {least:d} and {most:d} tokens a second")
def check_demand(context, least, most):
    rate = context.meter.get_tokens_per_second(context.now)
    assert least <= rate <= most, rate
