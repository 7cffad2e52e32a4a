"""Command-line client for the operator API of the routers.

Usage: laburnumpier [flags] COMMAND [arguments]

Flags: --router=URL of the operator port of any router, --token_file=FILE with the operator token,
--format=table or json, --number=NUMBER of the configuration on which a patch is based,
--patch_id=ID under which a repeated patch or top-up is applied once, --author=NAME recorded as
the author of a change, --interval=SECONDS for the report of refusals.

Sends the command to the operator port of any router and prints the response as a table, or as
JSON with --format=json. Exit codes: 0 success, 1 request refused, 2 usage error, 3 conflict with
the current configuration number, 4 router unreachable, 5 invalid token, 6 invalid input, 7 not
found.
"""

import asyncio
import getpass
import json
import os
import pathlib
import sys

from absl import app, flags

from .client import CommandError, ExitCode, send_call
from .commands import COMMANDS, Options, find_command, generate_api_key
from .refusal_report import build_refusal_report
from .request_timeline import build_timeline, format_timeline, read_log_lines
from .table import format_table

_ROUTER = flags.DEFINE_string(
    "router",
    os.environ.get("LABURNUMPIER_ROUTER", "http://127.0.0.1:8081"),
    "URL of the operator port of a router; the default is taken from LABURNUMPIER_ROUTER.",
)
_TOKEN_FILE = flags.DEFINE_string(
    "token_file",
    os.environ.get("LABURNUMPIER_TOKEN_FILE", ""),
    "File with the operator token; the default is taken from LABURNUMPIER_TOKEN_FILE.",
)
_FORMAT = flags.DEFINE_enum("format", "table", ["table", "json"], "Output format.")
_NUMBER = flags.DEFINE_integer("number", None, "Configuration number on which a patch is based.")
_PATCH_ID = flags.DEFINE_string(
    "patch_id", "", "Idempotency id of a patch or top-up; generated if empty."
)
_AUTHOR = flags.DEFINE_string(
    "author", getpass.getuser(), "Name recorded as the author of a change."
)
_INTERVAL = flags.DEFINE_float(
    "interval", 60.0, "Seconds of an interval in the report of refusals.", lower_bound=0.1
)


def describe_commands() -> str:
    """Returns the list of all commands for the help text."""
    lines = ["Commands:", "  key new", "      Prints a new API key and its hash."]
    lines.append("  explain ID LOG [LOG ...]")
    lines.append("      Prints the timeline of a forwarded request from the logs of the routers.")
    lines.append("  refusals LOG [LOG ...]")
    lines.append("      Prints refused requests by time and route, and budgets by workspace.")
    for command in COMMANDS:
        lines.append(f"  {' '.join((command.name, *command.arguments))}")
        lines.append(f"      {command.help}")
    return "\n".join(lines)


def _read_token() -> str:
    if not _TOKEN_FILE.value:
        raise CommandError(ExitCode.USAGE, "--token_file is required")
    try:
        return pathlib.Path(_TOKEN_FILE.value).read_text(encoding="utf-8").strip()
    except OSError as error:
        message = f"{_TOKEN_FILE.value}: {error.strerror}"
        raise CommandError(ExitCode.USAGE, message) from error


def _explain(arguments: list[str]) -> None:
    """Prints the timeline of a request from log files."""
    if len(arguments) < 2:
        raise CommandError(
            ExitCode.USAGE, "explain requires a request id and at least one log file"
        )
    request_id, *paths = arguments
    try:
        timeline = build_timeline(read_log_lines(paths), request_id)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{error.filename}: {error.strerror}") from error
    if not timeline:
        raise CommandError(ExitCode.NOT_FOUND, f"no log lines for request {request_id}")
    print(format_timeline(timeline))


def _report_refusals(paths: list[str]) -> None:
    """Prints when and why requests were refused, from log files."""
    if not paths:
        raise CommandError(ExitCode.USAGE, "refusals requires at least one log file")
    try:
        report = build_refusal_report(read_log_lines(paths), _INTERVAL.value)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{error.filename}: {error.strerror}") from error
    if not report.by_time:
        raise CommandError(ExitCode.NOT_FOUND, "no log lines of requests")
    tables = (report.by_time, report.by_route, report.by_workspace)
    print("\n\n".join(format_table(rows) for rows in tables))


def _run_command(words: list[str]) -> None:
    if words == ["key", "new"]:
        key, key_hash = generate_api_key()
        rows = [{"field": "key", "value": key}, {"field": "key_hash", "value": key_hash}]
        print(format_table(rows))
        return
    if words[:1] == ["explain"] and words[1:2] != ["request"]:
        _explain(words[1:])
        return
    if words[:1] == ["refusals"]:
        _report_refusals(words[1:])
        return
    command, arguments = find_command(words)
    options = Options(number=_NUMBER.value, patch_id=_PATCH_ID.value, author=_AUTHOR.value)
    call = command.make_call(arguments, options)
    response = asyncio.run(send_call(_ROUTER.value, _read_token(), call))
    if _FORMAT.value == "json":
        print(json.dumps(response, indent=2))
    else:
        print(format_table(command.make_rows(response)))


def _main(argv: list[str]) -> int:
    try:
        _run_command(argv[1:])
    except CommandError as error:
        print(f"laburnumpier: {error}", file=sys.stderr)
        return int(error.exit_code)
    return int(ExitCode.OK)


def run() -> None:
    """Runs the command-line client; entry point of the `laburnumpier` program."""
    main_module = sys.modules["__main__"]
    main_module.__doc__ = f"{__doc__}\n{describe_commands()}\n"
    app.run(_main)
