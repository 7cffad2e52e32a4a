"""Transfers unused tokens between routers.

The lender debits tokens before it sends its reply, and the borrower credits each transfer id once,
so a lost message strands tokens but never creates any. Only the router that drew a grant lends its
tokens; borrowed tokens are returned to that router. Neither needs the store.
"""

import asyncio
from collections.abc import Mapping

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .grant_pool import TransferPart, parse_grant_holder
from .peers import BudgetFleet, GiveTokens, RequestTransfer, TellSpending, TransferOffered
from .state import BudgetState

_log = get_part_logger("budget")

PEER_TIMEOUT_SECONDS = 0.5
MAX_STORED_OFFERS = 1000
MAX_STORED_TRANSFER_IDS = 10_000


class TokenLending:
    """Lends, borrows and gives away tokens of all budgets known to this process."""

    __slots__ = (
        "_accepted_transfer_ids",
        "_background",
        "_fenced_holders",
        "_fleet",
        "_metrics",
        "_offers",
        "_reported_totals",
        "_states",
        "_transfer_sequence",
    )

    def __init__(self, *, states: Mapping[str, BudgetState], fleet: BudgetFleet, metrics: Metrics):
        """Creates the component with no transfers recorded.

        Args:
            states: The budgets known to this process, by workspace; shared with the budget
                service.
            fleet: Other routers.
            metrics: Counters.
        """
        self._states = states
        self._fleet = fleet
        self._metrics = metrics
        self._offers: dict[str, TransferOffered] = {}
        self._transfer_sequence = 0
        self._fenced_holders: set[str] = set()
        self._accepted_transfer_ids: dict[str, None] = {}
        self._background = BackgroundTasks(part="budget", metrics=metrics)
        self._reported_totals: dict[tuple[str, str], int] = {}

    def lend(self, message: RequestTransfer) -> TransferOffered:
        """Answers a peer's request for tokens.

        A request that was granted tokens gets the same reply when it is repeated.

        Args:
            message: The request.

        Returns:
            The debited parts and what remains at this router.
        """
        if message.transfer_id in self._offers:
            return self._offers[message.transfer_id]
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
        lent_tokens = sum(part.tokens for part in parts)
        if lent_tokens < message.tokens and not state.pool.waiting_tokens:
            self.return_borrowed_tokens(message.workspace, state)
        if parts:
            self._offers[message.transfer_id] = offer
            while len(self._offers) > MAX_STORED_OFFERS:
                self._offers.pop(next(iter(self._offers)))
            self._metrics.count("budget.transfers_lent")
        return offer

    def accept_tokens(self, state: BudgetState, message: GiveTokens) -> None:
        """Credits tokens given by a peer; each transfer id is credited once.

        Args:
            state: The budget that the tokens belong to.
            message: The transfer.
        """
        if message.transfer_id not in self._accepted_transfer_ids:
            self._accepted_transfer_ids[message.transfer_id] = None
            while len(self._accepted_transfer_ids) > MAX_STORED_TRANSFER_IDS:
                self._accepted_transfer_ids.pop(next(iter(self._accepted_transfer_ids)))
            offer = TransferOffered(parts=message.parts, free=0, coming=0)
            self._credit(state, offer)

    def fence_holder(self, dead_holder: str) -> dict[str, int]:
        """Refuses further credit of a dead process's grants and returns what is held of them.

        Args:
            dead_holder: Incarnation of the dead process.

        Returns:
            Tokens held by this process, by grant id.
        """
        self._fenced_holders.add(dead_holder)
        held: dict[str, int] = {}
        for state in self._states.values():
            for grant in state.pool.grants.values():
                if not grant.own and parse_grant_holder(grant.grant_id) == dead_holder:
                    held[grant.grant_id] = grant.held
        return held

    async def borrow_from_peers(
        self, workspace: str, state: BudgetState, shortage: int
    ) -> tuple[bool, int]:
        """Borrows unused tokens from peers, starting with the one that holds the most.

        Args:
            workspace: The workspace that the tokens belong to.
            state: The budget that they are credited to.
            shortage: Tokens that waiting requests lack at this router.

        Returns:
            Whether all peers answered, and the tokens that are or may become free at them.
        """
        peers = self._fleet.list_peers()
        offers = await asyncio.gather(
            *(self._request_transfer(peer, workspace, 0, shortage) for peer in peers)
        )
        offers_by_peer = {
            peer: offer for peer, offer in zip(peers, offers, strict=True) if offer is not None
        }
        for peer in sorted(
            offers_by_peer, key=lambda name: offers_by_peer[name].free, reverse=True
        ):
            if shortage <= 0 or not offers_by_peer[peer].free:
                break
            offer = await self._request_transfer(peer, workspace, shortage, shortage)
            if offer is not None:
                offers_by_peer[peer] = offer
                shortage -= self._credit(state, offer)
        remaining = sum(offer.free + offer.coming for offer in offers_by_peer.values())
        return len(offers_by_peer) == len(peers), remaining

    async def borrow_from_lender(
        self,
        lender: str,
        workspace: str,
        state: BudgetState,
        tokens: int,
        shortage: int,
        *,
        tokens_per_second: float,
    ) -> TransferOffered | None:
        """Borrows from the router that draws for the whole fleet.

        Args:
            lender: Incarnation of that router.
            workspace: The workspace that the tokens belong to.
            state: The budget that they are credited to.
            tokens: Number of tokens to ask for.
            shortage: Tokens that waiting requests lack at this router.
            tokens_per_second: What requests asked for at this router in the last second.

        Returns:
            The lender's reply; None if it did not reply.
        """
        message = self._build_request(
            workspace,
            tokens,
            shortage,
            draw=True,
            free=state.pool.free,
            tokens_per_second=tokens_per_second,
        )
        offer = await self._send_request(lender, message)
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

    async def report_spending_to_lenders(self, workspace: str, state: BudgetState) -> None:
        """Reports to each lender the spending of its tokens; unacknowledged totals are resent."""
        totals_by_lender: dict[str, dict[str, int]] = {}
        for grant in state.pool.list_unreported_spending():
            if not grant.own:
                lender = parse_grant_holder(grant.grant_id)
                totals_by_lender.setdefault(lender, {})[grant.grant_id] = grant.spent_total
        for lender, totals in totals_by_lender.items():
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

    def record_borrower_spending(self, state: BudgetState, message: TellSpending) -> None:
        """Records what a borrower spent of tokens lent by this router.

        The message holds running totals, so only the increase since the last one counts.
        """
        for grant_id, total in message.spent_totals.items():
            if parse_grant_holder(grant_id) != self._fleet.self_name:
                continue
            increase = total - self._reported_totals.get((grant_id, message.spender), 0)
            if increase > 0:
                self._reported_totals[(grant_id, message.spender)] = total
                state.pool.record_borrower_spending(grant_id, increase)

    async def give_free_tokens_to_nearest_peer(self, workspace: str, state: BudgetState) -> None:
        """Gives free tokens of own grants to the nearest peer.

        No second peer is tried: a lost reply does not show whether the first one credited them.
        """
        peers = self._fleet.list_peers()
        parts = state.pool.lend(state.pool.free) if peers else []
        if not parts:
            return
        await self._send_give_message(peers[0], self._build_give_message(workspace, parts))

    async def close(self) -> None:
        """Cancels transfers in flight; their tokens are stranded until recovery."""
        await self._background.cancel_all()

    def return_borrowed_tokens(self, workspace: str, state: BudgetState, keep: int = 0) -> None:
        """Starts to return borrowed tokens to the routers that drew them.

        Only the router that drew a grant may lend its tokens.

        Args:
            workspace: The workspace that the tokens belong to.
            state: The budget that they are debited from.
            keep: Free tokens to keep at this router.
        """
        parts_by_lender: dict[str, list[TransferPart]] = {}
        for part in state.pool.debit_borrowed(set(self._fleet.list_peers()), keep):
            parts_by_lender.setdefault(parse_grant_holder(part.grant_id), []).append(part)
        for lender, parts in parts_by_lender.items():
            message = self._build_give_message(workspace, parts)
            self._background.start(self._send_give_message(lender, message))

    def _build_give_message(self, workspace: str, parts: list[TransferPart]) -> GiveTokens:
        self._transfer_sequence += 1
        transfer_id = f"{self._fleet.self_name}/{self._transfer_sequence}"
        return GiveTokens(workspace=workspace, transfer_id=transfer_id, parts=parts)

    async def _send_give_message(self, peer: str, message: GiveTokens) -> None:
        """Sends given tokens; after a lost reply, repeats the message once under the same id."""
        for _ in range(2):
            try:
                await self._fleet.call(peer, message, PEER_TIMEOUT_SECONDS)
            except PeerError:
                continue
            self._metrics.count("budget.tokens_given")
            return
        self._metrics.count("budget.transfers_lost")

    async def recall_idle_tokens(self, workspace: str, borrowers: list[str], tokens: int) -> None:
        """Asks borrowers for tokens lent by this router, which they give back if none waits.

        Only the router that drew a grant may lend its tokens, so the reply itself lends none.
        """
        await asyncio.gather(
            *(self._request_transfer(name, workspace, tokens, tokens) for name in borrowers)
        )

    async def _request_transfer(
        self, peer: str, workspace: str, tokens: int, shortage: int
    ) -> TransferOffered | None:
        return await self._send_request(peer, self._build_request(workspace, tokens, shortage))

    def _build_request(
        self,
        workspace: str,
        tokens: int,
        shortage: int,
        *,
        draw: bool = False,
        free: int = 0,
        tokens_per_second: float = 0.0,
    ) -> RequestTransfer:
        self._transfer_sequence += 1
        return RequestTransfer(
            workspace=workspace,
            transfer_id=f"{self._fleet.self_name}/{self._transfer_sequence}",
            borrower=self._fleet.self_name,
            tokens=tokens,
            shortage=shortage,
            draw=draw,
            free=free,
            tokens_per_second=tokens_per_second,
        )

    async def _send_request(self, peer: str, message: RequestTransfer) -> TransferOffered | None:
        # After a lost reply the request is repeated once under the same id, so that tokens which
        # the lender has debited are not stranded.
        for _ in range(2 if message.tokens else 1):
            try:
                reply = await self._fleet.call(peer, message, PEER_TIMEOUT_SECONDS)
            except PeerError:
                continue
            return reply if isinstance(reply, TransferOffered) else None
        if message.tokens:
            self._metrics.count("budget.transfers_lost")
        return None

    def _credit(self, state: BudgetState, offer: TransferOffered) -> int:
        """Credits the parts of an offer, except those of fenced holders; returns their total."""
        credited_tokens = 0
        for part in offer.parts:
            if parse_grant_holder(part.grant_id) in self._fenced_holders:
                self._metrics.count("budget.transfers_fenced")
                continue
            own = parse_grant_holder(part.grant_id) == self._fleet.self_name
            state.pool.add_grant(part.grant_id, part.tokens, own=own)
            credited_tokens += part.tokens
        return credited_tokens

    def _count_lendable(self, state: BudgetState, message: RequestTransfer) -> int:
        """Returns how many tokens may be lent, given the requests waiting at this router.

        Of two routers with waiting requests, the one with the smaller shortage is served first;
        otherwise they would exchange the same tokens forever.
        """
        own_shortage = state.pool.shortage
        if not state.pool.waiting_tokens:
            return state.pool.free
        if (message.shortage, message.borrower) < (own_shortage, self._fleet.self_name):
            return state.pool.free
        return 0
