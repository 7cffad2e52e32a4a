"""Settings of a router, read from an INI file.

`load_settings` reads the file and `parse_settings` validates its text against `SETTING_FIELDS`.
All problems are reported at once, each with its section, key, value and the allowed values.
"""

import configparser
import dataclasses
import ipaddress
import pathlib
from collections.abc import Callable
from typing import Any

from .errors import SettingsError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingProblem:
    """A validation problem in a settings file."""

    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Returns the problem as one line."""
        return f"[{self.section}] {self.key} = {self.value!r}: expected {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Validated settings of a router.

    Durations are in seconds and amounts in tokens. `SETTING_FIELDS` holds the section, default
    and allowed values of each setting.
    """

    vm: str
    data_centre: str
    callers_address: Address
    operators_address: Address | None
    readiness_address: Address | None
    peers_address: Address
    operator_token_file: str
    fleet_token_file: str
    trust_peer_network: bool
    store_url: str
    vm_list_url: str
    store_timeout_seconds: float
    store_writes_per_second: float
    member_lease_seconds: float
    heartbeat_seconds: float
    store_poll_seconds: float
    watch_seconds: float
    watchers: int
    relay_from_routers: int
    recover_departed: bool
    seed_addresses: tuple[str, ...]
    account_shards: int
    gather_seconds: float
    grant_minimum_tokens: int
    grant_horizon_seconds: float
    grant_floor_share: float
    grant_held_share: float
    lend_from_routers: int
    bill_wait_seconds: float
    refill_seconds: float
    admission_wait_seconds: float
    in_doubt_policy: str
    allocation: str
    default_deadline_seconds: float
    answer_retention_seconds: float
    stall_seconds: float
    max_body_bytes: int
    stop_grace_seconds: float
    probe_seconds: float
    probe_freshness_seconds: float
    lapsed_entry_seconds: float
    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
    give_engine_orders: bool
    load_interval_seconds: float
    cold_overshoot: float
    cold_slack_requests: float
    placement: str
    relay: bool
    link_mbps: float
    memory_mb: float
    file_descriptors: int
    max_header_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float
    metrics_address: Address | None
    statsd_host: str
    statsd_port: int
    log_level: str
    tls_certificate_file: str
    tls_key_file: str
    tls_authority_file: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingField:
    """Section, key, parser and default of a setting.

    Attributes:
        section: Section of the INI file.
        name: Key in the section and attribute of `Settings`.
        parse: Converts the text to a value; raises ValueError for an invalid text.
        allowed: Human-readable description of the allowed values.
        default: Text used for a missing key; None makes the setting required.
    """

    section: str
    name: str
    parse: Callable[[str], Any]
    allowed: str
    default: str | None = None


def _parse_name(text: str) -> str:
    if not text or any(character.isspace() or character in "/@" for character in text):
        raise ValueError(text)
    return text


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(text)
    return Address(host=host, port=number)


def _parse_optional_address(text: str) -> Address | None:
    return _parse_address(text) if text else None


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(str(_parse_address(part)) for part in text.split())


def _parse_file(text: str) -> str:
    if not pathlib.Path(text).is_file():
        raise ValueError(text)
    return text


def _parse_optional_file(text: str) -> str:
    return _parse_file(text) if text else ""


def _parse_url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise ValueError(text)
    return text.rstrip("/")


def _parse_optional_url(text: str) -> str:
    return _parse_url(text) if text else ""


def _parse_allocation(text: str) -> str:
    name, _, routers = text.partition(":")
    if name == "equal_split" and routers.isdecimal() and int(routers) > 0:
        return text
    if text not in ("grants", "write_per_request"):
        raise ValueError(text)
    return text


