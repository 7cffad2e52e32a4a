"""Decides which callers give way, by the memory and the descriptors that all of them hold."""

import asyncio
import collections
import dataclasses
import itertools
import resource
from collections.abc import Iterator

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode

from .connection import BoundedConnection, Stage
from .connection_table import ConnectionTable, Departure
from .limits import CallerLimits, StatedLimits
from .memory import LOW_SHARE, CallerMemory, get_large_part
from .parse_queue import ParseQueue

CONNECTION_SHARE = 1 / 3
"""Part of the descriptors that callers' connections may take. Each may need another one to a
server, and the rest is for files, the store and other routers."""
MAX_OTHER_CONNECTIONS = 64
"""Connections to each listener that callers do not use."""
SWEEP_SECONDS = 0.5
"""Interval at which timeouts are checked."""
LOG_SECONDS = 5.0
"""Shortest time between two log lines about callers that gave way."""
WAITING_STAGES = frozenset({Stage.HEAD, Stage.BODY, Stage.UNREAD, Stage.AHEAD})
"""Stages in which a connection waits for its caller, or holds requests sent ahead."""

_log = get_part_logger("intake")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntakeSettings:
    """Sizes of the machine.

    Attributes:
        file_descriptors: Descriptors that the process may have; 0 for the limit of the system.
        limits: Limits of one caller where the configuration states none.
    """

    file_descriptors: int = 0
    limits: CallerLimits


