"""Decides which routers call the store for the others, by the view of the fleet alone.

In a small fleet every forwarding router watches the store, as the rate of calls stays low. In a
large one the first routers of each data centre, in the order of names, watch and tell the others
there; and one router of the whole fleet, the confirmer, asks the store on behalf of those that
have to confirm a configuration. Nobody is elected: routers with different views may disagree for a
while, which costs calls and loses nothing.
"""

import random
from typing import Any

from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger

from .service import FleetService

CONFIRMER_KEY = "configuration"
"""Key whose home is the confirmer."""
ASK_TIMEOUT_SECONDS = 0.5

_log = get_part_logger("fleet")


class StoreWatchers:
    """The watchers and the confirmer, as one router sees them."""

    __slots__ = (
        "_fleet",
        "_forwards",
        "_list",
        "_list_is_of",
        "_per_data_centre",
        "_random",
        "_relay_from_routers",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        forwards: bool,
        per_data_centre: int,
        relay_from_routers: int,
        random_source: random.Random,
    ):
        """Creates it for the router of a fleet service.

        Args:
            fleet: Membership of this router and its view of the others.
            forwards: Whether the routers forward requests; others always let a few watch.
            per_data_centre: Number of watchers in each data centre of a large fleet.
            relay_from_routers: Number of routers from which on a fleet is large.
            random_source: Chooses among the watchers.
        """
        self._fleet = fleet
        self._forwards = forwards
        self._per_data_centre = per_data_centre
        self._relay_from_routers = relay_from_routers
        self._random = random_source
        self._list: list[str] = []
        self._list_is_of: list[str] | None = None

    def is_small_fleet(self) -> bool:
        """Whether the fleet is small enough that every forwarding router watches the store."""
        return 1 + len(self._fleet.view.live) < self._relay_from_routers

    def list_local(self) -> list[str]:
        """Returns the routers of the own data centre that watch the store in a large fleet."""
        view = self._fleet.view
        if self._list_is_of is not view.live:
            own = self._fleet.member
            near = [n for n in view.live if view.known[n].member.data_centre == own.data_centre]
            self._list = sorted([*near, own.incarnation])[: self._per_data_centre]
            self._list_is_of = view.live
        return self._list

    def list_preferred_partners(self) -> list[str]:
        """Returns the watchers that have to know this router to send it what they see."""
        return [] if self.is_small_fleet() else self.list_local()

    def is_watcher(self) -> bool:
        """Whether this router watches the store."""
        if self._forwards and self.is_small_fleet():
            return True
        return self._fleet.self_name in self.list_local()

    def is_stand_in(self) -> bool:
        """Whether this router can only be watching because it hears no watcher of a large fleet.

        The others still count as far as they are not proven to have ended.
        """
        routers = self._fleet.count_vms()
        if not self._forwards or routers < self._relay_from_routers:
            return False
        return len(self._fleet.view.live) < routers / 2 or not self.is_watcher()

    def find_confirmer(self) -> str | None:
        """Returns the router that confirms configurations for all; None if this one does."""
        if not self._forwards or self.is_small_fleet():
            return None
        home = self._fleet.find_home(CONFIRMER_KEY)
        return None if home == self._fleet.self_name else home

    async def ask(self, message: Any) -> Any:
        """Sends a message to a watcher of the own data centre; returns None if it is silent."""
        watchers = [name for name in self.list_local() if name != self._fleet.self_name]
        if not watchers:
            return None
        watcher = self._random.choice(watchers)
        try:
            return await self._fleet.call(watcher, message, ASK_TIMEOUT_SECONDS)
        except PeerError as error:
            _log.info("watcher does not answer", fields={"router": watcher, "error": error})
            return None
