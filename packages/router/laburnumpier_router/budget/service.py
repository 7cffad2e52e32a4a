"""Admits requests against prepaid budgets and settles what they used.

Admission reserves the greatest cost of a request from tokens that this process already holds,
which needs no message at all. Only when these run short are the store and the peers asked, and
only when neither can help is a request refused. Refusals tell a budget that is known to be
exhausted from one whose tokens cannot be reached now.
"""

import asyncio
import contextlib
import random

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode

from .account import (
    Change,
    ChangeFailed,
    ChangeResult,
    GrantOpened,
    OpenGrant,
    ReportSpending,
    ReturnTokens,
)
from .allocation import DemandGrants, EqualSplit, WritePerRequest
from .bill_keeper import BillKeeper
from .demand import DemandMeter
from .grant_pool import GrantPool, Reservation
from .holding import HoldingTerms, compute_target_tokens
from .lending import TokenLending
from .peers import (
    AccountSeen,
    Acknowledged,
    BudgetConfiguration,
    BudgetFleet,
    BudgetTerms,
    CollectHoldings,
    GiveTokens,
    HoldingsCollected,
    RequestTransfer,
    TellSpending,
    TransferOffered,
)
from .slot import Bill
from .state import AcquisitionResult, BudgetSettings, BudgetState
from .submitter import ChangeSubmitter

DEMAND_WINDOW_SECONDS = 30.0
MAINTENANCE_SECONDS = 10.0
IDLE_RETURN_SECONDS = 60.0
WAIT_STEP_SECONDS = 0.2
REFILL_SHARE = 0.75
"""A draw is made when less than this share of the wanted tokens is free, so that an outage that
begins just before it still finds most of them."""
ACCOUNT_REFRESH_SECONDS = 4.0
"""Age of what is known of an account after which a process that holds enough looks again, so that
it hands back what is too much for a budget that others have spent."""
LENDER_REFILL_SECONDS = 0.25
"""Shortest time between draws of a lender that no request waits for."""
LENDER_FLOOR_SHARE = 0.15
"""Share of the purchased total that a lender wants to hold at least, for demand that it has not
met yet: an outage of 8 s in the first minute of a budget that lasts one."""
BORROWED_SECONDS = 1.0
"""Demand for which a borrower wants to hold tokens. What one holds unused no other can borrow, and
the lender answers in milliseconds, also while the store does not."""
LOAN_DIVISOR = 32
"""A loan beyond what requests wait for takes at most this fraction of the lender's free tokens."""
MOST_LOANS = 3
"""Loans in one round, where requests have come while the lender answered."""
TELL_SECONDS = 4.0
"""Time between reports of spending to the lender."""
EXCESS_FACTOR = 1.2
"""Free tokens beyond the wanted ones, as a factor, from which the excess is handed back; close
to 1 each settled request would cause a write."""
MAX_PREPARED_WORKSPACES = 200
"""Most workspaces whose tokens are drawn before their first request; beyond it only demand
draws."""
DRAW_PATIENCE_SHARE = 0.4
"""Part of a request's wait for tokens that is given to the store; the rest is for peers, which
answer in some milliseconds."""
BORROWER_PATIENCE_SECONDS = 0.3
"""How long a lender lets the store answer; a borrower's call ends after 0.5 s."""
SHORTEST_WAIT_SECONDS = 0.001
TRANSIT_SECONDS = 2.0
NEAR_END_REQUESTS = 2
VERDICT_SECONDS = 0.5
RETRY_AFTER_SECONDS = 2.0

_log = get_part_logger("budget")


