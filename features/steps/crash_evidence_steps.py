"""Steps for the evidence against parts of prompts.

They guard against parts that crash servers and are not blocked, and sound ones that are.
"""

from behave import given, then, when
from laburnumpier_router.forward.crash_evidence import CrashEvidence

SERVICE = "s"
HOUR_SECONDS = 3600


def get_evidence(context):
    """Returns the evidence of a router that has seen answers with other parts."""
    if not hasattr(context, "evidence"):
        context.evidence = CrashEvidence()
        for _ in range(30):
            context.evidence.record_answer(SERVICE, ["other"], 0.0)
    return context.evidence


def record_crash(context, server, part, seconds):
    """Records a crash and blocks the part if that is due, as a router does."""
    evidence = get_evidence(context)
    evidence.record_crash(SERVICE, f"i-{server}", [part], seconds)
    evidence.block_suspects(SERVICE, [part], others_answered=True)


@given(
    "crashes of servers {one:d} and {two:d} at {first:f} and {second:f} seconds under the part x"
)
def record_crashes(context, one, two, first, second):
    record_crash(context, one, "x", first)
    record_crash(context, two, "x", second)


@given("answers with the part x that begin each second")
def begin_each_second(context):
    context.begins_each_second = True
    get_evidence(context).record_begun(SERVICE, ["x"], 0.0)


@given("crashes of {count:d} servers under the part x, {gap:f} seconds apart")
def crash_many(context, count, gap):
    begun_seconds = 0
    for number in range(count):
        seconds = 1.0 + gap * number
        while begun_seconds + 1 <= seconds:
            begun_seconds += 1
            get_evidence(context).record_begun(SERVICE, ["x"], begun_seconds)
        record_crash(context, number, "x", seconds)


@given("an answer with the part x that begins at {seconds:f} seconds")
def begin_answer(context, seconds):
    get_evidence(context).record_begun(SERVICE, ["x"], seconds)


@given("a router that has {state}")
def make_uninformed(context, state):
    context.evidence = CrashEvidence()
    if "without shared parts" in state:
        for _ in range(100):
            context.evidence.record_answer(SERVICE, [], 0.0)
    if state == "seen 29 answers":
        for _ in range(29):
            context.evidence.record_answer(SERVICE, ["other"], 0.0)


@given("{count:d} requests of which {share:d} in {total:d} have the part x")
def send_requests(context, count, share, total):
    for number in range(count):
        parts = ["x"] if number % total < share else ["other"]
        get_evidence(context).record_request(SERVICE, parts, 100 * number / count)


@given("{count:d} requests without shared parts")
def send_plain_requests(context, count):
    for number in range(count):
        get_evidence(context).record_request(SERVICE, [], 100 * number / count)


@given("a part {part} that was {before}, blocked at {seconds:d} seconds")
def block_part(context, part, before, seconds):
    if before in ("known", "common"):
        get_evidence(context).record_begun(SERVICE, [part], 1.0)
        record_crash(context, 1, part, seconds - 4.0)
    record_crash(context, 2, part, seconds - 2.0)
    record_crash(context, 3, part, seconds)
    assert get_evidence(context).list_blocked(SERVICE, [part])


@when("each trial that is due crashes a server")
def try_for_an_hour(context):
    context.trial_times = []
    for seconds in range(100, 100 + HOUR_SECONDS):
        if context.evidence.try_grant_trial([(SERVICE, "x")], seconds):
            context.trial_times.append(seconds)
            record_crash(context, 100 + len(context.trial_times), "x", seconds)


@when("another router tells of a block with crashes at {first:f} and {second:f} seconds")
def adopt_block(context, first, second):
    get_evidence(context).adopt_block(
        (SERVICE, "x"), [first, second], is_certain=True, is_common=False
    )


@given("the part x is blocked")
@then("the part x is blocked")
def check_blocked(context):
    assert get_evidence(context).list_blocked(SERVICE, ["x", "other"]) == [(SERVICE, "x")]


@then("the part x is not blocked")
def check_not_blocked(context):
    assert not get_evidence(context).list_blocked(SERVICE, ["x"])


@then("the trials within an hour are at {times} seconds")
def check_trials(context, times):
    assert context.trial_times == [int(time) for time in times.split()], context.trial_times


@then("the first trials are at {times} seconds")
def check_first_trials(context, times):
    expected = [int(time) for time in times.split()]
    assert context.trial_times[: len(expected)] == expected, context.trial_times


@then("of {count:d} requests between {first:d} and {last:d} seconds {granted:d} is let through")
def check_single_trial(context, count, first, last, granted):
    keys = [(SERVICE, "x")]
    times = [first + (last - first) * number / count for number in range(count)]
    grants = [context.evidence.try_grant_trial(keys, seconds) for seconds in times]
    assert grants.count(True) == granted, grants


@then("a request with the parts {parts} is let through at {seconds:d} seconds")
def check_trial_time(context, parts, seconds):
    keys = context.evidence.list_blocked(SERVICE, parts.split(","))
    assert context.evidence.get_trial_seconds(keys) == seconds


@given("crashes and answers with {count:d} different parts")
def fill_memory(context, count):
    evidence = get_evidence(context)
    for number in range(count):
        evidence.record_begun(SERVICE, [f"b{number}"], number)
        evidence.record_crash(SERVICE, "i-1", [f"c{number}"], number)


@then("at most {begun:d} begun and {suspected:d} suspected parts are remembered")
def check_memory(context, begun, suspected):
    assert len(context.evidence._begun) == begun
    assert len(context.evidence._suspected) == suspected
