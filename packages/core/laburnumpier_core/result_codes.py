"""Numbered result codes of laburnumpier.

Every response other than a plain success carries one of these numbers, so that scripts can depend
on the number while the message text may change. The thousands digit names the cause: 1 none, 2
the caller, 3 the budget, 4 the fleet or its load, 5 a backend server, 6 the operator.
docs/RESULT_CODES.md holds the same table; a feature compares the two.
"""

import dataclasses
import enum


class Ran(enum.StrEnum):
    """Whether any part of a request may have run on a backend server."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Number of each outcome; `RESULT_CODE_TABLE` holds the HTTP status and the meaning."""

    OK = 1000
    REPLAYED = 1001
    MISSING_KEY = 2001
    UNKNOWN_KEY = 2002
    BROKEN_JSON = 2003
    INVALID_FIELD = 2004
    BODY_TOO_LARGE = 2005
    UNKNOWN_MODEL = 2006
    UNKNOWN_SERVICE = 2007
    INVALID_DEADLINE = 2008
    INVALID_IDEMPOTENCY_KEY = 2009
    KEY_REUSED = 2010
    NOT_FOUND = 2011
    REQUEST_EXPIRED = 2012
    HEAD_TOO_LARGE = 2013
    REQUEST_TOO_SLOW = 2014
    BUDGET_EXHAUSTED = 3001
    BUDGET_UNREACHABLE = 3002
    BUDGET_RESERVED = 3003
    STOPPING = 4001
    OVERLOADED = 4002
    DEADLINE_PASSED = 4003
    STORE_UNAVAILABLE = 4004
    ALREADY_RUNNING = 4005
    NOT_READY = 4006
    INTERNAL_ERROR = 4007
    CONFIGURATION_UNCONFIRMED = 4008
    MEMORY_EXHAUSTED = 4009
    NO_SERVER = 5001
    SERVER_REFUSED = 5002
    SERVER_FAILED = 5003
    OUTCOME_UNKNOWN = 5004
    STREAM_ORIGIN_UNKNOWN = 5005
    PROMPT_BLOCKED = 5006
    SERVERS_LIMITED = 5007
    SERVERS_HELD_OFF = 5008
    CONFLICT = 6001
    OPERATOR_UNAUTHORIZED = 6002
    INVALID_CONFIGURATION = 6003


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResultCodeInfo:
    """HTTP status and meaning of a result code.

    Attributes:
        http_status: Status of the HTTP response that carries the code.
        meaning: One-sentence description, also the default error message.
    """

    http_status: int
    meaning: str


def _info(http_status: int, meaning: str) -> ResultCodeInfo:
    return ResultCodeInfo(http_status=http_status, meaning=meaning)


RESULT_CODE_TABLE: dict[ResultCode, ResultCodeInfo] = {
    ResultCode.OK: _info(200, "The request was served."),
    ResultCode.REPLAYED: _info(200, "The recorded answer of an earlier try was sent again."),
    ResultCode.MISSING_KEY: _info(401, "The Authorization header holds no bearer key."),
    ResultCode.UNKNOWN_KEY: _info(401, "The bearer key belongs to no workspace."),
    ResultCode.BROKEN_JSON: _info(400, "The body is not valid JSON."),
    ResultCode.INVALID_FIELD: _info(400, "A field of the body has a wrong type or value."),
    ResultCode.BODY_TOO_LARGE: _info(413, "The body is larger than the limit."),
    ResultCode.UNKNOWN_MODEL: _info(404, "The workspace has no such model."),
    ResultCode.UNKNOWN_SERVICE: _info(404, "The workspace has no such service."),
    ResultCode.INVALID_DEADLINE: _info(
        400, "The deadline header is not a valid number of seconds."
    ),
    ResultCode.INVALID_IDEMPOTENCY_KEY: _info(400, "The idempotency key is malformed."),
    ResultCode.KEY_REUSED: _info(422, "The idempotency key was used before with another request."),
    ResultCode.NOT_FOUND: _info(404, "There is nothing at this path."),
    ResultCode.REQUEST_EXPIRED: _info(410, "The request ended but its answer is no longer held."),
    ResultCode.HEAD_TOO_LARGE: _info(431, "The request head is larger than the limit."),
    ResultCode.REQUEST_TOO_SLOW: _info(408, "The request head did not arrive in time."),
    ResultCode.BUDGET_EXHAUSTED: _info(402, "The prepaid budget cannot pay for the request."),
    ResultCode.BUDGET_UNREACHABLE: _info(
        503, "The budget's remaining tokens cannot be reached now."
    ),
    ResultCode.BUDGET_RESERVED: _info(
        503, "The rest of the budget is reserved by requests in progress."
    ),
    ResultCode.STOPPING: _info(503, "The router is stopping and takes no new work."),
    ResultCode.OVERLOADED: _info(503, "No server can start the request before its deadline."),
    ResultCode.DEADLINE_PASSED: _info(504, "The deadline passed before the request could finish."),
    ResultCode.STORE_UNAVAILABLE: _info(503, "A claim could not be recorded in the store."),
    ResultCode.ALREADY_RUNNING: _info(409, "The same request is still running elsewhere."),
    ResultCode.NOT_READY: _info(503, "The router has no configuration yet."),
    ResultCode.INTERNAL_ERROR: _info(500, "The router met an unexpected error."),
    ResultCode.CONFIGURATION_UNCONFIRMED: _info(
        503, "The request may be allowed by a newer configuration than the router has."
    ),
    ResultCode.MEMORY_EXHAUSTED: _info(
        503, "The router has no memory left for the request, which has not run."
    ),
    ResultCode.NO_SERVER: _info(503, "No eligible backend server is known."),
    ResultCode.SERVER_REFUSED: _info(503, "The backend server refused the request."),
    ResultCode.SERVER_FAILED: _info(502, "The backend server failed while it ran the request."),
    ResultCode.OUTCOME_UNKNOWN: _info(502, "The call was sent and its outcome cannot be known."),
    ResultCode.STREAM_ORIGIN_UNKNOWN: _info(
        503, "It is unknown at which server or version the stream began."
    ),
    ResultCode.PROMPT_BLOCKED: _info(
        503, "Servers have crashed on this request or on a part of its prompt."
    ),
    ResultCode.SERVERS_LIMITED: _info(
        503, "The limits that the servers have named leave no room for the request now."
    ),
    ResultCode.SERVERS_HELD_OFF: _info(
        503, "All servers want no requests from this router for a time."
    ),
    ResultCode.CONFLICT: _info(409, "The patch was written against an outdated number."),
    ResultCode.OPERATOR_UNAUTHORIZED: _info(401, "The operator token is missing or wrong."),
    ResultCode.INVALID_CONFIGURATION: _info(422, "The patched configuration is not valid."),
}
