"""Steps for the operators' question where a request would go, over HTTP to one router."""

from behave import given, then
from estimate_steps import make_learnt_router, make_load
from http_steps import OPERATOR_HEADERS, send
from laburnumpier_router.estimates.placement_report import PlacementReport
from laburnumpier_router.forward.servers import ServerTable


@given("it places requests to 4 servers of orders by estimates")
def place_by_estimates(context):
    application = context.fleet.routers["vm-1"].application
    router = make_learnt_router(4)
    table = ServerTable()
    for n in range(4):
        entry = make_load(n).entry
        table.upsert(type(entry)(server_id=f"i-{n}", service="orders", address=entry.address))
    context.placement = router.estimates
    context.sends_before = len(router.estimates.describe()["servers"])
    application.reports._placement_report = PlacementReport(
        configuration=application.configuration, table=table, estimates=router.estimates
    )


def ask(context, target, query=""):
    path = f"/placement/{target}{query}"
    send(context, context.operators, "GET", path, headers=OPERATOR_HEADERS)


@then('an operator is told the estimates of "{target}" at 4 servers, the least cost first')
def check_explained(context, target):
    ask(context, target)
    assert context.status == 200, context.reply_text
    rows = context.answer["servers"]
    assert len(rows) == 4, rows
    costs = [row["cost_ms"] for row in rows]
    assert costs == sorted(costs), rows


@then("an operator is told the tokens to read of a prompt with 1000 tokens")
def check_prompt(context):
    ask(context, "orders", "?parts=a:600,b:400&output_tokens=50")
    assert all(row["read"] == 1000 for row in context.answer["servers"]), context.answer


@then("nothing was sent")
def check_nothing_sent(context):
    servers = context.placement.describe()["servers"]
    assert all(server["pending"] == 0 for server in servers.values()), servers


@then('the question "{question}" is refused with {status:d}')
def check_refused(context, question, status):
    ask(context, *question.split())
    assert context.status == status, context.reply_text
