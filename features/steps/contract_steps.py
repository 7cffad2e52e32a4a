"""Steps that check the contract of each interface against its adapter and its stand-in.

They guard against an adapter and the in-memory stand-in of the other tests that behave
differently, above all in what they report when a connection or the remote side fails.
"""

import asyncio
import contextlib

from aiohttp.test_utils import TestServer
from behave import given, then, when
from laburnumpier_core.errors import (
    PeerError,
    PeerUnreachableError,
    ServerError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)
from laburnumpier_core.metrics import Metrics
from laburnumpier_measure.local_fleet import find_free_port
from laburnumpier_platform.store import PlatformStore
from laburnumpier_platform_standin.store import PlatformStoreStandIn
from laburnumpier_router.backend.engine_port import EngineCall, EngineOrder, ServiceCall
from laburnumpier_router.backend.http_clients import HttpEngineClient, HttpServiceClient
from laburnumpier_router.configuration.peer_sources import ConfigurationFetched, FetchConfiguration
from laburnumpier_router.configuration.record import ConfigurationRecord
from laburnumpier_router.fleet.peer_link import PeerLink
from laburnumpier_router.fleet.peer_network import PynngPeerNetwork
from laburnumpier_router.ports.etcd_service import EtcdKeyValueService
from laburnumpier_router.ports.key_value_service import Write
from laburnumpier_router.ports.store_calls import COUNTER_PREFIX, name_store_calls
from laburnumpier_router.ports.store_era import StorePosition
from laburnumpier_standins.engine import EngineStandIn, count_prompt_tokens
from laburnumpier_standins.etcd_gateway import EtcdGatewayStandIn
from laburnumpier_standins.memory_fleet import make_settings
from laburnumpier_standins.memory_network import MemoryPeerNetwork, NetworkHub
from laburnumpier_standins.memory_store import MemoryKeyValueService, StoreControl
from laburnumpier_standins.order_service import OrderServiceStandIn
from laburnumpier_standins.store_state import StoreFault


def run(context, coroutine):
    return context.real.run(coroutine)


@given("the {service} key-value service")
def make_store(context, service):
    if service == "in-memory":
        context.control = StoreControl()
        context.store = MemoryKeyValueService(control=context.control)
        return
    adapters = {
        "HTTP": (EtcdGatewayStandIn, EtcdKeyValueService),
        "platform": (PlatformStoreStandIn, PlatformStore),
    }
    make_control, make_adapter = adapters[service]
    context.control = make_control()

    async def start():
        context.server = TestServer(context.control.make_app())
        await context.server.start_server()
        url = str(context.server.make_url("")).rstrip("/")
        context.store_metrics = Metrics()
        context.store = make_adapter(url=url, timeout_seconds=5, metrics=context.store_metrics)

    async def stop():
        await context.store.close()
        await context.server.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


def make_absent_position(context):
    return StorePosition(era=context.store.era.current, revision=0)


def write(context, key, value, position=None):
    """Writes a key on the condition that it is at a position, by default that it is absent."""
    if position is None:
        position = make_absent_position(context)
    commit = context.store.commit({key: position}, [Write(key=key, value=value)])
    return run(context, commit)


@then("a key that was never written is absent")
def check_absent(context):
    assert run(context, context.store.read(["a", "b"])) == {}


@then("a write that expects it absent succeeds once, and the second finds the first")
def check_conditional(context):
    first = write(context, "a", b"1")
    assert first.committed
    second = write(context, "a", b"2")
    assert not second.committed
    assert second.found["a"].value == b"1"
    assert second.found["a"].position == first.position
    assert write(context, "a", b"3", first.position).committed


@then("several keys are written together or not at all")
def check_together(context):
    writes = [Write(key="p/2", value=b"2"), Write(key="p/1", value=b"1")]
    assert not run(
        context,
        context.store.commit(dict.fromkeys(("a", "p/1"), make_absent_position(context)), writes),
    ).committed
    assert run(context, context.store.read(["p/1", "p/2"])) == {}
    assert run(
        context,
        context.store.commit(dict.fromkeys(("p/1", "p/2"), make_absent_position(context)), writes),
    ).committed


@then("a key that is removed is absent, also if it is removed again")
def check_remove(context):
    async def remove():
        await context.store.commit({}, [Write(key="r/1", value=b"1")])
        assert "r/1" in await context.store.read(["r/1"])
        await context.store.remove("r/1")
        assert await context.store.read(["r/1"]) == {}
        await context.store.remove("r/1")
        assert await context.store.read(["r/1"]) == {}

    run(context, remove())


