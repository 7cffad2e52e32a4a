"""Steps about running totals that are written in another order than they were made."""

from behave import given, then, when
from laburnumpier_router.budget.account import (
    Account,
    Grant,
    ReportSpending,
    ReturnTokens,
    report_spending,
    return_tokens,
)

GRANT = "a@1/w/1"


@given("an account of {tokens:d} tokens with a grant of {amount:d} tokens")
def make_account(context, tokens, amount):
    grant = Grant(holder="a@1", amount=amount)
    context.account = Account(configured=tokens, grants={GRANT: grant})


def read_totals(text):
    return [int(part) for part in text.split(", ")]


@when("returns with the totals {totals} are written")
def write_returns(context, totals):
    for total in read_totals(totals):
        change = ReturnTokens(workspace="w", grant_id=GRANT, returner="a@1", returned_total=total)
        context.account, _ = return_tokens(context.account, change)


@when("reports of spending with the totals {totals} are written")
def write_reports(context, totals):
    for total in read_totals(totals):
        change = ReportSpending(workspace="w", grant_id=GRANT, spender="a@1", spent_total=total)
        context.account, _ = report_spending(context.account, change)


@then("the grant holds {amount:d} tokens and {settled:d} tokens are settled")
def check_account(context, amount, settled):
    assert context.account.grants[GRANT].amount == amount, context.account
    assert context.account.settled == settled, context.account
