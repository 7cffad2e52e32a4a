"""Messages by which a router asks for a permit to send a request to a cold server."""

from typing import Annotated

import msgspec

MAX_TOLD_COLD = 64
"""Cold servers in one heartbeat."""
Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class ColdServer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A server that said in an answer that it is cold.

    Attributes:
        started_ms: Start of the server process, from its registry entry.
        remaining_ms: How much longer it is cold, in milliseconds.
    """

    server_id: str
    started_ms: int
    remaining_ms: int


class AskColdPermit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a grantor for a permit to send one request to a cold server.

    Attributes:
        service: Service of the server, whose rate the grantor knows from the configuration.
        max_wait_ms: Longest time that the request can wait for its permit.
    """

    server_id: str
    service: str
    max_wait_ms: Milliseconds


class ColdPermitAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `AskColdPermit`.

    Attributes:
        wait_ms: Time after which the request may be sent; None if there is no permit.
        hold_off_ms: Time after which the sender may ask again.
    """

    wait_ms: Milliseconds | None
    hold_off_ms: Milliseconds = 0


MESSAGE_TYPES: tuple[type, ...] = (AskColdPermit, ColdPermitAnswered)
