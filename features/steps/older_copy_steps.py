"""Steps for a store that comes back from an older copy."""

from behave import given, then, when
from laburnumpier_measure.store_returns import Trouble, play_seed
from laburnumpier_router.budget.account import RestateGrants, Shard, StatedGrant
from laburnumpier_router.budget.restatement import (
    ShardCopy,
    choose_newest_copy,
    restate_grants,
    withhold_available,
)


@when(
    "router {router} states that it drew {drawn:d} tokens, spent {spent:d}"
    " and returned {returned:d}"
)
def state_grant(context, router, drawn, spent, returned):
    grant = StatedGrant(
        grant_id=f"{router}/w/1",
        sequence=1,
        drawn=drawn,
        spent_total=spent,
        returned_total=returned,
    )
    statement = RestateGrants(workspace="w", holder=router, era=2, grants=[grant])
    context.account = restate_grants(context.account, statement)


@when("the available tokens are withheld because routers {routers} are unheard")
def withhold(context, routers):
    context.account = withhold_available(context.account, routers.split(", "))


@then("{available:d} tokens are available and {settled:d} are settled")
def check_balances(context, available, settled):
    assert context.account.available == available, context.account
    assert context.account.settled == settled, context.account


@given(
    "copies of a shard with {first:d} writes in era 1, {second:d} writes in era 1"
    " and {third:d} writes in era 2"
)
def make_copies(context, first, second, third):
    context.copies = [
        ShardCopy(era=era, shard=Shard(serial=serial))
        for era, serial in ((1, first), (1, second), (2, third))
    ]


@then("the newest copy has {serial:d} writes")
def check_newest_copy(context, serial):
    assert choose_newest_copy(context.copies).shard.serial == serial


@when("seed {seed:d} of returns of the store is played with the trouble {trouble}")
def play(context, seed, trouble):
    context.result = play_seed(seed, Trouble(trouble))


@then("no tokens are overspent")
def check_not_overspent(context):
    assert context.result.overspent == 0, context.result


@then("at most {percent:d} of 100 payable requests were refused after the returns")
def check_refused_share(context, percent):
    result = context.result
    assert result.refused * 100 <= percent * result.requests, result
