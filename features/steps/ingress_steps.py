"""Steps for routers that turn new connections away because of their load, without a network."""

from behave import given, then, when
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.fleet.member import SheddingNotice
from laburnumpier_router.ingress.load_meter import LoadMeter
from laburnumpier_router.ingress.service import IngressService
from laburnumpier_router.ingress.shedding import DataCentreView, LoadShedding

UPDATE_SECONDS = 0.1


class ManualClock:
    """A clock that tests set."""

    def __init__(self):
        """Creates a clock at 100 seconds."""
        self.now_seconds = 100.0

    def monotonic_seconds(self):
        """Returns the time."""
        return self.now_seconds


class NamedFleet:
    """A fleet of which only the own name is asked."""

    self_name = "self@1"


@given(
    "a router with a link of {mbps:g} Mbit/s in a data centre of {live:d} routers of which "
    "{shedding:d} turn callers away"
)
def create_router(context, mbps, live, shedding):
    context.now_seconds = 0.0
    context.meter = LoadMeter(link_mbps=mbps, now_seconds=0.0)
    context.shedding = LoadShedding(meter=context.meter)
    context.view = DataCentreView(live=live, shedding=shedding)
    context.periods = [(False, 0.0)]


def update(context):
    if context.shedding.update(context.view, context.now_seconds):
        context.periods.append((context.shedding.is_active, context.now_seconds))


@when("{rate:d} requests a second of {size:d} bytes come for {seconds:d} second")
@when("{rate:d} requests a second of {size:d} bytes come for {seconds:d} seconds")
def send_requests(context, rate, size, seconds):
    for _ in range(round(seconds / UPDATE_SECONDS)):
        context.now_seconds += UPDATE_SECONDS
        context.meter.record_bytes(round(rate * size * UPDATE_SECONDS), context.now_seconds)
        update(context)


@when("its timers are late by {delay:g} seconds for {seconds:d} seconds")
def delay_timers(context, delay, seconds):
    for _ in range(round(seconds / (UPDATE_SECONDS + delay))):
        context.now_seconds += UPDATE_SECONDS + delay
        context.meter.record_delay(delay, context.now_seconds)
        update(context)


@then("the router now {decision}")
def check_decision(context, decision):
    assert context.shedding.is_active == decision.startswith("turns"), context.periods


def list_durations(context, is_active):
    ends = [*(seconds for _, seconds in context.periods[1:]), context.now_seconds]
    starts = [seconds for _, seconds in context.periods]
    states = [state for state, _ in context.periods]
    # The last period has not ended.
    durations = list(zip(states, starts, ends, strict=True))[:-1]
    return [end - start for state, start, end in durations[1:] if state == is_active]


@then("the router took new connections for at least {seconds:d} seconds at a time")
def check_ready_time(context, seconds):
    durations = list_durations(context, is_active=False)
    assert durations
    assert min(durations) >= seconds - 1e-6, durations


@then("the router turned them away for at most {seconds:d} seconds at a time")
def check_shedding_time(context, seconds):
    durations = list_durations(context, is_active=True)
    assert durations
    assert max(durations) <= seconds + UPDATE_SECONDS, durations


@given("a router that was told of {count:d} crowded routers")
def tell_notices(context, count):
    context.clock = ManualClock()
    context.ingress = IngressService(
        fleet=NamedFleet(), link_mbps=10, clock=context.clock, metrics=Metrics()
    )
    told = [SheddingNotice(router=f"r{number}@1", age_ms=100) for number in range(count)]
    context.ingress.adopt([*told, SheddingNotice(router="self@1", age_ms=0)])


@when("{seconds:d} seconds pass without a notice")
def pass_time(context, seconds):
    context.clock.now_seconds += seconds


@then("it knows of {count:d} crowded routers")
def check_known(context, count):
    assert len(context.ingress.list_told()) == count
