"""Decides at which software version a stream that a caller takes up may go on.

Servers do not check that a stream goes on at the version that began it, and what two versions
write does not fit together. A version that is not known is never guessed, neither the one that
began the stream nor those of the servers now: the request is refused before anything is reserved
or sent.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from laburnumpier_core.errors import RequestError
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode

from ..configuration.document import Route
from ..ports.dialect import RequestHead
from ..ports.server_registry import RegisteredServer
from .servers import ServerTable
from .stream_origin import StreamOrigin
from .version_history import VersionHistory

KEEP_FACTOR = 2.0
"""Time within which a caller may take up a stream, as a multiple of the route's time limit: its
last try may begin at the end of the first limit."""
UNKNOWN_RETRY_AFTER_SECONDS = 0.5
"""Retry-After of streams of unknown origin: a router that has just started needs about that long
to know its peers."""
NO_SERVER_RETRY_AFTER_SECONDS = 0.3
"""Retry-After of streams whose version has no server that takes requests."""


class OriginDirectory(Protocol):
    """Remembers across the fleet where streams began."""

    def record(self, attempt_id: str, origin: StreamOrigin, keep_seconds: float) -> None:
        """Remembers where the stream of an attempt began."""

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Returns where the stream of an attempt began; None if that is unknown."""

    def archive(self, attempt_id: str) -> None:
        """Keeps what was recorded of an attempt beyond the end of all routers."""

    async def find_archived(self, attempt_id: str) -> StreamOrigin | None:
        """Returns what is kept of an attempt beyond the end of all routers; None if nothing."""


class StreamVersions:
    """Records where streams begin, and finds it for those that callers take up."""

    __slots__ = ("_confirm_history", "_history", "_metrics", "_origins", "_table")

    def __init__(
        self,
        *,
        origins: OriginDirectory,
        history: VersionHistory,
        confirm_history: Callable[[], Awaitable[bool]],
        table: ServerTable,
        metrics: Metrics,
    ):
        """Creates the decisions for the streams of one router.

        Args:
            origins: Remembers where streams began.
            history: Knows which versions may have begun a stream of unknown origin.
            confirm_history: Brings the history up to date with the store; returns whether it is.
            table: Registered servers.
            metrics: Counters.
        """
        self._confirm_history = confirm_history
        self._origins = origins
        self._history = history
        self._table = table
        self._metrics = metrics

    def record(self, head: RequestHead, route: Route, server: RegisteredServer) -> None:
        """Records that an event of a stream is about to be passed on.

        Args:
            head: Request that brings the event.
            route: Its route.
            server: Server that sent the event, as registered when the request was sent to it.
        """
        attempt_id = head.resumes_attempt_id if head.has_events else head.attempt_id
        if route.resumable and attempt_id:
            origin = StreamOrigin(service=server.service, software_version=server.software_version)
            self._origins.record(attempt_id, origin, get_keep_seconds(route))
            if self._history.has_several_versions(server.service, get_keep_seconds(route)):
                self._origins.archive(attempt_id)

    async def find(self, head: RequestHead, route: Route, service: str) -> StreamOrigin:
        """Returns where a stream that a caller takes up has to go on.

        Args:
            head: Request of a caller that has events of the stream.
            route: Its route.
            service: Service of a stream whose origin is unknown.

        Raises:
            RequestError: If its version is unknown or has no server that takes requests, or if the
                store does not confirm which servers there are.
        """
        # This router may not have heard yet of a version that has joined, or of a server that is
        # back at another version under its id.
        origin, is_confirmed = await asyncio.gather(
            self._find_recorded(head), self._confirm_history()
        )
        if origin is None and is_confirmed:
            origin = self._find_only_origin(service, route)
        if origin is None and head.resumes_attempt_id:
            origin = await self._origins.find_archived(head.resumes_attempt_id)
        if origin is None or not is_confirmed:
            self._metrics.count("forward.taken_up_unknown")
            raise RequestError(
                ResultCode.STREAM_ORIGIN_UNKNOWN, retry_after_seconds=UNKNOWN_RETRY_AFTER_SECONDS
            )
        is_routed = any(weighted.service == origin.service for weighted in route.services)
        if not is_routed or not self._table.list_usable(origin.service, origin.software_version):
            self._metrics.count("forward.taken_up_without_server")
            raise RequestError(
                ResultCode.NO_SERVER,
                retry_after_seconds=NO_SERVER_RETRY_AFTER_SECONDS,
                detail="no server of the version that began the stream takes requests",
            )
        self._metrics.count("forward.taken_up")
        return origin

    async def _find_recorded(self, head: RequestHead) -> StreamOrigin | None:
        """Returns the origin that a router has recorded for the attempt that a caller names."""
        if not head.resumes_attempt_id:
            return None
        return await self._origins.find(head.resumes_attempt_id)

    def _find_only_origin(self, service: str, route: Route) -> StreamOrigin | None:
        """Returns the origin of all streams that callers may hold, if all have the same one."""
        version = self._history.find_only_version(service, get_keep_seconds(route))
        if version is None:
            return None
        return StreamOrigin(service=service, software_version=version)


def get_keep_seconds(route: Route) -> float:
    """Returns for how long a caller may take up a stream of a route."""
    return KEEP_FACTOR * route.time_limit_seconds
