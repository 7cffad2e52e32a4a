"""Selects the routers that remember where a stream began.

One holder is in the data centre of the router that wrote the record, so that a cut between data
centres costs nothing to callers that stay in theirs. The other is in the data centre that the
attempt id ranks first among the rest. A lookup asks more routers than are told: the writer does
not rank itself but has a place in the ranking of others, a holder may have ended, and the views of
two routers differ while members come and go.

Data centres are ranked before members, so only the members of a few of them have to be ranked.
"""

from laburnumpier_core.hashing import rank_by_rendezvous

from ..fleet.service import FleetService

HOLDERS_PER_ORIGIN = 2
"""Routers that are told of an origin, besides the one that writes it."""
ASKED_PER_DATA_CENTRE = 3
MAX_OTHER_DATA_CENTRES_ASKED = 3


class OriginPlacement:
    """Ranks the live routers for an attempt, by its id."""

    __slots__ = ("_fleet", "_grouped", "_members")

    def __init__(self, *, fleet: FleetService):
        """Creates the placement on the live members of a fleet."""
        self._fleet = fleet
        self._grouped: list[str] | None = None
        self._members: dict[str, list[str]] = {}

    def list_candidates(self, attempt_id: str) -> list[str]:
        """Returns the routers that may hold an attempt's origin, the preferred ones first."""
        own = self._rank_own(attempt_id)
        other_centres = self._rank_other_centres(attempt_id)
        other = self._rank_members(attempt_id, other_centres[0]) if other_centres else []
        return [*own[:1], *other[:1], *own[1:2], *other[1:2], *own[2:3], *other[2:3]]

    def list_asked(self, attempt_id: str) -> list[str]:
        """Returns the routers that are asked for an attempt's origin, the nearest ones first."""
        asked = self._rank_own(attempt_id)[:ASKED_PER_DATA_CENTRE]
        for data_centre in self._rank_other_centres(attempt_id)[:MAX_OTHER_DATA_CENTRES_ASKED]:
            asked.extend(self._rank_members(attempt_id, data_centre)[:ASKED_PER_DATA_CENTRE])
        return asked

    def _rank_own(self, attempt_id: str) -> list[str]:
        return self._rank_members(attempt_id, self._fleet.member.data_centre)

    def _rank_other_centres(self, attempt_id: str) -> list[str]:
        own = self._fleet.member.data_centre
        return rank_by_rendezvous(
            attempt_id, [name for name in self._group_members() if name != own]
        )

    def _rank_members(self, attempt_id: str, data_centre: str) -> list[str]:
        return rank_by_rendezvous(attempt_id, self._group_members().get(data_centre, []))

    def _group_members(self) -> dict[str, list[str]]:
        """Returns the live members by data centre, grouped anew after a change of the fleet."""
        view = self._fleet.view
        if self._grouped is not view.live:
            self._grouped = view.live
            self._members = {}
            for name in view.live:
                centre = view.known[name].member.data_centre
                self._members.setdefault(centre, []).append(name)
        return self._members
