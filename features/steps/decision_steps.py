"""Steps about the decisions on forwarded requests."""

import collections
import random

from behave import given, then, when
from laburnumpier_core.identity import is_successor
from laburnumpier_router.budget.account import (
    Account,
    CloseGrant,
    Grant,
    OpenGrant,
    ReportSpending,
    close_grant,
    open_grant,
    report_spending,
)
from laburnumpier_router.budget.demand import DemandMeter
from laburnumpier_router.budget.grant_pool import GrantPool
from laburnumpier_router.budget.state import BudgetState
from laburnumpier_router.configuration.document import (
    Configuration,
    Route,
    RouteKind,
    WeightedService,
)
from laburnumpier_router.forward.event_stream import EventSplitter
from laburnumpier_router.forward.placement import PlacementRequest, choose_server
from laburnumpier_router.forward.retry_budget import RetryBudget
from laburnumpier_router.forward.routes import RouteTable, choose_service
from laburnumpier_router.forward.servers import ServerLoad
from laburnumpier_router.ports.dialect import PromptPart
from laburnumpier_router.ports.server_registry import RegisteredServer

GRANT = "a@1/w/1"


def make_route(prefix, services):
    return Route(
        host="h.example", path_prefix=prefix, kind=RouteKind.IDEMPOTENT, services=services
    )


@given('routes "{first}" and "{second}" and "{third}" at "h.example"')
def make_routes(context, first, second, third):
    services = [WeightedService(service="s")]
    routes = {prefix: make_route(prefix, services) for prefix in (first, second, third)}
    context.routes = RouteTable(configuration=Configuration(routes=routes))


@then('"{path}" at "{host}" takes {name}')
def check_route(context, path, host, name):
    found = context.routes.find(host, path)
    assert (found[0] if found else "none") == name, found


@given("a route with weights 90 and 10")
def make_split(context):
    services = [
        WeightedService(service="a", weight=90),
        WeightedService(service="b", weight=10),
    ]
    context.route = make_route("/", services)


@then("of {count:d} attempts between {low:d} and {high:d} go to the second service")
def check_split(context, count, low, high):
    chosen = [choose_service(context.route, f"attempt-{n}") for n in range(count)]
    assert chosen == [choose_service(context.route, f"attempt-{n}") for n in range(count)]
    assert low <= chosen.count("b") <= high, chosen.count("b")


def make_servers(count, slots):
    return [
        ServerLoad(
            entry=RegisteredServer(
                server_id=f"i-{n}",
                service="s",
                address=f"10.0.0.{n}:80",
                data_centre="far" if n else "near",
                slots=slots,
            )
        )
        for n in range(count)
    ]


def choose(context, parts=(), now=0.0):
    request = PlacementRequest(parts=parts, data_centre="near")
    return choose_server(context.loads, request, now, context.random)


@given("6 idle engines")
def make_engines(context):
    context.loads = make_servers(6, 128)
    context.random = random.Random(1)


def make_parts(subject, own):
    return (
        PromptPart(part_id="system", tokens=2500),
        PromptPart(part_id=f"subject-{subject}", tokens=3800),
        PromptPart(part_id=f"own-{own}", tokens=2900),
    )


@when("200 requests on 40 subjects come one after the other")
def send_subjects(context):
    context.readers = collections.defaultdict(set)
    for n in range(200):
        server = choose(context, make_parts(n % 40, n))
        context.readers[n % 40].add(server.entry.server_id)


@then("each subject was read by one engine")
def check_readers(context):
    assert all(len(readers) == 1 for readers in context.readers.values())
    assert len(set.union(*context.readers.values())) == 6


@when("120 requests on one subject are in progress at once")
def send_hot(context):
    for n in range(120):
        choose(context, make_parts(0, n)).start(0)


@then("no engine holds more than twice the mean")
def check_spread(context):
    held = [server.in_flight for server in context.loads]
    assert max(held) <= 2 * sum(held) / len(held), held


