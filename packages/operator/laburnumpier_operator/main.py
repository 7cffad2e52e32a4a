"""The operators' command line.

Usage: laburnumpier [flags] COMMAND [arguments]

Flags: --router=URL of any router's operator port, --token_file=FILE with the operators' token,
--format=table or json, --number=NUMBER that a patch is written against, --patch_id=ID under
which a repeated patch or top-up counts once, --author=NAME that is recorded.

It talks to the operator port of any router and prints a table, or JSON with --format=json. The
exit code is 0 when done, 1 refused, 2 wrong usage, 3 conflict with the current number, 4
router not reached, 5 wrong token, 6 invalid input, 7 not found.
"""

import asyncio
import getpass
import json
import os
import pathlib
import sys

from absl import app, flags

from .client import CommandError, ExitCode, send_call
from .commands import COMMANDS, Options, find_command, make_key
from .log_story import format_story, read_lines, tell_story
from .table import format_table

_ROUTER = flags.DEFINE_string(
    "router",
    os.environ.get("LABURNUMPIER_ROUTER", "http://127.0.0.1:8081"),
    "URL of a router's operator port; default from LABURNUMPIER_ROUTER.",
)
_TOKEN_FILE = flags.DEFINE_string(
    "token_file",
    os.environ.get("LABURNUMPIER_TOKEN_FILE", ""),
    "File with the operators' token; default from LABURNUMPIER_TOKEN_FILE.",
)
_FORMAT = flags.DEFINE_enum("format", "table", ["table", "json"], "How to print the answer.")
_NUMBER = flags.DEFINE_integer("number", None, "Configuration number that a patch is for.")
_PATCH_ID = flags.DEFINE_string("patch_id", "", "Identity of a patch or top-up; minted if empty.")
_AUTHOR = flags.DEFINE_string("author", getpass.getuser(), "Name recorded with a change.")


def describe_commands() -> str:
    """Returns the list of all commands, for the help text."""
    lines = ["Commands:", "  key new", "      Prints a new caller key and its hash."]
    lines.append("  explain ID LOG [LOG ...]")
    lines.append("      Tells the story of a forwarded request from the logs of routers.")
    for command in COMMANDS:
        lines.append(f"  {' '.join((command.words, *command.arguments))}")
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
    """Prints what the logs of routers tell of one request."""
    if len(arguments) < 2:
        raise CommandError(ExitCode.USAGE, "explain needs a request id and log files")
    request_id, *paths = arguments
    try:
        story = tell_story(read_lines(paths), request_id)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{error.filename}: {error.strerror}") from error
    if not story:
        raise CommandError(ExitCode.NOT_FOUND, f"no line of request {request_id}")
    print(format_story(story))


def _run_command(words: list[str]) -> None:
    if words == ["key", "new"]:
        key, key_hash = make_key()
        rows = [{"field": "key", "value": key}, {"field": "key_hash", "value": key_hash}]
        print(format_table(rows))
        return
    if words[:1] == ["explain"] and words[1:2] != ["request"]:
        _explain(words[1:])
        return
    command, arguments = find_command(words)
    options = Options(number=_NUMBER.value, patch_id=_PATCH_ID.value, author=_AUTHOR.value)
    call = command.make_call(arguments, options)
    answer = asyncio.run(send_call(_ROUTER.value, _read_token(), call))
    if _FORMAT.value == "json":
        print(json.dumps(answer, indent=2))
    else:
        print(format_table(command.make_rows(answer)))


def _main(argv: list[str]) -> int:
    try:
        _run_command(argv[1:])
    except CommandError as error:
        print(f"laburnumpier: {error}", file=sys.stderr)
        return int(error.exit_code)
    return int(ExitCode.OK)


def run() -> None:
    """Runs the command line; installed as `laburnumpier`."""
    main_module = sys.modules["__main__"]
    main_module.__doc__ = f"{__doc__}\n{describe_commands()}\n"
    app.run(_main)
