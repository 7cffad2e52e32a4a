"""States the grants of this process again after the store came back from an older copy."""

import asyncio
from collections.abc import Mapping

from laburnumpier_core.hashing import choose_shard
from laburnumpier_core.log import get_part_logger

from ..ports.store_era import StoreEra
from .account import ChangeFailed, RestateGrants, StatedGrant
from .grant_pool import HeldGrant
from .state import BudgetState
from .submitter import ChangeSubmitter

_log = get_part_logger("budget")


class GrantStatements:
    """Builds and submits statements of what this process drew, spent and returned."""

    __slots__ = ("_era", "_self_name", "_states", "_submitter")

    def __init__(
        self,
        *,
        states: Mapping[str, BudgetState],
        submitter: ChangeSubmitter,
        era: StoreEra,
        self_name: str,
    ):
        """Creates the component.

        Args:
            states: The budgets known to this process, by workspace; shared with the budget
                service.
            submitter: Submits the statements.
            era: Era of the store.
            self_name: Incarnation of this process.
        """
        self._states = states
        self._submitter = submitter
        self._era = era
        self._self_name = self_name

    def build(self, workspace: str) -> RestateGrants:
        """Returns the statement of one workspace."""
        state = self._states.get(workspace)
        grants = state.pool.list_drawn_grants() if state else []
        return RestateGrants(
            workspace=workspace,
            holder=self._self_name,
            era=self._era.current,
            grants=[_state_grant(grant) for grant in grants],
        )

    def build_for_shard(self, shard: int) -> list[RestateGrants]:
        """Returns the statements of the workspaces whose accounts are in a shard."""
        count = self._submitter.shard_count
        return [
            self.build(workspace)
            for workspace in self._states
            if choose_shard(workspace, count) == shard
        ]

    def list_due(self, workspace: str, state: BudgetState) -> list[RestateGrants]:
        """Returns the statement to be written before any other change; empty if none is due."""
        return [] if state.stated_era == self._era.current else [self.build(workspace)]

    def begin_era(self, previous: int) -> None:
        """Has everything stated and returned again, as the store may have lost it."""
        for state in self._states.values():
            # A budget first used in the new era was set to it already.
            state.stated_era = min(state.stated_era, previous)
            state.last_acquisition = None
            state.pool.forget_confirmed_returns()

    async def submit_all(self) -> None:
        """Submits the statements of all budgets; one that fails goes with the next draw."""
        workspaces = list(self._states)
        await asyncio.gather(*(self._submit(workspace) for workspace in workspaces))

    async def _submit(self, workspace: str) -> None:
        statement = self.build(workspace)
        results = await self._submitter.submit(workspace, [statement])
        fields = {"workspace": workspace, "era": statement.era, "grants": len(statement.grants)}
        if isinstance(results[0], ChangeFailed):
            _log.warning("grants not stated again yet", fields=fields)
            return
        self._states[workspace].confirm_statement(statement)
        _log.info("grants stated again", fields=fields)


def _state_grant(grant: HeldGrant) -> StatedGrant:
    return StatedGrant(
        grant_id=grant.grant_id,
        sequence=int(grant.grant_id.rpartition("/")[2]),
        drawn=grant.drawn,
        spent_total=grant.spent_total,
        returned_total=grant.returned_total,
    )
