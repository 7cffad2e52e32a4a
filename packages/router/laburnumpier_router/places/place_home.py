"""Gives out the places of the brittle servers whose home this router is.

Requests wait here for a place that is about to be free, in the order in which they came, so that a
place is used again after one message. One that would wait for too long is denied at once.
"""

import asyncio
import collections
import dataclasses
import math
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.service import FleetService
from .place_ledger import PlaceLedger
from .place_messages import (
    AskPlace,
    HoldPlaces,
    PlaceAnswered,
    PlaceServer,
    PlacesNoted,
    ReturnPlaces,
)

MAX_LEDGERS = 512
IDLE_LEDGER_SECONDS = 20.0
"""Time without any message about a server after which its ledger is dropped."""
BEGINNING_SECONDS = 1.0
"""Age of a brittle time up to which a new ledger is its first one, and not the one of a home that
takes over from another one."""
MAX_WAIT_SHARE = 0.8
"""Part of the longest wait that a request may be expected to wait; the expectation is rough."""
MIN_HOLD_OFF_SECONDS = 0.02
MAX_HOLD_OFF_SECONDS = 1.0
"""Bounds of the time for which a router that got no place does not ask again."""

_log = get_part_logger("places")


@dataclasses.dataclass(slots=True, kw_only=True)
class HomeServer:
    """A server whose home this router is.

    Attributes:
        started_ms: Start of the server process that the ledger is of.
        ledger: Its places.
        waiters: Requests that wait for a place, in order.
        used_seconds: Monotonic time of the last message about it.
        logged_level: Number of places that was logged last.
    """

    started_ms: int
    ledger: PlaceLedger
    waiters: collections.deque[tuple[str, int, asyncio.Future[bool]]]
    used_seconds: float
    logged_level: int


