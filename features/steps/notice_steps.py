"""Steps for what servers say of themselves in their answers, in virtual time."""

from behave import given, then
from laburnumpier_core.result_codes import Ran, ResultCode
from laburnumpier_router.ports.server_registry import RegisteredServer

ANSWER_SECONDS = 0.5
"""Time after an answer in which requests that were on their way may still arrive."""


@given("server {number:d} answers with the header {header}: {value} after {seconds:d} seconds")
def answer_with_header(context, number, header, value, seconds):
    async def change():
        context.world.servers[number - 1].notices = {header: value}

    context.changes.append((seconds, change))


@given(
    "server {number:d} rejects all requests with Retry-After: {value} after {seconds:d} seconds"
)
def reject_at_server(context, number, value, seconds):
    reject(context, context.world.servers[number - 1 : number], value, seconds)


@given("all servers reject all requests with Retry-After: {value} after {seconds:d} seconds")
def reject_at_all(context, value, seconds):
    reject(context, context.world.servers, value, seconds)


def reject(context, servers, value, seconds):
    async def change():
        for server in servers:
            server.notices = {"Retry-After": value}
            server.is_rejecting = True

    context.changes.append((seconds, change))


@given("server {number:d} starts again after {seconds:d} seconds")
def restart_server(context, number, seconds):
    async def change():
        server = context.world.servers[number - 1]
        server.notices = {}
        entry = RegisteredServer(
            server_id=server.server_id,
            service="s",
            address=server.address,
            slots=32,
            started_ms=1,
        )
        for router in context.world.routers.values():
            router.table.upsert(entry)

    context.changes.append((seconds, change))


@then(
    "no router sends a request to server {number:d} later than {seconds:d} seconds after such an "
    "answer"
)
def check_left(context, number, seconds):
    server = context.world.servers[number - 1]
    assert server.noticed
    late = [
        (sent, router)
        for sent, router in server.arrivals
        if router in server.noticed and sent > server.noticed[router][0] + seconds
    ]
    assert not late, late


@then(
    "server {number:d} gets no request later than {seconds:d} seconds after the first such answer"
)
def check_told(context, number, seconds):
    server = context.world.servers[number - 1]
    first_seconds = min(times[0] for times in server.noticed.values())
    late = [sent for sent, _ in server.arrivals if sent > first_seconds + seconds]
    assert not late, late


@then("server {number:d} gets at least {count:d} requests from second {second:d} on")
def check_used(context, number, count, second):
    arrivals = context.world.servers[number - 1].arrivals
    found = sum(sent >= context.began_seconds + second for sent, _ in arrivals)
    assert found >= count, found


@then(
    "each router sends at most {count:d} requests to server {number:d} within the {seconds:g} "
    "seconds that it names"
)
def check_held_off(context, count, number, seconds):
    server = context.world.servers[number - 1]
    assert server.noticed
    for router, answers in server.noticed.items():
        sent = [time for time, name in server.arrivals if name == router]
        for answered in answers:
            within = [
                time for time in sent if answered + ANSWER_SECONDS < time < answered + seconds
            ]
            assert len(within) <= count, (router, answered, within)


@then("requests with the code {code} were refused within {seconds:g} seconds")
def check_refused(context, code, seconds):
    context.refused = [
        attempt
        for attempt in context.world.attempts.values()
        if attempt.error is not None and attempt.error.code is ResultCode[code]
    ]
    assert all(attempt.error.ran is Ran.NO for attempt in context.refused)
    # A request that a server has rejected has waited for that answer.
    unsent = [attempt for attempt in context.refused if not attempt.arrivals]
    assert unsent
    for attempt in unsent:
        assert attempt.took_seconds <= seconds, attempt.took_seconds


@then(
    "they are told to return after at most {seconds:g} seconds, when a server takes requests again"
)
def check_return(context, seconds):
    for attempt in context.refused:
        assert 0 < attempt.error.retry_after_seconds <= seconds, attempt.error.retry_after_seconds
