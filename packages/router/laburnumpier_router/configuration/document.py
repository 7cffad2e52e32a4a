"""Typed configuration document and its validation.

Decoding and validation are independent of storage. Validation reports all problems of a document
at once, each with its path in the document.
"""

import dataclasses
import enum
import re

import msgspec
from laburnumpier_core.hashing import KEY_HASH_PREFIX

MAX_TOKENS = 2**53
MAX_TIME_LIMIT_SECONDS = 86400.0
_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_KEY_HASH_PATTERN = re.compile(rf"^{KEY_HASH_PREFIX}[0-9a-f]{{64}}$")


class Workspace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace: its budget, its API keys and the models and services it may use.

    Attributes:
        budget_tokens: Total tokens purchased; absolute, not a change.
        key_hashes: Hashes of the API keys of its callers.
        models: Models that it may use.
        services: Plain services that it may use.
        priority: From 0 to 9; higher values are served first under overload.
        urgency: Overrides the urgency of the route for forwarded requests, unless None.
    """

    budget_tokens: int
    key_hashes: list[str] = []
    models: list[str] = []
    services: list[str] = []
    priority: int = 5
    urgency: int | None = None


class Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model and the servers that can run it.

    Attributes:
        max_output_tokens: Maximum output tokens of a response, also the default.
    """

    servers: list[str]
    max_output_tokens: int = 1024


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Properties of the model engines behind a service, as stated by the operators.

    Attributes:
        slots: Maximum requests in a batch of an engine.
        cache_tokens: Cache size in tokens, shared by running requests and cached prompt prefixes.
        tokens_per_event: Maximum tokens in an event of a stream.
    """

    slots: int = 1
    cache_tokens: int = 0
    tokens_per_event: int = 1


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service, or the model engines behind forwarded requests.

    Attributes:
        servers: Configured servers; empty if the servers register themselves.
        price_tokens: Price of a call in tokens.
        idempotent_methods: HTTP methods whose requests may be retried.
        engine: Set if the servers are model engines that requests are forwarded to.
        cold_requests_per_second: Requests a second from all routers together that a server bears
            while it is cold; 0 for services whose servers are never cold.
        cold_start_seconds: Time for which a server is cold after its start.
    """

    servers: list[str] = []
    price_tokens: int = 1
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    engine: EngineProfile | None = None
    cold_requests_per_second: float = 0.0
    cold_start_seconds: float = 0.0


class RouteKind(enum.StrEnum):
    """Whether and how the requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service that receives a weighted share of the requests of a route."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Rule that forwards requests unchanged, by host and path.

    Attributes:
        host: Value of the Host header without the port.
        path_prefix: Starts and ends with a slash; the longest matching prefix wins.
        kind: Whether and how requests may be retried.
        services: Target services with their weights.
        time_limit_seconds: Maximum time until the caller gets a response.
        target_latency_seconds: Target time to the response, or to the first event of a stream;
            a later one is worth less.
        target_gap_seconds: Target maximum time between events of a stream; 0 if unset.
        max_attempts: Maximum servers tried for one request of a caller.
        resumable: Whether a stream may be resumed at another server.
        anonymous: Whether requests need no API key.
        urgency: From 0 (most urgent) to 9.
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
        vm: VM on which the server runs.
        data_centre: Data centre of the VM.
        checks_fencing: Whether the server rejects orders with a stale fencing number.
        leaving: Set by an operator to take the server out of service.
    """

    url: str
    vm: str = ""
    data_centre: str = ""
    checks_fencing: bool = False
    leaving: bool = False


class Configuration(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The complete configuration document."""

    workspaces: dict[str, Workspace] = {}
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    servers: dict[str, Server] = {}
    routes: dict[str, Route] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationProblem:
    """A validation error in a configuration document."""

    path: str
    problem: str

    def __str__(self) -> str:
        """Returns the path and the problem on one line."""
        return f"{self.path}: {self.problem}"


def check_configuration(configuration: Configuration) -> list[ConfigurationProblem]:
    """Validates the constraints that the types do not express.

    Args:
        configuration: Decoded document.

    Returns:
        All problems found; empty if the document is valid.
    """
    problems: list[ConfigurationProblem] = []

    def add_problem(path: str, problem: str) -> None:
        problems.append(ConfigurationProblem(path=path, problem=problem))

    for section in ("workspaces", "models", "services", "servers", "routes"):
        for name in getattr(configuration, section):
            if not _NAME_PATTERN.match(name):
                add_problem(
                    f"{section}.{name}",
                    "a name has 1 to 63 letters, digits, '.', '_' or '-'",
                )

    seen_hashes: dict[str, str] = {}
    for name, workspace in configuration.workspaces.items():
        path = f"workspaces.{name}"
        if not 0 <= workspace.budget_tokens <= MAX_TOKENS:
            add_problem(f"{path}.budget_tokens", f"must be from 0 to {MAX_TOKENS}")
        if not 0 <= workspace.priority <= 9:
            add_problem(f"{path}.priority", "must be from 0 to 9")
        for key_hash in workspace.key_hashes:
            if not _KEY_HASH_PATTERN.match(key_hash):
                add_problem(f"{path}.key_hashes", f"must be {KEY_HASH_PREFIX!r} and 64 hex digits")
            owner = seen_hashes.setdefault(key_hash, name)
            if owner != name:
                add_problem(f"{path}.key_hashes", f"the key belongs to workspace {owner} too")
        for model in workspace.models:
            if model not in configuration.models:
                add_problem(f"{path}.models", f"there is no model {model!r}")
        for service in workspace.services:
            if service not in configuration.services:
                add_problem(f"{path}.services", f"there is no service {service!r}")

    for section in ("models", "services"):
        for name, target in getattr(configuration, section).items():
            for server in target.servers:
                if server not in configuration.servers:
                    add_problem(f"{section}.{name}.servers", f"there is no server {server!r}")
    for name, model in configuration.models.items():
        if not 1 <= model.max_output_tokens <= MAX_TOKENS:
            add_problem(f"models.{name}.max_output_tokens", f"must be from 1 to {MAX_TOKENS}")
    for name, service in configuration.services.items():
        if not 0 <= service.price_tokens <= MAX_TOKENS:
            add_problem(f"services.{name}.price_tokens", f"must be from 0 to {MAX_TOKENS}")
    for name, server in configuration.servers.items():
        if not server.url.startswith(("http://", "https://")):
            add_problem(f"servers.{name}.url", "must start with http:// or https://")
    for name, route in configuration.routes.items():
        for problem in _check_route(route, configuration):
            add_problem(f"routes.{name}", problem)
    return problems


def _check_route(route: Route, configuration: Configuration) -> list[str]:
    """Returns the problems of a route."""
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