class BudgetService:
    """Reserves, settles and hands back tokens for all workspaces served here."""

    __slots__ = (
        "_background",
        "_bills",
        "_clock",
        "_configuration",
        "_fleet",
        "_is_stopping",
        "_lending",
        "_metrics",
        "_random",
        "_settings",
        "_states",
        "_submitter",
    )

    def __init__(
        self,
        *,
        submitter: ChangeSubmitter,
        fleet: BudgetFleet,
        configuration: BudgetConfiguration,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        settings: BudgetSettings,
    ):
        """Creates a service that holds no tokens yet."""
        self._submitter = submitter
        self._fleet = fleet
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._settings = settings
        self._is_stopping = False
        self._states: dict[str, BudgetState] = {}
        self._lending = TokenLending(states=self._states, fleet=fleet, metrics=metrics)
        self._background: set[asyncio.Task] = set()
        self._bills = BillKeeper(
            submitter=submitter,
            fleet=fleet,
            clock=clock,
            metrics=metrics,
            random_source=random_source,
            on_recorded=self._note_recorded_bill,
        )

    @property
    def bills(self) -> BillKeeper:
        """Bills that are not known to be durable."""
        return self._bills

    @property
    def states(self) -> dict[str, BudgetState]:
        """Known budgets by workspace."""
        return self._states

    async def reserve(self, workspace: str, amount: int, deadline_seconds: float) -> Reservation:
        """Sets aside the greatest cost of a request.

        Args:
            workspace: Who pays.
            amount: Tokens to set aside.
            deadline_seconds: Monotonic time after which waiting is of no use.

        Returns:
            The reservation, to be passed to `settle` or `release` exactly once.

        Raises:
            RequestError: If the budget cannot pay, or its tokens cannot be reached in time.
        """
        state = self._get_state(workspace)
        state.record_request_amount(amount)
        per_request = isinstance(self._settings.allocation, WritePerRequest)
        reservation = None if per_request else state.pool.reserve(amount)
        if reservation is None:
            reservation = await self._reserve_by_gathering(
                workspace, state, amount, deadline_seconds
            )
        self._start_refill_if_low(workspace, state)
        return reservation

    def has_free_tokens(self, workspace: str, amount: int) -> bool:
        """Returns whether an amount can be reserved here at once."""
        return self._get_state(workspace).pool.free >= amount

    def release(self, reservation: Reservation) -> None:
        """Frees the reservation of a request that used nothing."""
        state = self._get_state(reservation.workspace)
        state.pool.release(reservation)
        self._return_near_end(reservation.workspace, state)

    async def settle(self, reservation: Reservation, bill: Bill) -> Bill | None:
        """Bills the real usage of a request and frees the rest of its reservation.

        Args:
            reservation: The reservation of the request.
            bill: The bill; its charges are filled in here, and its tokens are capped at the
                reserved amount.

        Returns:
            The bill that stands in the store; None when the store has not answered within the
            configured wait, in which case the bill is kept and submitted again.
        """
        state = self._get_state(reservation.workspace)
        if bill.tokens > reservation.amount:
            self._metrics.count("budget.usage_over_reservation")
        charges = state.pool.settle(reservation, bill.tokens)
        tokens = sum(charge.tokens for charge in charges)
        state.demand.record(tokens, self._clock.monotonic_seconds())
        self._return_near_end(reservation.workspace, state)
        finished = msgspec.structs.replace(bill, tokens=tokens, charges=charges)
        if isinstance(self._settings.allocation, WritePerRequest):
            self.return_free_tokens(reservation.workspace)
        return await self._bills.record(finished, self._settings.bill_wait_seconds)

    def settle_unbilled(self, reservation: Reservation, used: int) -> int:
        """Spends part of a reservation for a request that can have no second try under its id.

        No record of the single request is kept: what was spent is reported in running totals
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
        self._return_near_end(reservation.workspace, state)
        return charged

    async def lend(self, message: RequestTransfer) -> TransferOffered:
        """Answers a peer's request for tokens; see `TokenLending.lend`.

        One that is asked to draw for the fleet first draws what waiting requests of the peer lack.
        """
        workspace = message.workspace
        if message.tokens and message.draw:
            state = self._get_state(workspace)
            message = _limit_loan(message, state.pool.free)
            # What others ask for is demand that the next draw has to cover.
            state.demand.record(message.tokens, self._clock.monotonic_seconds())
            await self._draw_for_borrower(workspace, state, message.shortage)
            self._start_refill_if_low(workspace, state)
        return self._lending.lend(message)

    async def _draw_for_borrower(self, workspace: str, state: BudgetState, shortage: int) -> None:
        """Draws what a borrower's waiting requests lack, together with what others lack."""
        terms = self._configuration.find_budget_terms(workspace)
        if terms is None or state.pool.free >= shortage or self._drew_in_vain(state):
            return
        patience = 0.0 if self._submitter.failed_recently else BORROWER_PATIENCE_SECONDS
        state.borrower_shortage += shortage
        try:
            await self._draw_in_time(workspace, state, terms, patience)
        finally:
            state.borrower_shortage -= shortage

    def _drew_in_vain(self, state: BudgetState) -> bool:
        """Whether the account had nothing left to grant a moment ago."""
        age_seconds = self._clock.monotonic_seconds() - state.last_refill_seconds
        is_empty = state.account is not None and state.account.available == 0
        return is_empty and age_seconds < VERDICT_SECONDS

    def record_borrower_spending(self, message: TellSpending) -> Acknowledged:
        """Takes in what a borrower spent of tokens lent here, and returns an empty reply."""
        self._lending.take_told_spending(self._get_state(message.workspace), message)
        return Acknowledged()

    def accept_tokens(self, message: GiveTokens) -> Acknowledged:
        """Credits tokens that a peer gives, once, and returns an empty reply."""
        state = self._get_state(message.workspace)
        self._lending.accept(state, message)
        self._return_near_end(message.workspace, state)
        return Acknowledged()

    def collect_holdings(self, message: CollectHoldings) -> HoldingsCollected:
        """Tells what is held of a dead process's grants; later credit from it is refused.

        Args:
            message: Names the dead process.

        Returns:
            Tokens held here by grant id, and copies of its bills.
        """
        held = self._lending.count_holdings(message.dead)
        return HoldingsCollected(held=held, bills=self._bills.list_bills_of(message.dead))

    def return_free_tokens(self, workspace: str) -> None:
        """Starts to hand back all free tokens of a workspace, whose budget was lowered."""
        state = self._states.get(workspace)
        if state is not None and state.pool.free:
            self._keep(asyncio.create_task(self._return_tokens(workspace, state, keep=0)))

    def begin_stop(self) -> None:
        """Starts to hand back what no request needs, and holds nothing free from now on.

        What a process still holds at the end of its grace is lost if the store is slow then.
        """
        self._is_stopping = True
        for workspace in list(self._states):
            self.return_free_tokens(workspace)

    async def refill_periodically(self) -> None:
        """Draws tokens of all budgets that run low again and again; runs until cancelled.

        Budgets of the configuration are prepared before their first request, as far as a floor
        share is to be held of each.
        """
        while True:
            await asyncio.sleep(self._settings.refill_seconds * self._random.uniform(0.8, 1.2))
            if self._settings.grant_floor_share > 0:
                for workspace in self._configuration.list_budgets(MAX_PREPARED_WORKSPACES):
                    self._get_state(workspace)
            for workspace, state in list(self._states.items()):
                self._start_refill_if_low(workspace, state, ACCOUNT_REFRESH_SECONDS)
                self._return_excess(workspace, state)
                self._tell_spending(workspace, state)

    def _tell_spending(self, workspace: str, state: BudgetState) -> None:
        """Starts to report what was spent, so that the account's settled total rises."""
        now = self._clock.monotonic_seconds()
        due = now - state.last_report_seconds >= TELL_SECONDS
        if not due or not state.pool.list_unreported_spending():
            return
        state.last_report_seconds = now
        self._keep(asyncio.create_task(self._lending.tell_spending(workspace, state)))
        # A router that borrows draws no more, so reports of own grants do not ride with draws.
        if self._find_lender(workspace) is not None:
            self._keep(asyncio.create_task(self._return_tokens(workspace, state, state.pool.free)))

    def _return_excess(self, workspace: str, state: BudgetState) -> None:
        """Starts to hand back what is far above the wanted tokens.

        Reservations that are drawn for and not used up leave such tokens behind; they would be in
        doubt if this process died.
        """
        if self._is_stopping:
            self.return_free_tokens(workspace)
            return
        excess = EXCESS_FACTOR * self._find_wanted(workspace, state)
        busy = state.pool.waiting_tokens or self._submitter.failed_recently
        if self._settings.grant_floor_share > 0 and state.pool.free > excess and not busy:
            keep = self._find_wanted(workspace, state)
            if self._find_lender(workspace) is not None:
                self._lending.give_back_borrowed(workspace, state, keep)
                return
            self._keep(asyncio.create_task(self._return_tokens(workspace, state, keep=keep)))

    async def return_idle_tokens_periodically(self) -> None:
        """Hands back idle tokens again and again; runs until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_SECONDS * self._random.uniform(0.8, 1.2))
            now = self._clock.monotonic_seconds()
            for workspace, state in list(self._states.items()):
                state.pool.drop_finished()
                keep = self._find_tokens_to_keep(workspace, state, now)
                if keep is not None and await self._submitter.can_reach_store():
                    await self._return_tokens(workspace, state, keep=keep)

    def _find_tokens_to_keep(
        self, workspace: str, state: BudgetState, now_seconds: float
    ) -> int | None:
        """Returns how many free tokens may stay here, or None when there is nothing to return.

        Tokens on their way to a store that does not answer can be used by nobody, so the
        caller makes sure first that it does.
        """
        if isinstance(self._settings.allocation, EqualSplit):
            return None
        idle_seconds = now_seconds - state.demand.last_use_seconds
        keep = 4 * self._find_wanted(workspace, state)
        if idle_seconds > IDLE_RETURN_SECONDS:
            keep = 0
        unreported = any(
            grant.returned_total > grant.confirmed_returned_total
            for grant in state.pool.grants.values()
        )
        return keep if state.pool.free > keep or unreported else None

    async def drain(self) -> None:
        """Gives away all free tokens and pending bills, before the process stops.

        With the store reachable the tokens go back to their accounts; in an outage they go to
        a peer, which can spend them at once.
        """
        await self._bills.flush()
        store_works = await self._submitter.can_reach_store()
        await asyncio.gather(
            *(
                self._hand_back(workspace, state, to_store=store_works)
                for workspace, state in list(self._states.items())
            )
        )
        await self._bills.hand_over()

    async def _hand_back(self, workspace: str, state: BudgetState, *, to_store: bool) -> None:
        await self._lending.tell_spending(workspace, state)
        if to_store:
            await self._return_tokens(workspace, state, keep=0)
        else:
            await self._lending.give_to_peer(workspace, state)

    async def close(self) -> None:
        """Stops background work."""
        for task in list(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self._lending.close()

    def _get_state(self, workspace: str) -> BudgetState:
        if workspace not in self._states:
            demand = DemandMeter(
                window_seconds=DEMAND_WINDOW_SECONDS,
                now_seconds=self._clock.monotonic_seconds(),
            )
            self._states[workspace] = BudgetState(
                pool=GrantPool(workspace=workspace), demand=demand
            )
        return self._states[workspace]

    def _find_wanted(self, workspace: str, state: BudgetState) -> int:
        """Returns the tokens that this process wants to hold free."""
        if self._is_stopping:
            return 0
        terms = self._configuration.find_budget_terms(workspace)
        return compute_target_tokens(
            terms=self._find_holding_terms(workspace),
            tokens_per_second=state.demand.get_tokens_per_second(self._clock.monotonic_seconds()),
            purchased=terms.purchased if terms else 0,
            unspent=state.account.unspent if state.account else None,
        )

    def _find_holding_terms(self, workspace: str) -> HoldingTerms:
        """Returns what applies to a lender, a borrower, or a router that draws for itself."""
        settings = self._settings
        horizon_seconds, floor_share = settings.grant_horizon_seconds, settings.grant_floor_share
        held_share, holders = settings.held_share, 1 + len(self._fleet.list_peers())
        if self._lends_for_fleet(workspace):
            floor_share, holders = LENDER_FLOOR_SHARE, 1
        elif self._is_lending_fleet():
            horizon_seconds, floor_share, held_share, holders = BORROWED_SECONDS, 0.0, 1.0, 1
        return HoldingTerms(
            minimum_tokens=settings.grant_minimum_tokens,
            horizon_seconds=horizon_seconds,
            floor_share=floor_share,
            held_share=held_share,
            holders=holders,
        )

    async def _reserve_by_gathering(
        self, workspace: str, state: BudgetState, amount: int, deadline_seconds: float
    ) -> Reservation:
        """Draws, borrows and waits for settlements until the amount is free or cannot be."""
        pool = state.pool
        started = self._clock.monotonic_seconds()
        wait_until = min(deadline_seconds, started + self._settings.admission_wait_seconds)
        pool.add_waiter(amount)
        try:
            while True:
                outcome = await self._gather_in_time(workspace, state, amount, wait_until)
                reservation = pool.reserve(amount)
                if reservation is not None:
                    return reservation
                now = self._clock.monotonic_seconds()
                # Tokens that nobody reports may be on their way for a moment.
                patience_until = wait_until
                if outcome.obtainable < amount:
                    patience_until = min(wait_until, started + TRANSIT_SECONDS)
                exhausted = outcome.unspent is not None and outcome.unspent < amount
                # A rest too short to wait for counts as over.
                if exhausted or patience_until - now < SHORTEST_WAIT_SECONDS:
                    raise self._make_refusal(outcome, amount)
                await pool.wait_for_change(min(WAIT_STEP_SECONDS, patience_until - now))
                reservation = pool.reserve(amount)
                if reservation is not None:
                    return reservation
        finally:
            pool.remove_waiter(amount)
            # What was gathered in vain must not stay here.
            self._return_near_end(workspace, state)

    async def _gather_in_time(
        self, workspace: str, state: BudgetState, amount: int, until_seconds: float
    ) -> AcquisitionResult:
        """Gathers, and takes a store and peers that are silent until the end for unreachable."""
        left_seconds = max(0.0, until_seconds - self._clock.monotonic_seconds())
        try:
            async with asyncio.timeout(left_seconds + SHORTEST_WAIT_SECONDS):
                return await self._gather(workspace, state, amount)
        except TimeoutError:
            return AcquisitionResult(
                at_seconds=self._clock.monotonic_seconds(),
                configuration_number=0,
                peers_answered=False,
                obtainable=0,
                unspent=None,
            )

    def _make_refusal(self, outcome: AcquisitionResult, amount: int) -> RequestError:
        """Tells a budget that is known to be exhausted from one that cannot be reached now."""
        known = outcome.unspent is not None
        if known and outcome.unspent < amount <= outcome.unspent + outcome.in_doubt:
            # Nobody can tell whether the rest was spent, so the refusal is not final.
            self._metrics.count("budget.refused_in_doubt")
            return RequestError(
                ResultCode.BUDGET_UNREACHABLE, retry_after_seconds=RETRY_AFTER_SECONDS
            )
        if known and outcome.unspent < amount:
            self._metrics.count("budget.refused_exhausted")
            return RequestError(
                ResultCode.BUDGET_EXHAUSTED,
                detail=f"the request may cost {amount} tokens and {outcome.unspent} are left",
            )
        everyone = outcome.unspent is not None and outcome.peers_answered
        if everyone and outcome.obtainable >= amount:
            self._metrics.count("budget.refused_reserved")
            code = ResultCode.BUDGET_RESERVED
        else:
            self._metrics.count("budget.refused_unreachable")
            code = ResultCode.BUDGET_UNREACHABLE
        return RequestError(code, retry_after_seconds=RETRY_AFTER_SECONDS)

    async def _gather(self, workspace: str, state: BudgetState, amount: int) -> AcquisitionResult:
        """Joins the running round of drawing and borrowing, or starts one.

        A fresh verdict is used again: what is unspent can only shrink until the configuration
        changes, so a request that exceeded it a moment ago still does.
        """
        verdict = state.last_acquisition
        if verdict is not None and self._is_still_true(verdict, workspace):
            exhausted = verdict.unspent is not None and verdict.unspent < amount
            if exhausted:
                return verdict
        if state.acquisition_task is None or state.acquisition_task.done():
            state.acquisition_task = asyncio.create_task(self._gather_once(workspace, state))
            self._keep(state.acquisition_task)
        state.last_acquisition = await asyncio.shield(state.acquisition_task)
        return state.last_acquisition

    def _is_still_true(self, verdict: AcquisitionResult, workspace: str) -> bool:
        terms = self._configuration.find_budget_terms(workspace)
        number = terms.configuration_number if terms else 0
        age_seconds = self._clock.monotonic_seconds() - verdict.at_seconds
        return number == verdict.configuration_number and age_seconds < VERDICT_SECONDS

    async def _gather_once(self, workspace: str, state: BudgetState) -> AcquisitionResult:
        terms = self._configuration.find_budget_terms(workspace)
        if terms is None:
            terms = BudgetTerms(purchased=0, configuration_number=0)
        started = self._clock.monotonic_seconds()
        pool = state.pool
        lender = self._find_lender(workspace)
        if lender is not None:
            offer = await self._borrow_enough(lender, workspace, state)
            if offer is not None:
                return self._judge_offer(offer, terms, state, started)
        opened = await self._draw_in_time(workspace, state, terms, self._find_draw_patience())
        available = opened.available if opened else 0
        shortage = state.pool.shortage
        peers_answered, held_by_peers = True, 0
        if shortage and lender is None and isinstance(self._settings.allocation, DemandGrants):
            peers_answered, held_by_peers = await self._lending.borrow(workspace, state, shortage)
        return AcquisitionResult(
            at_seconds=started,
            configuration_number=terms.configuration_number,
            peers_answered=peers_answered,
            obtainable=pool.free + pool.coming + available + held_by_peers,
            unspent=opened.unspent - pool.unsettled if opened else None,
            in_doubt=opened.in_doubt if opened else 0,
        )

    def _judge_offer(
        self, offer: TransferOffered, terms: BudgetTerms, state: BudgetState, started: float
    ) -> AcquisitionResult:
        """Returns what a lender's answer says; it draws for all, so nobody else need be asked."""
        account = offer.account
        if account is not None and account.configuration_number < terms.configuration_number:
            # A top-up may have raised what is unspent.
            account = None
        return AcquisitionResult(
            at_seconds=started,
            configuration_number=terms.configuration_number,
            peers_answered=True,
            obtainable=state.pool.free + offer.free + offer.coming,
            unspent=account.unspent if account else None,
            in_doubt=account.in_doubt if account else 0,
        )

    def _find_draw_patience(self) -> float:
        """Returns how long a waiting request lets the store answer before its peers are asked."""
        if self._submitter.failed_recently:
            return 0.0
        return DRAW_PATIENCE_SHARE * self._settings.admission_wait_seconds

    async def _draw_in_time(
        self, workspace: str, state: BudgetState, terms: BudgetTerms, patience_seconds: float
    ) -> GrantOpened | None:
        """Draws what waiting requests lack; a draw that takes longer goes on in the background.

        A draw in progress is joined: a second one would wait for it.

        Returns:
            What the store answered to the last draw; None if it has not answered in time.
        """
        opened = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_seconds):
                joined = state.draw_task is not None and not state.draw_task.done()
                opened = await asyncio.shield(self._start_draw(workspace, state, terms))
                if joined and self._find_shortage(state):
                    opened = await asyncio.shield(self._start_draw(workspace, state, terms))
        return opened

    def _start_draw(
        self, workspace: str, state: BudgetState, terms: BudgetTerms
    ) -> asyncio.Task[GrantOpened | None]:
        """Returns the draw in progress, or starts one for what waiting requests lack now."""
        if state.draw_task is None or state.draw_task.done():
            needed = self._find_shortage(state)
            draw = self._draw(workspace, state, terms, needed=needed)
            state.draw_task = asyncio.create_task(draw)
            self._keep(state.draw_task)
        return state.draw_task

    def _find_shortage(self, state: BudgetState) -> int:
        """Returns the tokens that requests wait for, here and at borrowers."""
        wanted = max(state.pool.waiting_tokens, state.borrower_shortage)
        return max(0, wanted - state.pool.free)

    def _is_lending_fleet(self) -> bool:
        return 1 + len(self._fleet.list_peers()) >= self._settings.lend_from_routers

    def _lends_for_fleet(self, workspace: str) -> bool:
        """Whether this router draws the tokens of a workspace for all others."""
        home = self._fleet.find_home(f"budget/{workspace}")
        return self._is_lending_fleet() and home == self._fleet.self_name

    def _find_lender(self, workspace: str) -> str | None:
        """Returns the router to borrow from; None where every router draws for itself.

        In a large fleet each router meets a workspace too rarely to hold tokens for it, and a
        draw for each request would be a write for each request.
        """
        if not self._is_lending_fleet() or self._lends_for_fleet(workspace):
            return None
        return self._fleet.find_home(f"budget/{workspace}")

    async def _borrow_enough(
        self, lender: str, workspace: str, state: BudgetState
    ) -> TransferOffered | None:
        """Borrows until no request lacks tokens, also those that have come meanwhile.

        Returns:
            The last answer of the lender; None if it is silent.
        """
        offer = None
        for _ in range(MOST_LOANS):
            asked = state.pool.waiting_tokens
            offer = await self._borrow_from(lender, workspace, state)
            lacks = state.pool.waiting_tokens > state.pool.free
            has_grown = state.pool.waiting_tokens > asked
            if offer is None or not lacks or not has_grown:
                break
        return offer

    async def _borrow_from(
        self, lender: str, workspace: str, state: BudgetState
    ) -> TransferOffered | None:
        """Borrows what waiting requests lack and what is wanted here."""
        shortage = state.pool.shortage
        wanted = max(shortage, self._find_wanted(workspace, state) - state.pool.free)
        state.last_refill_seconds = self._clock.monotonic_seconds()
        return await self._lending.borrow_from(lender, workspace, state, wanted, shortage)

    async def _draw(
        self, workspace: str, state: BudgetState, terms: BudgetTerms, needed: int
    ) -> GrantOpened | None:
        """Draws a grant; after a failure the same draw is repeated, never a new one.

        One draw of a budget runs at a time: two would both repeat the pending one and credit its
        grant twice.
        """
        state.last_refill_seconds = self._clock.monotonic_seconds()
        change = state.pending_draw
        if change is None:
            change = self._make_draw(workspace, state, terms, needed)
            state.pending_draw = change
        reports = self._make_spending_reports(workspace, state)
        started = self._clock.monotonic_seconds()
        results = await self._submitter.submit(workspace, [*reports, change])
        took_seconds = self._clock.monotonic_seconds() - started
        self._metrics.record_seconds("budget.draw", took_seconds)
        result = results.pop()
        self._note_spending_reported(state, reports, results)
        if not isinstance(result, GrantOpened):
            return None
        state.pending_draw = None
        state.nearly_exhausted = self._is_near_end(state, result)
        state.account = AccountSeen(
            unspent=result.unspent,
            available=result.available,
            in_doubt=result.in_doubt,
            configuration_number=change.configuration_number,
        )
        self._metrics.count("budget.draws")
        fields = {
            "workspace": workspace,
            "needed": change.needed,
            "wanted": change.wanted,
            "amount": result.amount,
            "available": result.available,
            "unspent": result.unspent,
            "purchased": terms.purchased,
            "free": state.pool.free,
            "reserved": state.pool.reserved,
            "took_ms": round(took_seconds * 1000),
        }
        _log.info("drew tokens", fields=fields)
        if result.amount:
            state.pool.add_grant(change.grant_id, result.amount, own=True)
        return result

    def _is_near_end(self, state: BudgetState, opened: GrantOpened) -> bool:
        """Whether the rest would pay for only a few requests at each router."""
        routers = 1 + len(self._fleet.list_peers())
        return opened.unspent < NEAR_END_REQUESTS * routers * max(
            1.0, state.average_request_tokens
        )

    def _return_near_end(self, workspace: str, state: BudgetState) -> None:
        """Hands free tokens back at once near the end of a budget.

        The last tokens then lie in the store, where any router finds them with one draw,
        instead of in many places none of which can pay for a request.
        """
        store_answers = not self._submitter.failed_recently
        if state.nearly_exhausted and store_answers and not state.pool.waiting_tokens:
            self.return_free_tokens(workspace)

    def _make_draw(
        self, workspace: str, state: BudgetState, terms: BudgetTerms, needed: int
    ) -> OpenGrant:
        # Nobody else draws where this router lends to all.
        lends = self._lends_for_fleet(workspace)
        sequence = state.next_sequence
        state.next_sequence += 1
        wanted = max(0, self._find_wanted(workspace, state) - state.pool.free)
        match self._settings.allocation:
            case EqualSplit(routers=routers):
                needed, wanted = terms.purchased // routers if sequence == 1 else 0, 0
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
            share_divisor=1 if lends else 1 + len(self._fleet.list_peers()),
            configured=terms.purchased,
            configuration_number=terms.configuration_number,
        )

    def _start_refill_if_low(
        self, workspace: str, state: BudgetState, refresh_seconds: float = float("inf")
    ) -> None:
        """Draws in the background when the wanted tokens run low, or the account was not seen.

        Args:
            workspace: Whose tokens.
            state: What is held of them.
            refresh_seconds: Age of the last answer from the account after which it is asked
                again, although enough is held.
        """
        now = self._clock.monotonic_seconds()
        grants = isinstance(self._settings.allocation, DemandGrants)
        pause = self._settings.refill_seconds
        if self._lends_for_fleet(workspace):
            pause = min(pause, LENDER_REFILL_SECONDS)
        waits = now - state.last_refill_seconds < pause
        if not grants or waits:
            return
        if now - state.last_refill_seconds < refresh_seconds or self._find_lender(workspace):
            enough = state.pool.free >= REFILL_SHARE * self._find_wanted(workspace, state)
            if state.nearly_exhausted or enough:
                return
        terms = self._configuration.find_budget_terms(workspace)
        if terms is None:
            return
        state.last_refill_seconds = now
        lender = self._find_lender(workspace)
        if lender is not None:
            self._keep(asyncio.create_task(self._borrow_from(lender, workspace, state)))
        else:
            self._start_draw(workspace, state, terms)

    async def _return_tokens(self, workspace: str, state: BudgetState, keep: int) -> None:
        raised = state.pool.mark_excess_returned(keep)
        changes = [
            ReturnTokens(
                workspace=workspace,
                grant_id=grant.grant_id,
                returner=self._fleet.self_name,
                returned_total=grant.returned_total,
            )
            for grant in raised
        ]
        reports = self._make_spending_reports(workspace, state)
        if not changes and not reports:
            return
        results = await self._submitter.submit(workspace, [*reports, *changes])
        self._note_spending_reported(state, reports, results[: len(reports)])
        results = results[len(reports) :]
        for grant, change, result in zip(raised, changes, results, strict=True):
            if not isinstance(result, ChangeFailed):
                grant.confirmed_returned_total = max(
                    grant.confirmed_returned_total, change.returned_total
                )
                self._metrics.count("budget.returns")
        state.pool.drop_finished()

    def _make_spending_reports(self, workspace: str, state: BudgetState) -> list[Change]:
        """Returns the running totals of spending of own grants that the store has not settled.

        Spending of borrowed tokens is told to their lender, which reports it with its own.
        """
        return [
            ReportSpending(
                workspace=workspace,
                grant_id=grant.grant_id,
                spender=self._fleet.self_name,
                spent_total=grant.spent_total,
            )
            for grant in state.pool.list_unreported_spending()
            if grant.own
        ]

    def _note_spending_reported(
        self, state: BudgetState, reports: list[Change], results: list[ChangeResult]
    ) -> None:
        for report, result in zip(reports, results, strict=True):
            if not isinstance(result, ChangeFailed):
                state.pool.confirm_spending(report.grant_id, report.spent_total)

    def _note_recorded_bill(self, bill: Bill, standing: Bill) -> None:
        pool = self._get_state(bill.workspace).pool
        if standing == bill:
            pool.confirm(bill.charges)
        else:
            pool.refund(bill.charges)

    def _keep(self, task: asyncio.Task) -> None:
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _limit_loan(message: RequestTransfer, free: int) -> RequestTransfer:
    """Returns a request for what waiting requests need, or a small part of what is free."""
    most = max(message.shortage, free // LOAN_DIVISOR)
    return msgspec.structs.replace(message, tokens=min(message.tokens, most))
