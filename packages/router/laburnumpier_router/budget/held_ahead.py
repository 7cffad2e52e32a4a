"""Limits what the borrowers of a budget hold ahead of their requests.

It answers callers that crowd at a few routers of a large fleet. Tokens at a borrower are spent
without a message, also while the routers are cut off from each other. But they are lost if the
borrower is killed, and no other router can spend them. The lender therefore knows what each
borrower held after its last loan, which is an upper bound until the next one, and lends ahead only
while all of them together hold a bounded share of what is drawable.
"""

import dataclasses
import math

from .holding import EVENLY_HELD_SHARE, compute_fullness

HELD_AHEAD_SHARE = 0.2
"""Maximum share of the drawable tokens that all borrowers together hold, while a third of the
budget is drawable. The lender holds as much; both are what the lender alone held before."""
MAX_EVEN_SHARE = 0.1
"""Maximum share of the drawable tokens that even parts take when they are raised to the minimum.
Without a minimum, routers with few callers hold less than one request needs when a cut begins. At
the last tenth of a budget this is 1% of it, so that 97% stay usable after a kill of all."""
RATE_TRUST_SECONDS = 3.0
"""Age after which a borrower's reported rate counts as 0. A busy borrower reports it with each
loan, several times a second."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Balance:
    """What is known of a budget when holdings are limited; amounts in tokens.

    Attributes:
        purchased: Purchased total.
        drawable: Tokens that can still be granted or lent; None if not known yet.
        held_share: Maximum share of the drawable tokens that borrowers hold together.
        routers: Number of routers, which share the evenly held part.
        minimum_tokens: Tokens that each router should hold for a small request at least.
    """

    purchased: int
    drawable: int | None
    held_share: float
    routers: int
    minimum_tokens: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Borrower:
    """What the lender knows of one borrower.

    Attributes:
        held_tokens: Upper bound of its free tokens.
        tokens_per_second: Demand that it reported.
        reported_seconds: Monotonic time of that report.
    """

    held_tokens: int
    tokens_per_second: float
    reported_seconds: float


def compute_ahead_tokens(balance: Balance) -> int:
    """Returns how many tokens all borrowers together may hold ahead of their requests."""
    return max(_compute_shared_tokens(balance), balance.routers * _compute_minimum(balance))


def compute_even_tokens(balance: Balance) -> int:
    """Returns how many tokens each router may hold before any demand is measured."""
    even_tokens = _compute_shared_tokens(balance) * EVENLY_HELD_SHARE / max(1, balance.routers)
    return max(int(even_tokens), _compute_minimum(balance))


def _compute_shared_tokens(balance: Balance) -> int:
    drawable = _get_drawable(balance)
    return int(drawable * balance.held_share * compute_fullness(drawable, balance.purchased))


def _compute_minimum(balance: Balance) -> int:
    """Returns the minimum of each router, as far as the budget allows it."""
    drawable = _get_drawable(balance)
    allowed = drawable * compute_fullness(drawable, balance.purchased)
    even_limit = MAX_EVEN_SHARE * drawable / max(1, balance.routers)
    return int(min(balance.minimum_tokens, allowed, even_limit))


def _get_drawable(balance: Balance) -> int:
    return balance.purchased if balance.drawable is None else balance.drawable


class HeldAhead:
    """The borrowers of one budget, as its lender knows them."""

    __slots__ = ("_borrowers",)

    def __init__(self):
        """Creates a record without borrowers."""
        self._borrowers: dict[str, Borrower] = {}

    @property
    def held_by_borrower(self) -> dict[str, int]:
        """Upper bound of each borrower's free tokens."""
        return {name: borrower.held_tokens for name, borrower in self._borrowers.items()}

    @property
    def total_tokens(self) -> int:
        """Upper bound of the free tokens of all borrowers."""
        return sum(borrower.held_tokens for borrower in self._borrowers.values())

    def record_report(
        self, name: str, held_tokens: int, tokens_per_second: float, now_seconds: float
    ) -> bool:
        """Records what a borrower says that it holds and what its requests ask for.

        Returns:
            Whether the figures can be true; otherwise nothing is recorded.
        """
        is_rate = math.isfinite(tokens_per_second) and tokens_per_second >= 0
        if held_tokens < 0 or not is_rate:
            return False
        self._borrowers[name] = Borrower(
            held_tokens=held_tokens,
            tokens_per_second=tokens_per_second,
            reported_seconds=now_seconds,
        )
        return True

    def record_loan(self, name: str, tokens: int) -> None:
        """Adds the part of a loan that no waiting request needs."""
        if name in self._borrowers:
            self._borrowers[name].held_tokens += max(0, tokens)

    def keep_only(self, live: set[str]) -> None:
        """Forgets borrowers that are no longer in the fleet."""
        for name in [name for name in self._borrowers if name not in live]:
            del self._borrowers[name]

    def compute_room(self, name: str, balance: Balance, now_seconds: float) -> int:
        """Returns how many tokens may be lent to a borrower beyond what its requests lack.

        Half of what all borrowers may hold is divided evenly, the other half by their demand.
        """
        borrower = self._borrowers.get(name)
        if borrower is None:
            return 0
        ahead_tokens = compute_ahead_tokens(balance)
        part = (1 - EVENLY_HELD_SHARE) * ahead_tokens * self._compute_rate_part(name, now_seconds)
        own_limit = int(part) + compute_even_tokens(balance)
        room_of_all = ahead_tokens - self.total_tokens
        return max(0, min(own_limit - borrower.held_tokens, room_of_all))

    def list_holders(self, excluded: str, limit: int) -> list[str]:
        """Returns the borrowers that hold the most, to be asked for their idle tokens.

        Args:
            excluded: A borrower that needs tokens itself.
            limit: Maximum number of borrowers.
        """
        holders = [
            name
            for name, borrower in self._borrowers.items()
            if borrower.held_tokens and name != excluded
        ]
        holders.sort(key=lambda name: self._borrowers[name].held_tokens, reverse=True)
        return holders[:limit]

    def clear_holder(self, name: str) -> None:
        """Records that a borrower was asked to give back what it holds."""
        if name in self._borrowers:
            self._borrowers[name].held_tokens = 0

    def _compute_rate_part(self, name: str, now_seconds: float) -> float:
        rates = {
            other: borrower.tokens_per_second
            for other, borrower in self._borrowers.items()
            if now_seconds - borrower.reported_seconds < RATE_TRUST_SECONDS
        }
        total = sum(rates.values())
        return rates.get(name, 0.0) / total if total else 0.0
