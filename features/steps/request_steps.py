"""Steps that send keyed chats and bookings and inject faults into the backend servers."""

import asyncio

from behave import given, then, when
from fleet_steps import read_bills, router_name, run
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import Ran, ResultCode


def engines(context):
    servers = context.fleet.backends.servers.values()
    return [server for server in servers if server.models]


def order_server(context):
    return context.fleet.backends.servers["http://orders-1"]


@given("the next engine will {fault}")
def inject_engine_fault(context, fault):
    # Every engine gets the fault, as any of them may be chosen; each fails once and then recovers.
    for server in engines(context):
        words = fault.split()
        if fault.startswith("refuse"):
            server.refuse_next = 1
        elif fault.startswith("be down"):
            server.down_next = 1
        elif fault.startswith("be silent"):
            server.silent_next = 1
        elif fault.startswith("break off"):
            server.break_after = int(words[4].strip(","))
            server.error_next = int("then report an error" in fault)
        elif fault.startswith("go silent"):
            server.stall_after = int(words[4])
        elif fault.startswith("report an error"):
            server.error_next = 1
        else:
            server.skip_event = int(words[3])


@given("every engine will fail permanently after event {event:d}")
def set_permanent_failure(context, event):
    for server in engines(context):
        server.crash_after_event = event


@given("one engine will fail permanently after event {event:d}")
def set_one_permanent_failure(context, event):
    for server in engines(context):
        server.crash_after_event = event
        server.crash_group = engines(context)


@given("the engines ignore the token limit")
def ignore_token_limit(context):
    for server in engines(context):
        server.overrun = True


@given("both engines are down")
def stop_engines(context):
    for server in engines(context):
        server.down = True


@when("both engines are up again")
def restart_engines(context):
    for server in engines(context):
        server.down = False


@given("both engines refuse everything")
def refuse_all_requests(context):
    for server in engines(context):
        server.refuse = True


@when("a {kind} chat of {tokens:d} tokens is sent to router {number:d}")
def send_chat(context, kind, tokens, number):
    chat = context.fleet.chat(
        router_name(number), "w", max_tokens=tokens, streamed=kind == "streamed"
    )
    context.outcomes.append(run(context, chat))


@when("a chat of {tokens:d} tokens is sent to router {number:d} with a deadline of {seconds:d} s")
def send_with_deadline(context, tokens, number, seconds):
    chat = context.fleet.chat(router_name(number), "w", max_tokens=tokens, deadline=float(seconds))
    context.outcomes.append(run(context, chat))


@when(
    "a {kind} chat of {tokens:d} tokens is sent to router {number:d}, "
    "and its run is cancelled after {seconds:g} s"
)
def send_and_cancel(context, kind, tokens, number, seconds):
    async def scenario():
        chat = asyncio.create_task(
            context.fleet.chat(
                router_name(number), "w", max_tokens=tokens, streamed=kind == "streamed"
            )
        )
        await asyncio.sleep(seconds)
        for server in engines(context):
            for engine_run in server.runs.values():
                engine_run.cancelled = True
        return await chat

    context.outcomes.append(run(context, scenario()))


@when("a caller disconnects from a chat of {tokens:d} tokens after {seconds:d} seconds")
def disconnect_caller(context, tokens, seconds):
    async def scenario():
        chat = asyncio.create_task(context.fleet.chat("vm-1", "w", max_tokens=tokens))
        await asyncio.sleep(seconds)
        chat.cancel()
        await asyncio.gather(chat, return_exceptions=True)

    run(context, scenario())


@when("a chat with key {key} is sent to all routers at once, twice each")
def send_keyed_to_all(context, key):
    async def send():
        names = list(context.fleet.routers) * 2
        return await asyncio.gather(*(context.fleet.chat(name, "w", key=key) for name in names))

    context.outcomes.extend(run(context, send()))


@when("a chat with key {key} is sent to router {number:d}")
def send_keyed(context, key, number):
    context.outcomes.append(run(context, context.fleet.chat(router_name(number), "w", key=key)))


@when("a chat with key {key} is sent to router {number:d} with a deadline of {seconds:d} s")
def send_keyed_with_deadline(context, key, number, seconds):
    chat = context.fleet.chat(router_name(number), "w", key=key, deadline=float(seconds))
    context.outcomes.append(run(context, chat))


@when("the other workspace sends a chat with key {key} to router {number:d}")
def send_from_other_workspace(context, key, number):
    chat = context.fleet.chat(router_name(number), "other", key=key)
    context.outcomes.append(run(context, chat))


@when("router {number:d} dies {seconds:g} seconds after a chat with key {key} was sent to it")
def kill_router_with_chat(context, number, seconds, key):
    async def scenario():
        chat = asyncio.create_task(context.fleet.chat(router_name(number), "w", key=key))
        await asyncio.sleep(seconds)
        await context.fleet.kill(router_name(number))
        chat.cancel()
        await asyncio.gather(chat, return_exceptions=True)

    run(context, scenario())


@when(
    "router {number:d} stops gracefully while {count:d} chats of {tokens:d} tokens are open there"
)
def stop_router_with_chats(context, number, count, tokens):
    async def scenario():
        chats = [
            asyncio.create_task(
                context.fleet.chat(router_name(number), "w", max_tokens=tokens, words=20)
            )
            for _ in range(count)
        ]
        await asyncio.sleep(1.0)
        await context.fleet.stop(router_name(number))
        return await asyncio.gather(*chats)

    context.fleet_budget = 100_000
    run(context, context.fleet.configure("vm-2", {"workspaces": {"w": {"budget_tokens": 100000}}}))
    run(context, asyncio.sleep(4))
    context.outcomes.extend(run(context, scenario()))


