"""Steps about logs, metrics and the stories told from them."""

import json
import logging
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from behave import given, then, when
from laburnumpier_core.log import JsonLineHandler, LineBudget, PartLogger
from laburnumpier_core.metrics import Metrics
from laburnumpier_operator.log_story import format_story, read_lines, tell_story


def make_logger(context):
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    context.reader = reader
    context.unread = b""
    context.seconds = 0.0
    handler = JsonLineHandler(
        descriptor=writer, budget=LineBudget(get_seconds=lambda: context.seconds)
    )
    logger = logging.Logger("test")
    logger.addHandler(handler)
    context.logger = PartLogger(logger, {"part": "budget"})


def read_all(context):
    """Returns the whole lines that have come, and keeps a begun one."""
    while True:
        try:
            part = os.read(context.reader, 1 << 20)
        except BlockingIOError:
            break
        if not part:
            break
        context.unread += part
    *lines, context.unread = context.unread.split(b"\n")
    return [json.loads(line) for line in lines]


def log_anyway(context, call):
    """Logs although the test run turns logging off."""
    logging.disable(logging.NOTSET)
    try:
        call()
    finally:
        logging.disable(logging.CRITICAL)


@when('a part logs "drew tokens" with a request id and an amount')
def log_line(context):
    make_logger(context)
    fields = {"request": "r1", "amount": 7}
    log_anyway(context, lambda: context.logger.info("drew tokens", fields=fields))


@then('one line is written with part "budget", event "drew tokens" and both fields')
def check_line(context):
    (line,) = read_all(context)
    assert line["part"] == "budget"
    assert line["event"] == "drew tokens"
    assert line["level"] == "info"
    assert line["time"] > 0
    assert (line["request"], line["amount"]) == ("r1", 7)


@when("a part logs an error with its trace and an exception as a field")
def log_error(context):
    make_logger(context)

    def call():
        try:
            raise ValueError("odd")
        except ValueError as error:
            context.logger.exception("request failed", fields={"error": error})

    log_anyway(context, call)


@then("the line holds the trace and the exception's text")
def check_error(context):
    (line,) = read_all(context)
    assert line["error"] == "odd"
    assert "Traceback" in line["trace"]


@when("500 lines of one kind and 150 warnings are logged within a second")
def log_many(context):
    make_logger(context)

    def call():
        for n in range(500):
            context.logger.info("drew tokens", fields={"n": n})
        for n in range(150):
            context.logger.warning("refused", fields={"n": n})

    log_anyway(context, call)


@then("40 lines and 150 warnings are written")
def check_bounded(context):
    events = [line["event"] for line in read_all(context)]
    assert events.count("drew tokens") == 40
    assert events.count("refused") == 150


@then("the next line tells how many were dropped")
def check_told(context):
    context.seconds = 1.0
    log_anyway(context, lambda: context.logger.info("drew tokens"))
    lines = read_all(context)
    assert sum(line.get("lines_dropped", 0) for line in lines) in (0, 460), lines


@when("nobody reads and 20000 lines are logged because the reader {fate}")
def log_unread(context, fate):
    make_logger(context)
    context.fate = fate
    if fate == "ends":
        os.close(context.reader)

    def call():
        for n in range(20000):
            context.seconds = n / 10
            context.logger.info("drew tokens", fields={"n": n})

    started = time.monotonic()
    log_anyway(context, call)
    context.took = time.monotonic() - started


@then("logging took less than {seconds:d} seconds")
def check_quick(context, seconds):
    assert context.took < seconds, context.took


@then("a reader that only stalled is told how many lines it missed")
def check_counted(context):
    if context.fate == "ends":
        return
    lines = []
    for _ in range(20):
        lines += read_all(context)
        context.seconds += 1
        log_anyway(context, lambda: context.logger.info("again"))
    lines += read_all(context)
    missed = sum(line.get("lines_dropped", 0) for line in lines)
    assert missed + len(lines) == 20000 + 20, (missed, len(lines))


@given("counters and durations")
def make_metrics(context):
    context.metrics = Metrics()
    context.metrics.count("forward.answered", 3)
    context.metrics.set_gauge("config.number", 7)
    context.metrics.observe_seconds("forward.request", 0.3)


@then("the text names the counter, the gauge and the histogram's buckets")
def check_text(context):
    text = context.metrics.format_text().decode()
    assert 'laburnumpier_events_total{event="forward.answered"} 3.0' in text
    assert 'laburnumpier_value{name="config.number"} 7.0' in text
    assert 'laburnumpier_forward_request_seconds_bucket{le="0.4"} 1.0' in text
    assert 'laburnumpier_forward_request_seconds_bucket{le="0.2"} 0.0' in text


@given("logs of 2 routers with lines of a request, beliefs and broken lines")
def write_logs(context):
    context.folder = tempfile.TemporaryDirectory()
    folder = pathlib.Path(context.folder.name)
    office = {"workspace": "office"}
    first = [
        {"time": 5.0, "part": "config", "event": "configuration in force", "number": 3},
        {"time": 9.0, "part": "budget", "event": "tokens not reached", "request": "r1"},
        {"time": 9.1, "part": "forward", "event": "request ended", "request": "r1", **office},
        {"time": 8.5, "part": "budget", "event": "drew tokens", **office},
        {"time": 8.6, "part": "budget", "event": "drew tokens", "workspace": "other"},
        {"time": 9.2, "part": "forward", "event": "request ended", "request": "r2"},
    ]
    second = [
        {"time": 8.0, "part": "config", "event": "configuration in force", "number": 3},
        {"time": 9.6, "part": "forward", "event": "request ended", "request": "r1"},
    ]
    context.logs = []
    for name, lines in (("vm-1.log", first), ("vm-2.log", second)):
        text = "\n".join(json.dumps(line) for line in lines) + "\n{broken\nno line\n[1]\n"
        (folder / name).write_text(text)
        context.logs.append(str(folder / name))

    async def clean():
        context.folder.cleanup()

    context.cleanups.append((context.real, clean))


@then("its story has its lines in order of time and the beliefs of its routers")
def check_story(context):
    story = tell_story(read_lines(context.logs), "r1")
    assert [line.time for line in story] == [5.0, 8.0, 8.5, 9.0, 9.1, 9.6], story
    assert "vm-2.log forward: request ended request=r1" in format_story(story)


@then("another request has no story")
def check_no_story(context):
    assert not tell_story(read_lines(context.logs), "r9")


@when('"{command}" is run')
def run_command(context, command):
    words = [part for word in command.split() for part in expand(context, word)]
    program = "from laburnumpier_operator.main import run; run()"
    done = subprocess.run(
        [sys.executable, "-c", program, *words], capture_output=True, timeout=60, check=False
    )
    context.code = done.returncode


def expand(context, word):
    return context.logs if word == "LOGS" else [word]


@then("its exit code is {code:d}")
def check_code(context, code):
    assert context.code == code, context.code
