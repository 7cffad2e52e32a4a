"""Admits requests against prepaid budgets and settles the tokens they used.

Admission reserves the maximum cost of a request from tokens that this process already holds, which
needs no message. Only when these run short does it ask the store and the peers, and only when
neither can supply the tokens is the request refused. The refusal's result code distinguishes a
budget known to be exhausted from one whose tokens cannot be reached now.
"""

import asyncio
import contextlib
import random

import msgspec
from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.store_era import StoreEra
from .account import (
    GrantOpened,
    OpenGrant,
)
from .account_reports import AccountReports
from .allocation import DemandGrants, EqualSplit, WritePerRequest
from .bill_outbox import BillOutbox
from .borrowing import LoanBook
from .demand import DemandMeter, SettledMeter
from .grant_pool import GrantPool, Reservation
from .held_ahead import (
    HELD_AHEAD_SHARE,
    Balance,
    compute_ahead_tokens,
    compute_even_tokens,
)
from .holding import EVENLY_HELD_SHARE, HoldingParameters, MeasuredDemand, compute_target_tokens
from .lending import TokenLending
from .peers import (
    AccountSeen,
    Acknowledged,
    BudgetConfiguration,
    BudgetFleet,
    CollectHoldings,
    ConfiguredBudget,
    GiveTokens,
    HoldingsCollected,
    RequestTransfer,
    TellSpending,
    TransferOffered,
)
from .refusal import build_refusal, is_in_doubt
from .slot import Bill
from .state import AcquisitionResult, BudgetSettings, BudgetState
from .statements import GrantStatements
from .submitter import ChangeSubmitter

DEMAND_WINDOW_SECONDS = 30.0
IDLE_CHECK_INTERVAL_SECONDS = 10.0
IDLE_TIMEOUT_SECONDS = 60.0
ACQUISITION_RETRY_SECONDS = 0.2
REFILL_THRESHOLD_SHARE = 0.75
"""A draw starts when less than this share of the target holding is free, so that most of it is
held when an outage begins just before the draw."""
ACCOUNT_REFRESH_SECONDS = 4.0
"""Age of the known account balances after which a process that holds enough draws again. The
result shows what other routers have spent; held tokens above the new target are returned."""
LENDER_REFILL_INTERVAL_SECONDS = 0.25
"""Minimum time between background draws of a lender."""
LENDER_FLOOR_SHARE = 0.15
"""Minimum share of the purchased total that a lender holds, for demand that it has not measured
yet. It covers an outage of 8 s in the first minute of a budget that lasts one minute."""
LENDER_HELD_SHARE = 0.2
"""Maximum share of the drawable tokens that a lender holds. Borrowers hold as much, so that all
together hold 0.4. It is below the setting, since the lender's part is stranded if it alone is
killed, and is of no use to others while the routers are cut off from each other."""
LENDER_DRAW_SECONDS = 2.0
"""Time for which a lender's tokens should last however little is drawable. The home of a shard
writes every 0.6 s in a fleet of 32 routers or more, a draw may wait for the one before it, and its
copies take a call between routers. With 1 s the lender had too little at the end of each draw."""
AHEAD_LOAN_DIVISOR = 4
"""A loan beyond the shortage of waiting requests is at most the lender's other free tokens divided
by this, so that one loan never leaves nothing for the requests of other routers."""
LENDER_DRAINING_SHARE = 0.2
"""Maximum share of the drawable tokens that a lender holds for `LENDER_DRAW_SECONDS`, while its
target is lower. With a tenth of a budget drawable it is 2% of it, which a kill of the lender
strands; 97 in 100 have to stay usable."""
BORROWER_HORIZON_SECONDS = 1.0
"""Time for which a borrower's tokens should last at its measured demand. It is short, as tokens
held unused cannot be lent to others, and the lender answers in milliseconds, also during a store
outage."""
RECALL_INTERVAL_SECONDS = 0.25
"""Minimum time between recalls of a budget's idle tokens; tokens recalled before are back then."""
MAX_RECALLED_BORROWERS = 8
"""Borrowers that are asked for idle tokens at once, those that hold the most first."""
BORROWER_REFILL_INTERVAL_SECONDS = 0.1
"""Minimum time between loans that no request waits for; a loan takes 20 to 55 ms."""
RELEASE_INTERVAL_SECONDS = 1.0
"""Interval at which a stopping router returns tokens that its requests have freed."""
SPENDING_REPORT_INTERVAL_SECONDS = 4.0
"""Minimum time between reports of a budget's spending."""
EXCESS_FACTOR = 1.2
"""Ratio of free tokens to the target holding above which the excess is returned. With a ratio
close to 1 each settled request would cause a write."""
MAX_PREFETCHED_WORKSPACES = 200
"""Tokens are drawn before the first request only if at most this many workspaces have a budget."""
DRAW_WAIT_SHARE = 0.4
"""Share of a request's wait for tokens that is spent on the store. The rest is for peers, which
answer within milliseconds."""
BORROWER_DRAW_TIMEOUT_SECONDS = 0.3
"""Time limit of a lender's draw for a borrower, whose call times out after 0.5 s."""
MIN_WAIT_SECONDS = 0.001
IN_TRANSIT_WAIT_SECONDS = 2.0
"""Longest wait for tokens that no router reports, as they may be in transit."""
NEARLY_EXHAUSTED_REQUESTS_PER_ROUTER = 2
RESULT_REUSE_SECONDS = 0.5
"""Age up to which the result of an acquisition is used again."""

