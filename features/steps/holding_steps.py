"""Steps about how many tokens a router wants to hold."""

from behave import given, then, when
from laburnumpier_router.budget.demand import DemandMeter
from laburnumpier_router.budget.holding import HoldingTerms, compute_target_tokens


@given("{routers:d} routers that hold at most {share:f} of what is unspent of {tokens:d} tokens")
def set_terms(context, routers, share, tokens):
    context.purchased = tokens
    context.terms = HoldingTerms(
        minimum_tokens=2000,
        horizon_seconds=12.0,
        floor_share=0.03,
        held_share=share,
        holders=routers,
    )


def find(context, demand, unspent):
    context.wanted = compute_target_tokens(
        terms=context.terms,
        tokens_per_second=demand,
        purchased=context.purchased,
        unspent=unspent,
    )


@when("the demand at each is {demand:d} tokens a second and {unspent:d} tokens are unspent")
def meet_demand(context, demand, unspent):
    find(context, demand, unspent)


@when("the demand at each is {demand:d} tokens a second and the account was not read")
def meet_demand_unread(context, demand):
    find(context, demand, None)


@then("all together want to hold between {least:d} and {most:d} tokens")
def check_wanted(context, least, most):
    together = context.wanted * context.terms.holders
    assert least <= together <= most, together


@when(
    "a process that has waited {idle:d} seconds spends {rate:d} tokens a second"
    " for {count:d} seconds"
)
def wait_and_spend(context, idle, rate, count):
    context.meter = DemandMeter(window_seconds=30.0, now_seconds=0.0)
    for step in range(count * 10):
        context.now = idle + step / 10
        context.meter.record(rate // 10, context.now)


@then("its demand counts as {least:d} to {most:d} tokens a second")
def check_demand(context, least, most):
    rate = context.meter.get_tokens_per_second(context.now)
    assert least <= rate <= most, rate