@then("listing a prefix returns its keys in order")
def check_prefix(context):
    found = run(context, context.store.list_prefix("p/"))
    assert [(value.key, value.value) for value in found] == [("p/1", b"1"), ("p/2", b"2")]


@then("a key bound to a lease disappears with the lease")
def check_lease(context):
    async def use_lease():
        lease = await context.store.grant_lease(60)
        await context.store.commit({}, [Write(key="l", value=b"x", lease_id=lease)])
        assert await context.store.keep_lease_alive(lease)
        assert "l" in await context.store.read(["l"])
        await context.store.revoke_lease(lease)
        assert await context.store.read(["l"]) == {}
        assert not await context.store.keep_lease_alive(lease)

    run(context, use_lease())


@then("waiting for a change returns the new value, or nothing when the time is up")
def check_watch(context):
    async def watch():
        current = (await context.store.read(["a"]))["a"]
        assert await context.store.wait_for_change("a", current.position, 0.05) is None
        watch_task = asyncio.create_task(
            context.store.wait_for_change("a", current.position, 20.0)
        )
        await asyncio.sleep(0.05)
        await context.store.commit({"a": current.position}, [Write(key="a", value=b"9")])
        assert (await watch_task).value == b"9"

    run(context, watch())


@when("it returns to a copy from before its last 2 writes")
def return_from_copy(context):
    first = write(context, "k", b"1")
    context.old_lease = run(context, context.store.grant_lease(60))
    second = write(context, "k", b"2", first.position)
    context.old_position = write(context, "k", b"3", second.position).position
    getattr(context.control, "rewind", context.control.state.rewind)(writes=2)


@then("the lost writes are absent, and the era has risen")
def check_lost_writes(context):
    era = context.store.era.current
    found = run(context, context.store.read(["k"]))
    assert found["k"].value == b"1", found
    assert found.era == context.store.era.current == era + 1
    assert found["k"].position > context.old_position


@then("a write on a condition of the earlier era fails without being sent")
def check_old_condition(context):
    revision = context.control.state.revision
    try:
        write(context, "k", b"4", context.old_position)
    except StoreUnavailableError:
        assert context.control.state.revision == revision
        return
    raise AssertionError("the write was sent")


@then("a wait from a position of the earlier era returns the present value at once")
def check_old_watch(context):
    found = run(context, context.store.wait_for_change("k", context.old_position, 5.0))
    assert found.value == b"1", found


@then("a lease of the earlier era has ended")
def check_old_lease(context):
    assert not run(context, context.store.keep_lease_alive(context.old_lease))


@when("a new era is known before the response to a write arrives")
def observe_era_early(context):
    run(context, context.store.read(["k"]))
    absent = make_absent_position(context)
    context.store.era.observe(context.store.era.current + 1)
    context.expected_position = absent._replace(era=context.store.era.current)


@then("the write has an unknown outcome, and a read is unavailable")
def check_outdated_response(context):
    try:
        write(context, "k", b"1", context.expected_position)
    except WriteOutcomeUnknownError:
        pass
    else:
        raise AssertionError("the outdated response was used")
    try:
        run(context, context.store.read(["k"]))
    except StoreUnavailableError:
        return
    raise AssertionError("the outdated response was used")


@when("the service is down")
def set_down(context):
    write(context, "v", b"old")
    context.control.fault = StoreFault.DOWN


@when("the service loses answers")
def set_losing_answers(context):
    write(context, "v", b"old")
    context.control.fault = StoreFault.ANSWER_LOST


@when("the service has gone")
def set_unreachable(context):
    write(context, "v", b"old")
    context.control.fault = StoreFault.NONE
    run(context, context.server.close())


@then("a read is unavailable")
def check_read_fails(context):
    try:
        run(context, context.store.read(["v"]))
    except StoreUnavailableError:
        return
    raise AssertionError("the read did not fail")


@then("a read returns")
def check_read_returns(context):
    context.position = run(context, context.store.read(["v"]))["v"].position


def find_write_error(context):
    try:
        write(context, "v", b"new", getattr(context, "position", None))
    except (StoreUnavailableError, WriteOutcomeUnknownError) as error:
        return type(error)
    return None