@given("3 plain servers with 6 slots, one of them near")
def make_plain(context):
    context.loads = make_servers(3, 6)
    context.random = random.Random(1)
    context.now = 0.0


@when("18 calls are in progress at once")
def send_calls(context):
    for _ in range(18):
        choose(context).start(0)


@then("each server holds from {low:d} to {high:d} calls")
def check_calls(context, low, high):
    held = [server.in_flight for server in context.loads]
    assert all(low <= count <= high for count in held), held


@when("the near one has {trouble}")
def trouble_near(context, trouble):
    near = context.loads[0]
    match trouble:
        case "failed once":
            near.record_failure()
            near.record_success()
        case "failed 3 times in a row":
            for _ in range(3):
                near.record_failure()
        case "not been reached":
            near.record_unreached(0.0)
        case "not been reached, and 0.6 seconds pass":
            near.record_unreached(0.0)
            context.now = 0.6
            for server in context.loads[1:]:
                server.in_flight = 6


@then("the next call goes to {place}")
def check_place(context, place):
    server = choose(context, now=context.now)
    is_near = server is context.loads[0]
    assert is_near == (place == "the near one"), server


@when("no server has been reached")
def trouble_all(context):
    for server in context.loads:
        server.record_unreached(0.0)


@then("a call still finds a server")
def check_some(context):
    assert choose(context) is not None


@given("9 routers that share an allowance of 0.2 and 58 in 10 seconds")
def make_retry_budgets(context):
    context.budgets = [RetryBudget(ratio=0.2, extra=58, window_seconds=10) for _ in range(9)]
    for budget in context.budgets:
        budget.set_member_count(9)
    context.firsts, context.repeats = [], []


@when("each sends 10 first requests a second and tries to repeat all of them for 30 seconds")
def repeat_much(context):
    for tick in range(300):
        now = tick / 10
        for budget in context.budgets:
            budget.record_first("s", now)
            context.firsts.append(now)
            if budget.take("s", now):
                context.repeats.append(now)


@when("they lose sight of each other and each tries to repeat 50 requests")
def repeat_alone(context):
    for budget in context.budgets:
        budget.set_member_count(1)
        context.repeats.extend(5.0 for _ in range(50) if budget.take("s", 5.0))


@then("in no 10 seconds the fleet repeated more than 0.2 of the first requests and 58")
def check_repeats(context):
    assert context.repeats
    for end in range(10, 31):
        firsts = sum(end - 10 <= at <= end for at in context.firsts)
        repeats = sum(end - 10 <= at <= end for at in context.repeats)
        assert repeats <= 0.2 * firsts + 58, (end, repeats, firsts)


@given("a caller that holds {held} events")
def make_splitter(context, held):
    context.splitter = EventSplitter(last_id=None if held == "no" else int(held))


@when("the parts {parts} arrive")
def feed(context, parts):
    context.passed = b""
    for part in parts.split(" + "):
        context.passed += context.splitter.feed(part.replace("/", "\n").encode())


@then("the events {ids} are passed on, and {rest} is held back")
def check_events(context, ids, rest):
    lines = context.passed.decode().split("\n")
    found = [line[4:] for line in lines if line.startswith("id: ")]
    assert found == ids.split(), context.passed
    assert context.splitter.has_part == (rest == "a part")
    assert context.splitter.count == len(found)


@given("an account of {purchased:d} tokens with a grant of {amount:d}")
def make_account(context, purchased, amount):
    grant = Grant(holder="a@1", amount=amount)
    context.account = Account(configured=purchased, grants={GRANT: grant})
    context.pool = GrantPool(workspace="w")
    context.pool.add_grant(GRANT, amount, own=True)


def spend(context, tokens):
    reservation = context.pool.reserve(tokens)
    assert context.pool.spend(reservation, tokens) == tokens


def report(context):
    for grant in context.pool.list_unreported_spending():
        total = grant.spent_total
        change = ReportSpending(workspace="w", grant_id=GRANT, spender="a@1", spent_total=total)
        context.account, _ = report_spending(context.account, change)
        context.pool.confirm_spending(GRANT, total)
        context.change = change


