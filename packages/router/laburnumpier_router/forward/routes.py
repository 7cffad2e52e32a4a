"""Finds the route of a request, and the service that a route sends it to."""

import xxhash

from ..configuration.document import Configuration, Route

HASH_RANGE = 2.0**64


class RouteTable:
    """The routes of one configuration, indexed by host and path prefix."""

    __slots__ = ("_by_host",)

    def __init__(self, *, configuration: Configuration):
        """Builds the index."""
        self._by_host: dict[str, dict[str, tuple[str, Route]]] = {}
        for name, route in configuration.routes.items():
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = (name, route)

    def find(self, host: str, path: str) -> tuple[str, Route] | None:
        """Returns name and route with the longest prefix that begins the path, or None.

        Args:
            host: Value of the Host header; a port in it is left aside.
            path: Path of the request, with or without its query.
        """
        prefixes = self._by_host.get(_strip_port(host).lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: Route, attempt_id: str) -> str:
    """Returns the service for one attempt, by the weights of the route.

    Args:
        route: The route.
        attempt_id: Identity of the attempt, which makes the choice repeatable.
    """
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(target.weight for target in route.services)
    point = xxhash.xxh3_64_intdigest(attempt_id.encode()) / HASH_RANGE * total
    for target in route.services:
        point -= target.weight
        if point < 0:
            return target.service
    return max(route.services, key=lambda target: target.weight).service


def _strip_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdecimal() else host
