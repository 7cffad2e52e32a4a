"""Steps for requests that callers send on open connections late in a router's grace period."""

import asyncio
import dataclasses
import itertools
import random
import signal

from behave import given, then, when
from contract_steps import run
from stop_steps import CallerConnection, SentRequest

KINDS = ("long-order", "query", "stream", "resumable")
PLAIN_KINDS = ("long-order", "query")
ROUTE_LIMIT_SECONDS = 30.0
LONG_SECONDS = 60.0
"""Time that a server needs beyond any grace period."""
SHORT_SECONDS = 0.25
"""Time that a server needs for a request that ends well before most limits."""
LOSS_SLACK_SECONDS = 0.2
"""A request that is sent so shortly before its connection closes may have crossed the close."""
LIMIT_TOLERANCE_SECONDS = 0.02
"""Part of a time limit that may be lost to rounding and to the clocks of two processes."""
OUTCOME_UNKNOWN_STATUS = 502
"""Answer to a call that the end of the stop has cut; the servers here give none."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
SEED = 51


@dataclasses.dataclass(slots=True, kw_only=True)
class LateRequest:
    """A request, its plan and its outcome; times in seconds.

    Attributes:
        kind: First part of its path.
        begin_seconds: When its head is sent, from SIGTERM on.
        need_seconds: How long its server works on it.
        limit_seconds: Time that its caller states; None for the limit of its route.
    """

    kind: str
    begin_seconds: float
    need_seconds: float
    limit_seconds: float | None
    sent: SentRequest | None = None

    @property
    def time_limit_seconds(self):
        """The time limit that holds: its own or that of its route."""
        return min(self.limit_seconds or ROUTE_LIMIT_SECONDS, ROUTE_LIMIT_SECONDS)


def plan_requests(grace_seconds):
    """Returns requests of all kinds and limits, most in the last third and the last sixth."""
    source = random.Random(SEED)
    spans = (
        (0.0, 3.0, 4),
        (3.0, grace_seconds * 2 / 3, 4),
        (grace_seconds * 2 / 3, grace_seconds * 5 / 6, 3),
        (grace_seconds * 5 / 6, grace_seconds, 4),
    )
    # A stop ends open requests 0.5 seconds before this grace period, so limits end around that.
    ends = (None, 12.0, -0.2, -0.45, -0.55, -1.0)
    requests = []
    for kind, end, (start, stop, count) in itertools.product(KINDS, ends, spans):
        for number in range(count):
            begin = source.uniform(start, stop)
            limit = None if end is None else max(0.05, grace_seconds + end - begin)
            # Early enough, half of them are short, so that some are answered on a busy machine.
            is_short = number == 0 or (number == 2 and start < grace_seconds / 2)
            need = SHORT_SECONDS if is_short else LONG_SECONDS
            requests.append(
                LateRequest(kind=kind, begin_seconds=begin, need_seconds=need, limit_seconds=limit)
            )
    return requests


@given("events that come every {seconds:f} seconds")
def set_event_interval(context, seconds):
    context.timed_server.event_interval_seconds = seconds


@when("the router receives SIGTERM and callers send requests of all kinds throughout the stop")
def stop_under_late_requests(context):
    run(context, stop_router(context))


async def stop_router(context):
    """Stops the router; each request has an open connection of its own."""
    context.late_requests = plan_requests(context.grace_seconds)
    callers = []
    for number, request in enumerate(context.late_requests):
        connection = CallerConnection(
            port=context.router.ports[0], body_delay_seconds=context.body_delay_seconds
        )
        await connection.open()
        callers.append((number, request, connection))
    context.signalled_seconds = asyncio.get_running_loop().time()
    context.router.send_signal(signal.SIGTERM)
    tasks = [asyncio.create_task(send_request(context, *caller)) for caller in callers]
    async with asyncio.timeout(context.grace_seconds + 10):
        context.exit_code = await context.router.process.wait()
    await asyncio.gather(*tasks)


async def send_request(context, number, request, connection):
    loop = asyncio.get_running_loop()
    await asyncio.sleep(context.signalled_seconds + request.begin_seconds - loop.time())
    is_plain = request.kind in PLAIN_KINDS
    amount = round(request.need_seconds * 1000) if is_plain else request.need_seconds
    limit_ms = None if request.limit_seconds is None else round(request.limit_seconds * 1000)
    # A draw from the store may take longer than a request waits for its tokens; the short streams
    # cost nothing, so that their answers do not depend on that.
    is_free = is_plain or request.need_seconds == SHORT_SECONDS
    request.sent = await connection.send(
        f"/{request.kind}/{amount}",
        f"l-{number}",
        tokens="" if is_free else "10,300",
        deadline_ms=limit_ms,
    )


def list_late(context, seconds):
    """Returns the requests whose last byte was sent later than some time after SIGTERM."""
    after = context.signalled_seconds + seconds
    return [
        request
        for request in context.late_requests
        if request.sent.sent_seconds is not None and request.sent.sent_seconds > after
    ]


def has_had_its_time(request):
    took_seconds = request.sent.ended_seconds - request.sent.begun_seconds
    return took_seconds >= request.time_limit_seconds - LIMIT_TOLERANCE_SECONDS


def find_fault(context, request):
    """Returns what is wrong with the outcome of a request; empty if nothing is."""
    run_count = context.timed_server.runs[request.sent.attempt]
    if run_count > 1:
        return "ran twice"
    if request.sent.status in NOT_RUN_STATUSES:
        return "refused and ran" if run_count else ""
    if has_had_its_time(request):
        return ""
    if request.sent.status:
        return "its outcome is unknown" if request.sent.status == OUTCOME_UNKNOWN_STATUS else ""
    if run_count:
        return "cut though it had reached a server"
    read_seconds = request.sent.ended_seconds - request.sent.sent_seconds
    return "read and not answered" if read_seconds > LOSS_SLACK_SECONDS else ""


@then(
    "every request sent later than {seconds:d} seconds after SIGTERM was answered, refused "
    "or had its time"
)
def check_late_requests(context, seconds):
    faults = [
        (fault, request)
        for request in list_late(context, seconds)
        if (fault := find_fault(context, request))
    ]
    lines = [
        f"{fault}: {request.kind}, limit {request.time_limit_seconds:.2f} s, begun after "
        f"{request.sent.begun_seconds - context.signalled_seconds:.2f} s, sent after "
        f"{request.sent.sent_seconds - context.signalled_seconds:.2f} s, ended after "
        f"{request.sent.ended_seconds - context.signalled_seconds:.2f} s"
        for fault, request in faults
    ]
    assert not faults, "\n".join([f"{len(faults)} requests", *lines])


@then("some of them were answered, some refused without a run, and some ended at their time limit")
def check_outcomes(context):
    late = list_late(context, 3)
    runs = context.timed_server.runs
    ended = [
        request
        for request in late
        if runs[request.sent.attempt] and request.sent.status in (0, 502, 504)
    ]
    for kind in KINDS:
        statuses = {request.sent.status for request in late if request.kind == kind}
        assert {200, 503} <= statuses, (kind, statuses)
        assert any(request.kind == kind for request in ended), (kind, statuses)