@then("a write is known to have failed")
def check_write_fails(context):
    assert find_write_error(context) is StoreUnavailableError


@then("a write has an unknown outcome")
def check_write_unknown(context):
    assert find_write_error(context) is WriteOutcomeUnknownError


@then("the value after recovery is {value}")
def check_value(context, value):
    entry = context.control.state.get("v")
    assert entry.value == value.encode(), entry


@when("a key under op/ is read twice to confirm it and once for no named cause")
def read_with_causes(context):
    async def read():
        with name_store_calls("confirm"):
            await asyncio.gather(context.store.read(["op/config"]), context.store.read(["op/x"]))
        await context.store.read(["op/config"])

    run(context, read())


@when("the keys under servers/ are listed and watched")
def list_and_watch(context):
    async def watch():
        snapshot = await context.store.read_servers()
        await context.store.wait_for_changes(snapshot.position, 0.02)

    run(context, watch())


@when("a key under accounts/ is written with a lease")
def write_with_lease(context):
    async def commit():
        lease_id = await context.store.grant_lease(60)
        write_ = Write(key="accounts/1", value=b"1", lease_id=lease_id)
        await context.store.commit({}, [write_])

    run(context, commit())


@then("the store calls are counted as")
def check_call_counts(context):
    expected = {row["name"]: int(row["count"]) for row in context.table}
    counted = {
        name.removeprefix(COUNTER_PREFIX): count
        for name, count in context.store_metrics.counters.items()
        if name.startswith(COUNTER_PREFIX)
    }
    assert counted == expected, counted


@given("a stand-in engine over HTTP")
def make_engine(context):
    context.engine = EngineStandIn(models=["m"])
    context.client = HttpEngineClient(stall_seconds=1.0)
    context.events = []

    async def start():
        context.server = TestServer(context.engine.make_app())
        await context.server.start_server()
        context.url = str(context.server.make_url("")).rstrip("/")

    async def stop():
        await context.client.close()
        await context.server.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


def make_body(tokens):
    return {
        "model": "m",
        "messages": [{"role": "user", "content": "x" * 40}],
        "max_tokens": tokens,
    }


def stream(context, run_id, tokens, last_event_id):
    async def read_events():
        call = EngineCall(run_id=run_id, body=make_body(tokens), priority=5)
        try:
            async for event in context.client.stream(context.url, call, last_event_id):
                context.events.append(event)
        except ServerError as error:
            return error
        return None

    context.error = run(context, read_events())


@when("the engine will {fault}")
def set_engine_fault(context, fault):
    if fault == "be unreachable":
        run(context, context.server.close())
    elif fault == "reject the run":
        context.engine.faults = {"refuse": 1}
    elif fault == "disconnect after event 3":
        context.engine.faults = {"break_after": 3}
    else:
        assert fault == "stall after event 3", fault
        context.engine.faults = {"stall_after": 3}


class RepeatingEngine:
    """Keeps connections open, and sends the last answer of each once more before the next one.

    Attributes:
        runs: Ids of the runs in the order of their requests.
    """

    def __init__(self):
        self.runs = []

    async def serve(self, reader, writer):
        """Answers the requests of one connection until its client closes it."""
        previous = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                lines = dict(x.split(": ", 1) for x in head.split("\r\n")[1:] if ": " in x)
                await reader.readexactly(int(lines["content-length"]))
                run_id = lines["x-request-id"]
                self.runs.append(run_id)
                body = f'id: 1\ndata: {{"run": "{run_id}"}}\n\ndata: [DONE]\n\n'.encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                answer += b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                writer.write(previous + answer)
                previous = answer
        writer.close()


