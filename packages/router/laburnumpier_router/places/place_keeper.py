"""Gets a place at a brittle server for each request, and returns it when the request has ended.

Places come from one router, the home of the server, so that they are used by whichever routers
have requests for it. Only requests to brittle servers need one, and only these are preceded by a
message. A router that got none does not ask again before a time that the home tells it.

If the home does not answer, or has just become the home and does not know yet what is in use, a
router uses an equal share of the places.
"""

import asyncio
import collections
import dataclasses
import math
import random
from collections.abc import Iterable

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.hashing import rank_by_rendezvous
from laburnumpier_core.metrics import Metrics

from ..fleet.member import NamedBrittleness
from ..fleet.service import FleetService
from ..ports.dialect import ResponseHead
from ..ports.server_registry import RegisteredServer
from .brittle_servers import Brittleness, BrittleServers
from .held_places import HeldPlace, HeldPlaces
from .own_share import OwnShares
from .place_home import PlaceHome
from .place_messages import (
    MAX_PLACES_IN_MESSAGE,
    AskPlace,
    HoldPlaces,
    PlaceAnswered,
    PlaceServer,
    ReturnedPlace,
    ReturnPlaces,
)
from .place_messages import (
    HeldPlaces as HeldPlacesMessage,
)

ASK_TIMEOUT_SECONDS = 0.15
SILENT_HOME_SECONDS = 1.0
"""Time for which a home that did not answer is not asked."""
MAX_HOMES = 3
"""Routers that are asked for the places of a server before the own share is used: its home, and
those that take over if it is silent."""
TELL_SECONDS = 1.0
"""Interval in which homes are told which places are in use."""
SHARE_HOLD_OFF_SECONDS = 0.2
"""Time after which a used up own share is looked at again."""
BROKEN_OFF_SECONDS = 0.3
"""Time for which the place of a request is kept that was ended before its answer: the server has
to notice the end of the connection before it has room again."""
RETURN_WINDOW_SECONDS = 4.0
"""Time over which the requests are counted that this router gets served at brittle servers."""
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 10.0
MAX_DENIALS = 512


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlaceDenial:
    """A place that was not given out.

    Attributes:
        until_seconds: Monotonic time before which there is none for such a request.
        max_wait_seconds: Longest time that the request could have waited.
    """

    until_seconds: float
    max_wait_seconds: float


