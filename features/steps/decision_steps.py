"""Steps for routing, placement, retries, event streams and budget accounts, without a network."""

import collections
import random
import re

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
from laburnumpier_router.budget.demand import DemandMeter, SettledMeter
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

GRANT_ID = "a@1/w/1"


def make_route(prefix, services):
    return Route(
        host="h.example", path_prefix=prefix, kind=RouteKind.IDEMPOTENT, services=services
    )


@given('routes "{first}" and "{second}" and "{third}" at "h.example"')
def make_routes(context, first, second, third):
    services = [WeightedService(service="s")]
    routes = {prefix: make_route(prefix, services) for prefix in (first, second, third)}
    context.routes = RouteTable(configuration=Configuration(routes=routes))


@then('"{path}" at "{host}" is routed to {name}')
def check_route(context, path, host, name):
    match = context.routes.find(host, path)
    assert (match[0] if match else "none") == name, match


@given("a route with weights 90 and 10")
def make_weighted_route(context):
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


def choose_for(context, prompt_parts=(), now=0.0):
    request = PlacementRequest(prompt_parts=prompt_parts, data_centre="near")
    return choose_server(context.loads, request, now, context.random)


@given("6 idle engines")
def make_engines(context):
    context.loads = make_servers(6, 128)
    context.random = random.Random(1)


def make_prompt_parts(prefix, request):
    return (
        PromptPart(part_id="system", tokens=2500),
        PromptPart(part_id=f"subject-{prefix}", tokens=3800),
        PromptPart(part_id=f"own-{request}", tokens=2900),
    )


@when("200 requests with 40 distinct prompt prefixes arrive one after the other")
def send_prefixes(context):
    context.engines_of_prefix = collections.defaultdict(set)
    for n in range(200):
        server = choose_for(context, make_prompt_parts(n % 40, n))
        context.engines_of_prefix[n % 40].add(server.entry.server_id)


@then("each prompt prefix was processed by one engine")
def check_engines(context):
    assert all(len(engines) == 1 for engines in context.engines_of_prefix.values())
    assert len(set.union(*context.engines_of_prefix.values())) == 6


@when("120 requests with one prompt prefix are in progress at once")
def send_one_prefix(context):
    for n in range(120):
        choose_for(context, make_prompt_parts(0, n)).record_start(0)


@then("no engine has more than twice the mean number of requests")
def check_spread(context):
    counts = [server.in_flight for server in context.loads]
    assert max(counts) <= 2 * sum(counts) / len(counts), counts


@given("3 servers of a plain service with 6 slots, one of them in the local data centre")
def make_plain_servers(context):
    context.loads = make_servers(3, 6)
    context.random = random.Random(1)
    context.now = 0.0


@when("18 calls are in progress at once")
def send_calls(context):
    for _ in range(18):
        choose_for(context).record_start(0)


@then("each server has from {low:d} to {high:d} calls")
def check_calls(context, low, high):
    counts = [server.in_flight for server in context.loads]
    assert all(low <= count <= high for count in counts), counts


@when("the local server has {fault}")
def fail_local_server(context, fault):
    local = context.loads[0]
    match fault:
        case "failed once":
            local.record_failure()
            local.record_success()
        case "failed 3 times in a row":
            for _ in range(3):
                local.record_failure()
        case "been unreachable":
            local.record_unreachable(0.0)
        case "been unreachable, and 0.6 seconds pass":
            local.record_unreachable(0.0)
            context.now = 0.6
            for server in context.loads[1:]:
                server.in_flight = 6


@then("the next call goes to {place}")
def check_chosen_server(context, place):
    server = choose_for(context, now=context.now)
    is_local = server is context.loads[0]
    assert is_local == (place == "the local server"), server


@when("every server has been unreachable")
def fail_all_servers(context):
    for server in context.loads:
        server.record_unreachable(0.0)


@then("a call is still assigned a server")
def check_assigned(context):
    assert choose_for(context) is not None


@given("9 routers that share a retry budget of 0.2 per request plus 58 in 10 seconds")
def make_retry_budgets(context):
    context.budgets = [RetryBudget(ratio=0.2, extra=58, window_seconds=10) for _ in range(9)]
    for budget in context.budgets:
        budget.set_member_count(9)
    context.first_sends, context.retries = [], []


@when("each sends 10 requests a second and tries to retry all of them for 30 seconds")
def retry_all(context):
    for tick in range(300):
        now = tick / 10
        for budget in context.budgets:
            budget.record_first_send("s", now)
            context.first_sends.append(now)
            if budget.try_acquire("s", now):
                context.retries.append(now)


@when("they lose contact with each other and each tries to retry 50 requests")
def retry_without_contact(context):
    for budget in context.budgets:
        budget.set_member_count(1)
        context.retries.extend(5.0 for _ in range(50) if budget.try_acquire("s", 5.0))


@then("in any 10 seconds the fleet retried at most 0.2 of the requests plus 58")
def check_retries(context):
    assert context.retries
    for end in range(10, 31):
        first_sends = sum(end - 10 <= at <= end for at in context.first_sends)
        retries = sum(end - 10 <= at <= end for at in context.retries)
        assert retries <= 0.2 * first_sends + 58, (end, retries, first_sends)


