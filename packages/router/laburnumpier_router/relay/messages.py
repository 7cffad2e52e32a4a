"""Messages by which a router sends a request to a server through another router.

The request is handed over and started by two messages. Until the second one nothing has run, so
that a request whose first message or reply is lost may be handed to another router. A router of an
earlier release refuses these messages as unreadable, like any unknown message.

Texts of HTTP heads are sent as bytes, since they may hold bytes that are no UTF-8.
"""

import enum
from typing import Annotated

import msgspec
from multidict import CIMultiDict

from ..fleet.member import ServerReach

MAX_HEADERS = 4096
"""Header lines of a head, which may have 64 KiB."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Size of a request body, as large as the bodies that callers send."""
MAX_WAIT_MS = 2_000
"""Longest time for which a router may ask another one to wait for something to report."""

ServerId = Annotated[str, msgspec.Meta(max_length=200)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
WaitMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_WAIT_MS)]
Count = Annotated[int, msgspec.Meta(ge=0)]
HeaderLines = Annotated[list[tuple[bytes, bytes]], msgspec.Meta(max_length=MAX_HEADERS)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]


class RelayReason(enum.StrEnum):
    """Why a router does not send a request to the server itself."""

    CUT_OFF = "cut_off"
    FULL = "full"


class Refusal(enum.StrEnum):
    """Why a router does not relay a request, which has not run."""

    BUSY = "busy"
    ENDED = "ended"
    INVALID = "invalid"
    STOPPING = "stopping"
    SERVER_UNKNOWN = "server_unknown"
    SERVER_EXCLUDED = "server_excluded"
    SERVER_UNREACHED = "server_unreached"
    UNREACHED = "unreached"


class ExchangeState(enum.StrEnum):
    """State of a relayed exchange, as far as its reply tells the asking router."""

    WAITING = "waiting"
    OPEN = "open"
    ENDED = "ended"
    LOST = "lost"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AskContact(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks whether a router reaches servers; one that does not know tries it."""


class ContactAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `AskContact`."""

    reach: ServerReach


class KeepRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Hands over a request, which the receiver keeps and does not start.

    Attributes:
        number: Number of the exchange, unique among those of the sender.
        reason: Why the sender does not send it itself.
        remaining_ms: Time until the request's deadline.
    """

    number: Count
    reason: RelayReason
    server_id: ServerId
    address: Annotated[str, msgspec.Meta(max_length=300)]
    method: Annotated[bytes, msgspec.Meta(max_length=32)]
    target: Annotated[bytes, msgspec.Meta(max_length=64 * 1024)]
    headers: HeaderLines
    body: Body
    remaining_ms: Milliseconds


class RequestKept(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `KeepRequest`; `refusal` is None if the request is kept."""

    refusal: Refusal | None = None


class StartExchange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Starts a kept request, once however often it is sent, and waits for the response head."""

    number: Count
    wait_ms: WaitMilliseconds


class ReadExchange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for what follows of a response; shows that the caller is still there.

    Attributes:
        position: Bytes of the body that the sender has; the receiver may drop these.
        has_head: Whether the sender has the response head.
        max_bytes: Most bytes that the sender takes now; 0 to keep the exchange open only.
    """

    number: Count
    position: Count
    has_head: bool
    max_bytes: Count
    wait_ms: WaitMilliseconds


class CancelExchange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends an exchange whose response nobody needs any more."""

    number: Count


class ExchangeCancelled(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `CancelExchange`."""


class ExchangeHead(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Head of a server's response, which the asking router checks.

    Attributes:
        end_marker: Value of the `EndMarker` of the response.
    """

    status: Annotated[int, msgspec.Meta(ge=0, le=999)]
    headers: HeaderLines
    end_marker: str


class ExchangeReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `StartExchange` and `ReadExchange`.

    Attributes:
        state: State after `data`.
        reason: Why the response was lost or the request was not run.
        head: The response head, unless the sender has it or there is none yet.
        data: Bytes of the body from the position that was asked for.
        is_busy: Whether the reply came without a wait, because too many routers wait for replies.
    """

    state: ExchangeState
    reason: Annotated[str, msgspec.Meta(max_length=200)] = ""
    head: ExchangeHead | None = None
    data: bytes = b""
    is_busy: bool = False


MESSAGE_TYPES: tuple[type, ...] = (
    AskContact,
    ContactAnswered,
    KeepRequest,
    RequestKept,
    StartExchange,
    ReadExchange,
    CancelExchange,
    ExchangeCancelled,
    ExchangeReply,
)


def encode_text(text: str) -> bytes:
    """Returns the bytes of a text of an HTTP head, as the HTTP library received or sends them."""
    return text.encode("utf-8", "surrogateescape")


def decode_text(data: bytes) -> str:
    """Returns the text of bytes of an HTTP head."""
    return data.decode("utf-8", "surrogateescape")


def encode_headers(headers: CIMultiDict[str]) -> list[tuple[bytes, bytes]]:
    """Returns all header lines in their order."""
    return [(encode_text(name), encode_text(value)) for name, value in headers.items()]


def decode_headers(lines: list[tuple[bytes, bytes]]) -> CIMultiDict[str]:
    """Returns headers with the lines in their order."""
    return CIMultiDict((decode_text(name), decode_text(value)) for name, value in lines)
