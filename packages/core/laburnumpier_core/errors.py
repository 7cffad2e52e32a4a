"""The exception tree of laburnumpier.

All errors that a caller of a library function may want to tell apart derive from
`LaburnumpierError`. Errors that end a request carry a result code and whether the request can
have run.
"""

from .result_codes import RESULT_CODE_TABLE, Ran, ResultCode


class LaburnumpierError(Exception):
    """Base of every error that the project raises on purpose."""


class RequestError(LaburnumpierError):
    """Ends one request with a numbered result code."""

    def __init__(
        self,
        code: ResultCode,
        *,
        ran: Ran = Ran.NO,
        detail: str = "",
        retry_after_seconds: float | None = None,
    ):
        """Creates the error.

        Args:
            code: The numbered result.
            ran: Whether any part of the request can have run.
            detail: What exactly was wrong, for people; holds no secrets.
            retry_after_seconds: When a retry can help, or None when it cannot.
        """
        super().__init__(detail or RESULT_CODE_TABLE[code].meaning)
        self.code = code
        self.ran = ran
        self.detail = detail or RESULT_CODE_TABLE[code].meaning
        self.retry_after_seconds = retry_after_seconds


class StoreError(LaburnumpierError):
    """Base of the failures of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """The call failed and is known to have had no effect."""


class WriteOutcomeUnknownError(StoreError):
    """A write's answer was lost; the write may or may not have taken effect."""


class PeerError(LaburnumpierError):
    """Base of the failures of calls between routers."""


class PeerUnreachableError(PeerError):
    """The peer gave no reply in time; it may have processed the message."""


class SettingsError(LaburnumpierError):
    """The settings file holds mistakes, all of which are listed."""

    def __init__(self, problems: list["object"]):
        """Creates the error from the list of `SettingProblem` found."""
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ServerError(LaburnumpierError):
    """Base of the failures of one call to a backend server."""


class ServerUnreachableError(ServerError):
    """No byte of the call can have reached the server."""


class ServerRefusedError(ServerError):
    """The server answered that it did not run the call."""

    def __init__(self, status: int, detail: str):
        """Creates the error from the server's HTTP status and message."""
        super().__init__(f"status {status}: {detail}")
        self.status = status


class ServerConnectionLostError(ServerError):
    """The connection failed or went silent after the call was sent."""
