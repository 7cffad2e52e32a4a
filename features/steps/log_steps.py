"""Steps for logs, metrics and request timelines."""

import json
import logging
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from behave import given, then, when
from laburnumpier_core.log import JsonLineHandler, LogRateLimiter, PartLogger
from laburnumpier_core.metrics import Metrics
from laburnumpier_operator import request_timeline
from laburnumpier_operator.refusal_report import build_refusal_report
from laburnumpier_operator.request_timeline import LogLine


def make_logger(context):
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    context.reader = reader
    context.incomplete_line = b""
    context.seconds = 0.0
    handler = JsonLineHandler(
        descriptor=writer, rate_limiter=LogRateLimiter(get_seconds=lambda: context.seconds)
    )
    logger = logging.Logger("test")
    logger.addHandler(handler)
    context.logger = PartLogger(logger, {"part": "budget"})


def read_written_lines(context):
    """Returns the complete lines received so far and keeps an incomplete last line."""
    while True:
        try:
            chunk = os.read(context.reader, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        context.incomplete_line += chunk
    *lines, context.incomplete_line = context.incomplete_line.split(b"\n")
    return [json.loads(line) for line in lines]


def call_with_logging_enabled(call):
    """Calls a function with logging enabled, which the test run disables."""
    logging.disable(logging.NOTSET)
    try:
        call()
    finally:
        logging.disable(logging.CRITICAL)


@when('"drew tokens" is logged for the part "budget" with a request id and an amount')
def log_event(context):
    make_logger(context)
    fields = {"request": "r1", "amount": 7}
    call_with_logging_enabled(lambda: context.logger.info("drew tokens", fields=fields))


@then('one line is written with part "budget", event "drew tokens" and both fields')
def check_line(context):
    (line,) = read_written_lines(context)
    assert line["part"] == "budget"
    assert line["event"] == "drew tokens"
    assert line["level"] == "info"
    assert line["time"] > 0
    assert (line["request"], line["amount"]) == ("r1", 7)


@when("an error is logged with its traceback and an exception as a field")
def log_exception(context):
    make_logger(context)

    def call():
        try:
            raise ValueError("invalid value")
        except ValueError as error:
            context.logger.exception("request failed", fields={"error": error})

    call_with_logging_enabled(call)


@then("the line contains the traceback and the exception's text")
def check_exception(context):
    (line,) = read_written_lines(context)
    assert line["error"] == "invalid value"
    assert "Traceback" in line["trace"]


@when("500 lines and 150 warnings with the same event each are logged within a second")
def log_burst(context):
    make_logger(context)

    def call():
        for n in range(500):
            context.logger.info("drew tokens", fields={"n": n})
        for n in range(150):
            context.logger.warning("refused", fields={"n": n})

    call_with_logging_enabled(call)


@then("40 lines and 150 warnings are written")
def check_rate_limit(context):
    events = [line["event"] for line in read_written_lines(context)]
    assert events.count("drew tokens") == 40
    assert events.count("refused") == 150


@then("the next line reports the number of dropped lines")
def check_dropped_count(context):
    context.seconds = 1.0
    call_with_logging_enabled(lambda: context.logger.info("drew tokens"))
    lines = read_written_lines(context)
    assert sum(line.get("lines_dropped", 0) for line in lines) in (0, 460), lines


@when("20000 lines are logged and the reader {reader_state}")
def log_without_reading(context, reader_state):
    make_logger(context)
    context.reader_state = reader_state
    if reader_state == "is closed":
        os.close(context.reader)

    def call():
        for n in range(20000):
            context.seconds = n / 10
            context.logger.info("drew tokens", fields={"n": n})

    started = time.monotonic()
    call_with_logging_enabled(call)
    context.elapsed_seconds = time.monotonic() - started


@then("logging took less than {seconds:d} seconds")
def check_logging_time(context, seconds):
    assert context.elapsed_seconds < seconds, context.elapsed_seconds


@then("a stalled reader receives the number of lines it missed")
def check_missed_lines(context):
    if context.reader_state == "is closed":
        return
    lines = []
    for _ in range(20):
        lines += read_written_lines(context)
        context.seconds += 1
        call_with_logging_enabled(lambda: context.logger.info("next line"))
    lines += read_written_lines(context)
    missed = sum(line.get("lines_dropped", 0) for line in lines)
    assert missed + len(lines) == 20000 + 20, (missed, len(lines))


@given("a counter, a gauge and a duration")
def make_metrics(context):
    context.metrics = Metrics()
    context.metrics.count("forward.answered", 3)
    context.metrics.set_gauge("config.number", 7)
    context.metrics.observe_seconds("forward.request", 0.3)


@then("the metrics text contains the counter, the gauge and the histogram buckets")
def check_metrics_text(context):
    text = context.metrics.render_prometheus_text().decode()
    assert 'laburnumpier_events_total{event="forward.answered"} 3.0' in text
    assert 'laburnumpier_value{name="config.number"} 7.0' in text
    assert 'laburnumpier_forward_request_seconds_bucket{le="0.4"} 1.0' in text
    assert 'laburnumpier_forward_request_seconds_bucket{le="0.2"} 0.0' in text


@given("logs of 2 routers with lines of a request, state changes and malformed lines")
def write_logs(context):
    context.folder = tempfile.TemporaryDirectory()
    folder = pathlib.Path(context.folder.name)
    workspace = {"workspace": "office"}
    first = [
        {"time": 5.0, "part": "config", "event": "configuration in force", "number": 3},
        {"time": 9.0, "part": "budget", "event": "tokens unreachable", "request": "r1"},
        {"time": 9.1, "part": "forward", "event": "request ended", "request": "r1", **workspace},
        {"time": 8.5, "part": "budget", "event": "drew tokens", **workspace},
        {"time": 8.6, "part": "budget", "event": "drew tokens", "workspace": "other"},
        {"time": 9.2, "part": "forward", "event": "request ended", "request": "r2"},
    ]
    second = [
        {"time": 8.0, "part": "config", "event": "configuration in force", "number": 3},
        {"time": 9.6, "part": "forward", "event": "request ended", "request": "r1"},
    ]
    context.logs = []
    for name, lines in (("vm-1.log", first), ("vm-2.log", second)):
        text = "\n".join(json.dumps(line) for line in lines) + "\n{malformed\nplain text\n[1]\n"
        (folder / name).write_text(text)
        context.logs.append(str(folder / name))

    async def remove():
        context.folder.cleanup()

    context.cleanups.append((context.real, remove))


@then("the timeline has the lines of the request and the state changes of its routers by time")
def check_timeline(context):
    timeline = request_timeline.build_timeline(request_timeline.read_log_lines(context.logs), "r1")
    assert [line.time for line in timeline] == [5.0, 8.0, 8.5, 9.0, 9.1, 9.6], timeline
    assert "vm-2.log forward: request ended request=r1" in request_timeline.format_timeline(
        timeline
    )


@then("the timeline of an unknown request is empty")
def check_empty_timeline(context):
    assert not request_timeline.build_timeline(request_timeline.read_log_lines(context.logs), "r9")


@when('the command "{command}" is run')
def run_command(context, command):
    arguments = [part for word in command.split() for part in expand_logs(context, word)]
    program = "from laburnumpier_operator.main import run; run()"
    process = subprocess.run(
        [sys.executable, "-c", program, *arguments], capture_output=True, timeout=60, check=False
    )
    context.exit_code = process.returncode


def expand_logs(context, word):
    return context.logs if word == "LOGS" else [word]


@then("the exit code is {code:d}")
def check_exit_code(context, code):
    assert context.exit_code == code, context.exit_code


@given("logs of 2 routers with 3 served and 2 refused requests of a budget of 1000 tokens")
def write_refusal_logs(context):
    def make_request(time, outcome, route="r-chat", tokens=0, cost=300):
        fields = {"outcome": outcome, "route": route, "workspace": "office", "tokens": tokens}
        return LogLine(
            source="vm-1.log",
            time=time,
            part="forward",
            event="request ended" if outcome == "answered" else "request refused",
            fields={**fields, "cost": cost, "waited_ms": 101},
        )

    draw = {"workspace": "office", "purchased": 1000, "available": 150}
    context.report = build_refusal_report(
        [
            make_request(12.5, "budget_unreachable"),
            make_request(13.9, "budget_unreachable", route="r-plan", cost=400),
            make_request(10.0, "answered", tokens=100),
            make_request(10.5, "answered", tokens=200),
            make_request(12.1, "answered", tokens=300),
            LogLine(source="vm-2.log", time=12.0, part="budget", event="drew tokens", fields=draw),
        ],
        interval_seconds=2.0,
    )


@then("the report has {count:d} refused requests in the second interval of 2 seconds")
def check_refusals_by_time(context, count):
    row = {"from_seconds": 2.0, "outcome": "budget_unreachable", "count": count}
    assert row in context.report.by_time, context.report.by_time


@then("the report has {count:d} refused requests of route {route} with a mean cost of {cost:d}")
def check_refusals_by_route(context, count, route, cost):
    (row,) = [row for row in context.report.by_route if row["route"] == route]
    assert (row["count"], row["mean_cost"], row["longest_wait_ms"]) == (count, cost, 101), row


@then(
    "the report has {spent:d} spent, {drawable:d} drawable and {other:d} other tokens"
    " of the budget"
)
def check_budget_row(context, spent, drawable, other):
    (row,) = context.report.by_workspace
    assert (row["spent"], row["drawable"], row["neither"]) == (spent, drawable, other), row
