"""The life of one budget's tokens: draws, bills, transfers, a death and its recovery.

Router A draws tokens, spends them, bills them, lends some to router B, and may die at any
moment. Any answer may be lost, a transfer may be lost or arrive twice, and A's recovery may
begin only on proof of its death. Tokens and bills are counted one by one. `spent` is the
ground truth that no router sees: what engines really ran.
"""

import dataclasses
import enum
from collections.abc import Callable, Iterator

from minicheck import Protocol


class Mutation(enum.StrEnum):
    """A fault put into the protocol on purpose, which the check must find."""

    NONE = "none"
    TAKE_BACK_BY_TIMEOUT = "take_back_by_timeout"
    TRANSFER_CREDITED_TWICE = "transfer_credited_twice"
    BILL_REPEATED_AFTER_LOST_ANSWER = "bill_repeated_after_lost_answer"
    CLOSED_BEFORE_LAST_BILLS = "closed_before_last_bills"
    LATE_CREDIT_NOT_REFUSED = "late_credit_not_refused"
    DRAW_CREDITED_WITHOUT_RECORD = "draw_credited_without_record"


class Flight(enum.IntEnum):
    """A transfer message between A and B."""

    NONE = 0
    SENT = 1
    DUPLICATE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """One state; all fields count tokens unless they are flags.

    Attributes:
        settled: Tokens billed in the account record.
        grant_a: Open amount of A's grant in the record.
        grant_b: Open amount of B's grant in the record.
        doubt: Tokens in doubt in the record.
        written_off: Late bills that nothing could pay.
        dead: Whether A has died.
        free_a: A's free tokens.
        unbilled_a: Tokens that A has spent and not billed, at most one.
        draw_lost: Whether A's last draw took effect and its answer was lost.
        bill_lost: Whether A's last bill took effect and its answer was lost.
        copy: Whether B keeps a copy of A's unbilled bill.
        copy_billed: Whether the copied bill is in the store.
        flight: The transfer message.
        free_b: B's own free tokens.
        unbilled_b: B's own tokens spent and not billed.
        borrowed: Tokens of A's grant that B may spend.
        borrowed_unbilled: Tokens of A's grant that B has spent and not billed.
        fenced: Whether B refuses further credit from A.
        collected: Whether recovery has B's answer.
        held: What B answered.
        closed: Whether A's grant was closed.
        spent: Tokens that engines really ran.
        unproven: Tokens spent by A whose bill died with it.
    """

    settled: int = 0
    grant_a: int = 0
    grant_b: int = 0
    doubt: int = 0
    written_off: int = 0
    dead: int = 0
    free_a: int = 0
    unbilled_a: int = 0
    draw_lost: int = 0
    bill_lost: int = 0
    copy: int = 0
    copy_billed: int = 0
    flight: int = Flight.NONE
    free_b: int = 0
    unbilled_b: int = 0
    borrowed: int = 0
    borrowed_unbilled: int = 0
    fenced: int = 0
    collected: int = 0
    held: int = 0
    closed: int = 0
    spent: int = 0
    unproven: int = 0


FIELDS = tuple(field.name for field in dataclasses.fields(State))
Transition = tuple[str, State]


def make_budget_model(
    *, purchased: int, release: bool, mutation: Mutation = Mutation.NONE
) -> Protocol:
    """Builds the model.

    Args:
        purchased: Prepaid tokens.
        release: Whether unproven tokens become available again instead of staying in doubt.
        mutation: A fault to put in.

    Returns:
        The protocol for the model checker.
    """
    invariants = _make_invariants(purchased, release)

    def list_transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        # What follows a broken state shows nothing new, and a mutant may go on without end.
        fields = dict(zip(FIELDS, values, strict=True))
        if not all(holds(fields) for holds in invariants.values()):
            return []
        state = State(**fields)
        steps = [
            *_list_lender_transitions(state, purchased, mutation),
            *_list_borrower_transitions(state, purchased),
            *_list_transfer_transitions(state, mutation),
            *_list_recovery_transitions(state, purchased, release, mutation),
        ]
        return [(label, dataclasses.astuple(after)) for label, after in steps]

    return Protocol(
        name="budget",
        candidate=False,
        fields=FIELDS,
        initial=dataclasses.astuple(State()),
        transitions=list_transitions,
        invariants=invariants,
    )


def _make_invariants(purchased: int, release: bool) -> dict[str, Callable[[dict], bool]]:
    def never_overspent(state: dict) -> bool:
        proven = state["spent"] - (state["unproven"] if release else 0)
        return proven <= purchased

    def record_holds(state: dict) -> bool:
        committed = state["settled"] + state["grant_a"] + state["grant_b"] + state["doubt"]
        return committed <= purchased and min(state["grant_a"], state["grant_b"]) >= 0

    return {
        "never_overspent": never_overspent,
        "record_holds": record_holds,
        "never_billed_twice": lambda state: state["settled"] <= state["spent"],
        "every_bill_paid": lambda state: state["written_off"] == 0,
    }


def _count_available(state: State, purchased: int) -> int:
    return purchased - state.settled - state.grant_a - state.grant_b - state.doubt


def _settle_grant_a(state: State, purchased: int) -> State:
    """Bills one token of A's grant: from the grant, from doubt, from what is available."""
    if state.grant_a > 0:
        return dataclasses.replace(state, settled=state.settled + 1, grant_a=state.grant_a - 1)
    if state.doubt > 0:
        return dataclasses.replace(state, settled=state.settled + 1, doubt=state.doubt - 1)
    if _count_available(state, purchased) > 0:
        return dataclasses.replace(state, settled=state.settled + 1)
    return dataclasses.replace(state, written_off=state.written_off + 1)


