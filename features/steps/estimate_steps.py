"""Steps for placement by estimates, without a network."""

import random

from behave import given, then, when
from engine_loads import LOADS, play_load
from engine_model import ModelClock, make_head
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.estimates.estimate_placement import EstimatePlacement
from laburnumpier_router.estimates.held_parts import HeldParts
from laburnumpier_router.estimates.request_estimate import EstimateRequest
from laburnumpier_router.forward.servers import ServerLoad
from laburnumpier_router.ports.dialect import PromptPart
from laburnumpier_router.ports.server_registry import RegisteredServer

SEEDS = (1, 2, 3)
PART_TOKENS = 1000
CACHE_TOKENS = 100_000
SECONDS_PER_TOKEN = 1e-5
BASE_SECONDS = 0.03
SLOWDOWN_SECONDS = 4.0
played = {}


def play(name):
    if name not in played:
        played[name] = {
            placement: [play_load(LOADS[name], placement, seed) for seed in SEEDS]
            for placement in ("affinity", "estimate")
        }
        for placement, worlds in played[name].items():
            share, again = mean_share(worlds), count_tokens_again(worlds)
            print(f"\n{name}, {placement}: {share:.3f} within the target, {again} tokens again")
    return played[name]


def mean_share(worlds):
    return sum(world.share_within_target() for world in worlds) / len(worlds)


def count_tokens_again(worlds):
    return sum(world.tokens_read_again() for world in worlds)


@when('the load "{name}" is played with both placements')
def play_both(context, name):
    context.played = play(name)


@when('the load "{name}" is played with estimates')
def play_estimates(context, name):
    context.worlds = play(name)["estimate"]


@then("estimates have at least the share of first events within the target")
def check_share(context):
    shares = {placement: mean_share(worlds) for placement, worlds in context.played.items()}
    assert shares["estimate"] >= shares["affinity"], shares


@then("estimates have a larger share of first events within the target")
def check_larger_share(context):
    shares = {placement: mean_share(worlds) for placement, worlds in context.played.items()}
    assert shares["estimate"] > shares["affinity"], shares


@then("estimates have no more tokens read again")
def check_tokens(context):
    again = {p: count_tokens_again(worlds) for p, worlds in context.played.items()}
    assert again["estimate"] <= again["affinity"], again


@then("from 1 second after the slowdown it gets at most 1 request in 20")
def check_slow_server(context):
    for world in context.worlds:
        after = [server for at, _, server in world.sends if at >= SLOWDOWN_SECONDS + 1.0]
        assert after.count("i-0") <= len(after) / 20, (after.count("i-0"), len(after))


def make_parts(text):
    return tuple(PromptPart(part_id=name, tokens=PART_TOKENS) for name in text.split())


@given('the cache of a server that has read the prompt "{text}"')
def make_held(context, text):
    context.held = HeldParts()
    context.held.record_prompt(make_parts(text), 0.0)
    context.now = 0.0


@then('of the prompt "{text}" it holds {count:d} parts')
def check_held(context, text, count):
    held = context.held.count_held(make_parts(text), context.now)
    assert held == count * PART_TOKENS, held


@given('a cache with room for 3 parts that has read the prompts "a", "b", "c", "a", "d"')
def fill_held(context):
    context.held = HeldParts()
    context.held.set_limits(capacity_tokens=3 * PART_TOKENS, kept_seconds=600)
    for n, name in enumerate("abcad"):
        context.held.record_prompt(make_parts(name), float(n))
    context.now = 5.0


@then('it holds the parts "{text}"')
def check_held_parts(context, text):
    held = [n for n in "abcd" if context.held.count_held(make_parts(n), context.now)]
    assert held == text.split(), held


@given("its memory is filled by traffic in {seconds:d} seconds")
def set_kept(context, seconds):
    context.held.set_limits(capacity_tokens=0, kept_seconds=seconds)


@when("{seconds:d} seconds pass without use")
def pass_time(context, seconds):
    context.now += seconds


class Router:
    """A router with estimates of some servers that answer as the test says."""

    def __init__(self, count, *, slots=32, seed=1):
        self.clock = ModelClock()
        self.estimates = EstimatePlacement(
            clock=self.clock,
            metrics=Metrics(),
            random_source=random.Random(seed),
            find_cache_tokens=lambda service: CACHE_TOKENS,
            count_routers=lambda: 1,
            data_centre="near",
        )
        self.loads = [make_load(n, slots) for n in range(count)]
        self.number = 0

    def make_request(self, text="", own_tokens=PART_TOKENS, urgency=3, gap=0.0):
        """Returns a request with shared parts and an own one."""
        self.number += 1
        own = PromptPart(part_id=f"own-{self.number}", tokens=own_tokens)
        parts = (*make_parts(text), own)
        return EstimateRequest(
            prompt_parts=parts,
            prompt_tokens=sum(part.tokens for part in parts),
            max_output_tokens=50,
            urgency=urgency,
            target_gap_seconds=gap,
        )

    def choose(self, request):
        """Returns the chosen server."""
        return self.estimates.choose(self.loads, request)

    def begin(self, load, request):
        """Sends a request."""
        observer = self.estimates.begin(load, request)
        load.record_start(request.prompt_tokens)
        return observer

    def answer(self, load, observer, seconds, head=None):
        """Lets a server answer a request after a time."""
        self.clock.seconds += seconds
        observer.record_head(head or make_head(load.in_flight, 0))
        observer.record_progress()
        observer.close()
        load.record_finish()

    def exchange(self, load, request, slowness=1.0):
        """Sends a request to a server that answers as it should, times a slowness."""
        found = self.estimates.rank([load], request)[0]
        seconds = (BASE_SECONDS + SECONDS_PER_TOKEN * found.read_tokens) * slowness
        self.answer(load, self.begin(load, request), seconds)

    def get_seconds(self, load, request):
        """Returns the estimate at one server."""
        return self.estimates.rank([load], request)[0].first_event_seconds


