"""Messages by which a router asks the home of a limited server for a permit.

A router of an earlier release refuses them as unreadable, like any unknown message.
"""

from typing import Annotated

import msgspec

from ..fleet.member import NamedLimit

Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class AskPermit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a permit to send one request to a server.

    Attributes:
        limit: What the sender knows of the server's limit.
        max_wait_ms: Longest time that the request can wait for its permit.
    """

    limit: NamedLimit
    max_wait_ms: Milliseconds


class PermitAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `AskPermit`.

    Attributes:
        wait_ms: Time after which the request may be sent; None if there is no permit.
        hold_off_ms: Time after which the sender may ask again.
    """

    wait_ms: Milliseconds | None
    hold_off_ms: Milliseconds = 0


MESSAGE_TYPES: tuple[type, ...] = (AskPermit, PermitAnswered)
