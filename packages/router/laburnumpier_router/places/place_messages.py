"""Messages by which routers share the places of brittle servers.

A router of an earlier release refuses them as unreadable, like any unknown message; the sender
then uses its own share of the places.
"""

from typing import Annotated

import msgspec

MAX_PLACES_IN_MESSAGE = 4096
"""Places of one router at one server; more are not told, and count as returned."""

Milliseconds = Annotated[int, msgspec.Meta(ge=0)]
ServerId = Annotated[str, msgspec.Meta(max_length=200)]
PlaceId = Annotated[int, msgspec.Meta(ge=0)]


class PlaceServer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A brittle server, as the sender of a message knows it.

    Attributes:
        started_ms: Start of the server process, from its registry entry.
        slots: Requests that it runs concurrently.
        max_rejects: Requests that it can reject in a second.
        began_ms: Time since its service became brittle, in milliseconds.
    """

    server_id: ServerId
    started_ms: int
    slots: Annotated[int, msgspec.Meta(ge=1)]
    max_rejects: Annotated[int, msgspec.Meta(ge=0)]
    began_ms: Milliseconds


class AskPlace(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a place for one request.

    Attributes:
        server: The server.
        place_id: Id that the sender gives the place; unique at the sender.
        max_wait_ms: Longest time that the request can wait for the place.
    """

    server: PlaceServer
    place_id: PlaceId
    max_wait_ms: Milliseconds


class PlaceAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `AskPlace`.

    Attributes:
        is_leased: Whether the sender has the place now.
        is_known: Whether the home knows which places are in use; if not, the sender uses its own
            share.
        hold_off_ms: Time after which the sender may ask again.
    """

    is_leased: bool
    is_known: bool = True
    hold_off_ms: Milliseconds = 0


class ReturnedPlace(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A place whose request has ended; `is_rejected` says that the server had no room for it."""

    server: PlaceServer
    place_id: PlaceId
    is_rejected: bool


class ReturnPlaces(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Returns places to their home."""

    places: Annotated[list[ReturnedPlace], msgspec.Meta(max_length=MAX_PLACES_IN_MESSAGE)]


class HeldPlaces(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """All places that the sender uses at one server."""

    server: PlaceServer
    place_ids: Annotated[list[PlaceId], msgspec.Meta(max_length=MAX_PLACES_IN_MESSAGE)]


class HoldPlaces(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells a home which places the sender still uses; places not named count as returned."""

    servers: Annotated[list[HeldPlaces], msgspec.Meta(max_length=MAX_PLACES_IN_MESSAGE)]


class PlacesNoted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `ReturnPlaces` and `HoldPlaces`."""


MESSAGE_TYPES: tuple[type, ...] = (
    AskPlace,
    PlaceAnswered,
    ReturnPlaces,
    HoldPlaces,
    PlacesNoted,
)
