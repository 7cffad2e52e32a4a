"""Directory of running keyed requests, held by the home router of each request id.

The home of a request id is the router that its hash selects. An entry is a hint that lets a retry
at any router join the running answer. The loss of an entry causes at most a second run of an
idempotent request; the slot in the store prevents a second bill.
"""

import dataclasses

from laburnumpier_core.clock import Clock

from .messages import HomeAnswer, OpenRequest, PlaceRequest, RequestOpened

MAX_ENTRIES = 100_000


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestLocation:
    """The router and server that run a request.

    Attributes:
        updated_seconds: Monotonic time of the last message about the request.
    """

    body_hash: str
    router: str
    server: str
    updated_seconds: float


class RequestDirectory:
    """Locations of the keyed requests whose home is this router."""

    __slots__ = ("_clock", "_entries", "_retention_seconds")

    def __init__(self, *, clock: Clock, retention_seconds: float):
        """Creates an empty directory.

        Args:
            clock: Source of time.
            retention_seconds: How long an entry is kept after the last message about its request.
        """
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._entries: dict[tuple[str, str], RequestLocation] = {}

    @property
    def entry_count(self) -> int:
        """Number of requests in the directory."""
        return len(self._entries)

    async def handle_open_request(self, sender: str, message: OpenRequest) -> RequestOpened:
        """Handles a peer's `OpenRequest`; see `open`."""
        return self.open(message)

    async def handle_place_request(self, sender: str, message: PlaceRequest) -> RequestOpened:
        """Handles a peer's `PlaceRequest`; see `place`."""
        self.place(message)
        return RequestOpened(answer=HomeAnswer.NEW)

    def open(self, message: OpenRequest) -> RequestOpened:
        """Looks up a request and adds it if it is new.

        Args:
            message: The request and the router that wants to run it.

        Returns:
            Whether the request is new, runs at another router, or has another body than the
            known request with this key.
        """
        self._evict_old_entries()
        key = (message.workspace, message.request_id)
        now = self._clock.monotonic_seconds()
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = RequestLocation(
                body_hash=message.body_hash,
                router=message.router,
                server="",
                updated_seconds=now,
            )
            return RequestOpened(answer=HomeAnswer.NEW)
        if entry.body_hash != message.body_hash:
            return RequestOpened(answer=HomeAnswer.KEY_REUSED)
        entry.updated_seconds = now
        if entry.router in (message.router, message.replacing):
            entry.router = message.router
            return RequestOpened(answer=HomeAnswer.NEW, server=entry.server)
        return RequestOpened(answer=HomeAnswer.ELSEWHERE, router=entry.router, server=entry.server)

    def place(self, message: PlaceRequest) -> None:
        """Records the server of a request, or removes a request that was not run."""
        key = (message.workspace, message.request_id)
        entry = self._entries.get(key)
        if entry is None or entry.router != message.router:
            return
        if message.server:
            entry.server = message.server
            entry.updated_seconds = self._clock.monotonic_seconds()
        else:
            del self._entries[key]

    def _evict_old_entries(self) -> None:
        """Evicts expired entries, and the oldest ones above `MAX_ENTRIES`."""
        expiry_seconds = self._clock.monotonic_seconds() - self._retention_seconds
        while self._entries:
            key = next(iter(self._entries))
            entry = self._entries[key]
            if entry.updated_seconds >= expiry_seconds and len(self._entries) < MAX_ENTRIES:
                return
            del self._entries[key]
            if entry.updated_seconds >= expiry_seconds and len(self._entries) < MAX_ENTRIES:
                self._entries[key] = entry
