"""Computes how many tokens of a budget one router should hold.

The computation assumes that a budget will be used up, that the store has outages of some seconds,
and that all routers are killed at some point. Held tokens pay for requests during an outage. The
same tokens are lost in a kill, because nothing proves which of them were spent. A budget that is
mostly unspent can afford that loss. For a nearly used up budget the loss outweighs the benefit:
requests refused during an outage can still spend their tokens after it, whereas tokens stranded by
a kill can never be spent, and small requests are refused for them until the next top-up.

All routers together therefore hold a share of what the store can still grant, which is full while
that is a large part of the budget and falls steeply below. What the store can still grant is known
exactly, whereas the unspent total includes the spending that routers have not reported yet, and
after an outage that is a large part of the budget.

One half of the total is divided by demand. Tokens held where no callers arrive are of no use
during an outage in which the routers do not reach each other.
"""

import dataclasses

FULL_HOLDING_DRAWABLE_SHARE = 0.35
"""Drawable share of a budget below which the held share is reduced."""
REDUCTION_EXPONENT = 4
EVENLY_HELD_SHARE = 0.5
"""Share of the holding of all routers that is divided evenly, for callers that come to another
router than before and for demand that has not been measured yet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldingParameters:
    """Parameters of the target holding, from the settings and the router's role in the fleet.

    Attributes:
        minimum_tokens: Number of tokens below which a draw is not worthwhile.
        horizon_seconds: How long the held tokens should last at the measured demand.
        floor_share: Minimum target as a share of the purchased total, for demand that has not
            been measured yet.
        held_share: Maximum share of the drawable tokens that all holders hold together.
        holders: Number of routers that hold tokens of the budget.
    """

    minimum_tokens: int
    horizon_seconds: float
    floor_share: float
    held_share: float
    holders: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MeasuredDemand:
    """Tokens of a budget spent per second, by this router and by the whole fleet."""

    own: float
    fleet: float


def compute_target_tokens(
    *,
    parameters: HoldingParameters,
    demand: MeasuredDemand,
    purchased: int,
    drawable: int | None,
) -> int:
    """Returns the number of free tokens that one router should hold.

    Args:
        parameters: Limits and shares that apply to this router.
        demand: Measured demand.
        purchased: Purchased total of the budget.
        drawable: Tokens that the store can still grant and those that are free at this router;
            None if the account has not been read yet.
    """
    target = max(
        parameters.minimum_tokens,
        int(demand.own * parameters.horizon_seconds),
        int(purchased * parameters.floor_share),
    )
    if drawable is None:
        return target
    fleet_tokens = drawable * parameters.held_share * compute_fullness(drawable, purchased)
    return min(target, int(fleet_tokens * _compute_part(parameters, demand)))


def compute_fullness(drawable: int, purchased: int) -> float:
    """Returns the factor, 0 to 1, by which held shares are reduced as a budget drains."""
    fullness = drawable / max(1.0, purchased * FULL_HOLDING_DRAWABLE_SHARE)
    return min(1.0, fullness) ** REDUCTION_EXPONENT


def _compute_part(parameters: HoldingParameters, demand: MeasuredDemand) -> float:
    """Returns the part of the holding of all routers that this router should have."""
    even_part = 1 / parameters.holders
    fleet_demand = max(demand.own, demand.fleet)
    if parameters.holders == 1 or not fleet_demand:
        return even_part
    measured_part = demand.own / fleet_demand
    return EVENLY_HELD_SHARE * even_part + (1 - EVENLY_HELD_SHARE) * measured_part