def _parse_bool(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError(text)
    return text == "yes"


def _make_number_parser(
    number_type: Callable[[str], Any], minimum: float, maximum: float
) -> Callable[[str], Any]:
    def parse(text: str) -> Any:
        number = number_type(text)
        if not minimum <= number <= maximum:
            raise ValueError(text)
        return number

    return parse


def _make_choice_parser(*choices: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def _number_field(
    section: str,
    name: str,
    default: str,
    number_type: Callable[[str], Any],
    minimum: float,
    maximum: float,
) -> SettingField:
    return SettingField(
        section=section,
        name=name,
        parse=_make_number_parser(number_type, minimum, maximum),
        allowed=f"a number from {minimum:g} to {maximum:g}",
        default=default,
    )


def _text_field(
    section: str, name: str, parse: Callable[[str], Any], allowed: str, default: str | None = None
) -> SettingField:
    return SettingField(section=section, name=name, parse=parse, allowed=allowed, default=default)


_ADDRESS_HELP = "an IP address and a port, such as 10.0.0.5:8080"
_NAME_HELP = "a name without spaces, '/' or '@'"
_FILE_HELP = "the path of an existing file"
_URL_HELP = "an http:// or https:// URL"
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

SETTING_FIELDS: tuple[SettingField, ...] = (
    _text_field("router", "vm", _parse_name, _NAME_HELP),
    _text_field("router", "data_centre", _parse_name, _NAME_HELP),
    _text_field("router", "callers_address", _parse_address, _ADDRESS_HELP),
    _text_field(
        "router", "operators_address", _parse_optional_address, _ADDRESS_HELP + ", or empty", ""
    ),
    _text_field(
        "router", "readiness_address", _parse_optional_address, _ADDRESS_HELP + ", or empty", ""
    ),
    _text_field("router", "peers_address", _parse_address, _ADDRESS_HELP),
    _text_field("router", "operator_token_file", _parse_optional_file, _FILE_HELP, ""),
    _text_field("router", "fleet_token_file", _parse_optional_file, _FILE_HELP, ""),
    _text_field("router", "trust_peer_network", _parse_bool, "yes or no", "no"),
    _text_field("platform", "store_url", _parse_url, _URL_HELP),
    _text_field("platform", "vm_list_url", _parse_optional_url, _URL_HELP, ""),
    _number_field("platform", "store_timeout_seconds", "1.0", float, 0.01, 60),
    _number_field("platform", "store_writes_per_second", "54", float, 0.1, 100000),
    _number_field("fleet", "member_lease_seconds", "10", float, 1, 600),
    _number_field("fleet", "heartbeat_seconds", "1.0", float, 0.05, 60),
    _number_field("fleet", "store_poll_seconds", "5", float, 0.1, 3600),
    _number_field("fleet", "watch_seconds", "30", float, 0.1, 3600),
    _number_field("fleet", "watchers", "2", int, 1, 100000),
    _number_field("fleet", "relay_from_routers", "20", int, 1, 10**9),
    _text_field("fleet", "recover_departed", _parse_bool, "yes or no", "yes"),
    _text_field(
        "fleet",
        "seed_addresses",
        _parse_addresses,
        "peer addresses separated by spaces, or empty",
        "",
    ),
    _number_field("budget", "account_shards", "4", int, 1, 65536),
    _number_field("budget", "gather_seconds", "0", float, 0, 10),
    _number_field("budget", "grant_minimum_tokens", "2000", int, 1, 10**9),
    _number_field("budget", "grant_horizon_seconds", "600", float, 1, 86400),
    _number_field("budget", "grant_floor_share", "0.05", float, 0, 1),
    _number_field("budget", "grant_held_share", "1", float, 0.01, 1),
    _number_field("budget", "lend_from_routers", "20", int, 2, 10**9),
    _number_field("budget", "bill_wait_seconds", "0.25", float, 0, 60),
    _number_field("budget", "refill_seconds", "10", float, 0.05, 3600),
    _number_field("budget", "admission_wait_seconds", "5", float, 0, 600),
    _text_field(
        "budget",
        "in_doubt_policy",
        _make_choice_parser("hold", "release"),
        "hold or release",
        "hold",
    ),
    _text_field(
        "budget",
        "allocation",
        _parse_allocation,
        "grants, write_per_request or equal_split:<routers>",
        "grants",
    ),
    _number_field("request", "default_deadline_seconds", "300", float, 0.1, 86400),
    _number_field("request", "answer_retention_seconds", "600", float, 1, 86400),
    _number_field("request", "stall_seconds", "5", float, 0.05, 600),
    _number_field("request", "max_body_bytes", "1048576", int, 1024, 2**30),
    _number_field("request", "stop_grace_seconds", "30", float, 2, 86400),
    _number_field("backend", "lapsed_entry_seconds", "2", float, 0, 600),
    _number_field("backend", "retry_ratio", "0.2", float, 0, 10),
    _number_field("backend", "retry_extra", "10", float, 0, 100000),
    _number_field("backend", "retry_window_seconds", "10", float, 0.1, 3600),
    _number_field("backend", "probe_seconds", "1", float, 0.05, 60),
    _number_field("backend", "probe_freshness_seconds", "3", float, 0.1, 600),
    _text_field("backend", "give_engine_orders", _parse_bool, "yes or no", "no"),
    _number_field("backend", "load_interval_seconds", "30", float, 0.1, 86400),
    _number_field("backend", "cold_overshoot", "1", float, 1, 100),
    _number_field("backend", "cold_slack_requests", "0", float, 0, 100000),
    _text_field(
        "backend",
        "placement",
        _make_choice_parser("affinity", "estimate"),
        "affinity or estimate",
        "affinity",
    ),
    _text_field("backend", "relay", _parse_bool, "yes or no", "no"),
    _number_field("router", "link_mbps", "0", float, 0, 10**6),
    _number_field("limits", "memory_mb", "0", float, 0, 10**9),
    _number_field("limits", "file_descriptors", "0", int, 0, 10**9),
    _number_field("limits", "max_header_bytes", "65536", int, 1024, 2**30),
    _number_field("limits", "header_timeout_seconds", "30", float, 0.1, 86400),
    _number_field("limits", "idle_timeout_seconds", "3600", float, 0.1, 86400),
    _text_field(
        "metrics", "metrics_address", _parse_optional_address, _ADDRESS_HELP + ", or empty", ""
    ),
    _text_field("metrics", "statsd_host", str, "a host name or IP address, or empty", ""),
    _number_field("metrics", "statsd_port", "8125", int, 1, 65535),
    _text_field(
        "log", "log_level", _make_choice_parser(*_LOG_LEVELS), ", ".join(_LOG_LEVELS), "INFO"
    ),
    _text_field("tls", "tls_certificate_file", _parse_optional_file, _FILE_HELP, ""),
    _text_field("tls", "tls_key_file", _parse_optional_file, _FILE_HELP, ""),
    _text_field("tls", "tls_authority_file", _parse_optional_file, _FILE_HELP, ""),
)


def _find_unknown_keys(parser: configparser.ConfigParser) -> list[SettingProblem]:
    """Returns a problem for each unknown section or key, which is usually a typing error."""
    known = {(field.section, field.name) for field in SETTING_FIELDS}
    problems = []
    for section in parser.sections():
        allowed = sorted(name for known_section, name in known if known_section == section)
        for key, value in parser.items(section):
            if (section, key) not in known:
                expected = f"one of {', '.join(allowed)}" if allowed else "a known section"
                problems.append(
                    SettingProblem(section=section, key=key, value=value, allowed=expected)
                )
    return problems


def parse_settings(text: str) -> Settings:
    """Parses and validates the text of an INI file.

    Args:
        text: Content of the file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the text is invalid; it lists every problem found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        problem = SettingProblem(
            section="-", key="-", value=str(error).replace("\n", " "), allowed="valid INI"
        )
        raise SettingsError([problem]) from error

    problems = _find_unknown_keys(parser)
    values: dict[str, Any] = {}
    for field in SETTING_FIELDS:
        raw = parser.get(field.section, field.name, fallback=field.default)
        if raw is None:
            raw = ""
        try:
            values[field.name] = field.parse(raw.strip())
        except ValueError:
            problems.append(
                SettingProblem(
                    section=field.section, key=field.name, value=raw, allowed=field.allowed
                )
            )
    problems.extend(_find_missing_token_files(values))
    if problems:
        raise SettingsError(problems)
    return Settings(**values)


def _find_missing_token_files(values: dict[str, Any]) -> list[SettingProblem]:
    """Returns a problem for each token file that is required but not set.

    The operator port must not be opened without a token, and the peer port only if the network
    between the routers is trusted.
    """
    problems = []
    required = {
        "operator_token_file": values.get("operators_address") is not None,
        "fleet_token_file": not values.get("trust_peer_network", False),
    }
    for key, is_required in required.items():
        if is_required and values.get(key) == "":
            problems.append(
                SettingProblem(section="router", key=key, value="", allowed=_FILE_HELP)
            )
    return problems


def load_settings(path: str) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: Path of the INI file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        problem = SettingProblem(
            section="-", key="file", value=path, allowed=f"a readable file ({error.strerror})"
        )
        raise SettingsError([problem]) from error
    return parse_settings(text)