def _list_lender_transitions(
    state: State, purchased: int, mutation: Mutation
) -> Iterator[Transition]:
    if state.dead:
        return
    change = dataclasses.replace
    if state.draw_lost:
        # The repeated draw finds its first outcome in the record and credits that.
        yield "a_draw_read_back", change(state, draw_lost=0, free_a=state.free_a + 1)
    elif _count_available(state, purchased) > 0:
        drawn = change(state, grant_a=state.grant_a + 1)
        yield "a_draw", change(drawn, free_a=state.free_a + 1)
        yield "a_draw_answer_lost", change(drawn, draw_lost=1)
    assumes = mutation is Mutation.DRAW_CREDITED_WITHOUT_RECORD
    if assumes and not state.draw_lost and state.free_a + state.borrowed < purchased:
        yield "a_draw_assumed", change(state, free_a=state.free_a + 1)
    if state.free_a and not state.unbilled_a:
        yield (
            "a_spend",
            change(state, free_a=state.free_a - 1, unbilled_a=1, spent=state.spent + 1),
        )
    if state.unbilled_a and state.bill_lost:
        repeated = state
        if mutation is Mutation.BILL_REPEATED_AFTER_LOST_ANSWER:
            repeated = _settle_grant_a(state, purchased)
        yield "a_bill_again", change(repeated, unbilled_a=0, bill_lost=0, copy_billed=state.copy)
    elif state.unbilled_a and not state.copy_billed:
        billed = _settle_grant_a(state, purchased)
        yield "a_bill", change(billed, unbilled_a=0, copy_billed=state.copy)
        yield "a_bill_answer_lost", change(billed, bill_lost=1, copy_billed=state.copy)
    if state.unbilled_a and not state.copy:
        yield "a_copy_bill", change(state, copy=1, copy_billed=state.bill_lost)
    if state.copy and state.copy_billed and not state.unbilled_a:
        yield "b_drop_copy", change(state, copy=0, copy_billed=0)
    if state.free_a and state.flight == Flight.NONE:
        yield "a_lend", change(state, free_a=state.free_a - 1, flight=Flight.SENT)
    # A copy that is in the store already belongs to an earlier bill.
    copied = state.copy and not state.copy_billed
    unproven = state.unbilled_a and not state.bill_lost and not copied
    yield (
        "a_dies",
        change(
            state,
            dead=1,
            free_a=0,
            unbilled_a=0,
            draw_lost=0,
            bill_lost=0,
            unproven=state.unproven + (1 if unproven else 0),
        ),
    )


def _list_borrower_transitions(state: State, purchased: int) -> Iterator[Transition]:
    change = dataclasses.replace
    if _count_available(state, purchased) > 0:
        yield "b_draw", change(state, grant_b=state.grant_b + 1, free_b=state.free_b + 1)
    if state.free_b:
        yield (
            "b_spend",
            change(
                state,
                free_b=state.free_b - 1,
                unbilled_b=state.unbilled_b + 1,
                spent=state.spent + 1,
            ),
        )
    if state.unbilled_b:
        yield (
            "b_bill",
            change(
                state,
                unbilled_b=state.unbilled_b - 1,
                settled=state.settled + 1,
                grant_b=state.grant_b - 1,
            ),
        )
    if state.borrowed:
        yield (
            "b_spend_borrowed",
            change(
                state,
                borrowed=state.borrowed - 1,
                borrowed_unbilled=state.borrowed_unbilled + 1,
                spent=state.spent + 1,
            ),
        )
    if state.borrowed_unbilled:
        billed = _settle_grant_a(state, purchased)
        yield (
            "b_bill_borrowed",
            change(billed, borrowed_unbilled=state.borrowed_unbilled - 1),
        )


def _list_transfer_transitions(state: State, mutation: Mutation) -> Iterator[Transition]:
    change = dataclasses.replace
    if state.flight == Flight.NONE:
        return
    yield "transfer_lost", change(state, flight=Flight.NONE)
    refused = state.fenced and mutation is not Mutation.LATE_CREDIT_NOT_REFUSED
    credited = 0 if refused else 1
    if state.flight == Flight.SENT:
        arrived = change(state, borrowed=state.borrowed + credited)
        yield "transfer_arrives", change(arrived, flight=Flight.NONE)
        yield "transfer_arrives_first", change(arrived, flight=Flight.DUPLICATE)
    else:
        if mutation is not Mutation.TRANSFER_CREDITED_TWICE:
            credited = 0
        again = change(state, borrowed=state.borrowed + credited)
        yield "transfer_arrives_again", change(again, flight=Flight.NONE)


def _list_recovery_transitions(
    state: State, purchased: int, release: bool, mutation: Mutation
) -> Iterator[Transition]:
    change = dataclasses.replace
    proven = state.dead or mutation is Mutation.TAKE_BACK_BY_TIMEOUT
    if proven and not state.collected:
        held = state.borrowed + state.borrowed_unbilled
        yield "recovery_collects", change(state, collected=1, fenced=1, held=held)
    copy_open = state.copy and not state.copy_billed
    if state.collected and not state.closed:
        before = state
        if copy_open and mutation is not Mutation.CLOSED_BEFORE_LAST_BILLS:
            before = change(_settle_grant_a(state, purchased), copy_billed=1)
        unproven = max(0, before.grant_a - before.held)
        after = change(before, grant_a=before.grant_a - unproven, closed=1)
        if not release:
            after = change(after, doubt=after.doubt + unproven)
        yield "recovery_closes", after
    if state.dead and copy_open:
        yield "b_submits_copy", change(_settle_grant_a(state, purchased), copy_billed=1)