def make_load(n, slots=32, started_ms=1, data_centre="near"):
    entry = RegisteredServer(
        server_id=f"i-{n}",
        service="s",
        address=f"10.0.0.{n}:80",
        slots=slots,
        started_ms=started_ms,
        data_centre=data_centre,
    )
    return ServerLoad(entry=entry)


def make_learnt_router(count):
    router = Router(count)
    for n in range(20 * count):
        tokens = (500, 3000, 1000)[n % 3]
        router.exchange(router.loads[n % count], router.make_request(own_tokens=tokens))
    return router


@given("two idle engines, and a prompt that one of them has read")
def make_two_engines(context):
    context.router = make_learnt_router(2)
    router = context.router
    home = router.choose(router.make_request("a b c"))
    # The home of the prompt would be chosen also without the model of what servers hold.
    context.holder = next(load for load in router.loads if load is not home)
    router.exchange(context.holder, router.make_request("a b c"))


@when("that engine starts again")
def restart_engine(context):
    load = context.holder
    entry = load.entry
    load.replace_entry(
        RegisteredServer(
            server_id=entry.server_id,
            service="s",
            address=entry.address,
            slots=entry.slots,
            started_ms=2,
        )
    )


@then("it is assumed to hold nothing")
def check_nothing_held(context):
    router = context.router
    found = router.estimates.rank([context.holder], router.make_request("a b c"))[0]
    assert found.held_tokens == 0, found


@then("all of 20 requests with the prompt would go there")
def check_holder(context):
    router = context.router
    assert all(router.choose(router.make_request("a b c")) is context.holder for _ in range(20))


@when("that engine has 12 requests with long prompts to read")
def load_holder(context):
    for _ in range(12):
        context.router.begin(context.holder, context.router.make_request(own_tokens=5000))


@then("a request with the prompt would go to the other engine")
def check_other(context):
    assert context.router.choose(context.router.make_request("a b c")) is not context.holder


@given("{count:d} engines whose speed is learnt")
def make_engines_learnt(context, count):
    context.router = make_learnt_router(count)


@when("one of them does not answer any more and a request is sent each 0.02 seconds")
def stop_answering(context):
    router = context.router
    context.silent = router.loads[0]
    context.silent_sends = []
    started = router.clock.seconds
    open_requests = []
    while router.clock.seconds < started + 8.0:
        router.clock.seconds += 0.02
        for load, observer, due in [o for o in open_requests if o[2] <= router.clock.seconds]:
            router.answer(load, observer, 0.0)
            open_requests.remove((load, observer, due))
        request = router.make_request()
        load = router.choose(request)
        observer = router.begin(load, request)
        if load is context.silent:
            context.silent_sends.append(router.clock.seconds - started)
        else:
            open_requests.append((load, observer, router.clock.seconds + 0.04))


@then("it gets no request from 1 second on, but a try in each 2 seconds at most")
def check_silent(context):
    late = [at for at in context.silent_sends if at >= 1.0]
    assert len(late) <= 4, late


@when("one answer of an engine takes 30 times as long as usual")
def answer_late(context):
    router = context.router
    router.exchange(router.loads[0], router.make_request(), slowness=30.0)


@when("a server joins")
def join_server(context):
    context.router.loads.insert(0, make_load(99))


@then("its estimate is within 1.5 times that of the others")
def check_estimate(context):
    router = context.router
    request = router.make_request()
    first, *others = [router.get_seconds(load, request) for load in router.loads]
    assert first <= 1.5 * max(others), (first, others)
    assert first >= min(others) / 1.5, (first, others)


@when("one of them answers 4 times later and reports that it is idle and work is quick")
def answer_slowly(context):
    router = context.router
    context.sends = []
    started = router.clock.seconds
    open_requests = []
    while router.clock.seconds < started + 6.0:
        router.clock.seconds += 0.01
        for load, observer, due in [o for o in open_requests if o[2] <= router.clock.seconds]:
            router.answer(load, observer, 0.0, make_head(0, 0, 25))
            open_requests.remove((load, observer, due))
        request = router.make_request()
        load = router.choose(request)
        seconds = BASE_SECONDS + SECONDS_PER_TOKEN * PART_TOKENS
        due = router.clock.seconds + seconds * (4.0 if load is router.loads[0] else 1.0)
        open_requests.append((load, router.begin(load, request), due))
        context.sends.append((router.clock.seconds - started, load))


