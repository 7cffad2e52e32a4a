"""Chooses the router that a budget is borrowed from, in a fleet whose views differ for moments.

It answers routers of a large fleet that do not hear of a lender for some seconds though it lives,
as gossip reaches all of 88 routers by chance. Such a router would borrow from one that holds none
of the budget and refuse its requests meanwhile. So the present lender is kept for a while, as long
as it answers.
"""

from .peers import BudgetFleet

CHANGE_SECONDS = 3.0
"""Time for which the fleet must name another router, while the lender counts as live, before that
one becomes the lender: three heartbeats of 1 s."""
RECENT_SECONDS = 30.0
"""Age after which nothing that was heard of a lender is trusted any more. In a calm fleet of 88
routers gossip about a live one came after more than 15 s, when it had not counted as live for 3 s.
One that was killed does not answer a loan and is replaced then."""


class LenderChoice:
    """The lender of one budget as this process sees it."""

    __slots__ = (
        "_differs_since_seconds",
        "_fleet",
        "_key",
        "_lender",
    )

    def __init__(self, *, fleet: BudgetFleet, workspace: str):
        """Creates a choice without a lender.

        Args:
            fleet: Names the router that a budget is assigned to.
            workspace: The workspace of the budget.
        """
        self._fleet = fleet
        self._key = f"budget/{workspace}"
        self._lender = ""
        self._differs_since_seconds: float | None = None

    def choose(self, now_seconds: float) -> str:
        """Returns the lender as of the given monotonic time; it may be this process."""
        home = self._fleet.find_home(self._key)
        if home == self._lender:
            self._differs_since_seconds = None
        elif not self._may_keep(now_seconds):
            self._lender, self._differs_since_seconds = home, None
        return self._lender

    def record_silence(self, lender: str) -> None:
        """Has a lender that did not answer replaced as soon as the fleet names another one."""
        if lender == self._lender:
            self._lender = ""

    def _may_keep(self, now_seconds: float) -> bool:
        if self._differs_since_seconds is None:
            self._differs_since_seconds = now_seconds
        # While the lender counts as live, another router is named because the fleet has changed.
        is_live = self._lender in self._fleet.list_peers()
        if is_live and now_seconds - self._differs_since_seconds >= CHANGE_SECONDS:
            return False
        # Routers that stop gracefully are not among the recent ones.
        return self._lender in self._fleet.list_recent_routers(RECENT_SECONDS)
