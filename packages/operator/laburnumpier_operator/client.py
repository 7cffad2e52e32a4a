"""Calls a router's operator port."""

import dataclasses
import enum
import json
from typing import Any

import aiohttp
from laburnumpier_core.errors import LaburnumpierError
from laburnumpier_core.result_codes import ResultCode

TIMEOUT_SECONDS = 30.0


class ExitCode(enum.IntEnum):
    """Exit codes of the command line, for scripts."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNAUTHORIZED = 5
    INVALID = 6
    NOT_FOUND = 7


class CommandError(LaburnumpierError):
    """Ends a command with a message and an exit code."""

    def __init__(self, exit_code: ExitCode, message: str):
        """Creates the error."""
        super().__init__(message)
        self.exit_code = exit_code


_EXIT_CODES = {
    ResultCode.CONFLICT: ExitCode.CONFLICT,
    ResultCode.OPERATOR_UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    ResultCode.INVALID_CONFIGURATION: ExitCode.INVALID,
    ResultCode.INVALID_FIELD: ExitCode.INVALID,
    ResultCode.BROKEN_JSON: ExitCode.INVALID,
    ResultCode.NOT_FOUND: ExitCode.NOT_FOUND,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorCall:
    """One call to the operator port."""

    method: str
    path: str
    body: Any = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


async def send_call(router_url: str, token: str, call: OperatorCall) -> dict[str, Any]:
    """Sends a call and returns the answer's JSON object.

    Args:
        router_url: Base URL of any router's operator port.
        token: The operators' secret.
        call: What to send.

    Returns:
        The decoded answer.

    Raises:
        CommandError: If the router is not reached or refuses.
    """
    headers = {"Authorization": f"Bearer {token}", **call.headers}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                call.method, router_url.rstrip("/") + call.path, json=call.body, headers=headers
            ) as answer,
        ):
            body = json.loads(await answer.read())
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise CommandError(
            ExitCode.UNREACHABLE, f"{router_url} is not reached: {error}"
        ) from error
    except ValueError as error:
        raise CommandError(ExitCode.REFUSED, f"{router_url} gave no JSON answer") from error
    if answer.status >= 400:
        raise _make_refusal(body)
    return body


def _make_refusal(body: dict[str, Any]) -> CommandError:
    number = body.get("result_code", int(ResultCode.INTERNAL_ERROR))
    message = body.get("error", {}).get("message", "refused")
    exit_code = ExitCode.REFUSED
    for code, value in _EXIT_CODES.items():
        if int(code) == number:
            exit_code = value
    return CommandError(exit_code, f"refused with code {number}: {message}")
