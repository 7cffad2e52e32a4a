"""Moves unused tokens between routers.

The lender debits before its reply leaves, and the borrower credits once by the transfer's id,
so a lost message strands tokens and never makes any. Only the router that drew a grant lends
its tokens; borrowed ones go back to it. Both work without the store.
"""

import asyncio
from collections.abc import Mapping

from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .grant_pool import TransferPart, parse_grant_holder
from .peers import BudgetFleet, GiveTokens, RequestTransfer, TellSpending, TransferOffered
from .state import BudgetState

_log = get_part_logger("budget")

PEER_TIMEOUT_SECONDS = 0.5
MAX_REMEMBERED_TRANSFERS = 1000
MAX_REMEMBERED_GIFTS = 10_000


class TokenLending:
    """Lends, borrows and gives tokens of all budgets known here."""

    __slots__ = (
        "_accepted",
        "_fenced",
        "_fleet",
        "_gifts",
        "_metrics",
        "_states",
        "_told",
        "_transfer_sequence",
        "_transfers",
    )

    def __init__(self, *, states: Mapping[str, BudgetState], fleet: BudgetFleet, metrics: Metrics):
        """Creates the lending.

        Args:
            states: The budgets known here, by workspace; shared with the budget service.
            fleet: Other routers.
            metrics: Counters.
        """
        self._states = states
        self._fleet = fleet
        self._metrics = metrics
        self._transfers: dict[str, TransferOffered] = {}
        self._transfer_sequence = 0
        self._fenced: set[str] = set()
        self._accepted: dict[str, None] = {}
        self._gifts: set[asyncio.Task[None]] = set()
        self._told: dict[tuple[str, str], int] = {}

    def lend(self, message: RequestTransfer) -> TransferOffered:
        """Answers a peer's request for tokens; asked twice, it gives the same answer.

        Args:
            message: The request.

        Returns:
            The debited parts and what is left here.
        """
        if message.transfer_id in self._transfers:
            return self._transfers[message.transfer_id]
        state = self._states.get(message.workspace)
        if state is None:
            return TransferOffered(parts=[], free=0, coming=0)
        parts = state.pool.lend(min(message.tokens, self._count_lendable(state, message)))
        offer = TransferOffered(
            parts=parts,
            free=state.pool.free,
            coming=state.pool.coming,
            account=state.account,
        )
        lent = sum(part.tokens for part in parts)
        if lent < message.tokens and not state.pool.waiting_tokens:
            self.give_back_borrowed(message.workspace, state)
        if parts:
            self._transfers[message.transfer_id] = offer
            while len(self._transfers) > MAX_REMEMBERED_TRANSFERS:
                self._transfers.pop(next(iter(self._transfers)))
            self._metrics.count("budget.transfers_lent")
        return offer

    def accept(self, state: BudgetState, message: GiveTokens) -> None:
        """Credits a gift; the same one counts once.

        Args:
            state: The budget that the gift belongs to.
            message: The gift.
        """
        if message.transfer_id not in self._accepted:
            self._accepted[message.transfer_id] = None
            while len(self._accepted) > MAX_REMEMBERED_GIFTS:
                self._accepted.pop(next(iter(self._accepted)))
            offer = TransferOffered(parts=message.parts, free=0, coming=0)
            self._credit(state, offer)

    def count_holdings(self, dead: str) -> dict[str, int]:
        """Tells what is held of a dead process's grants; later credit from it is refused.

        Args:
            dead: Incarnation of the dead process.

        Returns:
            Tokens held here by grant id.
        """
        self._fenced.add(dead)
        held: dict[str, int] = {}
        for state in self._states.values():
            for grant in state.pool.grants.values():
                if not grant.own and parse_grant_holder(grant.grant_id) == dead:
                    held[grant.grant_id] = grant.held
        return held

    async def borrow(self, workspace: str, state: BudgetState, shortage: int) -> tuple[bool, int]:
        """Borrows unused tokens from peers, from the one that holds the most first.

        Args:
            workspace: Whose tokens.
            state: The budget that they are credited to.
            shortage: Tokens for which requests wait here.

        Returns:
            Whether all peers answered, and the tokens that are or may become free at them.
        """
        peers = self._fleet.list_peers()
        offers = await asyncio.gather(
            *(self._ask_peer(peer, workspace, 0, shortage) for peer in peers)
        )
        holding = {
            peer: offer for peer, offer in zip(peers, offers, strict=True) if offer is not None
        }
        for peer in sorted(holding, key=lambda name: holding[name].free, reverse=True):
            if shortage <= 0 or not holding[peer].free:
                break
            offer = await self._ask_peer(peer, workspace, shortage, shortage)
            if offer is not None:
                holding[peer] = offer
                shortage -= self._credit(state, offer)
        left = sum(offer.free + offer.coming for offer in holding.values())
        return len(holding) == len(peers), left

    async def borrow_from(
        self, lender: str, workspace: str, state: BudgetState, tokens: int, shortage: int
    ) -> TransferOffered | None:
        """Borrows from the one router that draws for the fleet.

        Args:
            lender: The router.
            workspace: Whose tokens.
            state: The budget that they are credited to.
            tokens: How many are wanted.
            shortage: Tokens for which requests wait here.

        Returns:
            The lender's answer; None if there was none.
        """
        offer = await self._ask_peer(lender, workspace, tokens, shortage, draw=True)
        fields = {"workspace": workspace, "lender": lender, "wanted": tokens, "needed": shortage}
        if offer is None:
            _log.warning("lender is silent", fields=fields)
            return None
        fields["amount"] = self._credit(state, offer)
        fields["left"] = offer.free
        _log.info("borrowed tokens", fields=fields)
        if offer.account is not None:
            state.account = offer.account
        return offer

    async def tell_spending(self, workspace: str, state: BudgetState) -> None:
        """Tells lenders what was spent of their tokens; what they do not answer is told again."""
        by_lender: dict[str, dict[str, int]] = {}
        for grant in state.pool.list_unreported_spending():
            if not grant.own:
                lender = parse_grant_holder(grant.grant_id)
                by_lender.setdefault(lender, {})[grant.grant_id] = grant.spent_total
        for lender, totals in by_lender.items():
            message = TellSpending(
                workspace=workspace, spender=self._fleet.self_name, spent_totals=totals
            )
            try:
                await self._fleet.call(lender, message, PEER_TIMEOUT_SECONDS)
            except PeerError:
                self._metrics.count("budget.spending_not_told")
                continue
            for grant_id, total in totals.items():
                state.pool.confirm_spending(grant_id, total)

    def take_told_spending(self, state: BudgetState, message: TellSpending) -> None:
        """Takes in what a borrower spent; a repeated total counts once."""
        for grant_id, total in message.spent_totals.items():
            if parse_grant_holder(grant_id) != self._fleet.self_name:
                continue
            fresh = total - self._told.get((grant_id, message.spender), 0)
            if fresh > 0:
                self._told[(grant_id, message.spender)] = total
                state.pool.record_borrower_spending(grant_id, fresh)

    async def give_to_peer(self, workspace: str, state: BudgetState) -> None:
        """Sends free own tokens to the nearest peer only, as a lost reply proves nothing."""
        peers = self._fleet.list_peers()
        parts = state.pool.lend(state.pool.free) if peers else []
        if not parts:
            return
        await self._send_gift(peers[0], self._make_gift(workspace, parts))

    async def close(self) -> None:
        """Stops gifts on their way; their tokens are stranded until recovery."""
        for task in list(self._gifts):
            task.cancel()
        await asyncio.gather(*self._gifts, return_exceptions=True)

    def give_back_borrowed(self, workspace: str, state: BudgetState, keep: int = 0) -> None:
        """Starts to give borrowed tokens back, as only the router that drew them may lend them.

        Args:
            workspace: Whose tokens.
            state: The budget that they are debited from.
            keep: Free tokens that stay here.
        """
        by_lender: dict[str, list[TransferPart]] = {}
        for part in state.pool.debit_borrowed(set(self._fleet.list_peers()), keep):
            by_lender.setdefault(parse_grant_holder(part.grant_id), []).append(part)
        for lender, parts in by_lender.items():
            message = self._make_gift(workspace, parts)
            task = asyncio.create_task(self._send_gift(lender, message))
            self._gifts.add(task)
            task.add_done_callback(self._gifts.discard)

    def _make_gift(self, workspace: str, parts: list[TransferPart]) -> GiveTokens:
        self._transfer_sequence += 1
        transfer_id = f"{self._fleet.self_name}/{self._transfer_sequence}"
        return GiveTokens(workspace=workspace, transfer_id=transfer_id, parts=parts)

    async def _send_gift(self, peer: str, message: GiveTokens) -> None:
        """Sends a gift; a lost reply is asked for once more under the same id."""
        for _ in range(2):
            try:
                await self._fleet.call(peer, message, PEER_TIMEOUT_SECONDS)
            except PeerError:
                continue
            self._metrics.count("budget.tokens_given")
            return
        self._metrics.count("budget.transfers_lost")

    async def _ask_peer(
        self, peer: str, workspace: str, tokens: int, shortage: int, *, draw: bool = False
    ) -> TransferOffered | None:
        self._transfer_sequence += 1
        message = RequestTransfer(
            workspace=workspace,
            transfer_id=f"{self._fleet.self_name}/{self._transfer_sequence}",
            borrower=self._fleet.self_name,
            tokens=tokens,
            shortage=shortage,
            draw=draw,
        )
        # A lost reply is asked for once more under the same id, so that the debit is not stranded.
        for _ in range(2 if tokens else 1):
            try:
                reply = await self._fleet.call(peer, message, PEER_TIMEOUT_SECONDS)
            except PeerError:
                continue
            return reply if isinstance(reply, TransferOffered) else None
        if tokens:
            self._metrics.count("budget.transfers_lost")
        return None

    def _credit(self, state: BudgetState, offer: TransferOffered) -> int:
        credited = 0
        for part in offer.parts:
            if parse_grant_holder(part.grant_id) in self._fenced:
                self._metrics.count("budget.transfers_fenced")
                continue
            own = parse_grant_holder(part.grant_id) == self._fleet.self_name
            state.pool.add_grant(part.grant_id, part.tokens, own=own)
            credited += part.tokens
        return credited

    def _count_lendable(self, state: BudgetState, message: RequestTransfer) -> int:
        """Returns how much may be lent while requests may be waiting here too.

        Of two processes that both wait, the one with the smaller shortage is served first, so that
        they do not swap the same tokens for ever.
        """
        own_shortage = state.pool.shortage
        if not state.pool.waiting_tokens:
            return state.pool.free
        if (message.shortage, message.borrower) < (own_shortage, self._fleet.self_name):
            return state.pool.free
        return 0
