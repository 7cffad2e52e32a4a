"""Commands of the command-line client.

Each command builds one call from its arguments and converts the response to table rows.
"""

import dataclasses
import json
import pathlib
import secrets
import urllib.parse
import uuid
from collections.abc import Callable
from typing import Any

from laburnumpier_core.hashing import hash_key

from .client import CommandError, ExitCode, OperatorCall

Row = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Command-line flags that commands use.

    Attributes:
        number: Configuration number on which a patch is based.
        patch_id: Idempotency id of a patch or top-up; generated when empty.
        author: Name recorded as the author of a change.
    """

    number: int | None
    patch_id: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """A command of the command-line client.

    Attributes:
        name: Words that select the command, for example `budget show`.
        arguments: Names of the positional arguments; a trailing `?` marks an optional one.
        help: One-sentence description.
        make_call: Builds the call from the arguments and flags.
        make_rows: Converts the response to table rows.
    """

    name: str
    arguments: tuple[str, ...]
    help: str
    make_call: Callable[[list[str], Options], OperatorCall]
    make_rows: Callable[[dict[str, Any]], list[Row]]


def _make_get_call(path: str) -> Callable[[list[str], Options], OperatorCall]:
    def make(arguments: list[str], options: Options) -> OperatorCall:
        return OperatorCall(method="GET", path=path.format(*arguments))

    return make


def _make_show_budget_call(arguments: list[str], options: Options) -> OperatorCall:
    path = f"/budgets/{arguments[0]}" if arguments else "/budgets"
    return OperatorCall(method="GET", path=path)


def _make_patch_call(arguments: list[str], options: Options) -> OperatorCall:
    if options.number is None:
        raise CommandError(
            ExitCode.USAGE,
            "--number is required: the configuration number on which the patch is based",
        )
    try:
        patch = json.loads(pathlib.Path(arguments[0]).read_text(encoding="utf-8"))
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{arguments[0]}: {error.strerror}") from error
    except ValueError as error:
        raise CommandError(ExitCode.INVALID, f"{arguments[0]}: invalid JSON: {error}") from error
    return OperatorCall(
        method="PATCH",
        path="/configuration",
        body=patch,
        headers={
            "If-Match": f'"{options.number}"',
            "X-Patch-Id": options.patch_id or f"p-{uuid.uuid4().hex}",
            "X-Operator": options.author,
        },
    )


def _make_top_up_call(arguments: list[str], options: Options) -> OperatorCall:
    try:
        tokens = int(arguments[1])
    except ValueError as error:
        raise CommandError(ExitCode.USAGE, "TOKENS must be an integer") from error
    body = {"tokens": tokens, "id": options.patch_id or f"t-{uuid.uuid4().hex}"}
    return OperatorCall(
        method="POST",
        path=f"/budgets/{arguments[0]}/top-ups",
        body=body,
        headers={"X-Operator": options.author},
    )


def _make_release_in_doubt_call(arguments: list[str], options: Options) -> OperatorCall:
    return OperatorCall(method="POST", path=f"/budgets/{arguments[0]}/release-in-doubt", body={})


def _make_declare_dead_call(arguments: list[str], options: Options) -> OperatorCall:
    return OperatorCall(
        method="POST",
        path="/fleet/declare-dead",
        body={"incarnation": arguments[0]},
        headers={"X-Operator": options.author},
    )


def _make_evacuation_call(method: str) -> Callable[[list[str], Options], OperatorCall]:
    def make(arguments: list[str], options: Options) -> OperatorCall:
        return OperatorCall(
            method=method,
            path=f"/evacuations/{urllib.parse.quote(arguments[0], safe='')}",
            headers={"X-Operator": options.author},
        )

    return make


def _make_placement_call(arguments: list[str], options: Options) -> OperatorCall:
    target, *rest = arguments
    names = ("parts", "output_tokens")
    query = urllib.parse.urlencode(dict(zip(names, rest, strict=False)))
    path = f"/placement/{urllib.parse.quote(target, safe='')}"
    return OperatorCall(method="GET", path=f"{path}?{query}" if query else path)


def _make_list_rows(list_name: str, *columns: str) -> Callable[[dict[str, Any]], list[Row]]:
    def make(response: dict[str, Any]) -> list[Row]:
        return [{column: row.get(column) for column in columns} for row in response[list_name]]

    return make


def _make_field_rows(response: dict[str, Any]) -> list[Row]:
    return [
        {"field": key, "value": json.dumps(value) if isinstance(value, dict | list) else value}
        for key, value in response.items()
    ]


def _make_budget_rows(response: dict[str, Any]) -> list[Row]:
    budgets = response.get("budgets", [response])
    columns = ("workspace", "purchased", "settled", "granted", "in_doubt", "available")
    return [{column: budget.get(column) for column in columns} for budget in budgets]


def _make_fleet_rows(response: dict[str, Any]) -> list[Row]:
    queried_router = {
        "incarnation": response["self"],
        "data_centre": response["data_centre"],
        "state": "serving",
        "live": True,
    }
    departed_routers = [
        {"incarnation": row["incarnation"], "data_centre": "", "state": "departed", "live": False}
        for row in response["departed"]
    ]
    return [queried_router, *response["members"], *departed_routers]


COMMANDS: tuple[Command, ...] = (
    Command(
        name="config show",
        arguments=(),
        help="Prints the active configuration and its number.",
        make_call=_make_get_call("/configuration"),
        make_rows=_make_field_rows,
    ),
    Command(
        name="config patch",
        arguments=("PATCH_FILE",),
        help="Applies a JSON Merge Patch that is based on configuration --number.",
        make_call=_make_patch_call,
        make_rows=_make_field_rows,
    ),
    Command(
        name="config history",
        arguments=(),
        help="Lists the author and time of each configuration change.",
        make_call=_make_get_call("/configuration/history"),
        make_rows=_make_list_rows("notes", "number", "author", "at", "patch_id"),
    ),
    Command(
        name="config diff",
        arguments=("NUMBER",),
        help="Prints the patch that produced the given configuration number.",
        make_call=_make_get_call("/configuration/patches/{0}"),
        make_rows=_make_field_rows,
    ),
    Command(
        name="budget show",
        arguments=("WORKSPACE?",),
        help="Prints the budget of one workspace or of all workspaces.",
        make_call=_make_show_budget_call,
        make_rows=_make_budget_rows,
    ),
    Command(
        name="budget top-up",
        arguments=("WORKSPACE", "TOKENS"),
        help="Adds tokens to a budget's purchased total; a repeated --patch_id counts once.",
        make_call=_make_top_up_call,
        make_rows=_make_field_rows,
    ),
    Command(
        name="budget release-in-doubt",
        arguments=("WORKSPACE",),
        help="Makes in-doubt tokens, which failed routers may have spent, available again.",
        make_call=_make_release_in_doubt_call,
        make_rows=_make_field_rows,
    ),
    Command(
        name="bills export",
        arguments=("WORKSPACE",),
        help="Prints the durable bills of a workspace in the order in which they were stored.",
        make_call=_make_get_call("/bills/{0}"),
        make_rows=_make_list_rows(
            "bills", "request_id", "tokens", "target", "server", "router", "finished_at"
        ),
    ),
    Command(
        name="explain request",
        arguments=("WORKSPACE", "REQUEST_ID"),
        help="Prints the state of a request in the store and on the queried router.",
        make_call=_make_get_call("/requests/{0}/{1}"),
        make_rows=_make_field_rows,
    ),
    Command(
        name="placement explain",
        arguments=("ROUTE_OR_SERVICE", "PARTS?", "OUTPUT_TOKENS?"),
        help="Prints where a request with prompt parts ID:TOKENS,... would go now, and why.",
        make_call=_make_placement_call,
        make_rows=_make_list_rows(
            "servers",
            "service",
            "server",
            "cost_ms",
            "first_event_ms",
            "held",
            "read",
            "load",
            "work",
        ),
    ),
    Command(
        name="fleet show",
        arguments=(),
        help="Lists the members of the fleet as seen by the queried router.",
        make_call=_make_get_call("/fleet"),
        make_rows=_make_fleet_rows,
    ),
    Command(
        name="fleet declare-dead",
        arguments=("INCARNATION",),
        help="Records that a router process has ended, so that its tokens are recovered.",
        make_call=_make_declare_dead_call,
        make_rows=_make_field_rows,
    ),
    Command(
        name="evacuation begin",
        arguments=("DATA_CENTRE",),
        help="Asks that nothing more is sent to the servers of a data centre.",
        make_call=_make_evacuation_call("PUT"),
        make_rows=_make_field_rows,
    ),
    Command(
        name="evacuation end",
        arguments=("DATA_CENTRE",),
        help="Withdraws the evacuation of a data centre.",
        make_call=_make_evacuation_call("DELETE"),
        make_rows=_make_field_rows,
    ),
    Command(
        name="evacuation list",
        arguments=(),
        help="Lists the evacuated data centres, as the store says.",
        make_call=_make_get_call("/evacuations"),
        make_rows=_make_list_rows("evacuations", "data_centre"),
    ),
    Command(
        name="state dump",
        arguments=(),
        help="Prints the internal state of the queried router.",
        make_call=_make_get_call("/state"),
        make_rows=_make_field_rows,
    ),
)


def find_command(words: list[str]) -> tuple[Command, list[str]]:
    """Finds the command selected by the positional arguments.

    Args:
        words: Positional arguments of the command line.

    Returns:
        The command and its own arguments.

    Raises:
        CommandError: If the command is unknown or the number of arguments is wrong.
    """
    for command in COMMANDS:
        name_words = command.name.split()
        if words[: len(name_words)] != name_words:
            continue
        arguments = words[len(name_words) :]
        required_count = sum(not name.endswith("?") for name in command.arguments)
        if not required_count <= len(arguments) <= len(command.arguments):
            argument_names = " ".join(command.arguments)
            raise CommandError(
                ExitCode.USAGE, f"usage: laburnumpier {command.name} {argument_names}"
            )
        return command, arguments
    given = " ".join(words) or "nothing"
    raise CommandError(ExitCode.USAGE, f"unknown command {given!r}; see --help")


def generate_api_key() -> tuple[str, str]:
    """Returns a new random API key and the hash that the configuration stores."""
    key = f"lp-{secrets.token_urlsafe(32)}"
    return key, hash_key(key)
