"""Interfaces to model engines and plain services."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Any, Protocol

import msgspec

MAX_EVENTS = 65536
"""Events of a stream whose call states no other limit."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a backend server reports about itself; it is stale when it arrives.

    Attributes:
        running: Requests being processed.
        waiting: Requests queued inside the server.
        capacity: Requests that the server can run concurrently.
        models: Loaded models; empty for a plain service.
        leaving: Whether the server accepts no new requests.
    """

    running: int = 0
    waiting: int = 0
    capacity: int = 8
    models: list[str] = []
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineCall:
    """One run of a chat request at an engine.

    Attributes:
        run_id: Identifies the run at the engine, to resume or cancel it.
        body: JSON body of a chat completions request with streaming enabled.
        priority: From 0 to 9; the engine schedules higher values first.
        max_events: Number of events after which a stream counts as failed.
    """

    run_id: str
    body: dict[str, Any]
    priority: int
    max_events: int = MAX_EVENTS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineEvent:
    """One event of an engine's response stream.

    Attributes:
        event_id: Position in the stream, starting at 1.
        data: Decoded chunk; None at the end of the stream.
        raw: Undecoded chunk, if the client keeps it.
    """

    event_id: int
    data: dict[str, Any] | None
    raw: bytes = b""


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order from the controller of a data centre.

    Attributes:
        action: Operation to perform; `load` loads a model.
        model: Name of the model.
        fencing_number: Number of the controller's term; engines that check it reject lower ones.
    """

    action: str
    model: str
    fencing_number: int


class EnginePort(Protocol):
    """Client of model engines."""

    def stream(self, url: str, call: EngineCall, last_event_id: int) -> AsyncIterator[EngineEvent]:
        """Starts a run, or resumes it after the last event received.

        Raises while iterated:
            ServerUnreachableError: If nothing was sent.
            ServerRefusedError: If the engine rejected the run.
            ServerConnectionLostError: If the stream failed or stalled.
        """

    async def cancel(self, url: str, run_id: str) -> None:
        """Requests cancellation of a run; failures are ignored."""

    async def count_tokens(self, url: str, body: dict[str, Any]) -> int | None:
        """Returns the exact number of prompt tokens of a chat request, or None if unknown."""

    async def probe(self, url: str) -> LoadReport | None:
        """Returns the load report of a server, or None if it gives no valid response."""

    async def order(self, url: str, order: EngineOrder, timeout_seconds: float) -> None:
        """Sends an order to an engine.

        Raises:
            ServerUnreachableError: If nothing was sent.
            ServerRefusedError: If the engine rejected it, for example for a stale fencing number.
            ServerConnectionLostError: If the outcome is unknown.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """HTTP request to a plain service."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceResponse:
    """HTTP response of a plain service.

    Attributes:
        has_explicit_end: Whether a length or chunks showed that the body is whole. Otherwise it
            ended with its connection, which a crash ends as well.
    """

    status: int
    content_type: str
    body: bytes
    has_explicit_end: bool = True


class ServicePort(Protocol):
    """Client of plain services."""

    async def call(self, url: str, call: ServiceCall, timeout_seconds: float) -> ServiceResponse:
        """Sends a request on a new connection.

        Raises:
            ServerUnreachableError: If nothing was sent.
            ServerConnectionLostError: If the outcome is unknown.
        """