@given("an engine that answers each request, and before it once more the one before on its {link}")
def make_repeating_engine(context, link):
    context.engine = RepeatingEngine()
    context.client = HttpEngineClient(stall_seconds=1.0)

    async def start():
        server = await asyncio.start_server(context.engine.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        context.url = f"http://{host}:{port}"
        context.cleanups.append((context.real, context.client.close))
        return server

    server = run(context, start())

    async def stop():
        server.close()

    context.cleanups.append((context.real, stop))


@when("the runs {first} and {second} are streamed one after the other")
def stream_two_runs(context, first, second):
    context.events_by_run = {}
    for run_id in (first, second):
        context.events = []
        stream(context, run_id, 5, 0)
        context.events_by_run[run_id] = [e.data for e in context.events if e.data is not None]


@then("each run got only its own events")
def check_own_events(context):
    expected = {run_id: [{"run": run_id}] for run_id in context.events_by_run}
    assert context.events_by_run == expected, context.events_by_run


@then("the engine received each run once")
def check_received_once(context):
    assert context.engine.runs == list(context.events_by_run), context.engine.runs


@when("a run of {tokens:d} tokens is streamed")
def stream_run(context, tokens):
    stream(context, "run-1", tokens, 0)


@when("the same run is resumed")
def resume_run(context):
    stream(context, "run-1", 10, len(context.events))


@when("a run is resumed that was never started")
def resume_unknown(context):
    stream(context, "run-9", 10, 5)


@then("the events are numbered from 1 without gaps and end with the end event")
def check_events(context):
    assert context.error is None, context.error
    *chunks, end = context.events
    assert end.data is None
    assert [event.event_id for event in chunks] == list(range(1, len(chunks) + 1))
    assert len(chunks) == 12


@then("the stream ends with {error} after {count:d} events")
def check_stream_error(context, error, count):
    assert type(context.error).__name__ == error, context.error
    assert len(context.events) == count


@then("the engine has started {count:d} run")
def check_started(context, count):
    assert len(context.engine.started) == count


@then("the engine reports its models and its load")
def check_load(context):
    report = run(context, context.client.probe(context.url))
    assert report.models == ["m"]
    assert report.running == 0


@then("the engine counts a prompt exactly")
def check_count(context):
    body = make_body(1)
    count = run(context, context.client.count_tokens(context.url, body))
    assert count == count_prompt_tokens(body)


@then("a cancelled run stops generating tokens")
def check_cancel(context):
    async def cancel_run():
        context.engine.token_seconds = 0.01
        call = EngineCall(run_id="run-2", body=make_body(400), priority=5)
        async for event in context.client.stream(context.url, call, 0):
            if event.event_id == 2:
                await context.client.cancel(context.url, "run-2")
        return len(context.engine.runs["run-2"].events)

    assert run(context, cancel_run()) < 400


@when("an order with fencing number {number:d} is sent")
def send_order(context, number):
    order = EngineOrder(action="load", model=f"model-{number}", fencing_number=number)

    async def send():
        try:
            await context.client.order(context.url, order, 5.0)
        except ServerError as error:
            return error
        return None

    context.order_error = run(context, send())


@then("the order is accepted and its model is loaded")
def check_order_accepted(context):
    assert context.order_error is None, context.order_error
    assert "model-5" in context.engine.models


@then("the order fails with {error}")
def check_order_error(context, error):
    assert type(context.order_error).__name__ == error, context.order_error
    assert "model-4" not in context.engine.models


@given("a stand-in order service over HTTP")
def make_order_service(context):
    context.orders = OrderServiceStandIn()
    context.service_client = HttpServiceClient()

    async def start():
        context.order_server = TestServer(context.orders.make_app())
        await context.order_server.start_server()

    async def stop():
        await context.service_client.close()
        await context.order_server.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


@when("the service will {fault}")
def set_service_fault(context, fault):
    if fault == "be unreachable":
        context.order_url = str(context.order_server.make_url("")).rstrip("/")
        run(context, context.order_server.close())
    context.orders.faults = {
        "respond": {},
        "disconnect before responding": {"close_before": 1},
        "never respond": {"silent": 1},
        "be unreachable": {},
    }[fault]


@when("a booking is sent")
def send_booking(context):
    if not hasattr(context, "order_url"):
        context.order_url = str(context.order_server.make_url("")).rstrip("/")
    call = ServiceCall(method="POST", path="bookings", query="", headers={}, body=b"{}")

    async def send():
        try:
            # The timeout is short only for the call that is meant to time out.
            timeout = 0.3 if context.orders.faults.get("silent") else 20.0
            return await context.service_client.call(context.order_url, call, timeout)
        except ServerError as error:
            return error

    context.booking = run(context, send())


@then("the booking ends with {outcome}, and the service has run it {runs:d} times")
def check_booking(context, outcome, runs):
    outcome_name = "a response" if not isinstance(context.booking, Exception) else None
    outcome_name = outcome_name or type(context.booking).__name__
    assert outcome_name == outcome, context.booking
    assert len(context.orders.bookings) == runs


SLOW_NUMBER = 1000
"""Number of the sender whose calls are answered late."""
SLOW_REPLY_SECONDS = 0.2


def make_link(network, name, token="fleet"):
    return PeerLink(
        network=network,
        self_name=name,
        token=token,
        message_types=(FetchConfiguration, ConfigurationFetched),
        metrics=Metrics(),
    )


@given("two routers linked by {network}")
def make_links(context, network):
    context.hub = NetworkHub()
    context.uses_pynng = network == "pynng"
    context.failing = False

    def make_network(address):
        if context.uses_pynng:
            settings = make_settings({"router.peers_address": address})
            return PynngPeerNetwork(settings=settings)
        return MemoryPeerNetwork(hub=context.hub, address=address)

    async def handle_fetch(sender, message):
        if context.failing:
            raise ValueError("handler failure")
        number = int(sender.split("@")[1])
        if number == SLOW_NUMBER:
            await asyncio.sleep(SLOW_REPLY_SECONDS)
        return ConfigurationFetched(record=ConfigurationRecord(number=number))

    async def start():
        context.address = f"127.0.0.1:{find_free_port()}"
        context.first_network = make_network(f"127.0.0.1:{find_free_port()}")
        context.first = make_link(context.first_network, "a@7")
        context.second = make_link(make_network(context.address), "b@2")
        context.second.register_handler(FetchConfiguration, handle_fetch)
        await context.second.start()

    async def stop():
        await context.first.close()
        await context.second.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


@when("the first calls the second {condition}")
def call_second(context, condition):
    target = "b@1" if condition == "by an old incarnation" else "b@2"
    link = context.first
    if condition == "with a wrong token":
        link = make_link(context.first_network, "a@7", token="guess")
    if condition == "while its handler fails":
        context.failing = True

    async def call():
        if condition == "after it has ended":
            await context.second.close()
        if condition == "with a malformed message":
            reply = await context.first_network.call(context.address, b"\xc1noise", 5.0)
            assert b"unreadable" in reply
            raise PeerUnreachableError("malformed message")
        # The timeout is short only for the call that is meant to time out.
        timeout = 0.5 if condition == "after it has ended" else 20.0
        return await link.call(context.address, target, FetchConfiguration(), timeout)

    try:
        context.reply = run(context, call())
    except PeerUnreachableError:
        context.reply = None


UNENCODABLE_VALUES = {"an integer of 400 digits": 10**400 - 1, "a lone surrogate": "\ud800"}


@when("a message with {value} is sent to the second")
def call_with_value(context, value):
    message = ConfigurationFetched(record=UNENCODABLE_VALUES[value])
    context.reply = None
    try:
        context.reply = run(context, context.first.call(context.address, "b@2", message, 1.0))
    except PeerError:
        return


@then("the call is answered")
def check_answered(context):
    assert context.reply.record.number == 7


@then("the call is unreachable")
def check_unreachable(context):
    assert context.reply is None


@when("a call is given up before its reply, and further calls follow at once")
def give_up_call(context):
    async def call(number, timeout_seconds):
        link = make_link(context.first_network, f"a@{number}")
        reply = await link.call(context.address, "b@2", FetchConfiguration(), timeout_seconds)
        return reply.record.number

    async def play():
        try:
            await call(SLOW_NUMBER, SLOW_REPLY_SECONDS / 2)
        except PeerUnreachableError:
            context.was_given_up = True
        # Calls go on until the late reply has arrived.
        end_seconds = asyncio.get_running_loop().time() + 2 * SLOW_REPLY_SECONDS
        context.replies = []
        while asyncio.get_running_loop().time() < end_seconds:
            number = len(context.replies)
            context.replies.append((number, await call(number, 20.0)))

    context.was_given_up = False
    run(context, play())


@then("each further call gets its own reply")
def check_own_replies(context):
    assert context.was_given_up
    assert len(context.replies) > 5
    assert all(sent == received for sent, received in context.replies), context.replies


@then("{count:d} calls at once each get their own reply")
def check_many(context, count):
    async def call(number):
        link = make_link(context.first_network, f"a@{number}")
        reply = await link.call(context.address, "b@2", FetchConfiguration(), 20.0)
        return reply.record.number

    async def call_concurrently():
        return await asyncio.gather(*(call(number) for number in range(count)))

    assert run(context, call_concurrently()) == list(range(count))
