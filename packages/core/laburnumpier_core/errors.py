"""The exception hierarchy of laburnumpier.

Every error that a caller may need to handle separately derives from `LaburnumpierError`. Errors
that end a request carry a result code and state whether the request may have run.
"""

from collections.abc import Mapping

from .result_codes import RESULT_CODE_TABLE, Ran, ResultCode

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""HTTP statuses that promise that the request has not run and never will."""


class LaburnumpierError(Exception):
    """Base class of all errors that the project raises deliberately."""


class RequestError(LaburnumpierError):
    """Ends a request with a numbered result code."""

    def __init__(
        self,
        code: ResultCode,
        *,
        ran: Ran = Ran.NO,
        detail: str = "",
        retry_after_seconds: float | None = None,
        facts: Mapping[str, object] | None = None,
    ):
        """Creates the error.

        Args:
            code: Result code of the response.
            ran: Whether any part of the request may have run.
            detail: Human-readable description of the problem, without secrets; the meaning of
                the code when empty.
            retry_after_seconds: Delay before a retry, or None if a retry does not help.
            facts: What the decision was based on, for the log.
        """
        super().__init__(detail or RESULT_CODE_TABLE[code].meaning)
        self.code = code
        self.ran = ran
        self.detail = detail or RESULT_CODE_TABLE[code].meaning
        self.retry_after_seconds = retry_after_seconds
        self.facts = dict(facts or {})

    def note_possible_run(self) -> None:
        """Notes that the request may have run before it was refused.

        A code whose status promises that nothing ran gives way to one that promises nothing.
        """
        if self.ran is not Ran.NO:
            return
        self.ran = Ran.UNKNOWN
        if RESULT_CODE_TABLE[self.code].http_status in NOT_RUN_STATUSES:
            self.code = ResultCode.OUTCOME_UNKNOWN


class InvalidHeadError(LaburnumpierError):
    """The head of an HTTP response breaks the protocol."""


class TooManyHeadsError(LaburnumpierError):
    """An HTTP response has too many interim heads before its final one."""


class UnreadableDataError(LaburnumpierError):
    """Bytes that another process wrote cannot be decoded."""


class StoreError(LaburnumpierError):
    """Base class of failures of the platform's key-value store."""


class StoreUnavailableError(StoreError):
    """The call failed without any effect on the store."""


class WriteOutcomeUnknownError(StoreError):
    """The response to a write is missing or invalid; the write may have been applied."""


class StoredValueError(StoreError):
    """A value was read, but cannot be decoded."""


class PeerError(LaburnumpierError):
    """Base class of failures of calls between routers."""


class PeerUnreachableError(PeerError):
    """The peer did not reply before the timeout; it may have processed the message."""


class PeerMessageError(PeerError):
    """The message cannot be encoded, and was not sent."""


class SettingsError(LaburnumpierError):
    """The settings file is invalid; lists every problem found."""

    def __init__(self, problems: list["object"]):
        """Creates the error from a list of `SettingProblem`."""
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ServerError(LaburnumpierError):
    """Base class of failures of a call to a backend server."""


class ServerUnreachableError(ServerError):
    """The call failed, and no byte of it can have reached the server."""


class ServerRefusedError(ServerError):
    """The server responded that it did not run the call."""

    def __init__(self, status: int, detail: str):
        """Creates the error from the HTTP status and message of the server's response."""
        super().__init__(f"status {status}: {detail}")
        self.status = status


class ServerConnectionLostError(ServerError):
    """The connection failed or stalled after the call was sent.

    Attributes:
        reason: Short identifier for logs.
    """

    reason = "broke_off"


class ServerResponseInvalidError(ServerConnectionLostError):
    """The response has a head that breaks the protocol, so that nothing of it is believed."""

    reason = "invalid_head"


class ServerResponseLimitError(ServerConnectionLostError):
    """The response passed a limit, and its connection was closed."""

    def __init__(self, reason: str, detail: str):
        """Creates the error.

        Args:
            reason: Short identifier of the limit.
            detail: Description of the limit.
        """
        super().__init__(detail)
        self.reason = reason
