"""Messages that the budget package exchanges with other routers, and the ports that it needs.

The messages are plain records; the fleet package delivers them. Losing one never creates tokens:
the lender debits a transfer before it replies, and the borrower credits each transfer id once.
"""

import dataclasses
from typing import Protocol

import msgspec

from .account import Change, ChangeResult, RestateGrants
from .grant_pool import TransferPart
from .restatement import ShardCopy
from .slot import Bill


class SubmitChanges(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the home of a shard to write changes, batched with those of other routers."""

    shard: int
    changes: list[Change]


class ChangesSubmitted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The results of the changes, in order."""

    results: list[ChangeResult]


class KeepShardCopy(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Gives a peer the record of a shard with a draw that otherwise only the sender knows of."""

    shard: int
    copy: ShardCopy


class RecallShard(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a router what it knows of a shard, after the store came back from an older copy.

    Attributes:
        era: The new era. Once the router has answered, it credits no draw of an earlier one.
    """

    shard: int
    era: int


class ShardRecalled(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What a router knows of a shard.

    Attributes:
        copy: The newest record that it wrote or keeps; None if it has none.
        statements: The grants that it drew, by workspace.
        recent_routers: Incarnations of the other routers from which it heard a short time ago.
        running_seconds: How long the router has been running.
    """

    copy: ShardCopy | None
    statements: list[RestateGrants]
    recent_routers: list[str]
    running_seconds: float


class RequestTransfer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a peer for unused tokens; `tokens` of 0 only queries what the peer holds.

    Attributes:
        transfer_id: Id under which the lender stores its reply, for repeated requests.
        shortage: Tokens that waiting requests lack at the borrower.
        draw: Whether the peer is asked as the router that draws for the fleet. It then draws even
            if its own view of the fleet names another lender, as views can differ for a while.
        free: Free tokens of the borrower; with `tokens_per_second` they limit what it is lent
            beyond its shortage.
        tokens_per_second: What the borrower's requests asked for in the last second.
    """

    workspace: str
    transfer_id: str
    borrower: str
    tokens: int
    shortage: int
    draw: bool = False
    free: int = 0
    tokens_per_second: float = 0.0


class AccountSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Balances of an account as the store last returned them.

    Attributes:
        unspent: Tokens of the whole budget that are neither billed nor in doubt, whichever process
            holds them. It only decreases until the configuration changes.
        available: Tokens that can still be granted.
        in_doubt: Tokens of closed grants that may or may not have been spent.
        configuration_number: Number of the configuration that states the purchased total.
    """

    unspent: int
    available: int
    in_doubt: int
    configuration_number: int


class TransferOffered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The lender's reply to `RequestTransfer`.

    Attributes:
        parts: Tokens lent, already debited at the lender.
        free: Free tokens that remain at the lender.
        coming: Tokens at the lender that are reserved or being returned, and may become free.
        account: The balances that the lender last saw; None if it has seen none.
    """

    parts: list[TransferPart]
    free: int
    coming: int
    account: AccountSeen | None = None


class TellSpending(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports spending of borrowed tokens to their lender, as running totals by grant id."""

    workspace: str
    spender: str
    spent_totals: dict[str, int]


class GiveTokens(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Transfers tokens to a peer that did not ask for them.

    A router that stops during a store outage gives its free tokens to a peer, and a router that
    is asked for tokens that it has itself borrowed returns them to the router that drew them.
    """

    workspace: str
    transfer_id: str
    parts: list[TransferPart]


class KeepBills(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks another router to keep copies of bills that are not durable yet."""

    owner: str
    bills: list[Bill]


class CollectHoldings(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks what a router holds of a dead process's grants, and has it refuse further credit."""

    dead: str


class HoldingsCollected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A router's holdings of a dead process: tokens by grant id, and bills not durable yet."""

    held: dict[str, int]
    bills: list[Bill]


class Acknowledged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An empty reply."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfiguredBudget:
    """A workspace's purchased total, and the number of the configuration that states it."""

    purchased: int
    configuration_number: int


class BudgetFleet(Protocol):
    """Port through which the budget package sees the fleet."""

    @property
    def self_name(self) -> str:
        """Incarnation of this process."""

    def list_peers(self) -> list[str]:
        """Returns the incarnations of the other live routers, nearest first."""

    def find_home(self, key: str) -> str:
        """Returns the incarnation that a key is assigned to; it may be this process."""

    def list_writers(self, key: str) -> list[str]:
        """Returns this process and the routers that reach the store, the preferred one first."""

    def list_recent_routers(self, seconds: float) -> list[str]:
        """Returns the other incarnations from which this process heard within some seconds.

        Those that have stopped gracefully or are about to are not among them.
        """

    async def list_possible_holders(self) -> list[str]:
        """Returns every other incarnation registered in the store that is not proven dead."""

    async def call(self, peer: str, message: object, timeout_seconds: float) -> object:
        """Sends a message and returns the reply; raises `PeerUnreachableError`."""


class BudgetConfiguration(Protocol):
    """Port through which the budget package reads the configuration."""

    def find_configured_budget(self, workspace: str) -> ConfiguredBudget | None:
        """Returns the configured budget of a workspace, or None if it has none."""

    def list_budgets(self, limit: int) -> list[str]:
        """Returns the workspaces with a budget; an empty list if there are more than `limit`."""
