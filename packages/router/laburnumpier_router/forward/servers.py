"""The registered servers of each service, with the load and failures observed by this process."""

import collections
import dataclasses
from collections.abc import Callable

from laburnumpier_core.log import get_part_logger

from ..ports.server_registry import RegisteredServer

FAILURE_SMOOTHING_FACTOR = 0.15
"""Weight of the latest outcome in the exponentially smoothed failure share of a server."""
MIN_BACKOFF_SECONDS = 0.5
"""Backoff after the first failure to reach a server; doubles with each consecutive failure."""
MAX_BACKOFF_SECONDS = 4.0
"""Upper bound of the backoff, so that a recovered server gets requests again within the
time allowed for a recovery."""
RESTART_SUSPICION_SECONDS = 5.0
"""Time after a lost connection within which a server may have started again without its registry
entry showing it; a watch that has to be repeated takes about as long."""
MAX_REMEMBERED_DEPARTURES = 500
"""Limit of the servers that left and are remembered for a return of the registry's older copy."""
REPORT_MAX_AGE_SECONDS = 1.0
"""Age up to which a server's own load report is used."""

_log = get_part_logger("forward")


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerLoad:
    """Load and failures of one registered server, as observed by this process.

    Attributes:
        entry: Registry entry of the server.
        in_flight: Requests of this process that are in progress at the server.
        in_flight_tokens: Prompt tokens of those requests whose response has not started.
        running: Requests of all routers that the server last reported as running.
        waiting: Requests that it last reported as waiting.
        reported_seconds: Monotonic time of that report.
        failure_share: Exponentially smoothed share of failed requests.
        consecutive_unreachable: Consecutive requests that did not reach it or timed out.
        backoff_until_seconds: Monotonic time before which other servers are preferred.
        restart_suspected_until_seconds: Monotonic time before which the server may run another
            software version than its entry says.
    """

    entry: RegisteredServer
    in_flight: int = 0
    in_flight_tokens: int = 0
    running: int = 0
    waiting: int = 0
    reported_seconds: float = float("-inf")
    failure_share: float = 0.0
    consecutive_unreachable: int = 0
    backoff_until_seconds: float = float("-inf")
    restart_suspected_until_seconds: float = float("-inf")

    def record_start(self, tokens: int) -> None:
        """Adds a request that is sent to the server."""
        self.in_flight += 1
        self.in_flight_tokens += tokens

    def record_prompt_processed(self, tokens: int) -> None:
        """Removes prompt tokens of a request whose prompt was processed or that has ended."""
        self.in_flight_tokens -= tokens

    def record_finish(self) -> None:
        """Removes a request that has ended."""
        self.in_flight -= 1

    def record_success(self) -> None:
        """Records a request that the server answered."""
        self.failure_share *= 1.0 - FAILURE_SMOOTHING_FACTOR
        self.consecutive_unreachable = 0

    def record_failure(self) -> None:
        """Records a request that failed at the server."""
        self.failure_share += FAILURE_SMOOTHING_FACTOR * (1.0 - self.failure_share)

    def record_unreachable(self, now_seconds: float) -> None:
        """Records a request that did not reach the server or timed out, and starts a backoff."""
        self.record_failure()
        self.consecutive_unreachable += 1
        backoff = min(
            MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0 ** (self.consecutive_unreachable - 1)
        )
        self.backoff_until_seconds = now_seconds + backoff

    def record_connection_lost(self, now_seconds: float) -> None:
        """Records that a connection was refused, reset or closed early, as by a restart."""
        self.restart_suspected_until_seconds = now_seconds + RESTART_SUSPICION_SECONDS

    def replace_entry(self, entry: RegisteredServer) -> None:
        """Takes over a changed entry; one of a new start shows the version that runs."""
        if entry.started_ms != self.entry.started_ms:
            self.restart_suspected_until_seconds = float("-inf")
        self.entry = entry

    def record_report(self, running: int, waiting: int, now_seconds: float) -> None:
        """Records the server's own report of its load."""
        self.running = running
        self.waiting = waiting
        self.reported_seconds = now_seconds

    def estimate_load(self, now_seconds: float) -> int:
        """Returns the estimated number of requests at the server, of all routers."""
        if now_seconds - self.reported_seconds > REPORT_MAX_AGE_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.running + self.waiting)