class Intake:
    """All callers' connections: what they hold, how many they are, and how slow they may be."""

    def __init__(
        self, *, settings: IntakeSettings, memory: CallerMemory, clock: Clock, metrics: Metrics
    ):
        """Creates it without connections.

        Args:
            settings: Sizes of the machine.
            memory: Account of what callers hold.
            clock: Source of time.
            metrics: Counters and gauges.
        """
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._limits = settings.limits
        self._tables: list[ConnectionTable] = []
        self._callers_tables: list[ConnectionTable] = []
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._logged_seconds = float("-inf")
        self.memory = memory
        self.parse_queue = ParseQueue()
        memory.set_relief(self._make_room)

    def get_limits(self, table: ConnectionTable) -> CallerLimits:
        """Returns the limits of the next head, request or idle time of a listener's connections.

        The configuration states those of callers; those of operators, the load balancer and
        collectors of metrics are the settings'.
        """
        return self._limits if table in self._callers_tables else self._settings.limits

    def set_stated_limits(self, stated: StatedLimits | None) -> None:
        """Takes over what a configuration states; None leaves the limits as they are."""
        if stated is not None:
            self._limits = self._settings.limits.override(stated)

    def open_callers_table(self) -> ConnectionTable:
        """Returns the table of the connections of a listener for callers."""
        table = self._open_table(compute_max_connections(self._settings.file_descriptors))
        self._callers_tables.append(table)
        return table

    def open_other_table(self) -> ConnectionTable:
        """Returns the table of the connections of any other listener."""
        return self._open_table(MAX_OTHER_CONNECTIONS)

    def add(self, connection: BoundedConnection) -> None:
        """Registers a new connection; if it is one too many, one that can be spared goes."""
        table = connection.table
        table.add(connection)
        if table.is_overfull:
            spared, reason = table.find_spared(connection, self._clock.monotonic_seconds())
            self._close(spared, reason)

    def remove(self, connection: BoundedConnection) -> None:
        """Forgets a connection that was closed."""
        connection.table.remove(connection)
        self.parse_queue.remove(connection)

    def note_refusal(self, code: ResultCode) -> None:
        """Counts a request that was refused for its size, its slowness or lack of memory."""
        self._metrics.count(f"intake.refused.{int(code)}")
        self._unlogged[f"refused_{int(code)}"] += 1

    async def sweep_periodically(self) -> None:
        """Ends what takes too long, and tells what happened, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            await self.sweep()

    async def sweep(self) -> None:
        """Ends heads and idle times that last too long.

        A connection is looked at again behind a turn of the event loop that reads its socket, so
        that a request which has arrived is not lost.
        """
        connections = list(self._iterate_connections())
        for connection in connections:
            connection.measure()
        self._report()
        now = self._clock.monotonic_seconds()
        late = [connection for connection in connections if connection.is_late(now)]
        if not late:
            return
        # The first turn polls the sockets; in loops other than uvloop the second one reads them.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for connection in late:
            if connection in connection.table and connection.is_late(now):
                self._end_late(connection)

    def dump_state(self) -> dict[str, object]:
        """Returns what callers hold, for the state dump."""
        stages = collections.Counter(c.stage.value for c in self._iterate_connections())
        return {
            "held_bytes": self.memory.used_bytes,
            "limit_bytes": self.memory.limit_bytes,
            "connections": [len(table) for table in self._tables],
            "max_connections": [table.max_connections for table in self._tables],
            "stages": dict(stages),
            "waiting_to_be_parsed": self.parse_queue.waiting_count,
            "limits": dataclasses.asdict(self._limits),
        }

    def _open_table(self, max_connections: int) -> ConnectionTable:
        table = ConnectionTable(max_connections=max_connections)
        self._tables.append(table)
        return table

    def _iterate_connections(self) -> Iterator[BoundedConnection]:
        return itertools.chain.from_iterable(self._tables)

    def _make_room(self) -> None:
        """Lets connections give way until part of the account is free, or none is left."""
        candidates = [c for c in self._iterate_connections() if c.stage in WAITING_STAGES]
        candidates.sort(key=lambda c: (c.byte_seconds, c.held_bytes), reverse=True)
        for connection in candidates:
            excess, large_excess = self.memory.compute_excess(LOW_SHARE)
            if excess <= 0 and large_excess <= 0:
                return
            if excess <= 0 and not get_large_part(connection.held_bytes):
                continue
            self._let_give_way(connection)

    def _let_give_way(self, connection: BoundedConnection) -> None:
        stage = connection.stage
        if stage in (Stage.UNREAD, Stage.AHEAD):
            reason = Departure.UNREAD if stage is Stage.UNREAD else Departure.AHEAD
            self._close(connection, reason)
        else:
            connection.give_way()

    def _end_late(self, connection: BoundedConnection) -> None:
        match connection.stage:
            case Stage.HEAD:
                connection.refuse_head(RequestError(ResultCode.REQUEST_TOO_SLOW))
            case Stage.REFUSED:
                self._close(connection, Departure.LINGERING)
            case _:
                self._metrics.count(f"intake.closed.{Departure.IDLE.value}")
                connection.force_close()

    def _close(self, connection: BoundedConnection, reason: Departure) -> None:
        """Closes a connection without an answer; it is no longer counted."""
        self._metrics.count(f"intake.closed.{reason.value}")
        self._unlogged[f"closed_{reason.value}"] += 1
        self.remove(connection)
        connection.reset()

    def _report(self) -> None:
        """Sets the gauges, and logs which callers gave way, at most once in `LOG_SECONDS`."""
        self._metrics.set_gauge("intake.held_bytes", self.memory.used_bytes)
        count = sum(len(table) for table in self._tables)
        self._metrics.set_gauge("intake.connections", count)
        now = self._clock.monotonic_seconds()
        if not self._unlogged or now - self._logged_seconds < LOG_SECONDS:
            return
        fields = {**self._unlogged, "held_bytes": self.memory.used_bytes}
        _log.warning("callers gave way", fields={**fields, "connections": count})
        self._unlogged.clear()
        self._logged_seconds = now


def compute_max_connections(file_descriptors: int) -> int:
    """Returns how many connections callers may have.

    Args:
        file_descriptors: Descriptors of the VM; 0 if only the limit of the process counts.
    """
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [limit for limit in (file_descriptors, process_limit) if limit > 0]
    return max(1, int(CONNECTION_SHARE * min(limits)))
