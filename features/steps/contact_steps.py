"""Steps for the decision whether a router is cut off from servers, without a network.

They guard against routers that relay although the servers are down for all, or that take a single
dead server, an old failure or a living connection for evidence.
"""

import random

from behave import given, then, when
from laburnumpier_router.fleet.member import ServerReach
from laburnumpier_router.relay.contact import ContactEvidence, ContactJudge
from laburnumpier_router.relay.peer_contacts import PeerContacts


@given("a router with {usable:d} usable servers")
def make_judge(context, usable):
    context.usable = usable
    context.evidence = ContactEvidence()
    context.peers = PeerContacts(random_source=random.Random(1))
    context.judge = ContactJudge(evidence=context.evidence, peers=context.peers)


@when("these things happen: {events}")
def apply_events(context, events):
    """Each event is a time in seconds, a name and its arguments."""
    for event in events.split("; "):
        seconds, name, *words = event.split()
        now = float(seconds)
        match name:
            case "fails":
                started = float(words[1]) if len(words) > 1 else now
                context.evidence.record_failure(words[0], started, now)
            case "answers":
                context.evidence.record_reached(float(words[0]) if words else now)
            case "peer":
                is_failing = words[1] == "failing"
                reach = ServerReach(
                    own_age_ms=None if is_failing else int(words[1]), is_failing=is_failing
                )
                context.peers.adopt(words[0], reach, now)
            case "judges":
                context.judge.judge(now, context.usable, ["p1", "p2"])


@then("at {seconds:g} s it asks {first} first, of {live}, where {near} are near")
def check_first(context, seconds, first, live, near):
    asked_first = {
        context.peers.list_candidates(seconds, live.split(), 1.0, lambda n: n in near.split())[0]
        for _ in range(50)
    }
    assert asked_first == set(first.split(" or ")), asked_first


@then("at {seconds:g} s it believes {belief}")
def check_belief(context, seconds, belief):
    contact = context.judge.judge(seconds, context.usable, ["p1", "p2"])
    assert contact.value == belief, contact