class PlaceHome:
    """Keeps the ledgers of servers, and answers the routers that ask for places."""

    __slots__ = ("_clock", "_fleet", "_metrics", "_random", "_servers")

    def __init__(
        self,
        *,
        fleet: FleetService,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
    ):
        """Creates a home that has given out no places.

        Args:
            fleet: The fleet as seen by this router.
            clock: Source of time.
            metrics: Counters.
            random_source: Decides over parts of places.
        """
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._servers: dict[str, HomeServer] = {}

    async def handle_ask_place(self, sender: str, message: AskPlace) -> PlaceAnswered:
        """Answers whether another router may send a request to a server."""
        return await self.ask(sender, message)

    async def handle_return_places(self, sender: str, message: ReturnPlaces) -> PlacesNoted:
        """Takes back places of another router."""
        self.give_back(sender, message)
        return PlacesNoted()

    async def handle_hold_places(self, sender: str, message: HoldPlaces) -> PlacesNoted:
        """Takes over which places another router uses."""
        self.renew(sender, message)
        return PlacesNoted()

    async def ask(self, sender: str, message: AskPlace) -> PlaceAnswered:
        """Leases a place, after a wait if one is about to be free."""
        self._metrics.count("places.asked")
        now = self._clock.monotonic_seconds()
        server = self._find_server(message.server, now)
        if not server.ledger.is_known(now):
            return PlaceAnswered(is_leased=False, is_known=False)
        place_id, waiters = message.place_id, server.waiters
        if not waiters and server.ledger.lease(sender, place_id, now, self._random.random()):
            return self._answer_leased()
        wait_seconds = server.ledger.estimate_wait(len(waiters), now)
        max_wait_seconds = message.max_wait_ms / 1000
        if wait_seconds <= MAX_WAIT_SHARE * max_wait_seconds:
            if await self._wait(server, sender, place_id, max_wait_seconds):
                return self._answer_leased()
            wait_seconds = max_wait_seconds
        self._metrics.count("places.denied")
        hold_off = max(MIN_HOLD_OFF_SECONDS, wait_seconds - MAX_WAIT_SHARE * max_wait_seconds)
        hold_off_ms = math.ceil(1000 * min(hold_off, MAX_HOLD_OFF_SECONDS))
        return PlaceAnswered(is_leased=False, hold_off_ms=hold_off_ms)

    def give_back(self, sender: str, message: ReturnPlaces) -> None:
        """Takes back places, and gives them to the requests that wait."""
        now = self._clock.monotonic_seconds()
        for place in message.places:
            server = self._find_server(place.server, now)
            if place.is_rejected:
                self._metrics.count("places.rejected")
            server.ledger.give_back(sender, place.place_id, now, is_rejected=place.is_rejected)
            self._log_level(place.server.server_id, server)
            _end_wait(server, sender, place.place_id)
            self._serve_waiters(server, now)

    def renew(self, sender: str, message: HoldPlaces) -> None:
        """Takes over which places a router uses."""
        now = self._clock.monotonic_seconds()
        for held in message.servers:
            server = self._find_server(held.server, now)
            server.ledger.renew(sender, held.place_ids, now)
            self._serve_waiters(server, now)

    def maintain(self) -> None:
        """Drops ledgers that nobody uses and serves waiters; called about once a second."""
        now = self._clock.monotonic_seconds()
        for server_id, server in list(self._servers.items()):
            self._serve_waiters(server, now)
            if now - server.used_seconds > IDLE_LEDGER_SECONDS:
                del self._servers[server_id]
        leased_count = sum(server.ledger.leased_count for server in self._servers.values())
        self._metrics.set_gauge("places.leased", leased_count)

    def describe(self) -> dict[str, dict[str, float]]:
        """Returns the places of each server whose home this router is, for the state dump."""
        return {
            server_id: {
                "level": round(server.ledger.level, 2),
                "leased": server.ledger.leased_count,
                "waiting": len(server.waiters),
            }
            for server_id, server in self._servers.items()
        }

    def _answer_leased(self) -> PlaceAnswered:
        self._metrics.count("places.leases")
        return PlaceAnswered(is_leased=True)

    async def _wait(
        self, server: HomeServer, sender: str, place_id: int, max_wait_seconds: float
    ) -> bool:
        """Waits for a place in turn; returns whether there was one in time."""
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiter = (sender, place_id, turn)
        server.waiters.append(waiter)
        try:
            async with asyncio.timeout(max_wait_seconds):
                return await turn
        except TimeoutError:
            # The place may have been leased in the same turn of the event loop.
            return turn.done() and not turn.cancelled() and turn.result()
        finally:
            if waiter in server.waiters:
                server.waiters.remove(waiter)

    def _serve_waiters(self, server: HomeServer, now_seconds: float) -> None:
        while server.waiters:
            sender, place_id, turn = server.waiters[0]
            if turn.done():
                server.waiters.popleft()
                continue
            chance = self._random.random()
            if not server.ledger.lease(sender, place_id, now_seconds, chance):
                return
            server.waiters.popleft()
            turn.set_result(True)

    def _find_server(self, told: PlaceServer, now_seconds: float) -> HomeServer:
        """Returns the server that a message is about, with what is known of it updated."""
        server = self._servers.get(told.server_id)
        if server is None or told.started_ms > server.started_ms:
            server = self._add_server(told, server, now_seconds)
        server.used_seconds = now_seconds
        if told.started_ms == server.started_ms:
            routers = self._fleet.count_vms()
            server.ledger.update(told.slots, told.max_rejects, routers, now_seconds)
            self._log_level(told.server_id, server)
        return server

    def _add_server(
        self, told: PlaceServer, earlier: HomeServer | None, now_seconds: float
    ) -> HomeServer:
        while len(self._servers) >= MAX_LEDGERS:
            del self._servers[next(iter(self._servers))]
        ledger = PlaceLedger(
            slots=told.slots,
            max_rejects=told.max_rejects,
            routers=self._fleet.count_vms(),
            now_seconds=now_seconds,
            is_beginning=earlier is None and told.began_ms <= BEGINNING_SECONDS * 1000,
        )
        server = self._servers[told.server_id] = HomeServer(
            started_ms=told.started_ms,
            ledger=ledger,
            waiters=collections.deque() if earlier is None else earlier.waiters,
            used_seconds=now_seconds,
            logged_level=told.slots,
        )
        fields = {"server": told.server_id, "places": told.slots}
        _log.info("home of a brittle server", fields=fields)
        return server

    def _log_level(self, server_id: str, server: HomeServer) -> None:
        level = math.floor(server.ledger.level)
        if level == server.logged_level:
            return
        event = "places lowered" if level < server.logged_level else "places raised"
        fields = {"server": server_id, "places": level, "before": server.logged_level}
        server.logged_level = level
        _log.info(event, fields={**fields, "in_use": server.ledger.leased_count})


def _end_wait(server: HomeServer, sender: str, place_id: int) -> None:
    """Ends the wait of a request that has ended at its router."""
    for waiter_sender, waiter_id, turn in server.waiters:
        if (waiter_sender, waiter_id) == (sender, place_id) and not turn.done():
            turn.set_result(False)