class PlaceKeeper:
    """Asks for places, uses own shares, and returns places."""

    __slots__ = (
        "_clock",
        "_denials",
        "_ended",
        "_fleet",
        "_held",
        "_home",
        "_metrics",
        "_ranked",
        "_return_seconds",
        "_servers",
        "_shares",
        "_silent_until",
        "_tasks",
        "_told_seconds",
        "_used",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        servers: BrittleServers,
        home: PlaceHome,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
    ):
        """Creates a keeper that holds no places.

        Args:
            fleet: Calls to the other routers.
            servers: Which servers are brittle.
            home: Places of the servers whose home this router is.
            clock: Source of time.
            metrics: Counters.
            random_source: Decides over parts of places.
        """
        self._fleet = fleet
        self._servers = servers
        self._home = home
        self._clock = clock
        self._metrics = metrics
        self._held = HeldPlaces()
        self._shares = OwnShares(random_source=random_source)
        self._tasks = BackgroundTasks(part="places", metrics=metrics)
        self._told_seconds = -math.inf
        self._used: dict[str, RegisteredServer] = {}
        self._denials: dict[str, PlaceDenial] = {}
        self._ranked: dict[str, tuple[list[str], list[str]]] = {}
        self._silent_until: dict[str, float] = {}
        self._ended: dict[str, collections.deque[float]] = {}
        self._return_seconds: dict[str, float] = {}

    @property
    def home(self) -> PlaceHome:
        """The places that this router gives out."""
        return self._home

    @property
    def servers(self) -> BrittleServers:
        """The servers that are known to be brittle."""
        return self._servers

    def is_brittle(self, server: RegisteredServer) -> bool:
        """Returns whether requests to a server need a place."""
        return self._servers.find(server) is not None

    def may_have_place(self, server: RegisteredServer, max_wait_seconds: float) -> bool:
        """Returns whether a server is not brittle, or a place there may be had now."""
        denial = self._denials.get(server.server_id)
        if denial is None or not self.is_brittle(server):
            return True
        is_over = self._clock.monotonic_seconds() >= denial.until_seconds
        return is_over or max_wait_seconds > denial.max_wait_seconds

    def find_next_seconds(self, server: RegisteredServer) -> float:
        """Returns the monotonic time from which a place at a server may be had."""
        denial = self._denials.get(server.server_id)
        return -math.inf if denial is None else denial.until_seconds

    async def acquire(self, server: RegisteredServer, max_wait_seconds: float) -> HeldPlace | None:
        """Gets a place for a request; the caller has to release it.

        Returns:
            None at once if no place is expected within the longest wait.
        """
        brittleness = self._servers.find(server)
        place = HeldPlace(server=server, place_id=self._held.make_id())
        if brittleness is None:
            self._held.add(place)
            return place
        self._used[server.server_id] = server
        try:
            answer = await self._ask_home(place, brittleness, max_wait_seconds)
        except asyncio.CancelledError:
            # The home may have leased the place meanwhile.
            self._return(place)
            raise
        if not answer.is_leased:
            self._record_denial(server.server_id, answer.hold_off_ms / 1000, max_wait_seconds)
            return None
        self._metrics.count("places.used")
        self._held.add(place)
        return place

    def track(self, server: RegisteredServer) -> HeldPlace:
        """Counts a request to a server that is not brittle; the caller has to release it."""
        place = HeldPlace(server=server, place_id=self._held.make_id())
        self._held.add(place)
        return place

    def release(self, place: HeldPlace, *, is_broken_off: bool) -> None:
        """Returns a place.

        Args:
            place: The place.
            is_broken_off: Whether the request may still be in progress at the server.
        """
        if place.is_returned:
            return
        if is_broken_off and self.is_brittle(place.server):
            asyncio.get_running_loop().call_later(BROKEN_OFF_SECONDS, self._release_now, place)
        else:
            self._release_now(place)

    def return_unused(self, place: HeldPlace) -> None:
        """Returns the place of a request that no server got, although the request goes on.

        The caller still releases it in the end, to no further effect.
        """
        if place.is_returned:
            return
        place.is_returned = True
        self._held.remove(place)
        self._metrics.count("places.returned_unused")
        self._return(place)

    def record_answer(
        self, place: HeldPlace | None, server: RegisteredServer, head: ResponseHead
    ) -> None:
        """Records what an answer says of its server, and whether there was room.

        Args:
            place: Place of the request; None if it has none.
            server: Registry entry of the server, as of the moment of sending.
            head: Head of the answer.
        """
        was_brittle = self.is_brittle(server)
        self._servers.record_answer(server, head)
        if not was_brittle and self.is_brittle(server):
            self.tell_beginning()
        is_full = head.not_executed and not head.is_misdirected and not head.is_leaving
        if place is not None and is_full:
            place.is_rejected = True

    def plan_return(self, service: str, servers: Iterable[RegisteredServer]) -> float:
        """Returns the seconds after which a refused request should come again.

        The requests that this router refuses are told moments that follow each other as fast as
        it gets requests served.

        Args:
            service: Service of the servers.
            servers: The brittle servers that could have run the request.
        """
        now = self._clock.monotonic_seconds()
        ended = self._get_ended(service, now)
        pace_seconds = RETURN_WINDOW_SECONDS / len(ended) if ended else 1.0
        earliest_seconds = min((self.find_next_seconds(server) for server in servers), default=now)
        last_seconds = self._return_seconds.get(service, -math.inf)
        return_seconds = max(now + MIN_RETRY_AFTER_SECONDS, earliest_seconds, last_seconds)
        return_seconds = min(return_seconds + pace_seconds, now + MAX_RETRY_AFTER_SECONDS)
        self._return_seconds[service] = return_seconds
        return min(return_seconds - now, MAX_RETRY_AFTER_SECONDS)

    async def tell_periodically(self) -> None:
        """Tells homes which places are in use, until cancelled."""
        while True:
            await asyncio.sleep(TELL_SECONDS)
            self.tell_held()
            self._home.maintain()

    def tell_held(self) -> None:
        """Tells the home of each brittle server which places this router uses there.

        A router that has asked for a place tells it also while it uses none: one that is not heard
        of any more may be cut off, and use its own share.
        """
        by_home: dict[str, list[HeldPlacesMessage]] = {}
        self._used.update({server.server_id: server for server in self._held.list_servers()})
        for server_id, server in list(self._used.items()):
            brittleness = self._servers.find(server)
            if brittleness is None:
                del self._used[server_id]
                continue
            home = self._find_home(server)
            if home is None:
                continue
            ids = self._held.list_ids(server_id)[:MAX_PLACES_IN_MESSAGE]
            told = self._make_server(server, brittleness)
            by_home.setdefault(home, []).append(HeldPlacesMessage(server=told, place_ids=ids))
        for home, servers in by_home.items():
            message = HoldPlaces(servers=servers)
            if home == self._fleet.self_name:
                self._home.renew(home, message)
            else:
                self._tasks.start(self._tell(home, message))

    def adopt(self, told: list[NamedBrittleness]) -> None:
        """Takes over what another router knows of servers."""
        were_known = self._servers.has_brittle
        self._servers.adopt(told)
        if self._servers.has_brittle and not were_known:
            self.tell_beginning()

    def tell_beginning(self) -> None:
        """Tells other routers at once that servers are brittle, and homes what is in use.

        Until a router knows it, it sends without places. With partners that pass it on in the same
        way, all routers know it after some messages.
        """
        self.tell_held()
        now = self._clock.monotonic_seconds()
        if now - self._told_seconds >= TELL_SECONDS:
            self._told_seconds = now
            self._tasks.start(self._fleet.send_heartbeats())

    def describe(self) -> dict[str, object]:
        """Returns the state of the places, for the state dump."""
        now = self._clock.monotonic_seconds()
        silent = [home for home, until in self._silent_until.items() if until > now]
        held_ids = [server.server_id for server in self._held.list_servers()]
        return {
            "home_of": self._home.describe(),
            "silent_homes": sorted(silent),
            "held": {server_id: self._held.count(server_id) for server_id in held_ids},
        }

    async def close(self) -> None:
        """Cancels the messages in progress."""
        await self._tasks.cancel_all()

    async def _ask_home(
        self, place: HeldPlace, brittleness: Brittleness, max_wait_seconds: float
    ) -> PlaceAnswered:
        message = AskPlace(
            server=self._make_server(place.server, brittleness),
            place_id=place.place_id,
            max_wait_ms=round(max_wait_seconds * 1000),
        )
        home = self._find_home(place.server)
        if home == self._fleet.self_name:
            answer = await self._home.ask(home, message)
        elif home is None:
            return self._answer_from_share(place)
        else:
            answer = await self._call_home(home, message, max_wait_seconds)
        if answer is None or not answer.is_known:
            return self._answer_from_share(place)
        return answer

    async def _call_home(
        self, home: str, message: AskPlace, max_wait_seconds: float
    ) -> PlaceAnswered | None:
        """Returns the answer of another router; None if there is none in time."""
        try:
            timeout_seconds = ASK_TIMEOUT_SECONDS + max_wait_seconds
            answer = await self._fleet.call(home, message, timeout_seconds)
        except PeerError:
            self._metrics.count("places.homes_silent")
            self._record_silence(home)
            return None
        self._silent_until.pop(home, None)
        return answer

    def _answer_from_share(self, place: HeldPlace) -> PlaceAnswered:
        """Gives a place from the equal share of this router."""
        server_id, now = place.server.server_id, self._clock.monotonic_seconds()
        in_use = self._held.count(server_id)
        routers = self._fleet.count_vms()
        if self._shares.has_room(server_id, place.server.slots, routers, in_use, now):
            self._metrics.count("places.from_share")
            place.is_from_share = True
            return PlaceAnswered(is_leased=True)
        hold_off_ms = round(SHARE_HOLD_OFF_SECONDS * 1000)
        return PlaceAnswered(is_leased=False, hold_off_ms=hold_off_ms)

    def _release_now(self, place: HeldPlace) -> None:
        self._held.remove(place)
        now = self._clock.monotonic_seconds()
        brittleness = self._servers.find(place.server)
        if brittleness is None:
            return
        if place.is_rejected and place.is_from_share:
            routers = self._fleet.count_vms()
            rejects = brittleness.max_rejects or 0
            self._shares.record_rejection(place.server.server_id, routers, rejects, now)
        if not place.is_rejected:
            self._get_ended(place.server.service, now).append(now)
        self._return(place)

    def _return(self, place: HeldPlace) -> None:
        """Tells the home of a server that a place there is free."""
        brittleness = self._servers.find(place.server)
        if brittleness is None:
            return
        returned = ReturnedPlace(
            server=self._make_server(place.server, brittleness),
            place_id=place.place_id,
            is_rejected=place.is_rejected,
        )
        message = ReturnPlaces(places=[returned])
        home = self._find_home(place.server)
        if home == self._fleet.self_name:
            self._home.give_back(home, message)
        elif home is not None:
            self._tasks.start(self._tell(home, message))

    async def _tell(self, home: str, message: ReturnPlaces | HoldPlaces) -> None:
        """Sends a message that needs no answer; the next `HoldPlaces` makes up for a lost one."""
        try:
            await self._fleet.call(home, message, ASK_TIMEOUT_SECONDS)
        except PeerError:
            self._metrics.count("places.messages_lost")

    def _find_home(self, server: RegisteredServer) -> str | None:
        """Returns the router that gives out the places of a server; None if none answers."""
        key, peers = f"place/{server.server_id}", self._fleet.list_peers()
        ranked = self._ranked.get(key)
        if ranked is None or ranked[0] != peers:
            if len(self._ranked) >= MAX_DENIALS:
                self._ranked.clear()
            homes = rank_by_rendezvous(key, [self._fleet.self_name, *peers])[:MAX_HOMES]
            ranked = self._ranked[key] = (list(peers), homes)
        return next((home for home in ranked[1] if not self._is_silent(home)), None)

    def _record_silence(self, home: str) -> None:
        now = self._clock.monotonic_seconds()
        self._silent_until = {h: end for h, end in self._silent_until.items() if end > now}
        self._silent_until[home] = now + SILENT_HOME_SECONDS

    def _make_server(self, server: RegisteredServer, brittleness: Brittleness) -> PlaceServer:
        age_seconds = self._clock.monotonic_seconds() - brittleness.began_seconds
        return PlaceServer(
            server_id=server.server_id,
            started_ms=server.started_ms,
            slots=max(1, server.slots),
            max_rejects=brittleness.max_rejects or 0,
            began_ms=max(0, round(age_seconds * 1000)),
        )

    def _is_silent(self, home: str) -> bool:
        return self._clock.monotonic_seconds() < self._silent_until.get(home, -math.inf)

    def _get_ended(self, service: str, now_seconds: float) -> collections.deque[float]:
        ended = self._ended.setdefault(service, collections.deque())
        while ended and ended[0] < now_seconds - RETURN_WINDOW_SECONDS:
            ended.popleft()
        return ended

    def _record_denial(
        self, server_id: str, hold_off_seconds: float, max_wait_seconds: float
    ) -> None:
        now = self._clock.monotonic_seconds()
        if len(self._denials) >= MAX_DENIALS:
            self._denials = {s: d for s, d in self._denials.items() if d.until_seconds > now}
        self._denials[server_id] = PlaceDenial(
            until_seconds=now + hold_off_seconds, max_wait_seconds=max_wait_seconds
        )


def build_place_keeper(
    *,
    fleet: FleetService,
    clock: Clock,
    metrics: Metrics,
    random_source: random.Random,
) -> PlaceKeeper:
    """Returns a keeper with its home and its knowledge of servers.

    Args:
        fleet: Calls to the other routers.
        clock: Source of time.
        metrics: Counters.
        random_source: Decides over parts of places.
    """
    return PlaceKeeper(
        fleet=fleet,
        servers=BrittleServers(clock=clock, metrics=metrics),
        home=PlaceHome(fleet=fleet, clock=clock, metrics=metrics, random_source=random_source),
        clock=clock,
        metrics=metrics,
        random_source=random_source,
    )
