"""Settings of a router, read from an INI file.

Loading and checking are apart: `load_settings` reads the file, compares every key with the
table of allowed settings, and reports all mistakes at once with section, key, value and what
is allowed.
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
    """One mistake in a settings file."""

    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Returns the mistake as one line."""
        return f"[{self.section}] {self.key} = {self.value!r}: allowed is {self.allowed}"


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
    """Checked settings of one router.

    Durations are in seconds and amounts in tokens; see `SETTING_FIELDS` for the keys.
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
    metrics_address: Address | None
    statsd_host: str
    statsd_port: int
    log_level: str
    tls_certificate_file: str
    tls_key_file: str
    tls_authority_file: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingField:
    """Where a setting stands in the file and how its text is read.

    Attributes:
        section: Section of the INI file.
        name: Key in the section, also the attribute of `Settings`.
        parse: Turns the text into a value; raises ValueError when the text is not allowed.
        allowed: Which values are allowed, for people.
        default: Text used when the key is missing; None makes the key required.
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


def _parse_yes_no(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError(text)
    return text == "yes"


def _make_number_parser(
    kind: Callable[[str], Any], low: float, high: float
) -> Callable[[str], Any]:
    def parse(text: str) -> Any:
        number = kind(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def _make_choice_parser(*choices: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def _number(
    section: str, name: str, default: str, kind: Callable[[str], Any], low: float, high: float
) -> SettingField:
    return SettingField(
        section=section,
        name=name,
        parse=_make_number_parser(kind, low, high),
        allowed=f"a number from {low:g} to {high:g}",
        default=default,
    )


def _text(
    section: str, name: str, parse: Callable[[str], Any], allowed: str, default: str | None = None
) -> SettingField:
    return SettingField(section=section, name=name, parse=parse, allowed=allowed, default=default)


_ADDRESS = "an IP number and a port, such as 10.0.0.5:8080"
_NAME = "a name without spaces, '/' or '@'"
_FILE = "the path of a file that exists"
_URL = "a URL that starts with http:// or https://"
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

SETTING_FIELDS: tuple[SettingField, ...] = (
    _text("router", "vm", _parse_name, _NAME),
    _text("router", "data_centre", _parse_name, _NAME),
    _text("router", "callers_address", _parse_address, _ADDRESS),
    _text("router", "operators_address", _parse_optional_address, _ADDRESS + ", or nothing", ""),
    _text("router", "readiness_address", _parse_optional_address, _ADDRESS + ", or nothing", ""),
    _text("router", "peers_address", _parse_address, _ADDRESS),
    _text("router", "operator_token_file", _parse_optional_file, _FILE, ""),
    _text("router", "fleet_token_file", _parse_optional_file, _FILE, ""),
    _text("router", "trust_peer_network", _parse_yes_no, "yes or no", "no"),
    _text("platform", "store_url", _parse_url, _URL),
    _text("platform", "vm_list_url", _parse_optional_url, _URL, ""),
    _number("platform", "store_timeout_seconds", "1.0", float, 0.01, 60),
    _number("platform", "store_writes_per_second", "54", float, 0.1, 100000),
    _number("fleet", "member_lease_seconds", "10", float, 1, 600),
    _number("fleet", "heartbeat_seconds", "1.0", float, 0.05, 60),
    _number("fleet", "store_poll_seconds", "5", float, 0.1, 3600),
    _number("fleet", "watch_seconds", "30", float, 0.1, 3600),
    _number("fleet", "watchers", "2", int, 1, 100000),
    _number("fleet", "relay_from_routers", "20", int, 1, 10**9),
    _text("fleet", "recover_departed", _parse_yes_no, "yes or no", "yes"),
    _text(
        "fleet",
        "seed_addresses",
        _parse_addresses,
        "addresses of peers, separated by spaces, or nothing",
        "",
    ),
    _number("budget", "account_shards", "4", int, 1, 65536),
    _number("budget", "gather_seconds", "0", float, 0, 10),
    _number("budget", "grant_minimum_tokens", "2000", int, 1, 10**9),
    _number("budget", "grant_horizon_seconds", "600", float, 1, 86400),
    _number("budget", "grant_floor_share", "0.05", float, 0, 1),
    _number("budget", "grant_held_share", "1", float, 0.01, 1),
    _number("budget", "lend_from_routers", "20", int, 2, 10**9),
    _number("budget", "bill_wait_seconds", "0.25", float, 0, 60),
    _number("budget", "refill_seconds", "10", float, 0.05, 3600),
    _number("budget", "admission_wait_seconds", "5", float, 0, 600),
    _text(
        "budget",
        "in_doubt_policy",
        _make_choice_parser("hold", "release"),
        "hold or release",
        "hold",
    ),
    _text(
        "budget",
        "allocation",
        _parse_allocation,
        "grants, write_per_request or equal_split:<routers>",
        "grants",
    ),
    _number("request", "default_deadline_seconds", "300", float, 0.1, 86400),
    _number("request", "answer_retention_seconds", "600", float, 1, 86400),
    _number("request", "stall_seconds", "5", float, 0.05, 600),
    _number("request", "max_body_bytes", "1048576", int, 1024, 2**30),
    _number("request", "stop_grace_seconds", "30", float, 2, 86400),
    _number("backend", "lapsed_entry_seconds", "2", float, 0, 600),
    _number("backend", "retry_ratio", "0.2", float, 0, 10),
    _number("backend", "retry_extra", "10", float, 0, 100000),
    _number("backend", "retry_window_seconds", "10", float, 0.1, 3600),
    _number("backend", "probe_seconds", "1", float, 0.05, 60),
    _number("backend", "probe_freshness_seconds", "3", float, 0.1, 600),
    _text("backend", "give_engine_orders", _parse_yes_no, "yes or no", "no"),
    _number("backend", "load_interval_seconds", "30", float, 0.1, 86400),
    _text("metrics", "metrics_address", _parse_optional_address, _ADDRESS + ", or nothing", ""),
    _text("metrics", "statsd_host", str, "a host, or nothing", ""),
    _number("metrics", "statsd_port", "8125", int, 1, 65535),
    _text("log", "log_level", _make_choice_parser(*_LEVELS), ", ".join(_LEVELS), "INFO"),
    _text("tls", "tls_certificate_file", _parse_optional_file, _FILE, ""),
    _text("tls", "tls_key_file", _parse_optional_file, _FILE, ""),
    _text("tls", "tls_authority_file", _parse_optional_file, _FILE, ""),
)


def _find_unknown_keys(parser: configparser.ConfigParser) -> list[SettingProblem]:
    """Lists keys and sections that no setting has, which are most often typing mistakes."""
    known = {(field.section, field.name) for field in SETTING_FIELDS}
    problems = []
    for section in parser.sections():
        allowed = sorted(name for owner, name in known if owner == section)
        for key, value in parser.items(section):
            if (section, key) not in known:
                hint = f"one of {', '.join(allowed)}" if allowed else "no such section"
                problems.append(
                    SettingProblem(section=section, key=key, value=value, allowed=hint)
                )
    return problems


def parse_settings(text: str) -> Settings:
    """Reads settings from the text of an INI file.

    Args:
        text: Whole content of the file.

    Returns:
        The checked settings.

    Raises:
        SettingsError: If anything is wrong; it lists every mistake found.
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
    problems.extend(_find_missing_secrets(values))
    if problems:
        raise SettingsError(problems)
    return Settings(**values)


def _find_missing_secrets(values: dict[str, Any]) -> list[SettingProblem]:
    """Lists the secrets without which an address must not be opened."""
    problems = []
    needed = {
        "operator_token_file": values.get("operators_address") is not None,
        "fleet_token_file": not values.get("trust_peer_network", False),
    }
    for key, is_needed in needed.items():
        if is_needed and values.get(key) == "":
            problems.append(SettingProblem(section="router", key=key, value="", allowed=_FILE))
    return problems


def load_settings(path: str) -> Settings:
    """Reads and checks a settings file.

    Args:
        path: Path of the INI file.

    Returns:
        The checked settings.

    Raises:
        SettingsError: If the file cannot be read or holds mistakes.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        problem = SettingProblem(
            section="-", key="file", value=path, allowed=f"a readable file ({error.strerror})"
        )
        raise SettingsError([problem]) from error
    return parse_settings(text)
