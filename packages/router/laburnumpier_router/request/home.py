"""What the home of a request id remembers: where each keyed request runs.

The memory is a hint that lets a retry at any router join the running answer. Losing it costs
at most a second run of an idempotent request, which the slot in the store keeps from being
billed again.
"""

import dataclasses

from laburnumpier_core.clock import Clock

from .messages import HomeAnswer, OpenRequest, PlaceRequest, RequestOpened

MAX_ENTRIES = 100_000


@dataclasses.dataclass(slots=True, kw_only=True)
class HomeEntry:
    """One request as its home knows it."""

    body_hash: str
    router: str
    server: str
    touched_seconds: float


class RequestDirectory:
    """The requests whose home is this process."""

    __slots__ = ("_clock", "_entries", "_retention_seconds")

    def __init__(self, *, clock: Clock, retention_seconds: float):
        """Creates an empty memory.

        Args:
            clock: Source of time.
            retention_seconds: How long a request is remembered after it was last heard of.
        """
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._entries: dict[tuple[str, str], HomeEntry] = {}

    @property
    def entry_count(self) -> int:
        """Number of requests remembered."""
        return len(self._entries)

    async def handle_open_request(self, sender: str, message: OpenRequest) -> RequestOpened:
        """Tells a router whether a request is new, and records it as running there if so."""
        return self.open(message)

    async def handle_place_request(self, sender: str, message: PlaceRequest) -> RequestOpened:
        """Records the server of a request, or forgets a request that was not run."""
        self.place(message)
        return RequestOpened(answer=HomeAnswer.NEW)

    def open(self, message: OpenRequest) -> RequestOpened:
        """Looks a request up and records it when it is new.

        Args:
            message: Who asks for what.

        Returns:
            Whether the request is new, runs elsewhere, or differs from the one known by this key.
        """
        self._drop_old()
        key = (message.workspace, message.request_id)
        now = self._clock.monotonic_seconds()
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = HomeEntry(
                body_hash=message.body_hash,
                router=message.router,
                server="",
                touched_seconds=now,
            )
            return RequestOpened(answer=HomeAnswer.NEW)
        if entry.body_hash != message.body_hash:
            return RequestOpened(answer=HomeAnswer.KEY_REUSED)
        entry.touched_seconds = now
        if entry.router in (message.router, message.replacing):
            entry.router = message.router
            return RequestOpened(answer=HomeAnswer.NEW, server=entry.server)
        return RequestOpened(answer=HomeAnswer.ELSEWHERE, router=entry.router, server=entry.server)

    def place(self, message: PlaceRequest) -> None:
        """Records the server of a request, or forgets a request that was not run."""
        key = (message.workspace, message.request_id)
        entry = self._entries.get(key)
        if entry is None or entry.router != message.router:
            return
        if message.server:
            entry.server = message.server
            entry.touched_seconds = self._clock.monotonic_seconds()
        else:
            del self._entries[key]

    def _drop_old(self) -> None:
        """Forgets entries from the oldest on while they are old or too many."""
        oldest_allowed = self._clock.monotonic_seconds() - self._retention_seconds
        while self._entries:
            key = next(iter(self._entries))
            entry = self._entries[key]
            if entry.touched_seconds >= oldest_allowed and len(self._entries) < MAX_ENTRIES:
                return
            del self._entries[key]
            if entry.touched_seconds >= oldest_allowed and len(self._entries) < MAX_ENTRIES:
                self._entries[key] = entry
