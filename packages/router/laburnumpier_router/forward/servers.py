"""The registered servers of each service, and what this process observes of them."""

import dataclasses

from laburnumpier_core.log import get_part_logger

from ..ports.server_registry import RegisteredServer

FAILURE_WEIGHT = 0.15
"""Weight of the newest outcome in a server's failure share, without unit."""
FIRST_PAUSE_SECONDS = 0.5
"""Pause after a server could not be reached; doubles with each failure in a row."""
LONGEST_PAUSE_SECONDS = 4.0
"""Longest pause, so that a server that is back gets work again within a recovery's time."""
REPORT_SECONDS = 1.0
"""Age up to which a server's own word on its load counts."""

_log = get_part_logger("forward")


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerLoad:
    """What this process knows of one registered server.

    Attributes:
        entry: Its entry in the registry.
        in_flight: Requests of this process at the server.
        in_flight_tokens: Prompt tokens of these that the server had not begun to answer.
        running: Requests that the server said it runs, of all routers.
        waiting: Requests that it said wait there.
        reported_seconds: Monotonic time of that word.
        failure_share: Smoothed share of requests that it failed.
        unreached: Times in a row that it could not be reached or stayed silent.
        blocked_until_seconds: No new work before this monotonic time, if others can take it.
    """

    entry: RegisteredServer
    in_flight: int = 0
    in_flight_tokens: int = 0
    running: int = 0
    waiting: int = 0
    reported_seconds: float = float("-inf")
    failure_share: float = 0.0
    unreached: int = 0
    blocked_until_seconds: float = float("-inf")

    def start(self, tokens: int) -> None:
        """Counts a request that is sent to the server."""
        self.in_flight += 1
        self.in_flight_tokens += tokens

    def begin_answer(self, tokens: int) -> None:
        """Counts that the server has read a request's prompt."""
        self.in_flight_tokens -= tokens

    def finish(self) -> None:
        """Counts the end of a request."""
        self.in_flight -= 1

    def record_success(self) -> None:
        """Takes in a request that the server answered."""
        self.failure_share *= 1.0 - FAILURE_WEIGHT
        self.unreached = 0

    def record_failure(self) -> None:
        """Takes in a request that the server failed."""
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)

    def record_unreached(self, now_seconds: float) -> None:
        """Takes in a request that did not reach the server, or met silence there."""
        self.record_failure()
        self.unreached += 1
        pause = min(LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2.0 ** (self.unreached - 1))
        self.blocked_until_seconds = now_seconds + pause

    def record_report(self, running: int, waiting: int, now_seconds: float) -> None:
        """Takes in the server's own word on its load."""
        self.running = running
        self.waiting = waiting
        self.reported_seconds = now_seconds

    def estimate_load(self, now_seconds: float) -> int:
        """Returns the requests that are probably at the server."""
        if now_seconds - self.reported_seconds > REPORT_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.running + self.waiting)


class ServerTable:
    """All registered servers, by identity."""

    __slots__ = ("_servers",)

    def __init__(self):
        """Creates an empty table."""
        self._servers: dict[str, ServerLoad] = {}

    @property
    def servers(self) -> dict[str, ServerLoad]:
        """Known servers by identity."""
        return self._servers

    def put(self, entry: RegisteredServer) -> None:
        """Takes in an entry that is new or has changed."""
        known = self._servers.get(entry.server_id)
        if known is None or known.entry.address != entry.address:
            self._servers[entry.server_id] = ServerLoad(entry=entry)
            _log.info("server seen", fields={"server": entry.server_id, "leaving": entry.leaving})
            return
        if known.entry.leaving != entry.leaving:
            fields = {"server": entry.server_id, "leaving": entry.leaving}
            _log.info("server changed", fields=fields)
        known.entry = entry

    def remove(self, server_id: str) -> None:
        """Drops a server; requests at it go on."""
        if self._servers.pop(server_id, None) is not None:
            _log.info("server gone", fields={"server": server_id})

    def list_usable(self, service: str) -> list[ServerLoad]:
        """Returns the servers of a service that may get new work."""
        return [
            server
            for server in self._servers.values()
            if server.entry.service == service and not server.entry.leaving
        ]
