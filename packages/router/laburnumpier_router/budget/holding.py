"""Computes how many tokens of a budget one router should hold.

The computation assumes that a budget will be used up, that the store has outages of some seconds,
and that all routers are killed at some point. Held tokens pay for requests during an outage. The
same tokens are lost in a kill, because nothing proves which of them were spent. A budget that is
mostly unspent can afford that loss. For a nearly used up budget the loss outweighs the benefit:
requests refused during an outage can still spend their tokens after it, whereas tokens stranded by
a kill can never be spent. The held share is therefore full while more than half of the budget is
unspent, and below that it falls with the square of the unspent tokens.
"""

import dataclasses

FULL_HOLDING_UNSPENT_SHARE = 0.5
"""Unspent share of a budget below which the held share is reduced. Above it, a budget that lasts
30 s still outlasts another store outage of 8 s, which uses about a quarter of it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldingParameters:
    """Parameters of the target holding, from the settings and the router's role in the fleet.

    Attributes:
        minimum_tokens: Number of tokens below which a draw is not worthwhile.
        horizon_seconds: How long the held tokens should last at the measured demand.
        floor_share: Minimum target as a share of the purchased total, for demand that has not
            been measured yet.
        held_share: Maximum share of the unspent tokens that all holders hold together.
        holders: Number of routers that hold tokens of the budget.
    """

    minimum_tokens: int
    horizon_seconds: float
    floor_share: float
    held_share: float
    holders: int


def compute_target_tokens(
    *, parameters: HoldingParameters, tokens_per_second: float, purchased: int, unspent: int | None
) -> int:
    """Returns the number of free tokens that one router should hold.

    Args:
        parameters: Limits and shares that apply to this router.
        tokens_per_second: Measured demand of this router.
        purchased: Purchased total of the budget.
        unspent: Tokens of the whole budget that are neither settled nor in doubt; None if the
            account has not been read yet.
    """
    target = max(
        parameters.minimum_tokens,
        int(tokens_per_second * parameters.horizon_seconds),
        int(purchased * parameters.floor_share),
    )
    if unspent is None:
        return target
    scale = min(1.0, unspent / max(1.0, purchased * FULL_HOLDING_UNSPENT_SHARE)) ** 2
    return min(target, int(unspent * scale * parameters.held_share / parameters.holders))
