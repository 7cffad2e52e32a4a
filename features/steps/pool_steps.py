"""Steps for the tokens that a process holds."""

from behave import then, when
from laburnumpier_router.budget.account import Account, Grant, ReturnTokens, return_tokens
from laburnumpier_router.budget.grant_pool import GrantPool

GRANT_ID = "a@1/w/1"


def report_returns(context):
    """Applies the pool's running totals of returned tokens to the account, as the service does."""
    context.pool.mark_excess_returned(0)
    for grant in context.pool.list_unconfirmed_returns():
        change = ReturnTokens(
            workspace="w",
            grant_id=grant.grant_id,
            returner="a@1",
            returned_total=grant.returned_total,
        )
        context.account, result = return_tokens(context.account, change)
        context.pool.confirm_return(grant.grant_id, grant.returned_total)
        context.returned = result.tokens
    context.pool.drop_finished()


@when("40 of 100 tokens of a grant are returned, 60 are spent and 30 are received again")
def return_and_receive_again(context):
    # A peer holds 30 more tokens of the same grant.
    context.account = Account(configured=130, grants={GRANT_ID: Grant(holder="a@1", amount=130)})
    context.pool = GrantPool(workspace="w")
    context.pool.add_grant(GRANT_ID, 100, own=True)
    reservation = context.pool.reserve(60)
    report_returns(context)
    assert context.returned == 40
    charges = context.pool.settle(reservation, 60)
    context.pool.confirm(charges)
    assert not context.pool.grants
    context.pool.add_grant(GRANT_ID, 30, own=True)
    report_returns(context)


@then("all 30 tokens are returned to the account")
def check_returned(context):
    assert context.returned == 30, context.returned
    assert context.account.grants[GRANT_ID].amount == 130 - 40 - 30