@when("100 tokens are spent and reported twice, and then 50 more")
def spend_twice(context):
    spend(context, 100)
    report(context)
    context.account, repeated = report_spending(context.account, context.change)
    assert repeated.tokens == 0
    spend(context, 50)
    report(context)


@then("the account has {settled:d} settled, {granted:d} granted and {available:d} available")
def check_account(context, settled, granted, available):
    assert context.account.settled == settled
    assert context.account.grants[GRANT].amount == granted
    assert context.account.available == available
    assert context.pool.grants[GRANT].held == granted


@when("all 400 are spent and reported, and 30 lent ones come back and are spent")
def spend_all(context):
    # A peer holds 30 more tokens of the same grant.
    context.account = Account(configured=1000, grants={GRANT: Grant(holder="a@1", amount=430)})
    spend(context, 400)
    report(context)
    assert not context.pool.grants
    context.pool.add_grant(GRANT, 30, own=True)
    spend(context, 30)
    assert context.pool.grants[GRANT].spent_total == 430
    report(context)


@then("nothing more is held and the totals of the grant went on")
def check_finished(context):
    assert not context.pool.grants
    assert context.account.settled == 430
    assert not context.account.grants


@when("the grant is closed in doubt and 100 tokens of it are reported")
def close_and_report(context):
    close = CloseGrant(workspace="w", grant_id=GRANT, keep_open=0, release=False)
    context.account, _ = close_grant(context.account, close)
    spend(context, 100)
    report(context)


@then("the account has {settled:d} settled, {doubt:d} in doubt and {available:d} available")
def check_doubt(context, settled, doubt, available):
    assert context.account.settled == settled
    assert context.account.in_doubt[GRANT] == doubt
    assert context.account.available == available


@given("a demand of 100 tokens a second for 5 seconds")
def make_demand(context):
    context.meter = DemandMeter(window_seconds=30.0, now_seconds=0.0)
    for tick in range(1, 51):
        context.meter.record(10, tick / 10)


@then("the measured rate is from {low:d} to {high:d} tokens a second")
def check_rate(context, low, high):
    rate = context.meter.get_tokens_per_second(5.0)
    assert low <= rate <= high, rate


@given("requests of 1000 tokens and one of 40000")
def make_amounts(context):
    meter = DemandMeter(window_seconds=30.0, now_seconds=0.0)
    context.state = BudgetState(pool=GrantPool(workspace="w"), demand=meter)
    for amount in [1000] * 20 + [40000] + [1000]:
        context.state.record_request_amount(amount)


@then("the typical request costs at most {tokens:d} tokens")
def check_typical(context, tokens):
    assert context.state.average_request_tokens <= tokens, context.state.average_request_tokens


def draw(context, holder, sequence, needed):
    change = OpenGrant(
        workspace="w",
        grant_id=f"{holder}/w/{sequence}",
        holder=holder,
        sequence=sequence,
        needed=needed,
        least=0,
        wanted=0,
        share_divisor=1,
        configured=1000,
        configuration_number=0,
    )
    context.account, result = open_grant(context.account, change)
    return result


@when("a later process on the holder's VM draws 100, and one on another VM 50")
def draw_later(context):
    context.result = draw(context, "a@2", 1, 100)
    assert context.result.amount == 100
    assert draw(context, "b@9", 1, 50).amount == 50


@then("the grant is in doubt, 150 are granted to the two and 450 are available")
def check_closed(context):
    assert context.account.in_doubt == {"a@1": 400}
    assert sum(grant.amount for grant in context.account.grants.values()) == 150
    assert context.account.available == 450
    assert context.result.unspent == 600


@then("a repeated draw of the later process changes nothing")
def check_repeated(context):
    before = context.account
    assert draw(context, "a@2", 1, 100).amount == 100
    assert context.account == before


@then('process "{later}" {verdict} a successor of "{earlier}"')
def check_successor(context, later, verdict, earlier):
    assert is_successor(later, earlier) == (verdict == "is")