@given("a caller whose last event id is {last_id}")
def make_splitter(context, last_id):
    context.splitter = EventSplitter(last_event_id=None if last_id == "none" else int(last_id))


@when("the chunks {chunks} arrive")
def feed(context, chunks):
    context.forwarded = b""
    chunks = re.sub(r"(.)\{([0-9]+)\}", lambda found: found[1] * int(found[2]), chunks)
    for chunk in chunks.split(" + "):
        context.forwarded += context.splitter.feed(chunk.replace("/", "\n").encode())


@then("the events {ids} are forwarded, and {rest} is buffered")
def check_events(context, ids, rest):
    lines = context.forwarded.decode().split("\n")
    forwarded_ids = [line[4:] for line in lines if line.startswith("id: ")]
    assert forwarded_ids == ids.split(), context.forwarded
    assert context.splitter.has_partial_event == (rest == "part of an event")
    assert context.splitter.event_count == len(forwarded_ids)


@given("an account of {purchased:d} tokens with a grant of {amount:d}")
def make_account(context, purchased, amount):
    grant = Grant(holder="a@1", amount=amount)
    context.account = Account(configured=purchased, grants={GRANT_ID: grant})
    context.pool = GrantPool(workspace="w")
    context.pool.add_grant(GRANT_ID, amount, own=True)


def spend(context, tokens):
    reservation = context.pool.reserve(tokens)
    assert context.pool.spend(reservation, tokens) == tokens


def report(context):
    for grant in context.pool.list_unreported_spending():
        total = grant.spent_total
        change = ReportSpending(workspace="w", grant_id=GRANT_ID, spender="a@1", spent_total=total)
        context.account, _ = report_spending(context.account, change)
        context.pool.confirm_spending(GRANT_ID, total)
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
    assert context.account.grants[GRANT_ID].amount == granted
    assert context.account.available == available
    assert context.pool.grants[GRANT_ID].held == granted


@when("all 400 are spent and reported, and 30 lent tokens are returned and spent")
def spend_all_and_returned(context):
    # 30 more tokens of the same grant were lent to a peer.
    context.account = Account(configured=1000, grants={GRANT_ID: Grant(holder="a@1", amount=430)})
    spend(context, 400)
    report(context)
    assert not context.pool.grants
    context.pool.add_grant(GRANT_ID, 30, own=True)
    spend(context, 30)
    assert context.pool.grants[GRANT_ID].spent_total == 430
    report(context)


@then("no tokens are held and the spending total of the grant continued")
def check_all_settled(context):
    assert not context.pool.grants
    assert context.account.settled == 430
    assert not context.account.grants


@when("the grant is closed in doubt and 100 tokens of it are reported")
def close_and_report(context):
    close = CloseGrant(workspace="w", grant_id=GRANT_ID, keep_open=0, release=False)
    context.account, _ = close_grant(context.account, close)
    spend(context, 100)
    report(context)


@then("the account has {settled:d} settled, {doubt:d} in doubt and {available:d} available")
def check_account_in_doubt(context, settled, doubt, available):
    assert context.account.settled == settled
    assert context.account.in_doubt[GRANT_ID] == doubt
    assert context.account.available == available


@given("a demand of 100 tokens a second for 5 seconds")
def record_demand(context):
    context.meter = DemandMeter(window_seconds=30.0, now_seconds=0.0)
    for tick in range(1, 51):
        context.meter.record(10, tick / 10)


@then("the measured rate is from {low:d} to {high:d} tokens a second")
def check_rate(context, low, high):
    rate = context.meter.get_tokens_per_second(5.0)
    assert low <= rate <= high, rate


@given("requests of 1000 tokens and one of 40000")
def record_amounts(context):
    meter = DemandMeter(window_seconds=30.0, now_seconds=0.0)
    context.state = BudgetState(
        pool=GrantPool(workspace="w"),
        demand=meter,
        fleet_demand=SettledMeter(window_seconds=30.0, now_seconds=0.0),
    )
    for amount in [1000] * 20 + [40000] + [1000]:
        context.state.record_request_amount(amount)


@then("the typical request costs at most {tokens:d} tokens")
def check_typical_request(context, tokens):
    assert context.state.average_request_tokens <= tokens, context.state.average_request_tokens


def draw_tokens(context, holder, sequence, needed):
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
def draw_as_later_process(context):
    context.result = draw_tokens(context, "a@2", 1, 100)
    assert context.result.amount == 100
    assert draw_tokens(context, "b@9", 1, 50).amount == 50


@then("the grant is in doubt, 150 are granted to the two and 450 are available")
def check_in_doubt(context):
    assert context.account.in_doubt == {"a@1": 400}
    assert sum(grant.amount for grant in context.account.grants.values()) == 150
    assert context.account.available == 450
    assert context.result.unspent == 600


@then("a repeated draw of the later process changes nothing")
def check_repeated_draw(context):
    before = context.account
    assert draw_tokens(context, "a@2", 1, 100).amount == 100
    assert context.account == before


@then('process "{later}" {verdict} a successor of "{earlier}"')
def check_successor(context, later, verdict, earlier):
    assert is_successor(later, earlier) == (verdict == "is")
