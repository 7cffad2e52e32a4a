"""The requests of this router that are in progress at servers, each with the id of its place.

Requests to servers that are not brittle are counted as well: when a server becomes brittle, its
home has to know what is at the server already.
"""

import dataclasses

from ..ports.server_registry import RegisteredServer


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class HeldPlace:
    """A request in progress at a server.

    Attributes:
        server: Registry entry of the server, as of the moment of sending.
        place_id: Id of the place; unique at this router.
        is_from_share: Whether it is of this router's own share, as its home was silent.
        is_rejected: Whether the server had no room for the request.
        is_returned: Whether it was returned while the request goes on, as no server got that.
    """

    server: RegisteredServer
    place_id: int
    is_from_share: bool = False
    is_rejected: bool = False
    is_returned: bool = False


class HeldPlaces:
    """All requests in progress, by server id."""

    __slots__ = ("_next_id", "_places")

    def __init__(self):
        """Creates it without requests."""
        self._next_id = 0
        self._places: dict[str, dict[int, HeldPlace]] = {}

    def make_id(self) -> int:
        """Returns an id for a new place."""
        self._next_id += 1
        return self._next_id

    def add(self, place: HeldPlace) -> None:
        """Adds a request that is about to be sent."""
        self._places.setdefault(place.server.server_id, {})[place.place_id] = place

    def remove(self, place: HeldPlace) -> None:
        """Removes a request that has ended."""
        server_id = place.server.server_id
        places = self._places.get(server_id, {})
        places.pop(place.place_id, None)
        if not places:
            self._places.pop(server_id, None)

    def count(self, server_id: str) -> int:
        """Returns the number of requests in progress at a server."""
        return len(self._places.get(server_id, ()))

    def list_servers(self) -> list[RegisteredServer]:
        """Returns the servers at which requests are in progress."""
        return [next(iter(places.values())).server for places in self._places.values()]

    def list_ids(self, server_id: str) -> list[int]:
        """Returns the ids of the places in use at a server."""
        return list(self._places.get(server_id, ()))
