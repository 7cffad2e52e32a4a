"""Messages between routers about single requests."""

import enum

import msgspec
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import Ran, ResultCode

from ..budget.slot import StoredOutcome


class AnswerEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One chunk of an answer; ids count from 1 without gaps."""

    event_id: int
    data: bytes


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """How a request ended without a whole answer; see `RequestError`."""

    code: int
    ran: Ran
    detail: str
    retry_after_seconds: float | None

    def to_error(self) -> RequestError:
        """Returns the error that the failure stands for."""
        return RequestError(
            ResultCode(self.code),
            ran=self.ran,
            detail=self.detail,
            retry_after_seconds=self.retry_after_seconds,
        )


def describe_failure(error: RequestError) -> Failure:
    """Returns an error in the form that travels between routers."""
    return Failure(
        code=int(error.code),
        ran=error.ran,
        detail=error.detail,
        retry_after_seconds=error.retry_after_seconds,
    )


class OpenRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the home of a request id whether the request runs somewhere.

    Attributes:
        router: Incarnation that will run it if it is new.
        replacing: Incarnation that was found silent; the request moves away from it.
    """

    workspace: str
    request_id: str
    body_hash: str
    router: str
    replacing: str = ""


class HomeAnswer(enum.StrEnum):
    """What the home knows of a request."""

    NEW = "new"
    ELSEWHERE = "elsewhere"
    KEY_REUSED = "key_reused"


class RequestOpened(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The home's reply; `server` is where the request was last known to run."""

    answer: HomeAnswer
    router: str = ""
    server: str = ""


class PlaceRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells the home which server runs a request; an empty `router` closes it as not run."""

    workspace: str
    request_id: str
    router: str
    server: str


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the serving router for the events behind one that was received before."""

    workspace: str
    request_id: str
    after_event_id: int
    wait_seconds: float


class AnswerRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Events of an answer, in order.

    Attributes:
        found: Whether the router knows the request.
        finished: Whether no more events follow.
        failure: How the request failed, when it is finished without a whole answer.
    """

    found: bool
    events: list[AnswerEvent] = []
    finished: bool = False
    failure: Failure | None = None


class ReadOutcome(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the router that claimed a call how it ended."""

    workspace: str
    request_id: str
    claim_id: str
    wait_seconds: float


class OutcomeRead(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """How a claimed call stands at the router that claimed it.

    Attributes:
        running: Whether the call is still in progress.
        never_sent: The router proves that it sent nothing under this claim and never will.
        outcome: The server's answer, once there is one.
        failure: How the call failed, once it has.
    """

    running: bool = False
    never_sent: bool = False
    outcome: StoredOutcome | None = None
    failure: Failure | None = None
