"""Messages between routers that locate requests and read their results."""

import enum

import msgspec
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import Ran, ResultCode

from ..budget.slot import StoredOutcome


class AnswerEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One chunk of an answer; event ids are consecutive and start at 1."""

    event_id: int
    data: bytes


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """Serialized form of a `RequestError`."""

    code: int
    ran: Ran
    detail: str
    retry_after_seconds: float | None

    def to_error(self) -> RequestError:
        """Converts the failure back to an error."""
        return RequestError(
            ResultCode(self.code),
            ran=self.ran,
            detail=self.detail,
            retry_after_seconds=self.retry_after_seconds,
        )


def describe_failure(error: RequestError) -> Failure:
    """Converts an error to the form that is sent between routers."""
    return Failure(
        code=int(error.code),
        ran=error.ran,
        detail=error.detail,
        retry_after_seconds=error.retry_after_seconds,
    )


class OpenRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the home of a request id whether another router runs the request.

    Attributes:
        router: Incarnation that runs the request if it is new.
        replacing: Incarnation that did not respond; `router` replaces it.
    """

    workspace: str
    request_id: str
    body_hash: str
    router: str
    replacing: str = ""


class HomeAnswer(enum.StrEnum):
    """State of a request at its home."""

    NEW = "new"
    ELSEWHERE = "elsewhere"
    KEY_REUSED = "key_reused"


class RequestOpened(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The home's reply; `server` is the server last recorded for the request."""

    answer: HomeAnswer
    router: str = ""
    server: str = ""


class PlaceRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells the home which server runs a request; an empty `server` removes a request not run."""

    workspace: str
    request_id: str
    router: str
    server: str


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the router that runs a request for the events after a given one."""

    workspace: str
    request_id: str
    after_event_id: int
    wait_seconds: float


class AnswerRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Events of an answer, in order.

    Attributes:
        found: Whether the router knows the request.
        finished: Whether the answer has ended; no more events follow.
        failure: How the request failed, if it ended without a complete answer.
        is_another_run: Whether callers may have events of an earlier run, which was lost.
    """

    found: bool
    events: list[AnswerEvent] = []
    finished: bool = False
    failure: Failure | None = None
    is_another_run: bool = False


class ReadOutcome(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the router that claimed a call for its outcome."""

    workspace: str
    request_id: str
    claim_id: str
    wait_seconds: float


class OutcomeRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """State of a claimed call at the router that claimed it.

    Attributes:
        running: Whether the call is still in progress.
        never_sent: Whether the router guarantees that it has sent nothing under this claim and
            never will.
        outcome: The server's response, if the call has completed.
        failure: How the call failed, if it has.
    """

    running: bool = False
    never_sent: bool = False
    outcome: StoredOutcome | None = None
    failure: Failure | None = None
