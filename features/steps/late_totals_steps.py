"""Steps for running totals that are applied out of order."""

from behave import given, then, when
from laburnumpier_router.budget.account import (
    Account,
    Grant,
    ReportSpending,
    ReturnTokens,
    report_spending,
    return_tokens,
)

GRANT_ID = "a@1/w/1"


@given("an account of {tokens:d} tokens with a grant of {amount:d} tokens")
def create_account(context, tokens, amount):
    grant = Grant(holder="a@1", amount=amount)
    context.account = Account(
        configured=tokens, grants={GRANT_ID: grant}, last_sequences={"a@1": 1}
    )


def parse_totals(text):
    return [int(part) for part in text.split(", ")]


@when("returns with the totals {totals} are written")
def write_returns(context, totals):
    for total in parse_totals(totals):
        change = ReturnTokens(
            workspace="w", grant_id=GRANT_ID, returner="a@1", returned_total=total
        )
        context.account, _ = return_tokens(context.account, change)


@when("spending reports with the totals {totals} are written")
def write_reports(context, totals):
    for total in parse_totals(totals):
        change = ReportSpending(workspace="w", grant_id=GRANT_ID, spender="a@1", spent_total=total)
        context.account, _ = report_spending(context.account, change)


@then("the grant has {amount:d} open tokens and {settled:d} tokens are settled")
def check_account(context, amount, settled):
    assert context.account.grants[GRANT_ID].amount == amount, context.account
    assert context.account.settled == settled, context.account