@then("it gets at most 1 of 20 requests after 1 second")
def check_liar(context):
    late = [load for at, load in context.sends if at >= 1.0]
    count = sum(load is context.router.loads[0] for load in late)
    assert count <= len(late) / 20, (count, len(late))


@when("one of them reports 30 requests of other routers")
def report_load(context):
    router = context.router
    for load in router.loads:
        load.record_report(30 if load is router.loads[0] else 2, 0, router.clock.seconds)
    request = router.make_request()
    context.first_choices = [router.choose(request) for _ in range(20)]


@then("requests avoid it at first")
def check_avoided(context):
    assert context.router.loads[0] not in context.first_choices


@then("after 1.1 seconds its load is estimated as that of the service")
def check_faded(context):
    router = context.router
    router.clock.seconds += 1.1
    found = router.estimates.rank(router.loads, router.make_request())
    loads = [each.load for each in found]
    assert max(loads) == min(loads), loads


@given("40 routers that know 6 idle servers of a plain service alike")
def make_routers(context):
    context.routers = [Router(6, slots=6, seed=n) for n in range(40)]
    for router in context.routers:
        for load in router.loads:
            load.record_report(1, 0, 0.0)


@when("each sends one request")
def send_one_each(context):
    context.ids = [r.choose(EstimateRequest()).entry.server_id for r in context.routers]


@then("no server gets more than {count:d} of them")
def check_spread(context, count):
    assert max(context.ids.count(server_id) for server_id in context.ids) <= count, context.ids


@given("two engines whose speed is learnt, one of them with 20 urgent streams")
def make_streams(context):
    router = context.router = make_learnt_router(2)
    for load, urgency in ((router.loads[0], 0), (router.loads[1], 9)):
        for _ in range(20):
            request = router.make_request(own_tokens=100, urgency=urgency, gap=0.05)
            router.begin(load, request).record_progress()


@then("a long prompt would go to the engine without streams")
def check_long_prompt(context):
    router = context.router
    chosen = [router.choose(router.make_request(own_tokens=9000, urgency=6)) for _ in range(20)]
    assert all(load is router.loads[1] for load in chosen)


@given("two engines with full memory, one of them with parts in repeated use")
def fill_memories(context):
    router = context.router = make_learnt_router(2)
    for n in range(CACHE_TOKENS // PART_TOKENS):
        for load, repeats in ((router.loads[0], 2), (router.loads[1], 1)):
            for _ in range(repeats):
                router.exchange(load, router.make_request(f"part-{n}", own_tokens=1))


@then("a new prompt would go to the other engine")
def check_new_prompt(context):
    router = context.router
    chosen = [router.choose(router.make_request(own_tokens=9000)) for _ in range(20)]
    assert all(load is router.loads[1] for load in chosen)


@when("an engine rejects 3 requests")
def reject(context):
    router = context.router
    for _ in range(3):
        load = router.loads[0]
        observer = router.begin(load, router.make_request())
        router.clock.seconds += 0.002
        load.record_report(load.entry.slots, 1, router.clock.seconds)
        observer.record_failure()
        observer.close()
        load.record_finish()


@then("the next 10 requests go to other engines")
def check_rejecting(context):
    router = context.router
    for _ in range(10):
        request = router.make_request()
        load = router.choose(request)
        assert load is not router.loads[0]
        router.exchange(load, request)


@given("2 idle servers of a plain service with 6 slots, one of them in another data centre")
def make_remote(context):
    context.router = Router(0)
    context.router.loads = [make_load(0, 6), make_load(1, 6, data_centre="far")]


@then("calls go to the near one until it has 1 request more")
def check_near(context):
    router = context.router
    near, far = router.loads
    assert all(router.choose(EstimateRequest()) is near for _ in range(20))
    near.record_start(0)
    assert all(router.choose(EstimateRequest()) is far for _ in range(20))


@when("one of them has had 3 requests without an answer for 1 second")
def leave_unanswered(context):
    router = context.router
    for load in router.loads[:2]:
        # The second engine gets as many requests, but just now.
        for _ in range(3):
            router.begin(load, router.make_request())
        router.clock.seconds += 1.0 if load is router.loads[0] else 0.0


@when("one of them has answered 3 requests 5 times later")
def answer_three_late(context):
    router = context.router
    for _ in range(3):
        router.exchange(router.loads[0], router.make_request(), slowness=5.0)


@then("its estimate is at least 3 times that of another with the same requests")
def check_slow(context):
    router = context.router
    request = router.make_request()
    slow, usual = (router.get_seconds(load, request) for load in router.loads[:2])
    assert slow >= 3.0 * usual, (slow, usual)
