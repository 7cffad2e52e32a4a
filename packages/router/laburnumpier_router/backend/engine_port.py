"""The port to model engines and plain services."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Any, Protocol

import msgspec


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server says of itself; it lags behind.

    Attributes:
        running: Requests in progress.
        waiting: Requests that wait inside the server.
        capacity: Requests that it can run at once.
        models: Loaded models; empty for a plain service.
        leaving: Whether it takes no new work.
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
        run_id: Identity of the run at the engine, for resuming and cancelling.
        body: JSON body in the chat completions form, always streamed.
        priority: Higher goes first in the engine's batch, from 0 to 9.
    """

    run_id: str
    body: dict[str, Any]
    priority: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineEvent:
    """One event of an engine's stream.

    Attributes:
        event_id: Position in the stream, from 1.
        data: The decoded chunk; None for the end of the stream.
        raw: The chunk as the engine sent it, where the client keeps it.
    """

    event_id: int
    data: dict[str, Any] | None
    raw: bytes = b""


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order of a data centre's controller.

    Attributes:
        action: What to do; `load` loads a model.
        model: Name of the model.
        fencing_number: Number of the controller's term; engines that check it refuse lower ones.
    """

    action: str
    model: str
    fencing_number: int


class EnginePort(Protocol):
    """The calls that the routers make to model engines."""

    def stream(self, url: str, call: EngineCall, last_event_id: int) -> AsyncIterator[EngineEvent]:
        """Starts a run, or resumes it behind an event that was received before.

        Raises while iterated:
            ServerNotReachedError: If nothing was sent.
            ServerRefusedError: If the engine did not take the run.
            ServerBrokeOffError: If the stream failed or went silent.
        """

    async def cancel(self, url: str, run_id: str) -> None:
        """Asks the engine to stop a run; failures are ignored."""

    async def count_tokens(self, url: str, body: dict[str, Any]) -> int | None:
        """Returns the exact prompt tokens of a chat body, or None when unknown."""

    async def probe(self, url: str) -> LoadReport | None:
        """Returns the server's load report, or None when it does not answer."""

    async def order(self, url: str, order: EngineOrder, timeout_seconds: float) -> None:
        """Sends an order.

        Raises:
            ServerNotReachedError: If nothing was sent.
            ServerRefusedError: If the engine refused it, for an old fencing number for example.
            ServerBrokeOffError: If the outcome is unknown.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """One call of a plain service."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceResponse:
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


class ServicePort(Protocol):
    """The call that the routers make to plain services."""

    async def call(self, url: str, call: ServiceCall, timeout_seconds: float) -> ServiceResponse:
        """Makes one call on a connection opened just for it.

        Raises:
            ServerNotReachedError: If nothing was sent.
            ServerBrokeOffError: If the outcome is unknown.
        """
