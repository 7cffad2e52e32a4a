"""The commands of the command line: each turns arguments into one call, its answer into rows."""

import dataclasses
import json
import pathlib
import secrets
import uuid
from collections.abc import Callable
from typing import Any

from laburnumpier_core.hashing import hash_key

from .client import CommandError, ExitCode, OperatorCall

Row = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Flags that commands read.

    Attributes:
        number: Configuration number that a patch was written against.
        patch_id: Identity of a patch or top-up; minted when empty.
        author: Name recorded with a change.
    """

    number: int | None
    patch_id: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """One command.

    Attributes:
        words: How it is called, for example `budget show`.
        arguments: Names of its positional arguments; one that ends in `?` may be left out.
        help: One sentence.
        make_call: Builds the call from the arguments.
        make_rows: Turns the answer into table rows.
    """

    words: str
    arguments: tuple[str, ...]
    help: str
    make_call: Callable[[list[str], Options], OperatorCall]
    make_rows: Callable[[dict[str, Any]], list[Row]]


def _get(path: str) -> Callable[[list[str], Options], OperatorCall]:
    def make(arguments: list[str], options: Options) -> OperatorCall:
        return OperatorCall(method="GET", path=path.format(*arguments))

    return make


def _show_budget(arguments: list[str], options: Options) -> OperatorCall:
    path = f"/budgets/{arguments[0]}" if arguments else "/budgets"
    return OperatorCall(method="GET", path=path)


def _patch_configuration(arguments: list[str], options: Options) -> OperatorCall:
    if options.number is None:
        raise CommandError(ExitCode.USAGE, "--number is required: the number that you read")
    try:
        patch = json.loads(pathlib.Path(arguments[0]).read_text(encoding="utf-8"))
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{arguments[0]}: {error.strerror}") from error
    except ValueError as error:
        raise CommandError(ExitCode.INVALID, f"{arguments[0]}: not JSON: {error}") from error
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


def _top_up(arguments: list[str], options: Options) -> OperatorCall:
    try:
        tokens = int(arguments[1])
    except ValueError as error:
        raise CommandError(ExitCode.USAGE, "TOKENS must be a whole number") from error
    body = {"tokens": tokens, "id": options.patch_id or f"t-{uuid.uuid4().hex}"}
    return OperatorCall(
        method="POST",
        path=f"/budgets/{arguments[0]}/top-ups",
        body=body,
        headers={"X-Operator": options.author},
    )


def _release_in_doubt(arguments: list[str], options: Options) -> OperatorCall:
    return OperatorCall(method="POST", path=f"/budgets/{arguments[0]}/release-in-doubt", body={})


def _declare_dead(arguments: list[str], options: Options) -> OperatorCall:
    return OperatorCall(
        method="POST",
        path="/fleet/declare-dead",
        body={"incarnation": arguments[0]},
        headers={"X-Operator": options.author},
    )


def _list_of(name: str, *columns: str) -> Callable[[dict[str, Any]], list[Row]]:
    def make(answer: dict[str, Any]) -> list[Row]:
        return [{column: row.get(column) for column in columns} for row in answer[name]]

    return make


def _whole(answer: dict[str, Any]) -> list[Row]:
    return [
        {"field": key, "value": json.dumps(value) if isinstance(value, dict | list) else value}
        for key, value in answer.items()
    ]


def _budget_rows(answer: dict[str, Any]) -> list[Row]:
    budgets = answer.get("budgets", [answer])
    columns = ("workspace", "purchased", "settled", "granted", "in_doubt", "available")
    return [{column: budget.get(column) for column in columns} for budget in budgets]


def _fleet_rows(answer: dict[str, Any]) -> list[Row]:
    own = {
        "incarnation": answer["self"],
        "data_centre": answer["data_centre"],
        "state": "serving",
        "live": True,
    }
    gone = [
        {"incarnation": row["incarnation"], "data_centre": "", "state": "departed", "live": False}
        for row in answer["departed"]
    ]
    return [own, *answer["members"], *gone]


COMMANDS: tuple[Command, ...] = (
    Command(
        words="config show",
        arguments=(),
        help="Prints the configuration in force and its number.",
        make_call=_get("/configuration"),
        make_rows=_whole,
    ),
    Command(
        words="config patch",
        arguments=("PATCH_FILE",),
        help="Applies a JSON Merge Patch that was written against --number.",
        make_call=_patch_configuration,
        make_rows=_whole,
    ),
    Command(
        words="config history",
        arguments=(),
        help="Lists who changed the configuration when.",
        make_call=_get("/configuration/history"),
        make_rows=_list_of("notes", "number", "author", "at", "patch_id"),
    ),
    Command(
        words="config diff",
        arguments=("NUMBER",),
        help="Prints the patch that made a number.",
        make_call=_get("/configuration/patches/{0}"),
        make_rows=_whole,
    ),
    Command(
        words="budget show",
        arguments=("WORKSPACE?",),
        help="Prints one budget, or all.",
        make_call=_show_budget,
        make_rows=_budget_rows,
    ),
    Command(
        words="budget top-up",
        arguments=("WORKSPACE", "TOKENS"),
        help="Raises a budget's purchased total; a repeated --patch_id counts once.",
        make_call=_top_up,
        make_rows=_whole,
    ),
    Command(
        words="budget release-in-doubt",
        arguments=("WORKSPACE",),
        help="Makes tokens available again that dead routers may have spent unproven.",
        make_call=_release_in_doubt,
        make_rows=_whole,
    ),
    Command(
        words="bills export",
        arguments=("WORKSPACE",),
        help="Prints the durable bills of a workspace in the order in which they were stored.",
        make_call=_get("/bills/{0}"),
        make_rows=_list_of(
            "bills", "request_id", "tokens", "target", "server", "router", "finished_at"
        ),
    ),
    Command(
        words="explain request",
        arguments=("WORKSPACE", "REQUEST_ID"),
        help="Prints what the store and the router know of one request.",
        make_call=_get("/requests/{0}/{1}"),
        make_rows=_whole,
    ),
    Command(
        words="fleet show",
        arguments=(),
        help="Lists the routers as the asked one sees them.",
        make_call=_get("/fleet"),
        make_rows=_fleet_rows,
    ),
    Command(
        words="fleet declare-dead",
        arguments=("INCARNATION",),
        help="Records that a router process has ended, so that its tokens are recovered.",
        make_call=_declare_dead,
        make_rows=_whole,
    ),
    Command(
        words="state dump",
        arguments=(),
        help="Prints the state of the asked router.",
        make_call=_get("/state"),
        make_rows=_whole,
    ),
)


def find_command(words: list[str]) -> tuple[Command, list[str]]:
    """Finds the command that the given words call.

    Args:
        words: The positional arguments of the command line.

    Returns:
        The command and the arguments that are left for it.

    Raises:
        CommandError: If there is no such command or its arguments do not fit.
    """
    for command in COMMANDS:
        parts = command.words.split()
        if words[: len(parts)] != parts:
            continue
        arguments = words[len(parts) :]
        required = sum(not name.endswith("?") for name in command.arguments)
        if not required <= len(arguments) <= len(command.arguments):
            names = " ".join(command.arguments)
            raise CommandError(ExitCode.USAGE, f"usage: laburnumpier {command.words} {names}")
        return command, arguments
    called = " ".join(words) or "nothing"
    raise CommandError(ExitCode.USAGE, f"there is no command {called!r}; see --help")


def make_key() -> tuple[str, str]:
    """Returns a new random caller key and the hash that goes into the configuration."""
    key = f"lp-{secrets.token_urlsafe(32)}"
    return key, hash_key(key)
