"""Closes the grants of processes that are proven dead.

The home of each account shard recovers the grants of its accounts. It first asks every process
that may be alive what it holds of the dead process's grants; a process that answers refuses
further credit of those grants. Copies of the dead process's bills kept at other routers are
submitted next. Tokens that no process holds and no bill accounts for are then closed: released, or
kept in doubt for an operator to decide. Nothing is closed until every process has answered, as a
silent one may be spending the tokens.
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

COLLECT_TIMEOUT_SECONDS = 2.0

_log = get_part_logger("recovery")


class GrantRecovery:
    """Recovers the grants of dead processes in the shards whose home is this process."""

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
            budget: Holdings of this process.
            submitter: Submits changes to the store.
            fleet: Other routers.
            metrics: Counters.
            release_in_doubt: Whether the deployment releases tokens whose spending cannot be
                proven, instead of keeping them in doubt.
        """
        self._budget = budget
        self._submitter = submitter
        self._fleet = fleet
        self._metrics = metrics
        self._release_in_doubt = release_in_doubt

    async def recover(self, dead_holder: str, *, clean: bool) -> None:
        """Closes the open grants of a dead process in the shards whose home is this process.

        Args:
            dead_holder: Incarnation that is proven dead.
            clean: Whether it stopped gracefully, which leaves no unproven spending.

        Raises:
            StoreError: If a shard cannot be read; the caller must retry the recovery.
        """
        holdings: tuple[dict[str, int], list[Bill]] | None = None
        for shard in range(self._submitter.shard_count):
            if self._fleet.find_home(f"shard/{shard}") != self._fleet.self_name:
                continue
            open_grants = await self._list_open_grants(shard, dead_holder)
            if not open_grants:
                continue
            if holdings is None:
                holdings = await self._collect_holdings(dead_holder)
            if holdings is None:
                return
            await self._close_grants(shard, open_grants, holdings, release=clean)

    async def has_open_grants(self, dead_holder: str) -> bool:
        """Returns whether any shard still has an open grant of a dead process.

        Raises:
            StoreError: If a shard cannot be read.
        """
        for shard in range(self._submitter.shard_count):
            if await self._list_open_grants(shard, dead_holder):
                return True
        return False

    async def _list_open_grants(self, shard: int, dead_holder: str) -> list[tuple[str, str]]:
        accounts = (await self._submitter.get_writer(shard).read()).accounts
        return [
            (workspace, grant_id)
            for workspace, account in accounts.items()
            for grant_id, grant in account.grants.items()
            if grant.holder == dead_holder
        ]

    async def _collect_holdings(
        self, dead_holder: str
    ) -> tuple[dict[str, int], list[Bill]] | None:
        """Asks every possible holder; returns None unless all of them answered."""
        message = CollectHoldings(dead=dead_holder)
        try:
            holders = await self._fleet.list_possible_holders()
        except StoreError:
            return None
        replies = await asyncio.gather(
            *(self._fleet.call(peer, message, COLLECT_TIMEOUT_SECONDS) for peer in holders),
            return_exceptions=True,
        )
        held: collections.Counter[str] = collections.Counter()
        bills: list[Bill] = []
        for peer, reply in zip(holders, replies, strict=True):
            if isinstance(reply, PeerError):
                _log.info(
                    "possible holder did not answer; grants stay open",
                    fields={"holder": peer, "dead": dead_holder},
                )
                return None
            if isinstance(reply, BaseException):
                raise reply
            if not isinstance(reply, HoldingsCollected):
                return None
            held.update(reply.held)
            bills.extend(reply.bills)
        own_holdings = self._budget.collect_holdings(message)
        held.update(own_holdings.held)
        bills.extend(own_holdings.bills)
        return dict(held), bills

    async def _close_grants(
        self,
        shard: int,
        open_grants: list[tuple[str, str]],
        holdings: tuple[dict[str, int], list[Bill]],
        *,
        release: bool,
    ) -> None:
        """Submits the dead process's bills, then closes the tokens that no live process holds."""
        held, bills = holdings
        workspaces = {workspace for workspace, _ in open_grants}
        bill_results = await self._submitter.submit_here(
            shard, [RecordBill(bill=bill) for bill in bills if bill.workspace in workspaces]
        )
        if any(isinstance(result, ChangeFailed) for result in bill_results):
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
        closed_tokens = sum(getattr(result, "tokens", 0) for result in results)
        self._metrics.count("budget.recovered_tokens", closed_tokens)
        _log.info(
            "grants of a dead holder closed", fields={"shard": shard, "tokens": closed_tokens}
        )
