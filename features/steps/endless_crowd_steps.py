"""Steps for many requests at once to servers that send without end, at a router on a small VM."""

import asyncio

import aiohttp
from behave import given, then, when
from broken_answer_steps import KIND_PATHS, send_kind, start_with_servers
from contract_steps import run
from crowd import ProcessWatch
from forward_steps import make_headers

MAX_ENDLESS_BYTES = 4 * 1024**3
CROWD_SECONDS = 8.0


@given("a router process on a VM with {megabytes:d} MB and {count:d} servers")
def start_on_small_vm(context, megabytes, count):
    start_with_servers(context, count, {"MemoryMb": megabytes})
    context.watch = ProcessWatch(
        pid=context.process.pid,
        ports=context.ports[:2],
        server_ports=[int(server.address.rpartition(":")[2]) for server in context.servers],
    )


@when("{count:d} callers send {kind} requests to servers of which each {behaviour}")
def send_faulty_crowd(context, count, kind, behaviour):
    send_crowd(context, count, kind, [behaviour] * len(context.servers))


@when("{count:d} callers send {kind} requests to a server that {first} and one that {second}")
def send_mixed_crowd(context, count, kind, first, second):
    send_crowd(context, count, kind, [first, second])


def send_crowd(context, count, kind, behaviours):
    """Sends all requests at once, and samples the memory until the last one is answered."""
    for server, behaviour in zip(context.servers, behaviours, strict=True):
        server.behaviour = behaviour
        server.max_endless_bytes = MAX_ENDLESS_BYTES
    url = f"http://127.0.0.1:{context.ports[0]}{KIND_PATHS[kind]}x"
    headers = make_headers(kind)

    async def send_one():
        try:
            async with context.session.post(url, headers=headers, data=b"order") as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def send_all():
        async with context.watch.sample(), asyncio.timeout(CROWD_SECONDS):
            return await asyncio.gather(*(send_one() for _ in range(count)))

    # Callers have a connection each.
    context.session.connector._limit = 0
    context.statuses = run(context, send_all())


@then("the memory of the process was within {megabytes:d} MB")
def check_memory(context, megabytes):
    assert context.process.returncode is None, context.process.returncode
    peak = context.watch.peak_bytes
    assert peak <= megabytes * 1_000_000, (peak, context.statuses)


@then("no caller got a success or was told that its request did not run while it did")
def check_statuses(context):
    runs = sum(server.runs for server in context.servers)
    assert set(context.statuses) <= {0, 502, 503, 504}, context.statuses
    assert context.statuses.count(503) <= len(context.statuses) - min(runs, 1), context.statuses


@then("each caller got the status {status:d}")
def check_all(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("a request to a sound server is answered")
def check_sound(context):
    for server in context.servers:
        server.behaviour = "answers"
    answer = run(context, send_kind(context, "idempotent", attempt="sound"))
    assert answer.status == 200, answer