_log = get_part_logger("budget")


class BudgetService:
    """Reserves, settles and returns tokens of all workspaces served by this process."""

    __slots__ = (
        "_background",
        "_bills",
        "_clock",
        "_configuration",
        "_era",
        "_fleet",
        "_is_stopping",
        "_lending",
        "_loans",
        "_metrics",
        "_random",
        "_reports",
        "_settings",
        "_statements",
        "_states",
        "_submitter",
    )

    def __init__(
        self,
        *,
        submitter: ChangeSubmitter,
        era: StoreEra,
        fleet: BudgetFleet,
        configuration: BudgetConfiguration,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        settings: BudgetSettings,
    ):
        """Creates a service that holds no tokens yet.

        Args:
            submitter: Submits changes to the store.
            era: Era of the store.
            fleet: Other routers.
            configuration: Provides the purchased totals.
            clock: Source of monotonic time.
            metrics: Counters.
            random_source: Jitter of the periodic work.
            settings: Settings of the budgets.
        """
        self._submitter = submitter
        self._era = era
        self._fleet = fleet
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._settings = settings
        self._is_stopping = False
        self._states: dict[str, BudgetState] = {}
        self._statements = GrantStatements(
            states=self._states, submitter=submitter, era=era, self_name=fleet.self_name
        )
        self._reports = AccountReports(
            statements=self._statements, self_name=fleet.self_name, metrics=metrics
        )
        self._lending = TokenLending(states=self._states, fleet=fleet, metrics=metrics)
        self._loans = LoanBook(lending=self._lending, fleet=fleet, clock=clock, metrics=metrics)
        self._background = BackgroundTasks(part="budget", metrics=metrics)
        self._bills = BillOutbox(
            submitter=submitter,
            fleet=fleet,
            clock=clock,
            metrics=metrics,
            random_source=random_source,
            on_recorded=self._apply_recorded_bill,
        )

    @property
    def bills(self) -> BillOutbox:
        """Outbox of bills that are not known to be durable."""
        return self._bills

    @property
    def statements(self) -> GrantStatements:
        """What this process states of its grants when a new era of the store begins."""
        return self._statements

    @property
    def states(self) -> dict[str, BudgetState]:
        """Budgets known to this process, by workspace."""
        return self._states

    @property
    def held_tokens(self) -> int:
        """Tokens of all budgets that are free or reserved at this process."""
        return sum(state.pool.free + state.pool.reserved for state in self._states.values())

    async def reserve(self, workspace: str, amount: int, deadline_seconds: float) -> Reservation:
        """Reserves the maximum cost of a request.

        Args:
            workspace: The workspace that pays.
            amount: Tokens to reserve.
            deadline_seconds: Monotonic time of the request's deadline.

        Returns:
            The reservation, to be passed to `settle`, `settle_unbilled` or `release` exactly once.

        Raises:
            RequestError: If the budget is exhausted, or its tokens cannot be reached in time.
        """
        state = self._get_state(workspace)
        state.record_request_amount(amount)
        state.requests.record(amount, self._clock.monotonic_seconds())
        per_request = isinstance(self._settings.allocation, WritePerRequest)
        reservation = None if per_request else state.pool.reserve(amount)
        if reservation is None:
            reservation = await self._acquire_and_reserve(
                workspace, state, amount, deadline_seconds
            )
        self._start_loans_for_waiting(workspace, state)
        self._start_refill_if_low(workspace, state)
        return reservation

    def _start_loans_for_waiting(self, workspace: str, state: BudgetState) -> None:
        """Borrows what waiting requests lack since a smaller request took free tokens."""
        lender = self._find_lender(workspace) if state.pool.waiting_tokens else None
        if lender is not None:
            target = self._compute_target_tokens(workspace, state)
            self._loans.start_for_waiting(lender, workspace, state, target)

    def has_free_tokens(self, workspace: str, amount: int) -> bool:
        """Returns whether an amount can be reserved without asking the store or a peer."""
        return self._get_state(workspace).pool.free >= amount

    def release(self, reservation: Reservation) -> None:
        """Releases the reservation of a request that used no tokens."""
        state = self._get_state(reservation.workspace)
        state.pool.release(reservation)
        self._return_if_nearly_exhausted(reservation.workspace, state)

    async def settle(self, reservation: Reservation, bill: Bill) -> Bill | None:
        """Bills the actual usage of a request and frees the rest of its reservation.

        Args:
            reservation: The reservation of the request.
            bill: The bill. Its charges are filled in, and its tokens are capped at the reserved
                amount.

        Returns:
            The bill recorded in the store; None if the store did not answer within the configured
            wait, in which case the bill stays in the outbox and is retried.
        """
        state = self._get_state(reservation.workspace)
        if bill.tokens > reservation.amount:
            self._metrics.count("budget.usage_over_reservation")
        charges = state.pool.settle(reservation, bill.tokens)
        tokens = sum(charge.tokens for charge in charges)
        state.demand.record(tokens, self._clock.monotonic_seconds())
        self._return_if_nearly_exhausted(reservation.workspace, state)
        charged_bill = msgspec.structs.replace(bill, tokens=tokens, charges=charges)
        if isinstance(self._settings.allocation, WritePerRequest):
            self.return_free_tokens(reservation.workspace)
        return await self._bills.record(charged_bill, self._settings.bill_wait_seconds)

    def settle_unbilled(self, reservation: Reservation, used: int) -> int:
        """Charges the usage of a request that cannot be retried under the same id.

        No bill is recorded for the request. Its spending is reported as part of running totals,
        together with the next draw or return.

        Args:
            reservation: The reservation of the request.
            used: Tokens that the request used; at most the reserved amount is charged.

        Returns:
            The tokens charged.
        """
        state = self._get_state(reservation.workspace)
        if used > reservation.amount:
            self._metrics.count("budget.usage_over_reservation")
        charged = state.pool.spend(reservation, used)
        state.demand.record(charged, self._clock.monotonic_seconds())
        self._return_if_nearly_exhausted(reservation.workspace, state)
        return charged

    async def lend(self, message: RequestTransfer) -> TransferOffered:
        """Answers a peer's request for tokens; see `TokenLending.lend`.

        If the message asks this router to draw, it first draws what the peer's waiting requests
        lack.
        """
        workspace = message.workspace
        if message.tokens and message.draw:
            state = self._get_state(workspace)
            message = self._limit_loan_request(message, state)
            # Tokens requested by borrowers are demand that the next draw has to cover.
            now = self._clock.monotonic_seconds()
            state.demand.record(message.tokens, now)
            state.requests.record(message.tokens, now)
            await self._draw_for_borrower(workspace, state, message.shortage)
            self._start_refill_if_low(workspace, state)
            self._start_recall_if_short(workspace, state, message)
        offer = self._lending.lend(message)
        lent_tokens = sum(part.tokens for part in offer.parts)
        self._get_state(workspace).held_ahead.record_loan(
            message.borrower, lent_tokens - message.shortage
        )
        return offer

    def _limit_loan_request(self, message: RequestTransfer, state: BudgetState) -> RequestTransfer:
        """Limits a loan to the borrower's shortage and what it may hold ahead of requests."""
        now = self._clock.monotonic_seconds()
        ahead = state.held_ahead
        ahead.keep_only({*self._fleet.list_peers(), message.borrower})
        rate = message.tokens_per_second
        if not ahead.record_report(message.borrower, message.free, rate, now):
            self._metrics.count("budget.invalid_reports")
            fields = {"borrower": message.borrower, "free": message.free, "rate": rate}
            _log.warning("borrower reports impossible figures", fields=fields)
        balance = self._get_balance(message.workspace, state)
        room = ahead.compute_room(message.borrower, balance, now)
        self._metrics.set_gauge("budget.held_ahead", self._count_held_ahead())
        spare = max(0, state.pool.free - message.shortage)
        limit = message.shortage + min(room, spare // AHEAD_LOAN_DIVISOR)
        return msgspec.structs.replace(message, tokens=min(message.tokens, limit))

    def _count_held_ahead(self) -> int:
        return sum(state.held_ahead.total_tokens for state in self._states.values())

    def _get_balance(self, workspace: str, state: BudgetState) -> Balance:
        """Returns what limits the tokens that borrowers of a budget hold."""
        account = state.account
        drawable = account.available + state.pool.free if account else None
        return Balance(
            purchased=self._find_budget(workspace).purchased,
            drawable=drawable,
            held_share=min(self._settings.held_share / 2, HELD_AHEAD_SHARE),
            routers=1 + len(self._fleet.list_peers()),
            minimum_tokens=self._settings.grant_minimum_tokens,
        )

    def _start_recall_if_short(
        self, workspace: str, state: BudgetState, message: RequestTransfer
    ) -> None:
        """Asks the borrowers that hold the most for idle tokens if a shortage is not covered."""
        lacking = message.shortage - state.pool.free
        now = self._clock.monotonic_seconds()
        is_too_early = now - state.last_recall_seconds < RECALL_INTERVAL_SECONDS
        holders = state.held_ahead.list_holders(message.borrower, MAX_RECALLED_BORROWERS)
        if lacking <= 0 or is_too_early or not holders:
            return
        state.last_recall_seconds = now
        for name in holders:
            state.held_ahead.clear_holder(name)
        self._metrics.count("budget.recalls")
        fields = {"workspace": workspace, "lacking": lacking, "borrowers": len(holders)}
        _log.info("asked borrowers for idle tokens", fields=fields)
        self._background.start(self._lending.recall_idle_tokens(workspace, holders, lacking))

    async def _draw_for_borrower(self, workspace: str, state: BudgetState, shortage: int) -> None:
        """Draws what a borrower's waiting requests lack, along with other borrowers' shortages."""
        budget = self._configuration.find_configured_budget(workspace)
        if budget is None or state.pool.lendable >= shortage or self._was_recently_empty(state):
            return
        timeout_seconds = 0.0 if self._submitter.failed_recently else BORROWER_DRAW_TIMEOUT_SECONDS
        state.borrower_shortage += shortage
        try:
            await self._draw_with_timeout(workspace, state, budget, timeout_seconds)
        finally:
            state.borrower_shortage -= shortage

    def _was_recently_empty(self, state: BudgetState) -> bool:
        """Whether a recent answer of the store showed no tokens left to grant."""
        age_seconds = self._clock.monotonic_seconds() - state.last_refill_seconds
        is_empty = state.account is not None and state.account.available == 0
        return is_empty and age_seconds < RESULT_REUSE_SECONDS

    def record_borrower_spending(self, message: TellSpending) -> Acknowledged:
        """Records what a borrower spent of tokens lent by this router; returns an empty reply."""
        self._lending.record_borrower_spending(self._get_state(message.workspace), message)
        return Acknowledged()

    def accept_tokens(self, message: GiveTokens) -> Acknowledged:
        """Credits tokens given by a peer, once for each transfer id; returns an empty reply."""
        state = self._get_state(message.workspace)
        self._lending.accept_tokens(state, message)
        self._return_if_nearly_exhausted(message.workspace, state)
        return Acknowledged()

    def collect_holdings(self, message: CollectHoldings) -> HoldingsCollected:
        """Refuses further credit of a dead process's grants and returns what is held of them.

        Args:
            message: Names the dead process.

        Returns:
            Tokens held by this process, by grant id, and copies of the dead process's bills.
        """
        held = self._lending.fence_holder(message.dead)
        return HoldingsCollected(held=held, bills=self._bills.list_copies_for(message.dead))

    def return_free_tokens(self, workspace: str) -> None:
        """Starts to return all free tokens of a workspace, as after its budget was lowered."""
        state = self._states.get(workspace)
        if state is not None and state.pool.free:
            self._background.start(self._return_tokens(workspace, state, keep=0))

    def begin_stop(self) -> None:
        """Starts to return free tokens; from now on none are held beyond reservations.

        Tokens still held at the end of the stop's grace period are lost if the store is slow then.
        """
        self._is_stopping = True
        self._background.start(self._release_unused_tokens_periodically())

    async def _release_unused_tokens_periodically(self) -> None:
        while True:
            await self._release_unused_tokens()
            await asyncio.sleep(RELEASE_INTERVAL_SECONDS)

    async def _release_unused_tokens(self) -> None:
        """Returns free tokens to a store that answers; until it does, they pay for requests."""
        unreleased = [
            (workspace, state)
            for workspace, state in self._states.items()
            if state.pool.free or state.pool.list_unreported_spending()
        ]
        if not unreleased or not await self._submitter.can_reach_store():
            return
        returns = (self._return_tokens(*entry, keep=0) for entry in unreleased)
        await asyncio.gather(*returns)

    async def refill_periodically(self) -> None:
        """Draws tokens of all budgets that run low, at a jittered interval; runs until cancelled.

        With a floor share configured, tokens of the configured budgets are drawn before their
        first request. Excess tokens are returned and spending is reported at the same interval.
        """
        while True:
            await asyncio.sleep(self._settings.refill_seconds * self._random.uniform(0.8, 1.2))
            if self._settings.grant_floor_share > 0:
                for workspace in self._configuration.list_budgets(MAX_PREFETCHED_WORKSPACES):
                    self._get_state(workspace)
            for workspace, state in list(self._states.items()):
                self._start_refill_if_low(workspace, state, ACCOUNT_REFRESH_SECONDS)
                self._start_return_of_excess(workspace, state)
                self._start_spending_report_if_due(workspace, state)

    def _start_spending_report_if_due(self, workspace: str, state: BudgetState) -> None:
        """Starts a spending report if one is due, to keep the account's settled total current."""
        now = self._clock.monotonic_seconds()
        is_due = now - state.last_report_seconds >= SPENDING_REPORT_INTERVAL_SECONDS
        if not is_due or not state.pool.list_unreported_spending():
            return
        state.last_report_seconds = now
        self._background.start(self._lending.report_spending_to_lenders(workspace, state))
        # A borrower makes no draws that could carry the spending reports of its own grants.
        if self._find_lender(workspace) is not None:
            self._background.start(self._return_tokens(workspace, state, state.pool.free))

    def _start_return_of_excess(self, workspace: str, state: BudgetState) -> None:
        """Starts to return free tokens that exceed the target holding by `EXCESS_FACTOR`.

        The excess comes from draws for reservations that were not used up. It would be in doubt if
        this process died.
        """
        if self._is_stopping:
            return
        threshold = EXCESS_FACTOR * self._compute_target_tokens(workspace, state)
        is_borrower = self._find_lender(workspace) is not None
        # Returns to a lender need no store.
        is_store_needed = not is_borrower and not self._submitter.succeeded_recently
        is_blocked = state.pool.waiting_tokens or is_store_needed
        if self._settings.grant_floor_share > 0 and state.pool.free > threshold and not is_blocked:
            keep = self._compute_target_tokens(workspace, state)
            if is_borrower:
                self._lending.return_borrowed_tokens(workspace, state, keep)
                return
            self._background.start(self._return_tokens(workspace, state, keep=keep))

    async def return_idle_tokens_periodically(self) -> None:
        """Returns idle tokens at a jittered interval; runs until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))
            now = self._clock.monotonic_seconds()
            for workspace, state in list(self._states.items()):
                state.pool.drop_finished()
                keep = self._compute_tokens_to_keep(workspace, state, now)
                if keep is not None and await self._submitter.can_reach_store():
                    await self._return_tokens(workspace, state, keep=keep)

    def _compute_tokens_to_keep(
        self, workspace: str, state: BudgetState, now_seconds: float
    ) -> int | None:
        """Returns how many free tokens to keep, or None if there is nothing to return.

        Tokens being returned to a store that does not answer are unusable by every router, so the
        caller must check first that the store is reachable.
        """
        if isinstance(self._settings.allocation, EqualSplit):
            return None
        idle_seconds = now_seconds - state.demand.last_use_seconds
        keep = 4 * self._compute_target_tokens(workspace, state)
        if self._find_lender(workspace) is not None:
            # A borrower returns its excess to the lender, which costs no write of the account.
            keep = state.pool.free
        elif idle_seconds > IDLE_TIMEOUT_SECONDS:
            keep = 0
        has_unconfirmed_returns = any(
            grant.returned_total > grant.confirmed_returned_total
            for grant in state.pool.grants.values()
        )
        return keep if state.pool.free > keep or has_unconfirmed_returns else None

    async def drain(self) -> None:
        """Hands off all free tokens and pending bills; called before the process stops.

        The tokens are returned to their accounts if the store is reachable, and otherwise given to
        a peer, which can spend them immediately.
        """
        await asyncio.gather(self._hand_off_bills(), self._hand_off_tokens())

    async def _hand_off_bills(self) -> None:
        await self._bills.flush()
        await self._bills.send_copies_of_owned_bills()

    async def _hand_off_tokens(self) -> None:
        if not self._states:
            return
        # A store that is known not to answer is not waited for again.
        is_reachable = self._submitter.store_reachability.is_reachable
        store_reachable = is_reachable and await self._submitter.can_reach_store()
        await asyncio.gather(
            *(
                self._drain_workspace(workspace, state, to_store=store_reachable)
                for workspace, state in list(self._states.items())
            )
        )

    async def _drain_workspace(
        self, workspace: str, state: BudgetState, *, to_store: bool
    ) -> None:
        if to_store:
            hand_off = self._return_tokens(workspace, state, keep=0)
        else:
            hand_off = self._lending.give_free_tokens_to_nearest_peer(workspace, state)
        # A lender that does not answer must not delay the hand-off.
        report = self._lending.report_spending_to_lenders(workspace, state)
        await asyncio.gather(hand_off, report)

    async def close(self) -> None:
        """Stops background work."""
        await self._background.cancel_all()
        await self._loans.close()
        await self._lending.close()

    def _get_state(self, workspace: str) -> BudgetState:
        if workspace not in self._states:
            now = self._clock.monotonic_seconds()
            self._states[workspace] = BudgetState(
                pool=GrantPool(workspace=workspace),
                demand=DemandMeter(window_seconds=DEMAND_WINDOW_SECONDS, now_seconds=now),
                fleet_demand=SettledMeter(window_seconds=DEMAND_WINDOW_SECONDS, now_seconds=now),
                stated_era=self._era.current,
            )
        return self._states[workspace]

    def _compute_target_tokens(self, workspace: str, state: BudgetState) -> int:
        """Returns the target holding of this process: the free tokens that it should hold."""
        if self._is_stopping:
            return 0
        budget = self._configuration.find_configured_budget(workspace)
        now = self._clock.monotonic_seconds()
        if self._find_lender(workspace) is not None:
            return self._compute_borrower_target(workspace, state, now)
        demand = MeasuredDemand(
            own=max(
                state.demand.get_tokens_per_second(now), state.requests.get_tokens_per_second(now)
            )
            if self._is_lender_of(workspace)
            else state.demand.get_tokens_per_second(now),
            fleet=state.fleet_demand.get_tokens_per_second(now),
        )
        target = compute_target_tokens(
            parameters=self._get_holding_parameters(workspace),
            demand=demand,
            purchased=budget.purchased if budget else 0,
            drawable=state.account.available + state.pool.free if state.account else None,
        )
        if not self._is_lender_of(workspace):
            return target
        balance = self._get_balance(workspace, state)
        not_lent = EVENLY_HELD_SHARE * compute_ahead_tokens(balance)
        not_lent = max(0, int(not_lent) - state.held_ahead.total_tokens)
        minimum = self._compute_lender_minimum(state, demand.own)
        return max(target + not_lent, minimum)

    def _compute_lender_minimum(self, state: BudgetState, tokens_per_second: float) -> int:
        """Returns what a lender needs until its next draw, however little is drawable."""
        if not state.account or state.nearly_exhausted:
            return 0
        drawable = state.account.available + state.pool.free
        return int(min(tokens_per_second * LENDER_DRAW_SECONDS, drawable * LENDER_DRAINING_SHARE))

    def _compute_borrower_target(
        self, workspace: str, state: BudgetState, now_seconds: float
    ) -> int:
        """Returns what a borrower should hold; the lender limits what it lends of it.

        Demand moves within a second, so the target is what the last second's requests asked for,
        and at least the largest recent request and the even part, for demand not measured yet.
        """
        balance = self._get_balance(workspace, state)
        rate = state.requests.get_tokens_per_second(now_seconds)
        wanted = max(
            compute_even_tokens(balance),
            int(rate * BORROWER_HORIZON_SECONDS) + state.requests.get_largest_tokens(now_seconds),
        )
        return min(wanted, compute_ahead_tokens(balance))

    def _get_holding_parameters(self, workspace: str) -> HoldingParameters:
        """Returns the parameters for a lender, a borrower or a router that draws for itself."""
        settings = self._settings
        horizon_seconds, floor_share = settings.grant_horizon_seconds, settings.grant_floor_share
        held_share, holders = settings.held_share, 1 + len(self._fleet.list_peers())
        if self._is_lender_of(workspace):
            floor_share, holders = LENDER_FLOOR_SHARE, 1
            held_share = min(held_share / 2, LENDER_HELD_SHARE)
        return HoldingParameters(
            minimum_tokens=settings.grant_minimum_tokens,
            horizon_seconds=horizon_seconds,
            floor_share=floor_share,
            held_share=held_share,
            holders=holders,
        )

    async def _acquire_and_reserve(
        self, workspace: str, state: BudgetState, amount: int, deadline_seconds: float
    ) -> Reservation:
        """Draws, borrows and waits for settlements until the amount can be reserved.

        Raises:
            RequestError: If the budget is exhausted, or the wait is over.
        """
        pool = state.pool
        started = self._clock.monotonic_seconds()
        wait_until = min(deadline_seconds, started + self._settings.admission_wait_seconds)
        pool.add_waiter(amount)
        try:
            while True:
                result = await self._acquire_with_timeout(workspace, state, amount, wait_until)
                reservation = pool.reserve(amount)
                if reservation is not None:
                    return reservation
                now = self._clock.monotonic_seconds()
                # Tokens in transit between processes are reported by none of them for a moment.
                give_up_at = wait_until
                if result.obtainable < amount:
                    give_up_at = min(wait_until, started + IN_TRANSIT_WAIT_SECONDS)
                is_exhausted = result.unspent is not None and result.unspent < amount
                # A remaining wait below the minimum counts as expired.
                if is_exhausted or give_up_at - now < MIN_WAIT_SECONDS:
                    raise self._refuse(state, result, amount)
                await pool.wait_for_change(min(ACQUISITION_RETRY_SECONDS, give_up_at - now))
                reservation = pool.reserve(amount)
                if reservation is not None:
                    return reservation
        finally:
            pool.remove_waiter(amount)
            # Tokens acquired for a request that was refused must not stay at this router.
            self._return_if_nearly_exhausted(workspace, state)

    async def _acquire_with_timeout(
        self, workspace: str, state: BudgetState, amount: int, until_seconds: float
    ) -> AcquisitionResult:
        """Acquires tokens; a store and peers that do not answer in time count as unreachable."""
        remaining_seconds = max(0.0, until_seconds - self._clock.monotonic_seconds())
        try:
            async with asyncio.timeout(remaining_seconds + MIN_WAIT_SECONDS):
                return await self._acquire(workspace, state, amount)
        except TimeoutError:
            return AcquisitionResult(
                at_seconds=self._clock.monotonic_seconds(),
                configuration_number=0,
                peers_answered=False,
                obtainable=0,
                unspent=None,
            )

    def _refuse(self, state: BudgetState, result: AcquisitionResult, amount: int) -> RequestError:
        """Returns the error that refuses a request, and counts it."""
        refusal = build_refusal(state, result, amount, self._clock.monotonic_seconds())
        name = "in_doubt" if is_in_doubt(result, amount) else refusal.code.name.lower()
        self._metrics.count(f"budget.refused_{name.removeprefix('budget_')}")
        return refusal

    async def _acquire(self, workspace: str, state: BudgetState, amount: int) -> AcquisitionResult:
        """Joins the acquisition in progress, or starts one.

        A recent result that shows too few unspent tokens is used again: the unspent total can only
        decrease until the configuration changes.
        """
        last_result = state.last_acquisition
        if last_result is not None and self._is_current(last_result, workspace):
            is_exhausted = last_result.unspent is not None and last_result.unspent < amount
            if is_exhausted:
                return last_result
        lender = self._find_lender(workspace)
        if lender is not None:
            result = await self._borrow(lender, workspace, state)
            if result is not None:
                state.last_acquisition = result
                return result
        if state.acquisition_task is None or state.acquisition_task.done():
            state.acquisition_task = self._background.start(
                self._run_acquisition(workspace, state)
            )
        state.last_acquisition = await asyncio.shield(state.acquisition_task)
        return state.last_acquisition

    async def _borrow(
        self, lender: str, workspace: str, state: BudgetState
    ) -> AcquisitionResult | None:
        """Borrows until the first loan ends or tokens are freed here.

        Returns:
            What can be obtained according to the lender; None if it did not reply.
        """
        started = self._clock.monotonic_seconds()
        target = self._compute_target_tokens(workspace, state)
        self._loans.start_for_waiting(lender, workspace, state, target)
        has_loans = bool(state.loans)
        offer = await self._loans.wait_for_change(state) if has_loans else None
        budget = self._find_budget(workspace)
        if offer is not None:
            return self._build_result_from_offer(offer, budget, state, started)
        if not has_loans or state.pool.has_change:
            return AcquisitionResult(
                at_seconds=started,
                configuration_number=budget.configuration_number,
                peers_answered=False,
                obtainable=state.pool.free + state.requested_tokens,
                unspent=None,
            )
        return None

    def _find_budget(self, workspace: str) -> ConfiguredBudget:
        """Returns the configured budget; one of no tokens if the workspace has none."""
        budget = self._configuration.find_configured_budget(workspace)
        return budget or ConfiguredBudget(purchased=0, configuration_number=0)

    def _is_current(self, result: AcquisitionResult, workspace: str) -> bool:
        """Whether a result is recent and from the configuration in force."""
        budget = self._configuration.find_configured_budget(workspace)
        number = budget.configuration_number if budget else 0
        age_seconds = self._clock.monotonic_seconds() - result.at_seconds
        return number == result.configuration_number and age_seconds < RESULT_REUSE_SECONDS

    async def _run_acquisition(self, workspace: str, state: BudgetState) -> AcquisitionResult:
        """Draws from the store; a router of a small fleet borrows from peers as well."""
        budget = self._find_budget(workspace)
        started = self._clock.monotonic_seconds()
        pool = state.pool
        opened = await self._draw_with_timeout(
            workspace, state, budget, self._get_draw_wait_seconds()
        )
        available = opened.available if opened else 0
        shortage = state.pool.shortage
        peers_answered, held_by_peers = True, 0
        is_small_fleet = self._find_lender(workspace) is None
        if shortage and is_small_fleet and isinstance(self._settings.allocation, DemandGrants):
            peers_answered, held_by_peers = await self._lending.borrow_from_peers(
                workspace, state, shortage
            )
        return AcquisitionResult(
            at_seconds=started,
            configuration_number=budget.configuration_number,
            peers_answered=peers_answered,
            obtainable=pool.free + pool.coming + available + held_by_peers,
            unspent=opened.unspent - pool.unsettled if opened else None,
            in_doubt=opened.in_doubt if opened else 0,
        )

    def _build_result_from_offer(
        self, offer: TransferOffered, budget: ConfiguredBudget, state: BudgetState, started: float
    ) -> AcquisitionResult:
        """Returns the result of a loan; no other peer is asked, as the lender draws for all."""
        account = offer.account
        if account is not None and account.configuration_number < budget.configuration_number:
            # A later configuration may have raised the unspent total by a top-up.
            account = None
        return AcquisitionResult(
            at_seconds=started,
            configuration_number=budget.configuration_number,
            peers_answered=True,
            obtainable=state.pool.free + offer.free + offer.coming,
            unspent=account.unspent if account else None,
            in_doubt=account.in_doubt if account else 0,
        )

    def _get_draw_wait_seconds(self) -> float:
        """Returns how long a waiting request waits for the store before peers are asked."""
        if self._submitter.failed_recently:
            return 0.0
        return DRAW_WAIT_SHARE * self._settings.admission_wait_seconds

    async def _draw_with_timeout(
        self, workspace: str, state: BudgetState, budget: ConfiguredBudget, timeout_seconds: float
    ) -> GrantOpened | None:
        """Draws what waiting requests lack; a draw that times out continues in the background.

        A draw in progress is joined, as a second one would have to wait for it. If requests
        still lack tokens after a joined draw, another one is made.

        Returns:
            The store's answer to the last draw; None if it did not answer in time.
        """
        opened = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                has_joined = state.draw_task is not None and not state.draw_task.done()
                opened = await asyncio.shield(self._start_draw(workspace, state, budget))
                if has_joined and self._get_total_shortage(state):
                    opened = await asyncio.shield(self._start_draw(workspace, state, budget))
        return opened

    def _start_draw(
        self, workspace: str, state: BudgetState, budget: ConfiguredBudget
    ) -> asyncio.Task[GrantOpened | None]:
        """Returns the draw in progress, or starts one for the current shortage."""
        if state.draw_task is None or state.draw_task.done():
            needed = self._get_total_shortage(state)
            draw = self._draw(workspace, state, budget, needed=needed)
            state.draw_task = self._background.start(draw)
        return state.draw_task

    def _get_total_shortage(self, state: BudgetState) -> int:
        """Returns the tokens that requests lack at this router and at borrowers."""
        pool = state.pool
        # Borrowed tokens pay for requests here but cannot be lent.
        lacking = max(pool.waiting_tokens - pool.free, state.borrower_shortage - pool.lendable)
        return max(0, lacking)

    def _fleet_uses_lenders(self) -> bool:
        return 1 + len(self._fleet.list_peers()) >= self._settings.lend_from_routers

    def _is_lender_of(self, workspace: str) -> bool:
        """Whether this router draws a workspace's tokens for the whole fleet."""
        lender = self._loans.choose_lender(workspace)
        return self._fleet_uses_lenders() and lender == self._fleet.self_name

    def _find_lender(self, workspace: str) -> str | None:
        """Returns the router to borrow from; None if this router draws for itself.

        In a large fleet each router serves a workspace too rarely to hold tokens for it, and a
        draw for each request would cost a store write for each request.
        """
        if not self._fleet_uses_lenders() or self._is_lender_of(workspace):
            return None
        return self._loans.choose_lender(workspace)

    async def _draw(
        self, workspace: str, state: BudgetState, budget: ConfiguredBudget, needed: int
    ) -> GrantOpened | None:
        """Draws a grant; after a failure the same draw is repeated instead of starting a new one.

        Only one draw of a budget may run at a time: two would both repeat the pending draw and
        credit its grant twice.
        """
        state.last_refill_seconds = self._clock.monotonic_seconds()
        change = state.pending_draw
        if change is None:
            change = self._build_open_grant(workspace, state, budget, needed)
            state.pending_draw = change
        reports = self._reports.build(workspace, state)
        started = self._clock.monotonic_seconds()
        results = await self._submitter.submit(workspace, [*reports, change])
        took_seconds = self._clock.monotonic_seconds() - started
        self._metrics.observe_seconds("budget.draw", took_seconds)
        result = results.pop()
        self._reports.confirm(state, reports, results)
        if not isinstance(result, GrantOpened) or not self._era.observe(result.era):
            return None
        state.pending_draw = None
        state.nearly_exhausted = self._is_nearly_exhausted(state, result)
        state.account = AccountSeen(
            unspent=result.unspent,
            available=result.available,
            in_doubt=result.in_doubt,
            configuration_number=change.configuration_number,
        )
        state.account_seconds = self._clock.monotonic_seconds()
        state.fleet_demand.record_total(result.settled, self._clock.monotonic_seconds())
        self._metrics.count("budget.draws")
        fields = {
            "workspace": workspace,
            "needed": change.needed,
            "wanted": change.wanted,
            "amount": result.amount,
            "available": result.available,
            "unspent": result.unspent,
            "purchased": budget.purchased,
            "free": state.pool.free,
            "reserved": state.pool.reserved,
            "took_ms": round(took_seconds * 1000),
        }
        _log.info("drew tokens", fields=fields)
        if result.amount:
            state.pool.add_drawn_grant(change.grant_id, result.amount)
        self._start_return_of_excess(workspace, state)
        return result

    def _is_nearly_exhausted(self, state: BudgetState, opened: GrantOpened) -> bool:
        """Whether the unspent tokens pay for only a few requests at each router."""
        routers = 1 + len(self._fleet.list_peers())
        return opened.unspent < NEARLY_EXHAUSTED_REQUESTS_PER_ROUTER * routers * max(
            1.0, state.average_request_tokens
        )

    def _return_if_nearly_exhausted(self, workspace: str, state: BudgetState) -> None:
        """Returns free tokens immediately if the budget is nearly exhausted.

        The last tokens are then available in the store, where any router gets them with one draw,
        instead of being split among routers none of which can pay for a request.
        """
        store_answers = not self._submitter.failed_recently
        if state.nearly_exhausted and store_answers and not state.pool.waiting_tokens:
            self.return_free_tokens(workspace)

    def _build_open_grant(
        self, workspace: str, state: BudgetState, budget: ConfiguredBudget, needed: int
    ) -> OpenGrant:
        # No other router draws from the account if this one lends to the whole fleet.
        is_lender = self._is_lender_of(workspace)
        sequence = state.next_sequence
        state.next_sequence += 1
        wanted = max(0, self._compute_target_tokens(workspace, state) - state.pool.free)
        match self._settings.allocation:
            case EqualSplit(routers=routers):
                needed, wanted = budget.purchased // routers if sequence == 1 else 0, 0
            case WritePerRequest():
                wanted = 0
            case DemandGrants():
                wanted = 0 if state.nearly_exhausted else wanted
        return OpenGrant(
            workspace=workspace,
            grant_id=f"{self._fleet.self_name}/{workspace}/{sequence}",
            holder=self._fleet.self_name,
            sequence=sequence,
            needed=needed,
            least=state.pool.smallest_shortage if state.nearly_exhausted else 0,
            wanted=wanted,
            share_divisor=1 if is_lender else 1 + len(self._fleet.list_peers()),
            configured=budget.purchased,
            configuration_number=budget.configuration_number,
        )

    def _start_refill_if_low(
        self, workspace: str, state: BudgetState, refresh_seconds: float = float("inf")
    ) -> None:
        """Starts a background draw or loan if free tokens run low or the account balances are old.

        Args:
            workspace: The workspace that the tokens belong to.
            state: The budget that they are added to.
            refresh_seconds: Age of the last refill after which another draw refreshes the account
                balances even if enough tokens are held.
        """
        now = self._clock.monotonic_seconds()
        uses_demand_grants = isinstance(self._settings.allocation, DemandGrants)
        interval_seconds = self._settings.refill_seconds
        if self._is_lender_of(workspace):
            interval_seconds = min(interval_seconds, LENDER_REFILL_INTERVAL_SECONDS)
        elif self._fleet_uses_lenders() and state.requests.get_tokens_per_second(now):
            interval_seconds = min(interval_seconds, BORROWER_REFILL_INTERVAL_SECONDS)
        is_too_early = now - state.last_refill_seconds < interval_seconds
        if not uses_demand_grants or is_too_early:
            return
        if now - state.last_refill_seconds < refresh_seconds or self._find_lender(workspace):
            has_enough = state.pool.free >= REFILL_THRESHOLD_SHARE * self._compute_target_tokens(
                workspace, state
            )
            if state.nearly_exhausted or has_enough:
                return
        budget = self._configuration.find_configured_budget(workspace)
        if budget is None:
            return
        state.last_refill_seconds = now
        lender = self._find_lender(workspace)
        if lender is not None:
            target = self._compute_target_tokens(workspace, state)
            self._loans.start_for_target(lender, workspace, state, target)
        else:
            self._start_draw(workspace, state, budget)

    async def _return_tokens(self, workspace: str, state: BudgetState, keep: int) -> None:
        """Returns free tokens beyond `keep` to the account and reports spending of own grants."""
        state.pool.mark_excess_returned(keep)
        reports = self._reports.build(workspace, state)
        if not reports:
            return
        results = await self._submitter.submit(workspace, reports)
        self._reports.confirm(state, reports, results)
        state.pool.drop_finished()

    def _apply_recorded_bill(self, bill: Bill, recorded_bill: Bill) -> None:
        """Confirms the charges of a recorded bill, or refunds those of one that was dropped."""
        pool = self._get_state(bill.workspace).pool
        if recorded_bill == bill:
            pool.confirm(bill.charges)
        else:
            pool.refund(bill.charges)