@then("at least {count:d} chats were served whole")
def check_served_count(context, count):
    served = [outcome for outcome in context.outcomes if outcome.error is None]
    assert len(served) >= count, len(served)


@then("the chat failed with {code} and says it did run")
def check_failed(context, code):
    error = context.outcomes[-1].error
    assert error is not None
    assert error.code is ResultCode[code], error.code
    assert error.ran is Ran.YES, error.ran


@then("exactly {count:d} bill is stored")
def check_bill_count(context, count):
    assert len(read_bills(context)) == count, read_bills(context)


@then("the answer is truncated without an error")
def check_truncated(context):
    outcome = context.outcomes[-1]
    assert outcome.error is None, outcome.error


@then("the bill is not larger than the reservation")
def check_bill_within_reservation(context):
    (bill,) = read_bills(context)
    assert bill.tokens <= len("hello") + 60 + 20, bill.tokens


@then("the bill is smaller than {tokens:d} tokens")
def check_bill_below(context, tokens):
    (bill,) = read_bills(context)
    assert 0 < bill.tokens < tokens, bill.tokens


@then("the run was cancelled at the engine")
def check_cancelled(context):
    runs = [r for server in engines(context) for r in server.runs.values()]
    assert all(r.cancelled and r.finished for r in runs)


@then("all callers get the same whole answer")
def check_same_answer(context):
    assert all(outcome.error is None for outcome in context.outcomes)
    assert len({outcome.content for outcome in context.outcomes}) == 1
    assert context.outcomes[0].content.endswith(";")


@then("the engines have started {count:d} run")
@then("the engines have started {count:d} runs")
def check_run_count(context, count):
    started = [run_id for server in engines(context) for run_id in server.started]
    assert len(started) == count, started


@then("the retries are at most a tenth of the first attempts plus a burst")
def check_retry_budget(context):
    for router in context.fleet.routers.values():
        counters = router.application.metrics.counters
        assert counters.get("dispatch.retries", 0) <= 10 + 0.1 * len(context.outcomes)


@given("the order service will {fault}")
def inject_order_fault(context, fault):
    server = order_server(context)
    server.down = fault == "be down"
    server.silent = fault.startswith("go silent")
    server.break_after = 1 if fault.startswith("break off") else 0


@when("the order service works again")
def clear_order_fault(context):
    inject_order_fault(context, "work")
    run(context, asyncio.sleep(15))


def send_booking(context, number, key, **options):
    async def send():
        try:
            return await context.fleet.call(router_name(number), "w", key=key, **options)
        except RequestError as error:
            return error

    context.previous = getattr(context, "booking", None)
    context.booking = run(context, send())


@when("a booking with key {key} is sent to router {number:d}")
def send_keyed_booking(context, key, number):
    send_booking(context, number, key)


@when("another booking with key {key} is sent to router {number:d}")
def send_booking_with_other_body(context, key, number):
    send_booking(context, number, key, body=b'{"other": 1}')


@when("a look-up is sent to router {number:d}")
def send_look_up(context, number):
    send_booking(context, number, "", method="GET")


@when("a booking with key {key} is sent to all routers at once, twice each")
def send_booking_to_all(context, key):
    async def send():
        names = list(context.fleet.routers) * 2
        return await asyncio.gather(*(context.fleet.call(name, "w", key=key) for name in names))

    context.answers = run(context, send())


@when("router {number:d} dies {seconds:g} seconds after a booking with key {key} was sent to it")
def kill_router_with_booking(context, number, seconds, key):
    async def scenario():
        booking = asyncio.create_task(context.fleet.call(router_name(number), "w", key=key))
        await asyncio.sleep(seconds)
        await context.fleet.kill(router_name(number))
        booking.cancel()
        await asyncio.gather(booking, return_exceptions=True)

    run(context, scenario())


@when("a booking with key {key} is sent to router {number:d}, which is cut off while it runs")
def isolate_router_with_booking(context, key, number):
    async def scenario():
        booking = asyncio.create_task(context.fleet.call(router_name(number), "w", key=key))
        await asyncio.sleep(0.02)
        context.fleet.isolate(router_name(number))
        await asyncio.gather(booking, return_exceptions=True)

    run(context, scenario())


@then("the booking is answered")
def check_answered(context):
    assert not isinstance(context.booking, Exception), context.booking
    assert context.booking.status == 201


@then("the booking is answered the same")
def check_answered_same(context):
    assert context.booking.body == context.previous.body


@then("the booking is refused, not run")
def check_not_run(context):
    assert isinstance(context.booking, RequestError)
    assert context.booking.ran is Ran.NO


@then("the booking is refused with {code}")
def check_refused_with(context, code):
    assert context.booking.code is ResultCode[code]


@then("the booking has unknown outcome")
def check_outcome_unknown(context):
    assert isinstance(context.booking, RequestError), context.booking
    assert context.booking.ran is Ran.UNKNOWN, context.booking.code


@then("the order service ran {key} {count:d} times")
def check_booking_runs(context, key, count):
    runs = order_server(context).calls.count(f"w/{key}")
    assert runs == count, runs


@then("all bookings got the same answer")
def check_same_bookings(context):
    assert len({answer.body for answer in context.answers}) == 1
