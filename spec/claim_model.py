"""A model of one request that must not run twice and that arrives at two routers.

Each router claims the request in the store, sends it at most once, and may crash in any state. The
answer to a claim may be lost. A router that finds the other's claim asks the other router, since
only the claim's holder can prove that the request was not sent and will not be.
"""

import dataclasses
import enum
from collections.abc import Iterator

from minicheck import Protocol


class ClaimMutation(enum.StrEnum):
    """A fault seeded into the protocol, which the model check must detect.

    Attributes:
        NONE: The protocol without a fault.
        TAKEOVER_BY_TIMEOUT: A router takes over a claim without proof from its holder.
        LOST_ANSWER_COUNTS_AS_GRANTED: A router takes a lost answer for a granted claim.
        SENT_BEFORE_CLAIM: A router sends the request before it has claimed it.
        SENT_AGAIN_AFTER_SILENCE: A router repeats a request that was sent but not answered.
        RELEASED_AFTER_SENDING: A router releases its claim after it sent the request.
    """

    NONE = "none"
    TAKEOVER_BY_TIMEOUT = "takeover_by_timeout"
    LOST_ANSWER_COUNTS_AS_GRANTED = "lost_answer_counts_as_granted"
    SENT_BEFORE_CLAIM = "sent_before_claim"
    SENT_AGAIN_AFTER_SILENCE = "sent_again_after_silence"
    RELEASED_AFTER_SENDING = "released_after_sending"


class Phase(enum.IntEnum):
    """Phase of one router's attempt at the request.

    Attributes:
        IDLE: The attempt has not begun.
        CLAIMING: The router is claiming the request.
        ANSWER_LOST: The answer to the claim was lost.
        CLAIMED: The router holds the claim and has not sent the request.
        SENT: The request was sent.
        DONE: The outcome is known.
        UNKNOWN: The router can't tell whether the request ran.
        NOT_RUN: The router reported that the request was not run.
        DEAD: The router has crashed.
    """

    IDLE = 0
    CLAIMING = 1
    ANSWER_LOST = 2
    CLAIMED = 3
    SENT = 4
    DONE = 5
    UNKNOWN = 6
    NOT_RUN = 7
    DEAD = 8


NO_OWNER = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """A state of the model.

    Attributes:
        owner: Router that holds the claim in the store, 1 or 2; 0 for none.
        billed: Whether the outcome is recorded in the store.
        phase_1: Phase of router 1's attempt.
        phase_2: Phase of router 2's attempt.
        sent_1: Number of times that router 1 sent the request.
        sent_2: Number of times that router 2 sent the request.
    """

    owner: int = NO_OWNER
    billed: int = 0
    phase_1: int = Phase.IDLE
    phase_2: int = Phase.IDLE
    sent_1: int = 0
    sent_2: int = 0


FIELDS = tuple(field.name for field in dataclasses.fields(State))


def make_claim_model(*, mutation: ClaimMutation = ClaimMutation.NONE) -> Protocol:
    """Builds the model for the model checker, with a seeded fault unless it is `NONE`."""

    def list_transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        state = State(**dict(zip(FIELDS, values, strict=True)))
        transitions = [
            *_list_router_transitions(state, 1, mutation),
            *_list_router_transitions(state, 2, mutation),
        ]
        return [(label, dataclasses.astuple(after)) for label, after in transitions]

    return Protocol(
        name="claim",
        candidate=False,
        fields=FIELDS,
        initial=dataclasses.astuple(State()),
        transitions=list_transitions,
        invariants={
            "runs_at_most_once": lambda state: state["sent_1"] + state["sent_2"] <= 1,
            "not_run_is_true": lambda state: all(
                state[f"phase_{router}"] != Phase.NOT_RUN or state[f"sent_{router}"] == 0
                for router in (1, 2)
            ),
        },
    )


def _list_router_transitions(
    state: State, router: int, mutation: ClaimMutation
) -> Iterator[tuple[str, State]]:
    """Lists the transitions of one router."""
    phase = Phase(getattr(state, f"phase_{router}"))
    sent = getattr(state, f"sent_{router}")

    def move(label: str, to_phase: Phase, **changes: int) -> tuple[str, State]:
        fields = {f"phase_{router}": int(to_phase), **changes}
        return f"{label}_{router}", dataclasses.replace(state, **fields)

    def count_send() -> dict[str, int]:
        return {f"sent_{router}": sent + 1}

    if phase is not Phase.DEAD:
        yield move("dies", Phase.DEAD)
    match phase:
        case Phase.IDLE | Phase.CLAIMING:
            yield from _list_claim_transitions(state, router, mutation, move, count_send)
        case Phase.ANSWER_LOST:
            if mutation is ClaimMutation.LOST_ANSWER_COUNTS_AS_GRANTED or state.owner == router:
                yield move("reads_claim_back", Phase.CLAIMED)
            # Giving up is always safe here: the request was not sent under this claim.
            owner = NO_OWNER if state.owner == router else state.owner
            yield move("gives_up", Phase.NOT_RUN, owner=owner)
        case Phase.CLAIMED:
            yield move("sends", Phase.SENT, **count_send())
            yield move("cannot_connect", Phase.NOT_RUN, owner=NO_OWNER)
        case Phase.SENT:
            yield move("is_answered", Phase.DONE, billed=1)
            yield move("meets_silence", Phase.UNKNOWN, billed=1)
            if mutation is ClaimMutation.SENT_AGAIN_AFTER_SILENCE:
                yield move("sends_again", Phase.SENT, **count_send())
            if mutation is ClaimMutation.RELEASED_AFTER_SENDING:
                yield move("gives_claim_back", Phase.NOT_RUN, owner=NO_OWNER)


def _list_claim_transitions(
    state, router, mutation, move, count_send
) -> Iterator[tuple[str, State]]:
    """Lists the transitions of a router that has no claim yet."""
    if mutation is ClaimMutation.SENT_BEFORE_CLAIM:
        yield move("sends_early", Phase.SENT, **count_send())
    if state.billed:
        yield move("replays", Phase.DONE)
        return
    if state.owner == NO_OWNER:
        yield move("claims", Phase.CLAIMED, owner=router)
        yield move("claim_answer_lost", Phase.ANSWER_LOST, owner=router)
        yield move("claim_lost_before_write", Phase.ANSWER_LOST)
        return
    if state.owner == router:
        return
    other_phase = Phase(getattr(state, f"phase_{3 - router}"))
    if other_phase is Phase.NOT_RUN:
        # The holder is alive and proves that it sent nothing, so its claim is released.
        yield move("claims_after_proof", Phase.CLAIMED, owner=router)
    else:
        yield move("cannot_know", Phase.UNKNOWN)
    if mutation is ClaimMutation.TAKEOVER_BY_TIMEOUT:
        yield move("takes_over", Phase.CLAIMED, owner=router)
