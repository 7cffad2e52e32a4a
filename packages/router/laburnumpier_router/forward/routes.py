"""Matches requests to routes and selects the service of a route."""

import xxhash

from ..configuration.document import Configuration, Route

HASH_RANGE = 2.0**64


class RouteTable:
    """The routes of one configuration, indexed by host and path prefix."""

    __slots__ = ("_by_host",)

    def __init__(self, *, configuration: Configuration):
        """Builds the index of a configuration."""
        self._by_host: dict[str, dict[str, tuple[str, Route]]] = {}
        for name, route in configuration.routes.items():
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = (name, route)

    def find(self, host: str, path: str) -> tuple[str, Route] | None:
        """Returns the name and the route with the longest matching path prefix, or None.

        Args:
            host: Value of the Host header; its port is ignored.
            path: Path of the request, with or without its query.
        """
        prefixes = self._by_host.get(_strip_port(host).lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            match = prefixes.get(path[: end + 1])
            if match is not None:
                return match
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: Route, attempt_id: str) -> str:
    """Returns the service for an attempt, selected by the weights of the route.

    Args:
        route: The route.
        attempt_id: Identifier of the attempt; the same one always selects the same service.
    """
    if len(route.services) == 1:
        return route.services[0].service
    total_weight = sum(weighted.weight for weighted in route.services)
    position = xxhash.xxh3_64_intdigest(attempt_id.encode()) / HASH_RANGE * total_weight
    for weighted in route.services:
        position -= weighted.weight
        if position < 0:
            return weighted.service
    return max(route.services, key=lambda weighted: weighted.weight).service


def _strip_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdecimal() else host
