"""Steps for a fleet that changes while tokens are borrowed, and for failing background tasks."""

import asyncio
import logging

from behave import given, then, when
from laburnumpier_core.background_tasks import FAILED_TASKS_METRIC, BackgroundTasks
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.budget.demand import DemandMeter, SettledMeter
from laburnumpier_router.budget.grant_pool import GrantPool, TransferPart
from laburnumpier_router.budget.lending import TokenLending
from laburnumpier_router.budget.peers import TransferOffered
from laburnumpier_router.budget.state import BudgetState
from laburnumpier_router.fleet.member import GossipEntry, Member, MemberState
from laburnumpier_router.fleet.view import FleetView

PEER_TOKENS = 100


def make_member(name):
    return Member(incarnation=name, vm=name, data_centre="dc", peers_address=name)


class ChangingFleet:
    """Peers that lend tokens; the last one departs while it is asked."""

    def __init__(self, *, peers):
        self.self_name = "self@1"
        self.view = FleetView(self_member=make_member("self@1"), suspicion_timeout_seconds=5.0)
        for number in range(peers):
            member = make_member(f"p{number}@1")
            entry = GossipEntry(member=member, counter=1, state=MemberState.SERVING)
            self.view.merge_entry(entry, 0.0)

    def list_peers(self):
        """Returns the live peers."""
        return self.view.live

    async def call(self, peer, message, timeout_seconds):
        """Lends tokens, or records the departure of the last peer."""
        if peer == "p2@1":
            self.view.mark_departed(peer)
            raise PeerUnreachableError(peer)
        lent = min(PEER_TOKENS, message.tokens)
        parts = [TransferPart(grant_id=f"{peer}/w/1", tokens=lent)] if lent else []
        return TransferOffered(parts=parts, free=PEER_TOKENS - lent, coming=0)


@given("a router with {peers:d} peers, of which each holds 100 free tokens")
def make_borrower(context, peers):
    demand = DemandMeter(window_seconds=30.0, now_seconds=0.0)
    fleet_demand = SettledMeter(window_seconds=30.0, now_seconds=0.0)
    context.state = BudgetState(
        pool=GrantPool(workspace="w"), demand=demand, fleet_demand=fleet_demand
    )
    fleet = ChangingFleet(peers=peers)
    context.lending = TokenLending(states={"w": context.state}, fleet=fleet, metrics=Metrics())


@when("it borrows {tokens:d} tokens and the last peer is recorded as departed before it replies")
def borrow_while_peer_departs(context, tokens):
    borrow = context.lending.borrow_from_peers("w", context.state, tokens)
    context.all_answered, _ = context.virtual.run(borrow)


@then("it holds {tokens:d} free tokens")
def check_free_tokens(context, tokens):
    assert context.state.pool.free == tokens, context.state.pool.free


@then("the attempt reports that not all peers answered")
def check_not_all_answered(context):
    assert not context.all_answered


@when("a background task fails with an unexpected error")
def fail_background_task(context):
    context.metrics = Metrics()
    context.records = []

    async def fail():
        raise KeyError("unexpected")

    async def run_task():
        task = BackgroundTasks(part="budget", metrics=context.metrics).start(fail())
        await asyncio.wait([task])

    handler = logging.Handler()
    handler.emit = context.records.append
    logger = logging.getLogger("laburnumpier.budget")
    logger.addHandler(handler)
    logging.disable(logging.NOTSET)
    try:
        context.virtual.run(run_task())
    finally:
        logging.disable(logging.CRITICAL)
        logger.removeHandler(handler)


@then("the failure is logged as an error and counted")
def check_failure_seen(context):
    assert [record.levelname for record in context.records] == ["ERROR"], context.records
    assert context.metrics.counters[FAILED_TASKS_METRIC] == 1
