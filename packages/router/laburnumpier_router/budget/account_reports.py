"""Builds the changes that tell the account what this process spent, returned and drew.

They carry running totals and go with every draw and return, until the store has confirmed them. A
total that is written again changes nothing.
"""

from laburnumpier_core.metrics import Metrics

from .account import (
    Change,
    ChangeFailed,
    ChangeResult,
    ReportSpending,
    RestateGrants,
    ReturnTokens,
)
from .state import BudgetState
from .statements import GrantStatements


class AccountReports:
    """The reports of one process."""

    __slots__ = ("_metrics", "_self_name", "_statements")

    def __init__(self, *, statements: GrantStatements, self_name: str, metrics: Metrics):
        """Creates the component.

        Args:
            statements: States grants again after the store came back from an older copy.
            self_name: Incarnation of this process.
            metrics: Counters.
        """
        self._statements = statements
        self._self_name = self_name
        self._metrics = metrics

    def build(self, workspace: str, state: BudgetState) -> list[Change]:
        """Returns what the store has not confirmed of a budget.

        A statement of the grants goes first, if one is due. Spending of borrowed tokens is
        reported to their lender, which includes it in its own reports.
        """
        return [
            *self._statements.list_due(workspace, state),
            *self._build_spending_reports(workspace, state),
            *self._build_returns(workspace, state),
        ]

    def confirm(
        self, state: BudgetState, reports: list[Change], results: list[ChangeResult]
    ) -> None:
        """Records which reports the store has applied.

        Args:
            state: The budget.
            reports: The reports that were submitted.
            results: The result of each of them.
        """
        for report, result in zip(reports, results, strict=True):
            if isinstance(result, ChangeFailed):
                continue
            match report:
                case ReportSpending():
                    state.pool.confirm_spending(report.grant_id, report.spent_total)
                case ReturnTokens():
                    state.pool.confirm_return(report.grant_id, report.returned_total)
                    self._metrics.count("budget.returns")
                case RestateGrants():
                    state.confirm_statement(report)

    def _build_spending_reports(self, workspace: str, state: BudgetState) -> list[ReportSpending]:
        return [
            ReportSpending(
                workspace=workspace,
                grant_id=grant.grant_id,
                spender=self._self_name,
                spent_total=grant.spent_total,
            )
            for grant in state.pool.list_unreported_spending()
            if grant.own
        ]

    def _build_returns(self, workspace: str, state: BudgetState) -> list[ReturnTokens]:
        return [
            ReturnTokens(
                workspace=workspace,
                grant_id=grant.grant_id,
                returner=self._self_name,
                returned_total=grant.returned_total,
            )
            for grant in state.pool.list_unconfirmed_returns()
        ]
