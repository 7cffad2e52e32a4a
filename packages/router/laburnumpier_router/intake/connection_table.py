"""The connections of one listener, and which of them is closed when there are too many."""

import collections
import enum
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .connection import BoundedConnection

CROWDED_SHARE = 0.75
"""Part of the connections above which no connection is kept behind a response."""


class Departure(enum.StrEnum):
    """Why a connection was closed without an answer, for counters and logs."""

    IDLE = "idle"
    UNUSED = "unused"
    LINGERING = "lingering"
    UNREAD = "unread"
    AHEAD = "ahead"
    CROWDED = "crowded"


class ConnectionTable:
    """Connections in the order of their opening, with those that can best be spared."""

    __slots__ = ("_all", "_max_connections", "_refused", "_unused")

    def __init__(self, *, max_connections: int):
        """Creates an empty table.

        Args:
            max_connections: Number of connections that may be open.
        """
        self._max_connections = max_connections
        self._all: collections.OrderedDict[BoundedConnection, None] = collections.OrderedDict()
        self._unused = self._all.copy()
        self._refused = self._all.copy()

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._all)

    def __iter__(self) -> "Iterator[BoundedConnection]":
        """Iterates over the open connections, the oldest first."""
        return iter(self._all)

    def __contains__(self, connection: "BoundedConnection") -> bool:
        """Whether a connection is open."""
        return connection in self._all

    @property
    def max_connections(self) -> int:
        """Number of connections that may be open."""
        return self._max_connections

    @property
    def is_crowded(self) -> bool:
        """Whether connections are not kept behind their responses."""
        return len(self._all) > CROWDED_SHARE * self._max_connections

    @property
    def is_overfull(self) -> bool:
        """Whether one connection has to go."""
        return len(self._all) > self._max_connections

    def add(self, connection: "BoundedConnection") -> None:
        """Adds a new connection."""
        self._all[connection] = None
        self._unused[connection] = None

    def remove(self, connection: "BoundedConnection") -> None:
        """Removes a connection; one that is not open is ignored."""
        for table in (self._all, self._unused, self._refused):
            table.pop(connection, None)

    def note_used(self, connection: "BoundedConnection") -> None:
        """Notes that a connection has sent a whole head."""
        self._unused.pop(connection, None)

    def note_refused(self, connection: "BoundedConnection") -> None:
        """Notes that a connection only waits for its caller to read a refusal."""
        self._unused.pop(connection, None)
        if connection in self._all:
            self._refused[connection] = None

    def find_spared(
        self, newest: "BoundedConnection", now_seconds: float
    ) -> "tuple[BoundedConnection, Departure]":
        """Returns the connection to close when there is one too many, and why it is that one.

        Args:
            newest: The connection that was opened last.
            now_seconds: Event loop time.
        """
        for table, reason in (
            (self._unused, Departure.UNUSED),
            (self._refused, Departure.LINGERING),
        ):
            oldest = next(iter(table), newest)
            if oldest is not newest:
                return oldest, reason
        for connection in self._all:
            if connection.is_idle_too_long(now_seconds):
                return connection, Departure.IDLE
        return newest, Departure.CROWDED
