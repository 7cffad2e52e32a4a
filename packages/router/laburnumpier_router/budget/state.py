"""State that a process keeps for each budget, and the settings of the budget service."""

import asyncio
import dataclasses

from .account import GrantOpened, OpenGrant, RestateGrants
from .allocation import Allocation
from .demand import DemandMeter, SettledMeter
from .grant_pool import GrantPool
from .held_ahead import HeldAhead
from .peers import AccountSeen, TransferOffered
from .request_meter import RequestMeter

AVERAGE_REQUEST_WEIGHT = 0.1
"""Weight of the newest request in the moving average, low enough that one very large request does
not make a budget count as nearly exhausted."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcquisitionResult:
    """Result of one attempt to draw and borrow tokens for waiting requests.

    Attributes:
        at_seconds: Monotonic time at which the attempt started.
        configuration_number: Number of the configuration in force during the attempt.
        peers_answered: Whether every live peer answered.
        obtainable: Tokens that are or may become free here, at peers or in the store.
        unspent: Upper bound of the unspent tokens of the whole budget according to the store;
            None if the store did not answer.
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
    """State of one workspace's budget in this process.

    Attributes:
        pool: The held tokens.
        demand: Rate at which tokens are spent and requested by borrowers.
        fleet_demand: Rate at which all routers spend tokens.
        draw_task: The newest draw from the store.
        pending_draw: Draw whose result is unknown; it is submitted again before any other.
        next_sequence: Sequence number of the next draw.
        last_refill_seconds: Monotonic time of the last attempt to draw or borrow tokens.
        acquisition_task: The newest attempt to draw and borrow tokens.
        last_acquisition: Result of the last such attempt.
        average_request_tokens: Moving average of the amounts that requests reserve.
        nearly_exhausted: Whether the rest of the budget pays for only a few requests per router.
        account: Newest known balances of the account.
        account_seconds: Monotonic time at which they were received.
        last_report_seconds: Monotonic time at which spending was last reported to lenders.
        borrower_shortage: Tokens missing at borrowers that are waiting for a draw here.
        requests: What requests of callers and borrowers asked for in the last seconds.
        held_ahead: What borrowers hold, if this router lends.
        loans: Loans under way, newest last; several may run at once.
        requested_tokens: Shortage of waiting requests that loans under way were asked to cover.
        last_recall_seconds: Monotonic time at which borrowers were last asked for idle tokens.
        stated_era: Era of the store whose account contains all grants drawn here.
    """

    pool: GrantPool
    demand: DemandMeter
    fleet_demand: SettledMeter
    draw_task: asyncio.Task[GrantOpened | None] | None = None
    pending_draw: OpenGrant | None = None
    next_sequence: int = 1
    last_refill_seconds: float = float("-inf")
    acquisition_task: asyncio.Task[AcquisitionResult] | None = None
    last_acquisition: AcquisitionResult | None = None
    average_request_tokens: float = 0.0
    nearly_exhausted: bool = False
    account: AccountSeen | None = None
    account_seconds: float = float("-inf")
    last_report_seconds: float = float("-inf")
    borrower_shortage: int = 0
    requests: RequestMeter = dataclasses.field(default_factory=RequestMeter)
    held_ahead: HeldAhead = dataclasses.field(default_factory=HeldAhead)
    loans: list[asyncio.Task[TransferOffered | None]] = dataclasses.field(default_factory=list)
    requested_tokens: int = 0
    last_recall_seconds: float = float("-inf")
    stated_era: int = 0

    def confirm_statement(self, statement: RestateGrants) -> None:
        """Records that the account contains the grants of a statement."""
        self.stated_era = max(self.stated_era, statement.era)

    def record_request_amount(self, amount: int) -> None:
        """Updates the average with the maximum cost of a request."""
        weight = AVERAGE_REQUEST_WEIGHT if self.average_request_tokens else 1.0
        self.average_request_tokens += weight * (amount - self.average_request_tokens)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetSettings:
    """Settings of the budget service; amounts in tokens, durations in seconds.

    Attributes:
        allocation: Strategy for allocating tokens to routers.
        grant_minimum_tokens: Minimum number of tokens that a router should hold of a budget in
            use.
        grant_horizon_seconds: How long held tokens should last at the measured demand.
        grant_floor_share: Minimum share of the purchased total that a router should hold, so that
            it can serve requests during a store outage soon after the first request.
        admission_wait_seconds: Maximum time that a request waits for tokens.
        bill_wait_seconds: Maximum time that the end of a response is delayed until its bill is
            stored.
        refill_seconds: Minimum time between draws for which no request waits.
        held_share: Maximum share of the unspent tokens that all routers together should hold.
        lend_from_routers: Fleet size from which one router draws for all others and lends to them.
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
