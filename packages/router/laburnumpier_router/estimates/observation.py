"""What the sender tells of one request at one server."""

from typing import Protocol

from ..ports.dialect import ResponseHead


class SendObserver(Protocol):
    """Hears what becomes of a request at the server to which it was sent."""

    @property
    def reason(self) -> str:
        """Why the server was chosen, in short, for the line of the request; empty if unsaid."""

    def record_head(self, head: ResponseHead) -> None:
        """The head of a response has arrived."""

    def record_progress(self) -> None:
        """Events of a stream, or a whole response, have arrived."""

    def record_failure(self) -> None:
        """The server was not reached, rejected the request, or failed with it."""

    def close(self) -> None:
        """The request is no longer at the server."""


class UnobservedSend:
    """Ignores everything; for deployments whose placement learns nothing."""

    __slots__ = ()

    @property
    def reason(self) -> str:
        """Nothing is known of the choice."""
        return ""

    def record_head(self, head: ResponseHead) -> None:
        """Does nothing."""

    def record_progress(self) -> None:
        """Does nothing."""

    def record_failure(self) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


UNOBSERVED = UnobservedSend()
