"""What the budget aggregate asks of other routers.

The messages are plain records; the fleet aggregate carries them. Losing any of them never creates
tokens: a transfer is debited by the lender before the reply leaves, and credited once by its id.
"""

import dataclasses
from typing import Protocol

import msgspec

from .account import Change, ChangeResult
from .grant_pool import TransferPart
from .slot import Bill


class SubmitChanges(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the home of a shard to write changes together with those of others."""

    shard: int
    changes: list[Change]


class ChangesSubmitted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The results of the changes, in order."""

    results: list[ChangeResult]


class RequestTransfer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a peer for unused tokens; `tokens` of 0 only asks what the peer holds.

    Attributes:
        transfer_id: Identity under which the lender remembers its reply.
        shortage: Tokens for which requests wait at the borrower.
        draw: Whether the peer is asked as the one that draws for the fleet. It then does, whoever
            it takes for that itself: views of the fleet differ for a while.
    """

    workspace: str
    transfer_id: str
    borrower: str
    tokens: int
    shortage: int
    draw: bool = False


class AccountSeen(msgspec.Struct, frozen=True, kw_only=True):
    """What the store told of an account.

    Attributes:
        unspent: Tokens of the whole budget that are neither billed nor in doubt, wherever they
            are; it only shrinks until the configuration changes.
        available: Tokens that could still be granted.
        in_doubt: Tokens of closed grants that may or may not have been spent.
        configuration_number: Number of the configuration that the purchased total is from.
    """

    unspent: int
    available: int
    in_doubt: int
    configuration_number: int


class TransferOffered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The lender's reply.

    Attributes:
        parts: Tokens lent, already debited at the lender.
        free: Tokens that are free there.
        coming: Tokens there that are reserved or on their way back, and may become free.
        account: What the lender knows of the account; None if nothing.
    """

    parts: list[TransferPart]
    free: int
    coming: int
    account: AccountSeen | None = None


class TellSpending(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells the router that lent tokens what was spent of them, in running totals by grant."""

    workspace: str
    spender: str
    spent_totals: dict[str, int]


class GiveTokens(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Gives a peer tokens that it did not ask for.

    A router that stops during a store outage gives away what it holds, and one that is asked for
    tokens which it has itself borrowed gives them back to the router that drew them.
    """

    workspace: str
    transfer_id: str
    parts: list[TransferPart]


class KeepBills(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks another router to keep copies of bills that the store has not taken yet."""

    owner: str
    bills: list[Bill]


class CollectHoldings(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks what a router holds of a dead process's grants, and closes them for further credit."""

    dead: str


class HoldingsCollected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What a router holds: tokens by grant id, and bills that are not durable yet."""

    held: dict[str, int]
    bills: list[Bill]


class Acknowledged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A reply without content."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetTerms:
    """A workspace's purchased total and the number of the configuration that states it."""

    purchased: int
    configuration_number: int


class BudgetFleet(Protocol):
    """The budget aggregate's view of the fleet."""

    @property
    def self_name(self) -> str:
        """Incarnation of this process."""

    def list_peers(self) -> list[str]:
        """Returns the incarnations of the other live routers, nearest first."""

    def find_home(self, key: str) -> str:
        """Returns the incarnation that a key is placed on; it may be this process."""

    def list_writers(self, key: str) -> list[str]:
        """Returns this process and those that reach the store, the preferred one first."""

    async def list_possible_holders(self) -> list[str]:
        """Returns every other incarnation in the store that is not proven dead."""

    async def call(self, peer: str, message: object, timeout_seconds: float) -> object:
        """Sends a message and returns the reply; raises `PeerUnreachableError`."""


class BudgetConfiguration(Protocol):
    """The budget aggregate's view of the configuration."""

    def find_budget_terms(self, workspace: str) -> BudgetTerms | None:
        """Returns the terms of a workspace's budget, or None when it has none."""

    def list_budgets(self, limit: int) -> list[str]:
        """Returns the workspaces that have a budget, or none when there are more than `limit`."""
