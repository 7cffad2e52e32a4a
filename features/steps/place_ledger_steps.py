"""Steps for the bookkeeping of the places of one brittle server, without routers and time."""

from behave import given, then, when
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.fleet.member import NamedBrittleness
from laburnumpier_router.places.brittle_servers import BrittleServers
from laburnumpier_router.places.place_ledger import PlaceLedger
from laburnumpier_router.ports.dialect import ResponseHead
from laburnumpier_router.ports.server_registry import RegisteredServer

SERVER = RegisteredServer(server_id="i-0", service="s", address="10.0.0.1:80", started_ms=1)


LEARNT_SECONDS = 1.3
"""Time after which a home has heard from each router that uses places."""


class HandClock:
    """A clock that steps set."""

    def __init__(self):
        """Starts at a time."""
        self.seconds = 100.0

    def monotonic_seconds(self):
        """Returns the time."""
        return self.seconds


def make_ledger(context, slots, rejects, routers, *, is_beginning):
    context.now = 100.0
    context.places = {}
    context.next_id = 0
    context.ledger = PlaceLedger(
        slots=slots,
        max_rejects=rejects,
        routers=routers,
        now_seconds=context.now,
        is_beginning=is_beginning,
    )


@given("a ledger of {slots:d} slots that bears {rejects:d} rejects, at {routers:d} routers")
def begin_ledger(context, slots, rejects, routers):
    make_ledger(context, slots, rejects, routers, is_beginning=True)


@given("all routers have told it what they use")
def learn(context):
    context.now += LEARNT_SECONDS


@given("a ledger of {slots:d} slots that takes over, at {routers:d} routers")
def take_over(context, slots, routers):
    make_ledger(context, slots, 4, routers, is_beginning=False)


def ask(context, holder, count, chance=1.0):
    held = context.places.setdefault(holder, [])
    for _ in range(count):
        context.next_id += 1
        if context.ledger.lease(holder, context.next_id, context.now, chance):
            held.append(context.next_id)


@when('"{holder}" asks for {count:d} places')
@when('"{holder}" asks for {count:d} place')
def ask_places(context, holder, count):
    ask(context, holder, count)


@when('"{holder}" asks for {count:d} places with the chance {chance:g}')
def ask_with_chance(context, holder, count, chance):
    ask(context, holder, count, chance)


@when('"{holder}" returns {count:d} place as rejected')
@when('"{holder}" returns {count:d} places as rejected')
def return_rejected(context, holder, count):
    for _ in range(count):
        place_id = context.places[holder].pop()
        context.ledger.give_back(holder, place_id, context.now, is_rejected=True)


@when('"{holder}" returns 1 place before it asks for it')
def return_before(context, holder):
    context.ledger.give_back(holder, context.next_id + 1, context.now, is_rejected=False)
    ask(context, holder, 1)


@when("{seconds:g} seconds go by at the home")
def wait(context, seconds):
    context.now += seconds


def pass_holding(context, holder, seconds):
    end_seconds = context.now + seconds
    while context.now < end_seconds:
        context.now = min(context.now + 1.0, end_seconds)
        context.ledger.renew(holder, context.places[holder], context.now)


@when('{seconds:g} seconds go by while "{holder}" still holds its places')
def wait_holding(context, seconds, holder):
    pass_holding(context, holder, seconds)


@when('1 second goes by while "{holder}" holds {count:d} of its places')
def hold_some(context, holder, count):
    context.places[holder] = context.places[holder][:count]
    pass_holding(context, holder, 1.0)


@when('"{holder}" joins with {count:d} places and falls silent for 3.5 seconds')
def join_and_fall_silent(context, holder, count):
    join(context, holder, count)
    pass_holding(context, "a", 3.5)


@when('"{holder}" joins with {count:d} places')
def join(context, holder, count):
    context.ledger.renew(holder, list(range(1000, 1000 + count)), context.now)


@when("{count:d} routers hold no places")
def hold_none(context, count):
    for number in range(count):
        context.ledger.renew(f"r{number}", [], context.now)


@then("{count:d} places are in use")
@then("{count:d} place is in use")
def check_count(context, count):
    assert context.ledger.leased_count == count, context.ledger.leased_count


@then("it is not known if there is a place")
def check_unknown(context):
    assert not context.ledger.is_known(context.now)


@then("it is known if there is a place")
def check_known(context):
    assert context.ledger.is_known(context.now)


def get_rejects(text):
    return None if text == "the end" else int(text)


@given("the state {first} of a server, said {age:d} seconds ago")
def say_first(context, first, age):
    context.clock = HandClock()
    context.brittle = BrittleServers(clock=context.clock, metrics=Metrics())
    if first == "nothing":
        return
    context.clock.seconds -= age + 1
    # The end of a brittle time is only noted after its beginning.
    for rejects in (9, get_rejects(first)):
        head = ResponseHead(attempt_id="", not_executed=False, max_rejects_per_second=rejects)
        context.brittle.record_answer(SERVER, head)
        context.clock.seconds += 1
    context.clock.seconds += age - 1


@when("another router tells that it said {told} {age:d} seconds ago")
def tell(context, told, age):
    named = NamedBrittleness(
        server_id="i-0",
        service="s",
        started_ms=1,
        max_rejects=get_rejects(told),
        age_ms=age * 1000,
        began_ms=age * 1000,
    )
    context.brittle.adopt([named])


@then("the server is known as {state}")
def check_state(context, state):
    assert (context.brittle.find(SERVER) is not None) == (state == "brittle")
