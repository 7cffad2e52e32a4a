"""The tokens of one budget that this process holds, and the reservations made from them.

For each held grant, at every moment:

    free + reserved + unsettled <= amount still open in the account record

so tokens may be reserved and spent without asking the store. Only tokens of the process's own
grants are lent to peers: a borrowed token has exactly one lender, which lets recovery ask for
what is held.
"""

import asyncio
import dataclasses

import msgspec

from .slot import Charge

MAX_PAST_RETURNS = 1000


class TransferPart(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of one grant that move from a lender to a borrower."""

    grant_id: str
    tokens: int


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldGrant:
    """What this process holds of one grant; all amounts are tokens.

    Attributes:
        own: Whether this process drew the grant itself.
        free: Neither reserved nor spent.
        reserved: Set aside for requests in progress.
        unsettled: Spent, but the store is not known to have settled it yet.
        spent_total: Spent so far without a bill of its own.
        settled_total: Part of `spent_total` that the store is known to have settled.
        returned_total: Handed back so far by this process.
        reported_total: Part of `returned_total` that the store is known to have taken.
    """

    grant_id: str
    own: bool
    free: int = 0
    reserved: int = 0
    unsettled: int = 0
    spent_total: int = 0
    settled_total: int = 0
    returned_total: int = 0
    confirmed_returned_total: int = 0

    @property
    def is_finished(self) -> bool:
        """Whether nothing is held and nothing is left to report."""
        reported = self.returned_total == self.confirmed_returned_total
        return self.held == 0 and reported and self.spent_total == self.settled_total

    @property
    def held(self) -> int:
        """Tokens of the grant that this process may have spent or may still spend."""
        return self.free + self.reserved + self.unsettled


@dataclasses.dataclass(slots=True, kw_only=True)
class Reservation:
    """Tokens set aside for the greatest cost of one request.

    Attributes:
        parts: The grants and amounts that the reservation is made of.
        closed: Whether it was settled or released already.
    """

    workspace: str
    amount: int
    parts: list[TransferPart]
    closed: bool = False


class GrantPool:
    """Holds the grants of one workspace in this process."""

    __slots__ = (
        "_changed",
        "_grants",
        "_past_returns",
        "_past_spending",
        "_waiting",
        "_workspace",
    )

    def __init__(self, *, workspace: str):
        """Creates an empty pool."""
        self._workspace = workspace
        self._grants: dict[str, HeldGrant] = {}
        self._changed = asyncio.Event()
        self._waiting: list[int] = []
        self._past_returns: dict[str, int] = {}
        self._past_spending: dict[str, int] = {}

    @property
    def grants(self) -> dict[str, HeldGrant]:
        """The held grants by grant id, oldest first."""
        return self._grants

    @property
    def free(self) -> int:
        """Tokens that can be reserved at once."""
        return sum(grant.free for grant in self._grants.values())

    @property
    def reserved(self) -> int:
        """Tokens set aside for requests in progress."""
        return sum(grant.reserved for grant in self._grants.values())

    @property
    def unsettled(self) -> int:
        """Tokens spent whose bills are not known to be durable."""
        return sum(grant.unsettled for grant in self._grants.values())

    @property
    def coming(self) -> int:
        """Tokens that are reserved or on their way back, and may become free somewhere."""
        returning = sum(
            g.returned_total - g.confirmed_returned_total for g in self._grants.values()
        )
        return self.reserved + returning

    @property
    def waiting_tokens(self) -> int:
        """Tokens for which requests are waiting in this process."""
        return sum(self._waiting)

    @property
    def shortage(self) -> int:
        """Tokens that all waiting requests together lack."""
        return max(0, self.waiting_tokens - self.free)

    @property
    def smallest_shortage(self) -> int:
        """Tokens that the smallest waiting request lacks; 0 when none waits."""
        return max(0, min(self._waiting, default=0) - self.free)

    def add_waiter(self, tokens: int) -> None:
        """Counts a request that waits for tokens."""
        self._waiting.append(tokens)

    def remove_waiter(self, tokens: int) -> None:
        """Ends the wait of one request for that many tokens."""
        self._waiting.remove(tokens)

    async def wait_for_change(self, timeout_seconds: float) -> None:
        """Waits until tokens may have become free, or until the timeout."""
        self._changed.clear()
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_seconds)
        except TimeoutError:
            return

    def add_grant(self, grant_id: str, amount: int, *, own: bool) -> None:
        """Adds drawn or borrowed tokens.

        Args:
            grant_id: The grant that the tokens belong to.
            amount: Number of tokens.
            own: Whether this process drew the grant.
        """
        grant = self._grants.get(grant_id)
        if grant is None:
            # The store counts this process's returns and spending in total, also those before
            # the grant was forgotten here.
            returned = self._past_returns.pop(grant_id, 0)
            spent = self._past_spending.pop(grant_id, 0)
            grant = HeldGrant(
                grant_id=grant_id,
                own=own,
                returned_total=returned,
                confirmed_returned_total=returned,
                spent_total=spent,
                settled_total=spent,
            )
            self._grants[grant_id] = grant
        grant.free += amount
        self._changed.set()

    def reserve(self, amount: int) -> Reservation | None:
        """Sets tokens aside, oldest grants first.

        Args:
            amount: The greatest cost of the request.

        Returns:
            The reservation, or None when too few tokens are free.
        """
        if self.free < amount:
            return None
        parts = []
        left = amount
        for grant in self._grants.values():
            taken = min(left, grant.free)
            if taken:
                grant.free -= taken
                grant.reserved += taken
                parts.append(TransferPart(grant_id=grant.grant_id, tokens=taken))
                left -= taken
        return Reservation(workspace=self._workspace, amount=amount, parts=parts)

    def settle(self, reservation: Reservation, used: int) -> tuple[Charge, ...]:
        """Turns a reservation into charges for the real usage and frees the rest.

        Args:
            reservation: The reservation; it may be settled once.
            used: Tokens really used; what exceeds the reservation is not charged.

        Returns:
            The charges of the bill, oldest grants first. They stay unsettled in the pool until
            `confirm` or `refund` is called with them.
        """
        if reservation.closed:
            return ()
        reservation.closed = True
        charges = []
        left = min(used, reservation.amount)
        for part in reservation.parts:
            grant = self._grants[part.grant_id]
            spent = min(left, part.tokens)
            left -= spent
            grant.reserved -= part.tokens
            grant.free += part.tokens - spent
            if spent:
                grant.unsettled += spent
                charges.append(Charge(grant_id=part.grant_id, tokens=spent))
        self._changed.set()
        return tuple(charges)

    def spend(self, reservation: Reservation, used: int) -> int:
        """Spends part of a reservation without a bill, and frees the rest.

        Args:
            reservation: The reservation; it may be spent once.
            used: Tokens really used; what exceeds the reservation is not charged.

        Returns:
            The tokens charged. They stay unsettled until `confirm_spending`.
        """
        charges = self.settle(reservation, used)
        for charge in charges:
            self._grants[charge.grant_id].spent_total += charge.tokens
        return sum(charge.tokens for charge in charges)

    def list_unreported_spending(self) -> list[HeldGrant]:
        """Returns the grants whose `spent_total` is to be reported to the store."""
        return [
            grant for grant in self._grants.values() if grant.spent_total > grant.settled_total
        ]

    def confirm_spending(self, grant_id: str, spent_total: int) -> None:
        """Forgets spending that the store has settled, and grants that are used up."""
        grant = self._grants.get(grant_id)
        if grant is None:
            return
        fresh = max(0, spent_total - grant.settled_total)
        grant.settled_total += fresh
        grant.unsettled -= fresh
        if grant.is_finished:
            self._forget(grant)

    def release(self, reservation: Reservation) -> None:
        """Frees a whole reservation."""
        self.settle(reservation, 0)

    def confirm(self, charges: tuple[Charge, ...]) -> None:
        """Forgets charges whose bill is durable, and grants that are used up."""
        for charge in charges:
            grant = self._grants[charge.grant_id]
            grant.unsettled -= charge.tokens
            if grant.is_finished:
                self._forget(grant)
        self._changed.set()

    def refund(self, charges: tuple[Charge, ...]) -> None:
        """Frees charges whose bill was dropped because the request was billed before."""
        for charge in charges:
            grant = self._grants[charge.grant_id]
            grant.unsettled -= charge.tokens
            grant.free += charge.tokens
        self._changed.set()

    def lend(self, wanted: int) -> list[TransferPart]:
        """Debits free tokens of own grants for a peer.

        Args:
            wanted: Tokens that the peer asks for.

        Returns:
            What was debited; it may be less than wanted, or nothing.
        """
        parts = []
        left = wanted
        for grant in self._grants.values():
            if not grant.own:
                continue
            taken = min(left, grant.free)
            if taken:
                grant.free -= taken
                parts.append(TransferPart(grant_id=grant.grant_id, tokens=taken))
                left -= taken
        return parts

    def record_borrower_spending(self, grant_id: str, tokens: int) -> None:
        """Takes in that a borrower spent lent tokens of an own grant."""
        if grant_id not in self._grants:
            self.add_grant(grant_id, 0, own=True)
        grant = self._grants[grant_id]
        grant.spent_total += tokens
        grant.unsettled += tokens

    def debit_borrowed(self, lenders: set[str], keep: int = 0) -> list[TransferPart]:
        """Debits free tokens that were borrowed from the given lenders, to be given back.

        Args:
            lenders: Incarnations of lenders that can be reached.
            keep: Free tokens that stay in the pool.

        Returns:
            The debited parts.
        """
        parts = []
        excess = max(0, self.free - keep)
        for grant in self._grants.values():
            taken = min(excess, grant.free)
            if taken and not grant.own and parse_grant_holder(grant.grant_id) in lenders:
                parts.append(TransferPart(grant_id=grant.grant_id, tokens=taken))
                grant.free -= taken
                excess -= taken
        return parts

    def mark_excess_returned(self, keep: int) -> list[HeldGrant]:
        """Counts free tokens beyond `keep` as returned, newest grants first.

        Args:
            keep: Free tokens that stay in the pool.

        Returns:
            The grants whose `returned_total` must be reported to the store.
        """
        excess = max(0, self.free - keep)
        for grant in reversed(list(self._grants.values())):
            taken = min(excess, grant.free)
            if taken:
                grant.free -= taken
                grant.returned_total += taken
                excess -= taken
        return [
            grant
            for grant in self._grants.values()
            if grant.returned_total > grant.confirmed_returned_total
        ]

    def drop_finished(self) -> None:
        """Forgets grants of which nothing is held and nothing is left to report."""
        for grant in [grant for grant in self._grants.values() if grant.is_finished]:
            self._forget(grant)

    def _forget(self, grant: HeldGrant) -> None:
        """Drops a grant, but not its running totals: tokens of it may come again."""
        del self._grants[grant.grant_id]
        if grant.spent_total:
            self._past_spending[grant.grant_id] = grant.spent_total
            while len(self._past_spending) > MAX_PAST_RETURNS:
                self._past_spending.pop(next(iter(self._past_spending)))
        if grant.returned_total:
            self._past_returns[grant.grant_id] = grant.returned_total
            while len(self._past_returns) > MAX_PAST_RETURNS:
                self._past_returns.pop(next(iter(self._past_returns)))


def parse_grant_holder(grant_id: str) -> str:
    """Returns the incarnation that drew a grant, which is the first part of its id."""
    return grant_id.split("/", 1)[0]
