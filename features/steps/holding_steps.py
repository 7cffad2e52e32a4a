"""Steps for the target holding of a router and the measurement of demand."""

from behave import given, then, when
from laburnumpier_router.budget.demand import DemandMeter, SettledMeter
from laburnumpier_router.budget.holding import (
    HoldingParameters,
    MeasuredDemand,
    compute_target_tokens,
)


@given("{routers:d} routers that hold at most {share:f} of the drawable part of {tokens:d} tokens")
def set_holding_parameters(context, routers, share, tokens):
    context.purchased = tokens
    context.parameters = HoldingParameters(
        minimum_tokens=2000,
        horizon_seconds=12.0,
        floor_share=0.03,
        held_share=share,
        holders=routers,
    )


def compute_target(context, own, fleet, drawable):
    return compute_target_tokens(
        parameters=context.parameters,
        demand=MeasuredDemand(own=own, fleet=fleet),
        purchased=context.purchased,
        drawable=drawable,
    )


@when("the demand at each is {demand:d} tokens a second and {drawable:d} tokens are drawable")
def set_demand(context, demand, drawable):
    fleet = demand * context.parameters.holders
    context.target = compute_target(context, demand, fleet, drawable)


@when("the demand at each is {demand:d} tokens a second and the account has not been read")
def set_demand_before_first_read(context, demand):
    context.target = compute_target(context, demand, demand * context.parameters.holders, None)


@when(
    "one router has all of the demand of {demand:d} tokens a second"
    " and {drawable:d} tokens are drawable"
)
def set_uneven_demand(context, demand, drawable):
    context.target = compute_target(context, demand, demand, drawable)
    context.other_target = compute_target(context, 0, demand, drawable)


@then("the target holding of that router is between {least:d} and {most:d} tokens")
def check_busy_target(context, least, most):
    assert least <= context.target <= most, context.target


@then("the target holding of each other router is between {least:d} and {most:d} tokens")
def check_idle_target(context, least, most):
    assert least <= context.other_target <= most, context.other_target


@when(
    "the settled total of an account grows by {tokens:d} tokens every {pause:d} seconds"
    " for {seconds:d} seconds"
)
def settle_tokens(context, tokens, pause, seconds):
    context.fleet_meter = SettledMeter(window_seconds=30.0, now_seconds=0.0)
    for step in range(seconds // pause + 1):
        context.now = step * pause
        context.fleet_meter.record_total(1000 + step * tokens, context.now)


@when("an older total is read once")
def read_older_total(context):
    context.fleet_meter.record_total(1000, context.now)


@then("the measured demand of the fleet is between {least:d} and {most:d} tokens a second")
def check_fleet_demand(context, least, most):
    rate = context.fleet_meter.get_tokens_per_second(context.now)
    assert least <= rate <= most, rate


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
