"""Tokens of one budget that this process holds, and the reservations made from them.

Each held grant satisfies the invariant

    free + reserved + unsettled <= open amount in the account record

so tokens can be reserved and spent without a call to the store. A process lends only tokens of
grants that it drew itself. A borrowed token therefore has exactly one lender, the holder named in
its grant id, and recovery of a dead process can ask the other routers what they hold of its
grants.
"""

import asyncio
import dataclasses

import msgspec

from .slot import Charge

MAX_DROPPED_GRANTS = 300
"""Limit of used up grants of a pool that are kept, for tokens that are given back late and for a
store that comes back from an older copy."""


class TransferPart(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of one grant, as part of a transfer between routers or of a reservation."""

    grant_id: str
    tokens: int


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldGrant:
    """This process's part of one grant; all amounts are tokens.

    Attributes:
        own: Whether this process drew the grant itself.
        drawn: Tokens that this process drew with the grant; 0 for a borrowed one.
        free: Neither reserved nor spent.
        reserved: Reserved for requests in progress.
        unsettled: Spent, but not yet known to be settled in the store.
        spent_total: Running total spent without individual bills.
        settled_total: Part of `spent_total` that is known to be settled.
        returned_total: Running total returned by this process.
        confirmed_returned_total: Part of `returned_total` that the store has confirmed.
    """

    grant_id: str
    own: bool
    drawn: int = 0
    free: int = 0
    reserved: int = 0
    unsettled: int = 0
    spent_total: int = 0
    settled_total: int = 0
    returned_total: int = 0
    confirmed_returned_total: int = 0

    @property
    def is_finished(self) -> bool:
        """Whether no tokens are held and the store has confirmed all running totals."""
        returns_confirmed = self.returned_total == self.confirmed_returned_total
        return self.held == 0 and returns_confirmed and self.spent_total == self.settled_total

    @property
    def held(self) -> int:
        """Tokens of the grant that are free, reserved or unsettled here."""
        return self.free + self.reserved + self.unsettled


@dataclasses.dataclass(slots=True, kw_only=True)
class Reservation:
    """Tokens reserved for the maximum cost of one request.

    Attributes:
        parts: The reserved amounts by grant.
        closed: Whether the reservation has been settled or released.
    """

    workspace: str
    amount: int
    parts: list[TransferPart]
    closed: bool = False


class GrantPool:
    """The grants of one workspace that this process holds, and the amounts requests wait for."""

    __slots__ = (
        "_changed",
        "_dropped_grants",
        "_grants",
        "_waiting_amounts",
        "_workspace",
    )

    def __init__(self, *, workspace: str):
        """Creates an empty pool."""
        self._workspace = workspace
        self._grants: dict[str, HeldGrant] = {}
        self._changed = asyncio.Event()
        self._waiting_amounts: list[int] = []
        self._dropped_grants: dict[str, HeldGrant] = {}

    @property
    def grants(self) -> dict[str, HeldGrant]:
        """The held grants by grant id, in the order in which they were added."""
        return self._grants

    @property
    def free(self) -> int:
        """Tokens that can be reserved immediately."""
        return sum(grant.free for grant in self._grants.values())

    @property
    def lendable(self) -> int:
        """Free tokens of own grants, which alone may be lent."""
        return sum(grant.free for grant in self._grants.values() if grant.own)

    @property
    def reserved(self) -> int:
        """Tokens reserved for requests in progress."""
        return sum(grant.reserved for grant in self._grants.values())

    @property
    def unsettled(self) -> int:
        """Spent tokens that are not yet known to be settled in the store."""
        return sum(grant.unsettled for grant in self._grants.values())

    @property
    def coming(self) -> int:
        """Tokens that are reserved or being returned, and may become free here or in the store."""
        returning = sum(
            g.returned_total - g.confirmed_returned_total for g in self._grants.values()
        )
        return self.reserved + returning

    @property
    def waiting_tokens(self) -> int:
        """Tokens needed by all requests that wait in this process."""
        return sum(self._waiting_amounts)

    @property
    def shortage(self) -> int:
        """Tokens missing to admit all waiting requests."""
        return max(0, self.waiting_tokens - self.free)

    @property
    def smallest_shortage(self) -> int:
        """Tokens missing to admit the smallest waiting request; 0 if none waits."""
        return max(0, min(self._waiting_amounts, default=0) - self.free)

    def add_waiter(self, tokens: int) -> None:
        """Registers a request that waits for tokens."""
        self._waiting_amounts.append(tokens)

    def remove_waiter(self, tokens: int) -> None:
        """Removes one waiting request of this amount."""
        self._waiting_amounts.remove(tokens)

    @property
    def has_change(self) -> bool:
        """Whether free tokens may have been added since a request began to wait."""
        return self._changed.is_set()

    async def wait_until_added(self) -> None:
        """Waits until free tokens may have been added."""
        self._changed.clear()
        await self._changed.wait()

    async def wait_for_change(self, timeout_seconds: float) -> None:
        """Waits until free tokens may have been added, or until the timeout."""
        self._changed.clear()
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_seconds)
        except TimeoutError:
            return

    def add_drawn_grant(self, grant_id: str, amount: int) -> None:
        """Adds the tokens of a grant that this process has just drawn."""
        self.add_grant(grant_id, amount, own=True)
        self._grants[grant_id].drawn += amount

    def add_grant(self, grant_id: str, amount: int, *, own: bool) -> None:
        """Adds borrowed tokens, or lent ones that were given back.

        Args:
            grant_id: The grant that the tokens belong to.
            amount: Number of tokens.
            own: Whether this process drew the grant.
        """
        grant = self._grants.get(grant_id)
        if grant is None:
            # The store keeps this process's running totals, which include what was returned and
            # spent before the grant was dropped here.
            grant = self._dropped_grants.pop(grant_id, None) or HeldGrant(
                grant_id=grant_id, own=own
            )
            self._grants[grant_id] = grant
        grant.free += amount
        self._changed.set()

    def list_drawn_grants(self) -> list[HeldGrant]:
        """Returns the grants that this process drew, including those that are used up."""
        grants = [*self._dropped_grants.values(), *self._grants.values()]
        return [grant for grant in grants if grant.drawn]

    def forget_confirmed_returns(self) -> None:
        """Has all running totals of returned tokens written again."""
        for grant in self._grants.values():
            grant.confirmed_returned_total = 0

    def reserve(self, amount: int) -> Reservation | None:
        """Reserves tokens, oldest grants first.

        Args:
            amount: The maximum cost of the request.

        Returns:
            The reservation, or None if too few tokens are free.
        """
        if self.free < amount:
            return None
        parts = []
        remaining = amount
        for grant in self._grants.values():
            taken = min(remaining, grant.free)
            if taken:
                grant.free -= taken
                grant.reserved += taken
                parts.append(TransferPart(grant_id=grant.grant_id, tokens=taken))
                remaining -= taken
        return Reservation(workspace=self._workspace, amount=amount, parts=parts)

    def settle(self, reservation: Reservation, used: int) -> tuple[Charge, ...]:
        """Converts a reservation into charges for the actual usage and frees the rest.

        Args:
            reservation: The reservation; if it is already closed, nothing is charged.
            used: Tokens actually used; usage beyond the reservation is not charged.

        Returns:
            The charges of the bill, oldest grants first. They stay unsettled in the pool until
            `confirm` or `refund` is called with them.
        """
        if reservation.closed:
            return ()
        reservation.closed = True
        charges = []
        remaining = min(used, reservation.amount)
        for part in reservation.parts:
            grant = self._grants[part.grant_id]
            spent = min(remaining, part.tokens)
            remaining -= spent
            grant.reserved -= part.tokens
            grant.free += part.tokens - spent
            if spent:
                grant.unsettled += spent
                charges.append(Charge(grant_id=part.grant_id, tokens=spent))
        self._changed.set()
        return tuple(charges)

    def spend(self, reservation: Reservation, used: int) -> int:
        """Spends part of a reservation without a bill and frees the rest.

        Args:
            reservation: The reservation; if it is already closed, nothing is charged.
            used: Tokens actually used; usage beyond the reservation is not charged.

        Returns:
            The tokens charged. They stay unsettled until `confirm_spending` is called.
        """
        charges = self.settle(reservation, used)
        for charge in charges:
            self._grants[charge.grant_id].spent_total += charge.tokens
        return sum(charge.tokens for charge in charges)

    def list_unreported_spending(self) -> list[HeldGrant]:
        """Returns the grants whose `spent_total` is not completely settled."""
        return [
            grant for grant in self._grants.values() if grant.spent_total > grant.settled_total
        ]

    def confirm_spending(self, grant_id: str, spent_total: int) -> None:
        """Removes settled spending from `unsettled`, and drops the grant if it is finished."""
        grant = self._grants.get(grant_id)
        if grant is None:
            return
        newly_settled = max(0, spent_total - grant.settled_total)
        grant.settled_total += newly_settled
        grant.unsettled -= newly_settled
        if grant.is_finished:
            self._drop_grant(grant)

    def release(self, reservation: Reservation) -> None:
        """Frees all tokens of a reservation."""
        self.settle(reservation, 0)

    def confirm(self, charges: tuple[Charge, ...]) -> None:
        """Removes the charges of a stored bill from `unsettled`, and drops finished grants."""
        for charge in charges:
            grant = self._grants[charge.grant_id]
            grant.unsettled -= charge.tokens
            if grant.is_finished:
                self._drop_grant(grant)
        self._changed.set()

    def refund(self, charges: tuple[Charge, ...]) -> None:
        """Frees the charges of a bill that was dropped because the request already had one."""
        for charge in charges:
            grant = self._grants[charge.grant_id]
            grant.unsettled -= charge.tokens
            grant.free += charge.tokens
        self._changed.set()

    def lend(self, wanted: int) -> list[TransferPart]:
        """Debits free tokens of own grants for a peer.

        Args:
            wanted: Tokens that the peer requests.

        Returns:
            The debited parts; their sum may be less than `wanted`, or 0.
        """
        parts = []
        remaining = wanted
        for grant in self._grants.values():
            if not grant.own:
                continue
            taken = min(remaining, grant.free)
            if taken:
                grant.free -= taken
                parts.append(TransferPart(grant_id=grant.grant_id, tokens=taken))
                remaining -= taken
        return parts

    def record_borrower_spending(self, grant_id: str, tokens: int) -> None:
        """Records that a borrower spent tokens lent from an own grant."""
        if grant_id not in self._grants:
            self.add_grant(grant_id, 0, own=True)
        grant = self._grants[grant_id]
        grant.spent_total += tokens
        grant.unsettled += tokens

    def debit_borrowed(self, lenders: set[str], keep: int = 0) -> list[TransferPart]:
        """Debits free borrowed tokens in order to give them back to their lenders.

        Args:
            lenders: Incarnations of the reachable lenders.
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

    def mark_excess_returned(self, keep: int) -> None:
        """Adds free tokens beyond `keep` to the returned totals, newest grants first.

        Args:
            keep: Free tokens that stay in the pool.
        """
        excess = max(0, self.free - keep)
        for grant in reversed(list(self._grants.values())):
            taken = min(excess, grant.free)
            if taken:
                grant.free -= taken
                grant.returned_total += taken
                excess -= taken

    def list_unconfirmed_returns(self) -> list[HeldGrant]:
        """Returns the grants whose `returned_total` the store has not confirmed."""
        return [
            grant
            for grant in self._grants.values()
            if grant.returned_total > grant.confirmed_returned_total
        ]

    def confirm_return(self, grant_id: str, returned_total: int) -> None:
        """Records that the store has applied a running total of returned tokens."""
        grant = self._grants.get(grant_id)
        if grant is not None:
            grant.confirmed_returned_total = max(grant.confirmed_returned_total, returned_total)

    def drop_finished(self) -> None:
        """Drops grants of which no tokens are held and all running totals are confirmed."""
        for grant in [grant for grant in self._grants.values() if grant.is_finished]:
            self._drop_grant(grant)

    def _drop_grant(self, grant: HeldGrant) -> None:
        """Drops a grant but keeps its running totals, since tokens of it may be received again."""
        del self._grants[grant.grant_id]
        self._dropped_grants[grant.grant_id] = grant
        while len(self._dropped_grants) > MAX_DROPPED_GRANTS:
            self._dropped_grants.pop(next(iter(self._dropped_grants)))


def parse_grant_holder(grant_id: str) -> str:
    """Returns the incarnation that drew a grant, the first part of the grant id."""
    return grant_id.split("/", 1)[0]
