"""Steps for answers that no caller may get, of servers of a router process."""

import asyncio
import json
import signal
import time

from answer_end_steps import REPEATABLE_KINDS, KindOutcome, send_raw
from behave import given, then, when
from broken_heads import DESCRIBED_BODY
from contract_steps import run
from forward_steps import KEY, KINDS, make_headers
from laburnumpier_operator.client import CommandError, ExitCode, OperatorCall, send_call
from process_steps import start_router_process
from scripted_server import EVENTS, ScriptedServer

ANSWER_SECONDS = 6.0
REGISTRY_SECONDS = 0.3
"""Time in which the process learns of a server."""
KIND_PATHS = {kind: f"/{kind.replace(' ', '-')}/" for kind in KINDS}
ROUTE_KINDS = {
    "idempotent": "idempotent",
    "non-idempotent": "non_idempotent",
    "resumable stream": "streaming",
    "plain stream": "streaming",
}
MAX_ATTEMPTS = 2
SERVER_RECEIVE_BYTES = 32 * 1024
"""Small enough that most of an upload is not taken by a server that does not read it."""


def make_configuration():
    """Returns a configuration in the platform's form with a route for each kind of request."""
    routes = [
        {
            "Name": kind.replace(" ", "-"),
            "Host": "shop.example",
            "Prefix": KIND_PATHS[kind],
            "Kind": ROUTE_KINDS[kind],
            "TimeoutMs": 4000,
            "Service": "s",
            "MaxAttempts": MAX_ATTEMPTS,
            "Resumable": kind == "resumable stream",
        }
        for kind in KINDS
    ]
    return {
        "Version": 3,
        "Routes": routes,
        "Services": [{"Name": "s", "InferenceEngine": {"Slots": 4, "Stride": 3}}],
        "Tenants": [{"Name": "office", "ApiKeys": [KEY], "Prepaid": 1_000_000}],
    }


@given("a router process and {count:d} servers")
def start_with_servers(context, count, vm_limits=None):
    context.servers = [
        ScriptedServer("answers", receive_bytes=SERVER_RECEIVE_BYTES) for _ in range(count)
    ]
    start_router_process(
        context,
        4,
        early_sighup=False,
        backend=context.servers[0],
        configuration=make_configuration(),
        vm_limits=vm_limits,
    )

    async def add(server, number):
        await server.start()
        entry = {"Service": "s", "Address": server.address, "State": "ready"}
        context.store.put(f"servers/i-{number}", json.dumps(entry).encode())
        await asyncio.sleep(REGISTRY_SECONDS)

    for number, server in enumerate(context.servers[1:], start=2):
        run(context, add(server, number))
        context.cleanups.append((context.real, server.stop))


async def send_kind(context, kind, body=b"order", attempt="a1"):
    """Returns the answer to a request of one kind."""
    headers = {**make_headers(kind), "X-Attempt-Id": attempt}
    url = f"http://127.0.0.1:{context.ports[0]}"
    sending = send_raw(url, headers, "1.1", body, KIND_PATHS[kind] + "x")
    return await asyncio.wait_for(sending, ANSWER_SECONDS)


@when("callers send a request of each kind, answered with the {described}")
def send_described(context, described):
    """Sends one request of each kind; requests of streams are answered with streams."""
    context.outcomes, context.seconds = {}, {}
    for number, kind in enumerate(KINDS):
        verb = "streams" if "stream" in kind else "answers"
        for server in context.servers:
            server.behaviour = f"{verb} with the {described}"
            server.runs = 0
        started_seconds = time.monotonic()
        answer = run(context, send_kind(context, kind, attempt=f"a{number}"))
        context.seconds[kind] = time.monotonic() - started_seconds
        runs = [server.runs for server in context.servers]
        context.outcomes[kind] = KindOutcome(answer=answer, runs=runs)


@when("a caller sends a {kind} request with {size:d} bytes and the server {behaviour}")
def send_upload(context, kind, size, behaviour):
    context.servers[0].behaviour = behaviour
    context.answer = run(context, send_kind(context, kind, bytes(size)))


@when(
    "a caller sends a {kind} request with {size:d} bytes, and the process is frozen while "
    "its server {behaviour}"
)
def send_while_frozen(context, kind, size, behaviour):
    server = context.servers[0]
    server.behaviour = f"{behaviour} when it is told"

    async def play():
        sending = asyncio.create_task(send_kind(context, kind, bytes(size)))
        async with asyncio.timeout(ANSWER_SECONDS):
            while not server.runs:
                await asyncio.sleep(0.01)
        # The router waits for the answer, and the whole request has arrived.
        await asyncio.sleep(0.1)
        context.process.send_signal(signal.SIGSTOP)
        server.break_off()
        await asyncio.sleep(0.2)
        context.process.send_signal(signal.SIGCONT)
        return await sending

    context.answer = run(context, play())


@when("a caller sends a resumable stream request to a server that {first} and one that {second}")
def send_resumable(context, first, second):
    context.servers[0].behaviour, context.servers[1].behaviour = first, second
    context.answer = run(context, send_kind(context, "resumable stream"))


@then("each of the servers ran it once")
def check_runs(context):
    assert [server.runs for server in context.servers] == [1, 1], context.servers


@then("the caller has no answer that looks complete, and its request ran once")
def check_incomplete(context):
    answer = context.answer
    is_broken_off = answer.end in ("reset", "framed and incomplete")
    assert answer.status == 502 or is_broken_off, answer
    assert sum(server.runs for server in context.servers) == 1, context.servers


@then("each of them ran once at each server that it may go to, and got 502 of the router")
def check_lost(context):
    for kind, outcome in context.outcomes.items():
        answer = outcome.answer
        runs = len(context.servers) if kind in REPEATABLE_KINDS else 1
        assert sum(outcome.runs) == runs and max(outcome.runs) == 1, (kind, outcome)
        assert answer.status == 502 and answer.end == "framed and complete", (kind, outcome)
        assert answer.headers["x-result-code"] == "5004", (kind, outcome)
        assert "x-server-signature" not in answer.headers, (kind, outcome)
        assert DESCRIBED_BODY not in answer.body and b"piece" not in answer.body, (kind, outcome)


@then("each of them got the answer of the server, with the status {status:d}")
def check_passed_on(context, status):
    for kind, outcome in context.outcomes.items():
        answer = outcome.answer
        body = b"".join(EVENTS.values()) if "stream" in kind else DESCRIBED_BODY
        assert answer.status == status, (kind, outcome)
        assert answer.headers["x-server-signature"] == "sig", (kind, outcome)
        assert answer.body == body, (kind, outcome)


@when("the operators' command asks it for its state")
def ask_state(context):
    url = f"http://{context.servers[0].address}"
    call = OperatorCall(method="GET", path="/state")

    async def ask():
        try:
            context.outcome = await asyncio.wait_for(send_call(url, "token", call), ANSWER_SECONDS)
        except CommandError as error:
            context.outcome = error

    run(context, ask())


@then("the command ends as one that did not reach the router")
def check_not_reached(context):
    assert isinstance(context.outcome, CommandError), context.outcome
    assert context.outcome.exit_code is ExitCode.UNREACHABLE, context.outcome


@then("the caller has the answer up to its close")
def check_whole(context):
    assert context.answer.status == 200, context.answer
    assert (context.answer.body, context.answer.end) == (b"hello", "closed"), context.answer


@then("each of them took at most {seconds:f} seconds")
def check_seconds(context, seconds):
    assert max(context.seconds.values()) <= seconds, context.seconds
