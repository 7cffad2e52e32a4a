"""Borrows from the router that draws for a large fleet, several loans at a time.

It answers requests that arrive while a loan is under way. A request that waited for that loan
first would wait for two of them, 20 to 55 ms each, of the 0.1 s that it may wait. So each
request's shortage that no loan under way was asked to cover is asked for at once. Only one loan at
a time asks for more than that, since a second one would ask for the same tokens again.
"""

import asyncio

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.metrics import Metrics

from .lender_choice import LenderChoice
from .lending import TokenLending
from .peers import BudgetFleet, TransferOffered
from .state import BudgetState

MAX_LOANS = 8
"""Maximum number of loans of a budget under way. With more waiting requests, the next loan asks
for all that have arrived meanwhile."""


class LoanBook:
    """Starts loans of all budgets of this process and waits for them."""

    __slots__ = ("_background", "_choices", "_clock", "_fleet", "_lending", "_metrics")

    def __init__(
        self, *, lending: TokenLending, fleet: BudgetFleet, clock: Clock, metrics: Metrics
    ):
        """Creates a book without loans.

        Args:
            lending: Exchanges the messages of a loan.
            fleet: Names the router that a budget is assigned to.
            clock: Source of monotonic time.
            metrics: Counters.
        """
        self._lending = lending
        self._fleet = fleet
        self._choices: dict[str, LenderChoice] = {}
        self._clock = clock
        self._metrics = metrics
        self._background = BackgroundTasks(part="budget", metrics=metrics)

    def choose_lender(self, workspace: str) -> str:
        """Returns the router that draws a workspace's tokens; it may be this process."""
        return self._get_choice(workspace).choose(self._clock.monotonic_seconds())

    async def close(self) -> None:
        """Cancels loans under way; their tokens are stranded until recovery."""
        await self._background.cancel_all()

    def start_for_waiting(
        self, lender: str, workspace: str, state: BudgetState, target_tokens: int
    ) -> None:
        """Starts a loan for what waiting requests lack, unless loans under way cover it.

        Args:
            lender: The router to borrow from.
            workspace: The workspace that the tokens belong to.
            state: The budget that they are credited to.
            target_tokens: Free tokens that this router should hold.
        """
        lacking = state.pool.shortage - state.requested_tokens
        if lacking > 0 and len(state.loans) < MAX_LOANS:
            # What is lacking was counted against all free tokens, so they cover no part of the
            # target.
            ahead_tokens = 0 if state.loans else target_tokens
            self._start(lender, workspace, state, lacking, ahead_tokens)

    def start_for_target(
        self, lender: str, workspace: str, state: BudgetState, target_tokens: int
    ) -> None:
        """Starts a loan that no request waits for, unless one is under way."""
        ahead_tokens = target_tokens - state.pool.free
        if ahead_tokens > 0 and not state.loans:
            self._start(lender, workspace, state, 0, ahead_tokens)

    async def wait_for_change(self, state: BudgetState) -> TransferOffered | None:
        """Waits until the first loan under way ends or free tokens are added.

        Returns:
            The lender's reply; None if it did not reply or no loan has ended.
        """
        change = asyncio.ensure_future(state.pool.wait_until_added())
        try:
            done, _ = await asyncio.wait(
                [change, *state.loans], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            change.cancel()
        ended = [task for task in done if task is not change and not task.cancelled()]
        return ended[0].result() if ended else None

    def _get_choice(self, workspace: str) -> LenderChoice:
        if workspace not in self._choices:
            self._choices[workspace] = LenderChoice(fleet=self._fleet, workspace=workspace)
        return self._choices[workspace]

    def _start(
        self, lender: str, workspace: str, state: BudgetState, shortage: int, ahead_tokens: int
    ) -> None:
        state.last_refill_seconds = self._clock.monotonic_seconds()
        state.requested_tokens += shortage
        loan = self._background.start(
            self._borrow(lender, workspace, state, shortage, ahead_tokens)
        )
        state.loans.append(loan)
        loan.add_done_callback(lambda ended: self._end(state, ended, shortage))
        self._metrics.count("budget.loans_started")

    def _end(
        self, state: BudgetState, loan: asyncio.Task[TransferOffered | None], shortage: int
    ) -> None:
        state.loans.remove(loan)
        state.requested_tokens -= shortage

    async def _borrow(
        self, lender: str, workspace: str, state: BudgetState, shortage: int, ahead_tokens: int
    ) -> TransferOffered | None:
        offer = await self._lending.borrow_from_lender(
            lender,
            workspace,
            state,
            shortage + ahead_tokens,
            shortage,
            tokens_per_second=state.requests.get_tokens_per_second(
                self._clock.monotonic_seconds()
            ),
        )
        if offer is None:
            self._get_choice(workspace).record_silence(lender)
            return None
        if offer.account is not None:
            state.account_seconds = self._clock.monotonic_seconds()
        return offer
