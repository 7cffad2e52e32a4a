"""Selects the server of a forwarded request and gets the permit or place that it requires."""

import random

from laburnumpier_core.clock import Clock

from ..configuration.service import ConfigurationService
from ..estimates.estimate_placement import EstimatePlacement
from ..estimates.observation import UNOBSERVED, SendObserver
from ..estimates.request_estimate import EstimateRequest
from ..forward.placement import (
    PlacementRequest,
    choose_server,
    prefer_certain_versions,
    prefer_healthy,
)
from ..forward.request_limiter import RequestLimiter
from ..forward.request_progress import RequestProgress
from ..forward.servers import ServerLoad, ServerTable
from ..places.place_keeper import PlaceKeeper
from ..ports.server_registry import RegisteredServer

MAX_PERMIT_WAIT_SHARE = 0.5
"""Longest wait of the most urgent requests for a permit, as a share of the target latency."""
MAX_PERMITS_ASKED = 4
"""Servers with a limit that are asked about for one request before it is refused."""
URGENCY_LEVELS = 10
MAX_PLACE_WAIT_SECONDS = 0.25
"""Longest wait for a place at a brittle server; requests beyond what the servers can run are to be
refused at once."""


class ServerSelector:
    """Selects servers among those that accept new requests."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_data_centre",
        "_estimates",
        "_limiter",
        "_places",
        "_random",
        "_table",
    )

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        table: ServerTable,
        limiter: RequestLimiter,
        places: PlaceKeeper,
        clock: Clock,
        random_source: random.Random,
        data_centre: str,
        estimates: EstimatePlacement | None = None,
    ):
        """Creates the selector.

        Args:
            configuration: Provides the urgency of workspaces.
            table: Registered servers.
            limiter: Gives permits for requests to servers with a limit.
            places: Gives places for requests to brittle servers.
            clock: Source of time.
            random_source: Selects among equally loaded servers.
            data_centre: Data centre of this router.
            estimates: Chooses by the expected time to the first event; None for placement by
                prompt affinity and counts of requests.
        """
        self._configuration = configuration
        self._table = table
        self._limiter = limiter
        self._places = places
        self._clock = clock
        self._random = random_source
        self._data_centre = data_centre
        self._estimates = estimates

    async def find_server(self, progress: RequestProgress) -> ServerLoad | None:
        """Returns a server that the request may be sent to now; None if there is none.

        A server with a limit, or a brittle one, is chosen like any other one as long as there are
        permits or places for it. The request waits only if all servers that are left need one.
        """
        self.release_place(progress)
        server = await self._find_server_now(progress)
        if server is None:
            server = await self._wait_for_place(progress)
        if server is not None and progress.place is None:
            progress.place = self._places.track(server.entry)
        return server

    def release_place(self, progress: RequestProgress, *, is_answered: bool = False) -> None:
        """Returns the place of a request whose last send has ended in whatever way.

        Args:
            progress: The request.
            is_answered: Whether the whole answer was received.
        """
        place, progress.place = progress.place, None
        if place is not None:
            is_ended = is_answered or place.is_rejected or not progress.may_have_run
            self._places.release(place, is_broken_off=not is_ended)

    async def _find_server_now(self, progress: RequestProgress) -> ServerLoad | None:
        """Returns a server without a wait for a place, but maybe with one for a permit."""
        denied: set[str] = set()
        while True:
            usable = self.list_untried(progress)
            free = [server for server in usable if not self._needs_leave(server.entry)]
            if len(free) == len(usable) or len(denied) >= MAX_PERMITS_ASKED:
                return self.choose_server(progress, free)
            max_wait_seconds = 0.0 if free else self._get_max_permit_wait(progress)
            candidates = [
                server
                for server in usable
                if server.entry.server_id not in denied
                and self._places.may_have_place(server.entry, 0.0)
                and self._limiter.may_have_permit(server.entry, max_wait_seconds)
            ]
            server = self.choose_server(progress, candidates)
            if server is None or not self._needs_leave(server.entry):
                return server
            if await self._acquire(progress, server, max_wait_seconds):
                return server
            denied.add(server.entry.server_id)

    async def _wait_for_place(self, progress: RequestProgress) -> ServerLoad | None:
        """Returns a brittle server at which a place was free soon; None if there is none."""
        max_wait_seconds = min(MAX_PLACE_WAIT_SECONDS, self._get_max_permit_wait(progress))
        waitable = [
            server
            for server in self.list_untried(progress)
            if self._places.is_brittle(server.entry)
            and self._places.may_have_place(server.entry, max_wait_seconds)
        ]
        if not waitable or not max_wait_seconds:
            return None
        soonest = min(waitable, key=lambda s: self._places.find_next_seconds(s.entry))
        has_place = await self._acquire(progress, soonest, 0.0, max_wait_seconds)
        return soonest if has_place else None

    def _needs_leave(self, entry: RegisteredServer) -> bool:
        """Whether requests to a server need a permit or a place."""
        return self._limiter.is_limited(entry) or self._places.is_brittle(entry)

    async def _acquire(
        self,
        progress: RequestProgress,
        server: ServerLoad,
        permit_wait_seconds: float,
        place_wait_seconds: float = 0.0,
    ) -> bool:
        """Gets the place and the permit that a request needs at a server."""
        entry = server.entry
        if self._places.is_brittle(entry):
            progress.place = await self._places.acquire(entry, place_wait_seconds)
            if progress.place is None:
                return False
        has_permit = await self._limiter.acquire(entry, permit_wait_seconds)
        # The server may have begun to leave meanwhile.
        if has_permit and server in self.list_untried(progress):
            return True
        self.release_place(progress, is_answered=True)
        return False

    def _get_max_permit_wait(self, progress: RequestProgress) -> float:
        """Returns the longest wait for a permit in seconds; urgent requests wait longer.

        Less urgent ones are denied while permits are reserved for the moments up to which more
        urgent ones wait, so these come first.
        """
        share = 1.0 - self.get_urgency(progress) / URGENCY_LEVELS
        remaining_seconds = progress.deadline_seconds - self._clock.monotonic_seconds()
        target_seconds = MAX_PERMIT_WAIT_SHARE * progress.route.target_latency_seconds
        return max(0.0, min(share * target_seconds, MAX_PERMIT_WAIT_SHARE * remaining_seconds))

    def list_untried(self, progress: RequestProgress) -> list[ServerLoad]:
        """Returns the servers that accept the request and that it was not sent to."""
        usable = self._table.list_usable(progress.service, progress.software_version)
        return [s for s in usable if s.entry.server_id not in progress.tried_server_ids]

    def list_excluded(self, progress: RequestProgress) -> list[RegisteredServer]:
        """Returns the ready servers that a rule excludes from new requests now."""
        return self._table.list_excluded(progress.service, progress.software_version)

    def list_limited(self, progress: RequestProgress) -> list[RegisteredServer]:
        """Returns the servers with a limit, and brittle ones, that it was not sent to."""
        untried = [server.entry for server in self.list_untried(progress)]
        return [entry for entry in untried if self._needs_leave(entry)]

    def plan_return(self, progress: RequestProgress) -> float:
        """Returns the seconds after which a refused request may find a permit or a place."""
        servers = self.list_limited(progress)
        limited = [entry for entry in servers if self._limiter.is_limited(entry)]
        brittle = [entry for entry in servers if self._places.is_brittle(entry)]
        waits = []
        if limited:
            waits.append(self._limiter.plan_return(progress.service, limited))
        if brittle:
            waits.append(self._places.plan_return(progress.service, brittle))
        return min(waits, default=0.0)

    def choose_server(
        self, progress: RequestProgress, usable: list[ServerLoad]
    ) -> ServerLoad | None:
        """Returns the server that suits the request best; None if there is none.

        Args:
            progress: The request.
            usable: Servers that may get it.
        """
        # A trial goes to the least loaded server, where a crash affects the fewest requests.
        request = PlacementRequest(
            prompt_parts=() if progress.is_trial else progress.request.head.prompt_parts,
            data_centre=self._data_centre,
            exclude=frozenset(progress.tried_server_ids),
        )
        now = self._clock.monotonic_seconds()
        if progress.software_version is not None:
            usable = prefer_certain_versions(usable, request, now)
        if self._estimates is None:
            return choose_server(usable, request, now, self._random)
        untried = [server for server in usable if server.entry.server_id not in request.exclude]
        candidates = prefer_healthy(untried, now)
        return self._estimates.choose(candidates, self._make_estimate_request(progress))

    def observe_send(self, progress: RequestProgress, server: ServerLoad) -> SendObserver:
        """Starts to observe a request that is sent to a server now.

        Args:
            progress: The request.
            server: The server; its load does not count the request yet.
        """
        if self._estimates is None:
            return UNOBSERVED
        return self._estimates.begin(server, self._make_estimate_request(progress))

    def _make_estimate_request(self, progress: RequestProgress) -> EstimateRequest:
        head = progress.request.head
        return EstimateRequest(
            prompt_parts=() if progress.is_trial else head.prompt_parts,
            prompt_tokens=head.prompt_tokens,
            max_output_tokens=head.max_output_tokens,
            urgency=self.get_urgency(progress),
            target_gap_seconds=progress.route.target_gap_seconds,
        )

    def has_other_server(self, progress: RequestProgress) -> bool:
        """Whether the request could go on at a server other than the current one."""
        usable = [
            server
            for server in self._table.list_usable(progress.service, progress.software_version)
            if server.entry is progress.sent_to or self.may_have_leave(server.entry)
        ]
        if progress.software_version is None:
            return len(usable) > 1
        return any(server.entry.server_id not in progress.tried_server_ids for server in usable)

    def may_have_leave(self, entry: RegisteredServer) -> bool:
        """Whether a server needs neither permit nor place, or they may be had at once."""
        has_place = self._places.may_have_place(entry, max_wait_seconds=0.0)
        return has_place and self._limiter.may_have_permit(entry, max_wait_seconds=0.0)

    def get_urgency(self, progress: RequestProgress) -> int:
        """Returns the urgency of the request's workspace or else of its route; 0 comes first."""
        workspace = self._configuration.configuration.workspaces.get(progress.workspace)
        if workspace is not None and workspace.urgency is not None:
            return workspace.urgency
        return progress.route.urgency
