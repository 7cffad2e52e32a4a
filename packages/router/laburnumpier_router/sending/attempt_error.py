"""Errors of one attempt to get the response to a request from a server."""

import asyncio

from laburnumpier_core.result_codes import Ran


class ServerAttemptError(Exception):
    """A server did not deliver a final response.

    Attributes:
        reason: Short identifier for logs.
        ran: Whether the request ran at the server.
        crash_check: Finds out whether the server has crashed; None if that does not matter.
    """

    def __init__(self, reason: str, ran: Ran, *, crash_check: asyncio.Task[bool] | None = None):
        super().__init__(reason)
        self.reason = reason
        self.ran = ran
        self.crash_check = crash_check


class ServerSilentError(Exception):
    """A server sent nothing for longer than the silence timeout of the request."""
