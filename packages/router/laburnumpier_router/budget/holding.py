"""How many tokens of a budget one router wants to hold.

Load pattern: a budget that its workspace will use up, while now and then all routers are cut off
from the store for some seconds, and at some moment all of them are killed. Tokens held here pay
for requests during a cut; the same tokens are lost in a kill, as nobody can prove what was spent.
A fresh budget can spare them. One that is nearly used up cannot: what a cut refuses then is spent
after it, and what a kill strands is spent never. So the held share is full while more than half of
the budget is unspent, and falls with the square of what is unspent below that.
"""

import dataclasses

HALF = 0.5
"""Unspent share of a budget below which less is held. Above it a budget that lasts half a minute
outlives one more cut of 8 s, which takes a quarter of it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldingTerms:
    """What the deployment and the router's part in the fleet say of holding.

    Attributes:
        minimum_tokens: Least tokens worth a draw.
        horizon_seconds: How long held tokens should last at the measured demand.
        floor_share: Share of the purchased total to hold at least, for demand not met yet.
        held_share: Greatest share of what is unspent that all holders hold together.
        holders: Routers that hold tokens of the budget.
    """

    minimum_tokens: int
    horizon_seconds: float
    floor_share: float
    held_share: float
    holders: int


def compute_target_tokens(
    *, terms: HoldingTerms, tokens_per_second: float, purchased: int, unspent: int | None
) -> int:
    """Returns the tokens that one router wants to hold free.

    Args:
        terms: What applies to this router.
        tokens_per_second: Its measured demand.
        purchased: Purchased total of the budget.
        unspent: Tokens of the whole budget that are neither settled nor in doubt; None while the
            account was never read.
    """
    wanted = max(
        terms.minimum_tokens,
        int(tokens_per_second * terms.horizon_seconds),
        int(purchased * terms.floor_share),
    )
    if unspent is None:
        return wanted
    freshness = min(1.0, unspent / max(1.0, purchased * HALF)) ** 2
    return min(wanted, int(unspent * freshness * terms.held_share / terms.holders))
