"""The life of one request that must not run twice, tried at two routers.

Each router claims the request in the store, sends it once, and may die at any moment. The
answer to a claim may be lost. A router that finds a claim of the other asks it; only the
claimer itself can say that nothing was and will be sent.
"""

import dataclasses
import enum
from collections.abc import Iterator

from minicheck import Protocol


class ClaimMutation(enum.StrEnum):
    """A fault put into the protocol on purpose, which the check must find."""

    NONE = "none"
    TAKEOVER_BY_TIMEOUT = "takeover_by_timeout"
    LOST_ANSWER_COUNTS_AS_GRANTED = "lost_answer_counts_as_granted"
    SENT_BEFORE_CLAIM = "sent_before_claim"
    SENT_AGAIN_AFTER_SILENCE = "sent_again_after_silence"
    RELEASED_AFTER_SENDING = "released_after_sending"


class Phase(enum.IntEnum):
    """What one router is doing with its try."""

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
    """One state.

    Attributes:
        owner: Router that holds the claim in the store, 1 or 2; 0 when it is free.
        billed: Whether the outcome is recorded in the store.
        phase_1: Phase of router 1's try.
        phase_2: Phase of router 2's try.
        sent_1: Runs that router 1 caused.
        sent_2: Runs that router 2 caused.
    """

    owner: int = NO_OWNER
    billed: int = 0
    phase_1: int = Phase.IDLE
    phase_2: int = Phase.IDLE
    sent_1: int = 0
    sent_2: int = 0


FIELDS = tuple(field.name for field in dataclasses.fields(State))


def make_claim_model(*, mutation: ClaimMutation = ClaimMutation.NONE) -> Protocol:
    """Builds the model; see `ClaimMutation` for the faults that can be put in."""

    def list_transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        state = State(**dict(zip(FIELDS, values, strict=True)))
        steps = [
            *_list_router_transitions(state, 1, mutation),
            *_list_router_transitions(state, 2, mutation),
        ]
        return [(label, dataclasses.astuple(after)) for label, after in steps]

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
    """Lists the steps of one router."""
    phase = Phase(getattr(state, f"phase_{router}"))
    sent = getattr(state, f"sent_{router}")

    def go(label: str, to: Phase, **changes: int) -> tuple[str, State]:
        fields = {f"phase_{router}": int(to), **changes}
        return f"{label}_{router}", dataclasses.replace(state, **fields)

    def send() -> dict[str, int]:
        return {f"sent_{router}": sent + 1}

    if phase is not Phase.DEAD:
        yield go("dies", Phase.DEAD)
    match phase:
        case Phase.IDLE | Phase.CLAIMING:
            yield from _list_claim_transitions(state, router, mutation, go, send)
        case Phase.ANSWER_LOST:
            if mutation is ClaimMutation.LOST_ANSWER_COUNTS_AS_GRANTED or state.owner == router:
                yield go("reads_claim_back", Phase.CLAIMED)
            # Giving up is always allowed: nothing was sent under this claim.
            owner = NO_OWNER if state.owner == router else state.owner
            yield go("gives_up", Phase.NOT_RUN, owner=owner)
        case Phase.CLAIMED:
            yield go("sends", Phase.SENT, **send())
            yield go("cannot_connect", Phase.NOT_RUN, owner=NO_OWNER)
        case Phase.SENT:
            yield go("is_answered", Phase.DONE, billed=1)
            yield go("meets_silence", Phase.UNKNOWN, billed=1)
            if mutation is ClaimMutation.SENT_AGAIN_AFTER_SILENCE:
                yield go("sends_again", Phase.SENT, **send())
            if mutation is ClaimMutation.RELEASED_AFTER_SENDING:
                yield go("gives_claim_back", Phase.NOT_RUN, owner=NO_OWNER)


def _list_claim_transitions(state, router, mutation, go, send) -> Iterator[tuple[str, State]]:
    """Lists the ways in which a claim can end."""
    if mutation is ClaimMutation.SENT_BEFORE_CLAIM:
        yield go("sends_early", Phase.SENT, **send())
    if state.billed:
        yield go("replays", Phase.DONE)
        return
    if state.owner == NO_OWNER:
        yield go("claims", Phase.CLAIMED, owner=router)
        yield go("claim_answer_lost", Phase.ANSWER_LOST, owner=router)
        yield go("claim_lost_before_write", Phase.ANSWER_LOST)
        return
    if state.owner == router:
        return
    other_phase = Phase(getattr(state, f"phase_{3 - router}"))
    if other_phase is Phase.NOT_RUN:
        # The claimer lives and proves that it sent nothing; its claim is released and taken.
        yield go("claims_after_proof", Phase.CLAIMED, owner=router)
    else:
        yield go("cannot_know", Phase.UNKNOWN)
    if mutation is ClaimMutation.TAKEOVER_BY_TIMEOUT:
        yield go("takes_over", Phase.CLAIMED, owner=router)
