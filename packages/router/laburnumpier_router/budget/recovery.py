"""Closes the grants of processes that are proven dead.

The home of each account shard does this for its accounts. It first asks every process that may
still be alive what it holds of the dead one's grants; answering closes those grants for
further credit at the answering process. Bills that the dead process left in other hands are
submitted, and only what nobody holds or can prove is closed: released, or kept in doubt for an
operator to decide. While a single process has not answered, nothing is closed: it may be
spending the tokens.
"""

import asyncio
import collections

from laburnumpier_core.errors import PeerError, StoreError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .account import ChangeFailed, CloseGrant, RecordBill
from .peers import BudgetFleet, CollectHoldings, HoldingsCollected
from .service import BudgetService
from .slot import Bill
from .submitter import ChangeSubmitter

PEER_TIMEOUT_SECONDS = 2.0

_log = get_part_logger("recovery")


class GrantRecovery:
    """Recovers the grants of dead processes in the shards that this process is home of."""

    __slots__ = ("_budget", "_fleet", "_metrics", "_release_in_doubt", "_submitter")

    def __init__(
        self,
        *,
        budget: BudgetService,
        submitter: ChangeSubmitter,
        fleet: BudgetFleet,
        metrics: Metrics,
        release_in_doubt: bool,
    ):
        """Creates the recovery.

        Args:
            budget: This process's own holdings.
            submitter: Brings changes to the store.
            fleet: Other routers.
            metrics: Counters.
            release_in_doubt: The deployment's policy for tokens whose spending nobody can prove.
        """
        self._budget = budget
        self._submitter = submitter
        self._fleet = fleet
        self._metrics = metrics
        self._release_in_doubt = release_in_doubt

    async def recover(self, dead: str, *, clean: bool) -> None:
        """Closes what a dead process left open in the shards that this process is home of.

        Args:
            dead: Incarnation that is proven dead.
            clean: Whether it stopped gracefully, after which no spending is unproven.

        Raises:
            StoreError: If a shard cannot be read; the recovery is to be tried again.
        """
        holdings: tuple[dict[str, int], list[Bill]] | None = None
        for shard in range(self._submitter.shard_count):
            if self._fleet.find_home(f"shard/{shard}") != self._fleet.self_name:
                continue
            open_grants = await self._list_open_grants(shard, dead)
            if not open_grants:
                continue
            if holdings is None:
                holdings = await self._collect_holdings(dead)
            if holdings is None:
                return
            await self._close_grants(shard, open_grants, holdings, release=clean)

    async def has_open_grants(self, dead: str) -> bool:
        """Returns whether any shard still holds a grant of a dead process.

        Raises:
            StoreError: If a shard cannot be read.
        """
        for shard in range(self._submitter.shard_count):
            if await self._list_open_grants(shard, dead):
                return True
        return False

    async def _list_open_grants(self, shard: int, dead: str) -> list[tuple[str, str]]:
        accounts = (await self._submitter.get_writer(shard).read()).accounts
        return [
            (workspace, grant_id)
            for workspace, account in accounts.items()
            for grant_id, grant in account.grants.items()
            if grant.holder == dead
        ]

    async def _collect_holdings(self, dead: str) -> tuple[dict[str, int], list[Bill]] | None:
        """Asks every possible holder; None while one of them has not answered."""
        message = CollectHoldings(dead=dead)
        try:
            holders = await self._fleet.list_possible_holders()
        except StoreError:
            return None
        replies = await asyncio.gather(
            *(self._fleet.call(peer, message, PEER_TIMEOUT_SECONDS) for peer in holders),
            return_exceptions=True,
        )
        held: collections.Counter[str] = collections.Counter()
        bills: list[Bill] = []
        for peer, reply in zip(holders, replies, strict=True):
            if isinstance(reply, PeerError):
                _log.info("holder silent; grants stay open", fields={"holder": peer, "dead": dead})
                return None
            if isinstance(reply, BaseException):
                raise reply
            if not isinstance(reply, HoldingsCollected):
                return None
            held.update(reply.held)
            bills.extend(reply.bills)
        own = self._budget.collect_holdings(message)
        held.update(own.held)
        bills.extend(own.bills)
        return dict(held), bills

    async def _close_grants(
        self,
        shard: int,
        open_grants: list[tuple[str, str]],
        holdings: tuple[dict[str, int], list[Bill]],
        *,
        release: bool,
    ) -> None:
        """Submits the dead process's bills, then closes what no living process holds."""
        held, bills = holdings
        workspaces = {workspace for workspace, _ in open_grants}
        settled = await self._submitter.submit_here(
            shard, [RecordBill(bill=bill) for bill in bills if bill.workspace in workspaces]
        )
        if any(isinstance(result, ChangeFailed) for result in settled):
            return
        changes = [
            CloseGrant(
                workspace=workspace,
                grant_id=grant_id,
                keep_open=held.get(grant_id, 0),
                release=release or self._release_in_doubt,
            )
            for workspace, grant_id in open_grants
        ]
        results = await self._submitter.submit_here(shard, changes)
        closed = sum(getattr(result, "tokens", 0) for result in results)
        self._metrics.count("budget.recovered_tokens", closed)
        _log.info("dead holder's grants closed", fields={"shard": shard, "tokens": closed})
