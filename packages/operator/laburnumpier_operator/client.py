"""HTTP client for the operator API of a router."""

import dataclasses
import enum
import json
from typing import Any

import aiohttp
from laburnumpier_core.bounded_http import make_session, read_body
from laburnumpier_core.errors import LaburnumpierError
from laburnumpier_core.result_codes import ResultCode

REQUEST_TIMEOUT_SECONDS = 30.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Size of a response; a state dump of a large fleet has some megabytes."""


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line client."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNAUTHORIZED = 5
    INVALID = 6
    NOT_FOUND = 7


class CommandError(LaburnumpierError):
    """Ends the command with an error message and an exit code."""

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
    """A call to the operator API."""

    method: str
    path: str
    body: Any = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


async def send_call(router_url: str, token: str, call: OperatorCall) -> dict[str, Any]:
    """Sends a call and returns the JSON object of the response.

    Args:
        router_url: Base URL of the operator port of any router.
        token: The operator token.
        call: The call to send.

    Returns:
        The decoded response body.

    Raises:
        CommandError: If the router is unreachable or returns an error.
    """
    headers = {"Authorization": f"Bearer {token}", **call.headers}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    try:
        async with (
            make_session() as session,
            session.request(
                call.method,
                router_url.rstrip("/") + call.path,
                json=call.body,
                headers=headers,
                timeout=timeout,
            ) as response,
        ):
            body = json.loads(await read_body(response, MAX_RESPONSE_BYTES))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise CommandError(ExitCode.UNREACHABLE, f"cannot reach {router_url}: {error}") from error
    except ValueError as error:
        raise CommandError(
            ExitCode.REFUSED, f"response of {router_url} is not valid JSON"
        ) from error
    if response.status >= 400:
        raise _make_command_error(body)
    return body


def _make_command_error(body: dict[str, Any]) -> CommandError:
    result_code = body.get("result_code", int(ResultCode.INTERNAL_ERROR))
    message = body.get("error", {}).get("message", "refused")
    exit_code = ExitCode.REFUSED
    for mapped_code, mapped_exit_code in _EXIT_CODES.items():
        if int(mapped_code) == result_code:
            exit_code = mapped_exit_code
    return CommandError(exit_code, f"request failed with result code {result_code}: {message}")
