"""A model of one budget: draws, bills, transfers, a router's crash and the recovery after it.

Router A draws, spends and bills tokens and lends some to router B. A may crash in any state. The
answer to A's draw or bill may be lost, a transfer may be lost or delivered twice, and A's recovery
may begin only on proof of its crash. Tokens are drawn, spent, billed and lent one at a time.
`spent` counts the tokens that engines generated, which no router can observe.
"""

import dataclasses
import enum
from collections.abc import Callable, Iterator

from minicheck import Protocol


class Mutation(enum.StrEnum):
    """A fault seeded into the protocol, which the model check must detect.

    Attributes:
        NONE: The protocol without a fault.
        TAKE_BACK_BY_TIMEOUT: Recovery begins without proof that A has crashed.
        TRANSFER_CREDITED_TWICE: B credits a duplicate of a transfer.
        BILL_REPEATED_AFTER_LOST_ANSWER: A settles a bill again whose answer was lost.
        CLOSED_BEFORE_LAST_BILLS: Recovery closes A's grant before it settles the copied bill.
        LATE_CREDIT_NOT_REFUSED: B credits a transfer from A after recovery has fenced A.
        DRAW_CREDITED_WITHOUT_RECORD: A credits a draw that the account record doesn't hold.
    """

    NONE = "none"
    TAKE_BACK_BY_TIMEOUT = "take_back_by_timeout"
    TRANSFER_CREDITED_TWICE = "transfer_credited_twice"
    BILL_REPEATED_AFTER_LOST_ANSWER = "bill_repeated_after_lost_answer"
    CLOSED_BEFORE_LAST_BILLS = "closed_before_last_bills"
    LATE_CREDIT_NOT_REFUSED = "late_credit_not_refused"
    DRAW_CREDITED_WITHOUT_RECORD = "draw_credited_without_record"


class Flight(enum.IntEnum):
    """State of the transfer message from A to B.

    Attributes:
        NONE: No message is in flight.
        SENT: The message was sent.
        DUPLICATE: The message was delivered, and a duplicate is in flight.
    """

    NONE = 0
    SENT = 1
    DUPLICATE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """A state of the model; fields are token counts unless they are described as flags.

    Attributes:
        settled: Tokens billed in the account record.
        grant_a: Open amount of A's grant in the account record.
        grant_b: Open amount of B's grant in the account record.
        doubt: Tokens in doubt in the account record.
        written_off: Late bills that no tokens of the grant, in doubt or available could cover.
        dead: Whether A has crashed.
        free_a: A's unspent tokens.
        unbilled_a: Tokens that A has spent and not billed, at most one.
        draw_lost: Whether A's last draw took effect and its answer was lost.
        bill_lost: Whether A's last bill took effect and its answer was lost.
        copy: Whether B keeps a copy of A's unbilled bill.
        copy_billed: Whether the copied bill is in the store.
        flight: State of the transfer message, a `Flight`.
        free_b: B's own unspent tokens.
        unbilled_b: B's own tokens that it has spent and not billed.
        borrowed: Tokens of A's grant that B may spend.
        borrowed_unbilled: Tokens of A's grant that B has spent and not billed.
        fenced: Whether B refuses further transfers from A.
        collected: Whether recovery has received B's report of borrowed tokens.
        held: Tokens of A's grant that B reported to recovery.
        closed: Whether recovery has closed A's grant.
        spent: Tokens that engines generated.
        unproven: Tokens that A spent and whose bill was lost in the crash.
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
    """Builds the model for the model checker.

    Args:
        purchased: Prepaid tokens of the budget.
        release: Whether unproven tokens become available again instead of staying in doubt.
        mutation: Fault to seed.
    """
    invariants = _make_invariants(purchased, release)

    def list_transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        # States after a violation add no information, and a mutant may have infinitely many.
        fields = dict(zip(FIELDS, values, strict=True))
        if not all(holds(fields) for holds in invariants.values()):
            return []
        state = State(**fields)
        transitions = [
            *_list_lender_transitions(state, purchased, mutation),
            *_list_borrower_transitions(state, purchased),
            *_list_transfer_transitions(state, mutation),
            *_list_recovery_transitions(state, purchased, release, mutation),
        ]
        return [(label, dataclasses.astuple(after)) for label, after in transitions]

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
    """Bills one token of A's grant: from the grant, else tokens in doubt, else available ones.

    If none is left, the token is written off.
    """
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
        # The retried draw finds the grant of the first attempt in the record and credits it.
        yield "a_draw_read_back", change(state, draw_lost=0, free_a=state.free_a + 1)
    elif _count_available(state, purchased) > 0:
        drawn = change(state, grant_a=state.grant_a + 1)
        yield "a_draw", change(drawn, free_a=state.free_a + 1)
        yield "a_draw_answer_lost", change(drawn, draw_lost=1)
    credits_unrecorded = mutation is Mutation.DRAW_CREDITED_WITHOUT_RECORD
    if credits_unrecorded and not state.draw_lost and state.free_a + state.borrowed < purchased:
        yield "a_draw_assumed", change(state, free_a=state.free_a + 1)
    if state.free_a and not state.unbilled_a:
        yield (
            "a_spend",
            change(state, free_a=state.free_a - 1, unbilled_a=1, spent=state.spent + 1),
        )
    if state.unbilled_a and state.bill_lost:
        retried = state
        if mutation is Mutation.BILL_REPEATED_AFTER_LOST_ANSWER:
            retried = _settle_grant_a(state, purchased)
        yield "a_bill_again", change(retried, unbilled_a=0, bill_lost=0, copy_billed=state.copy)
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
    # A copy whose bill is already in the store belongs to an earlier bill.
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
        delivered = change(state, borrowed=state.borrowed + credited)
        yield "transfer_arrives", change(delivered, flight=Flight.NONE)
        yield "transfer_arrives_first", change(delivered, flight=Flight.DUPLICATE)
    else:
        if mutation is not Mutation.TRANSFER_CREDITED_TWICE:
            credited = 0
        redelivered = change(state, borrowed=state.borrowed + credited)
        yield "transfer_arrives_again", change(redelivered, flight=Flight.NONE)


def _list_recovery_transitions(
    state: State, purchased: int, release: bool, mutation: Mutation
) -> Iterator[Transition]:
    change = dataclasses.replace
    may_recover = state.dead or mutation is Mutation.TAKE_BACK_BY_TIMEOUT
    if may_recover and not state.collected:
        held = state.borrowed + state.borrowed_unbilled
        yield "recovery_collects", change(state, collected=1, fenced=1, held=held)
    copy_unbilled = state.copy and not state.copy_billed
    if state.collected and not state.closed:
        before = state
        if copy_unbilled and mutation is not Mutation.CLOSED_BEFORE_LAST_BILLS:
            before = change(_settle_grant_a(state, purchased), copy_billed=1)
        unproven = max(0, before.grant_a - before.held)
        after = change(before, grant_a=before.grant_a - unproven, closed=1)
        if not release:
            after = change(after, doubt=after.doubt + unproven)
        yield "recovery_closes", after
    if state.dead and copy_unbilled:
        yield "b_submits_copy", change(_settle_grant_a(state, purchased), copy_billed=1)
