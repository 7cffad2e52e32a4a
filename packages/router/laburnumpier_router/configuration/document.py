"""The operators' configuration: its typed document and the checks on it.

Decoding and checking are apart from storing. All problems of a document are gathered and
reported at once, each with the place where it stands.
"""

import dataclasses
import enum
import re

import msgspec
from laburnumpier_core.hashing import KEY_HASH_PREFIX

MAX_TOKENS = 2**53
MAX_TIME_LIMIT_SECONDS = 86400.0
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_KEY_HASH = re.compile(rf"^{KEY_HASH_PREFIX}[0-9a-f]{{64}}$")


class Workspace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace: its budget, its keys and what it may reach.

    Attributes:
        budget_tokens: Purchased total, an absolute figure.
        key_hashes: Hashes of the keys that callers may use.
        models: Models that it may reach.
        services: Plain services that it may reach.
        priority: Higher goes first under overload, from 0 to 9.
        urgency: Replaces the urgency of routes for forwarded requests; None leaves it to them.
    """

    budget_tokens: int
    key_hashes: list[str] = []
    models: list[str] = []
    services: list[str] = []
    priority: int = 5
    urgency: int | None = None


class Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model and the servers that may run it.

    Attributes:
        max_output_tokens: Most tokens that one answer may have, also the default.
    """

    servers: list[str]
    max_output_tokens: int = 1024


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What the operators state of a service whose servers are model engines.

    Attributes:
        slots: Requests that an engine runs in one batch.
        cache_tokens: Tokens that its running requests and cached prompt parts share.
        tokens_per_event: Most tokens that one event of a stream holds.
    """

    slots: int = 1
    cache_tokens: int = 0
    tokens_per_event: int = 1


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service, or the engines behind forwarded requests.

    Attributes:
        servers: Configured servers; none where servers register themselves.
        price_tokens: Tokens that one call costs.
        idempotent_methods: HTTP methods that may be sent again.
        engine: Set when the servers are model engines that requests are forwarded to.
    """

    servers: list[str] = []
    price_tokens: int = 1
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    engine: EngineProfile | None = None


class RouteKind(enum.StrEnum):
    """What may be repeated of the requests on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requests that are forwarded unchanged, by host and path.

    Attributes:
        host: Value of the Host header, without a port.
        path_prefix: Begins and ends with a slash; the longest one that fits decides.
        kind: What may be repeated.
        services: Where its requests go, by weight.
        time_limit_seconds: Longest time that a caller is kept waiting.
        target_latency_seconds: Time within which an answer, or a stream's first event, is of
            full use.
        target_gap_seconds: Longest pause between events of a stream that is on time; 0 if unset.
        max_attempts: Most servers that one attempt of a caller is sent to.
        resumable: Whether a stream may go on at another server.
        anonymous: Whether no key is needed.
        urgency: From 0, the most urgent, to 9.
    """

    host: str
    path_prefix: str
    kind: RouteKind
    services: list[WeightedService]
    time_limit_seconds: float = 60.0
    target_latency_seconds: float = 1.0
    target_gap_seconds: float = 0.0
    max_attempts: int = 1
    resumable: bool = False
    anonymous: bool = False
    urgency: int = 5


class Server(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A backend server.

    Attributes:
        url: Base URL.
        vm: The VM that it runs on.
        data_centre: Where the VM stands.
        checks_fencing: Whether it refuses orders that carry an old fencing number.
        leaving: Set by an operator to take it out of service.
    """

    url: str
    vm: str = ""
    data_centre: str = ""
    checks_fencing: bool = False
    leaving: bool = False


class Configuration(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The whole document."""

    workspaces: dict[str, Workspace] = {}
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    servers: dict[str, Server] = {}
    routes: dict[str, Route] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationProblem:
    """One mistake in a document."""

    place: str
    problem: str

    def __str__(self) -> str:
        """Returns the mistake as one line."""
        return f"{self.place}: {self.problem}"


def check_configuration(configuration: Configuration) -> list[ConfigurationProblem]:
    """Checks what the types alone cannot.

    Args:
        configuration: A decoded document.

    Returns:
        All problems found; empty for a valid document.
    """
    problems: list[ConfigurationProblem] = []

    def note(place: str, problem: str) -> None:
        problems.append(ConfigurationProblem(place=place, problem=problem))

    for section in ("workspaces", "models", "services", "servers", "routes"):
        for name in getattr(configuration, section):
            if not _NAME.match(name):
                note(f"{section}.{name}", "a name has 1 to 63 letters, digits, '.', '_' or '-'")

    seen_hashes: dict[str, str] = {}
    for name, workspace in configuration.workspaces.items():
        place = f"workspaces.{name}"
        if not 0 <= workspace.budget_tokens <= MAX_TOKENS:
            note(f"{place}.budget_tokens", f"must be from 0 to {MAX_TOKENS}")
        if not 0 <= workspace.priority <= 9:
            note(f"{place}.priority", "must be from 0 to 9")
        for key_hash in workspace.key_hashes:
            if not _KEY_HASH.match(key_hash):
                note(f"{place}.key_hashes", f"must be {KEY_HASH_PREFIX!r} and 64 hex digits")
            owner = seen_hashes.setdefault(key_hash, name)
            if owner != name:
                note(f"{place}.key_hashes", f"the key belongs to workspace {owner} too")
        for model in workspace.models:
            if model not in configuration.models:
                note(f"{place}.models", f"there is no model {model!r}")
        for service in workspace.services:
            if service not in configuration.services:
                note(f"{place}.services", f"there is no service {service!r}")

    for section in ("models", "services"):
        for name, target in getattr(configuration, section).items():
            for server in target.servers:
                if server not in configuration.servers:
                    note(f"{section}.{name}.servers", f"there is no server {server!r}")
    for name, model in configuration.models.items():
        if not 1 <= model.max_output_tokens <= MAX_TOKENS:
            note(f"models.{name}.max_output_tokens", f"must be from 1 to {MAX_TOKENS}")
    for name, service in configuration.services.items():
        if not 0 <= service.price_tokens <= MAX_TOKENS:
            note(f"services.{name}.price_tokens", f"must be from 0 to {MAX_TOKENS}")
    for name, server in configuration.servers.items():
        if not server.url.startswith(("http://", "https://")):
            note(f"servers.{name}.url", "must start with http:// or https://")
    for name, route in configuration.routes.items():
        for problem in _check_route(route, configuration):
            note(f"routes.{name}", problem)
    return problems


def _check_route(route: Route, configuration: Configuration) -> list[str]:
    """Lists what is wrong with one route."""
    problems = []
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        problems.append("path_prefix must begin and end with a slash")
    if not 0 < route.time_limit_seconds <= MAX_TIME_LIMIT_SECONDS:
        problems.append(f"time_limit_seconds must be above 0 and at most {MAX_TIME_LIMIT_SECONDS}")
    if route.max_attempts < 1:
        problems.append("max_attempts must be at least 1")
    if not 0 <= route.urgency <= 9:
        problems.append("urgency must be from 0 to 9")
    if not route.services:
        problems.append("services must name at least one service")
    for target in route.services:
        if target.service not in configuration.services:
            problems.append(f"there is no service {target.service!r}")
        if target.weight < 0:
            problems.append("a weight must not be negative")
    return problems
