"""What a process knows of one budget, and the settings of the budget aggregate."""

import asyncio
import dataclasses

from .account import GrantOpened, OpenGrant
from .allocation import Allocation
from .demand import DemandMeter
from .grant_pool import GrantPool
from .peers import AccountSeen

AMOUNT_WEIGHT = 0.1
"""Weight of the newest request in the typical cost, so that one very large request does not make
a budget look near its end."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcquisitionResult:
    """What one round of drawing and borrowing found.

    Attributes:
        at_seconds: Monotonic time of the round.
        configuration_number: Number of the configuration in force during the round.
        peers_answered: Whether every live peer answered.
        hoped: Tokens that are or may become free here, at peers or in the store.
        unspent: Most tokens that the whole budget can still pay, as the store knows it; None while
            the store does not answer.
        in_doubt: Tokens of closed grants that may or may not have been spent.
    """

    at_seconds: float
    configuration_number: int
    peers_answered: bool
    obtainable: int
    unspent: int | None
    in_doubt: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class BudgetState:
    """All that this process knows of one workspace's budget."""

    pool: GrantPool
    demand: DemandMeter
    draw_task: asyncio.Task[GrantOpened | None] | None = None
    pending_draw: OpenGrant | None = None
    next_sequence: int = 1
    last_refill_seconds: float = float("-inf")
    acquisition_task: asyncio.Task[AcquisitionResult] | None = None
    last_acquisition: AcquisitionResult | None = None
    average_request_tokens: float = 0.0
    nearly_exhausted: bool = False
    account: AccountSeen | None = None
    last_report_seconds: float = float("-inf")
    borrower_shortage: int = 0

    def record_request_amount(self, amount: int) -> None:
        """Takes in the greatest cost of a request."""
        weight = AMOUNT_WEIGHT if self.average_request_tokens else 1.0
        self.average_request_tokens += weight * (amount - self.average_request_tokens)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetSettings:
    """Settings of the budget aggregate; amounts in tokens, durations in seconds.

    Attributes:
        allocation: How tokens are brought to the routers.
        grant_minimum_tokens: Least tokens that a router wants to hold of a budget in use.
        grant_horizon_seconds: How long held tokens should last at the measured demand.
        grant_floor_share: Share of the purchased total that a router wants to hold at least, so
            that a store outage soon after the first request is survived.
        admission_wait_seconds: Longest wait of a request for tokens.
        bill_wait_seconds: Longest hold-up of an answer's end for its bill.
        refill_seconds: Shortest time between draws that no request waits for.
        held_share: Greatest share of what is unspent that all routers want to hold together.
        lend_from_routers: Fleet size from which one router draws for all and lends to them.
    """

    allocation: Allocation
    grant_minimum_tokens: int
    grant_horizon_seconds: float
    grant_floor_share: float
    admission_wait_seconds: float
    bill_wait_seconds: float
    refill_seconds: float = 10.0
    held_share: float = 1.0
    lend_from_routers: int = 20