class ServerTable:
    """All registered servers by id, and those that have left.

    A registry that comes back from an older copy may show a server as ready that was already
    leaving or gone. Such an entry is ignored, unless the server has started again.
    """

    __slots__ = ("_departures", "_exclusions", "_listeners", "_retained_departures", "_servers")

    def __init__(self):
        """Creates an empty table."""
        self._servers: dict[str, ServerLoad] = {}
        self._departures: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._retained_departures: dict[str, int] = {}
        self._listeners: list[Callable[[RegisteredServer], None]] = []
        self._exclusions: list[Callable[[RegisteredServer], bool]] = []

    @property
    def servers(self) -> dict[str, ServerLoad]:
        """Registered servers by id."""
        return self._servers

    def add_listener(self, listener: Callable[[RegisteredServer], None]) -> None:
        """Adds a function that is called with each entry that is added, replaced or removed."""
        self._listeners.append(listener)

    def add_exclusion(self, is_excluded: Callable[[RegisteredServer], bool]) -> None:
        """Adds a rule that excludes servers from new requests, of all kinds, while it holds.

        Args:
            is_excluded: Returns whether a server must not get a new request now.
        """
        self._exclusions.append(is_excluded)

    def is_usable(self, entry: RegisteredServer) -> bool:
        """Whether a server accepts new requests and no rule excludes it."""
        return not entry.leaving and not any(excludes(entry) for excludes in self._exclusions)

    def upsert(self, entry: RegisteredServer) -> None:
        """Adds or updates a registry entry; a new address resets load and failures."""
        if entry.leaving:
            self._record_departure(entry)
        elif entry.started_ms <= self._retained_departures.get(entry.server_id, -1):
            return
        else:
            self._departures.pop(entry.server_id, None)
        known = self._servers.get(entry.server_id)
        if known is not None:
            self._notify(known.entry)
        self._notify(entry)
        if known is None or known.entry.address != entry.address:
            self._servers[entry.server_id] = ServerLoad(entry=entry)
            _log.info("server seen", fields=_describe(entry))
            return
        if _describe(known.entry) != _describe(entry):
            _log.info("server changed", fields=_describe(entry))
        known.replace_entry(entry)

    def remove(self, server_id: str) -> None:
        """Removes a server; its requests in progress continue."""
        server = self._servers.pop(server_id, None)
        if server is not None:
            self._record_departure(server.entry)
            self._notify(server.entry)
            _log.info("server gone", fields={"server": server_id})

    def retain_departures(self) -> None:
        """From now on ignores entries that show a departed server as ready."""
        self._retained_departures.update(self._departures)

    def list_usable(self, service: str, software_version: str | None = None) -> list[ServerLoad]:
        """Returns the servers of a service that accept new requests.

        Args:
            service: Name of the service.
            software_version: Version of all returned servers; None for any version.
        """
        return [
            server
            for server in self._servers.values()
            if server.entry.service == service
            and software_version in (None, server.entry.software_version)
            and self.is_usable(server.entry)
        ]

    def list_excluded(
        self, service: str, software_version: str | None = None
    ) -> list[RegisteredServer]:
        """Returns the entries of ready servers that a rule excludes; see `list_usable`."""
        return [
            server.entry
            for server in self._servers.values()
            if server.entry.service == service
            and software_version in (None, server.entry.software_version)
            and not server.entry.leaving
            and not self.is_usable(server.entry)
        ]

    def forget_departure(self, server_id: str) -> None:
        """Accepts a server again, as its outdated entry is gone from the registry."""
        self._retained_departures.pop(server_id, None)

    def _notify(self, entry: RegisteredServer) -> None:
        for listener in self._listeners:
            listener(entry)

    def _record_departure(self, entry: RegisteredServer) -> None:
        self._departures[entry.server_id] = entry.started_ms
        self._departures.move_to_end(entry.server_id)
        while len(self._departures) > MAX_REMEMBERED_DEPARTURES:
            self._departures.popitem(last=False)


def _describe(entry: RegisteredServer) -> dict[str, str | bool]:
    """Returns the fields of an entry that are logged."""
    return {
        "server": entry.server_id,
        "service": entry.service,
        "version": entry.software_version,
        "leaving": entry.leaving,
    }
