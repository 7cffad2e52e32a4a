"""Decides whether the head of an HTTP response is one (RFC 9110, RFC 9112).

A head that breaks the protocol is no response, whatever its status says: nothing of it can be
believed. HTTP libraries accept heads that they can make sense of, and differ in which.
"""

from .errors import InvalidHeadError

MIN_STATUS = 100
MAX_STATUS = 599


def check_status(status: int) -> None:
    """Checks a status code; codes that nobody knows are valid.

    Args:
        status: The three digits of a status line as a number.

    Raises:
        InvalidHeadError: If it is outside the range of RFC 9110, section 15.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidHeadError(f"status {status:03}")
