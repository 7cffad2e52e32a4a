"""Decides whether the head of an HTTP response is one (RFC 9110, RFC 9112).

A head that breaks the protocol is no response, whatever its status says: nothing of it can be
believed. HTTP libraries accept heads that they can make sense of, and differ in which.
"""

import re
from collections.abc import Iterable

from .errors import InvalidHeadError, TooManyHeadsError

MIN_STATUS = 100
MAX_STATUS = 599
MIN_FINAL_STATUS = 200
MAX_HEAD_END_BYTES = 4
MAX_INTERIM_HEADS = 64
_HEAD_END = re.compile(rb"\r?\n\r?\n")
_STATUS_LINE = re.compile(rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[0-9]{3})(?: [^\x00\r]*)?")
_FIELD_LINE = re.compile(rb"(?P<name>[^:]*):(?P<value>.*)", re.DOTALL)
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
"""A field's name has no blanks and no control bytes."""
_FORBIDDEN_IN_VALUE = re.compile(rb"[\x00\r\n]")
_LENGTH = re.compile(rb"[0-9]{1,100}")
"""A length; one of thousands of digits cannot be converted, and no library expects it."""
_BLANKS = b" \t"


class HeadChecker:
    """Checks the heads of one response as its bytes arrive: interim ones and the final one."""

    __slots__ = ("_has_final_head", "_interim_count", "_received")

    def __init__(self):
        """Creates a checker that has received nothing."""
        self._received = bytearray()
        self._interim_count = 0
        self._has_final_head = False

    @property
    def unchecked_bytes(self) -> int:
        """Size of a head that is not whole."""
        return len(self._received)

    def feed(self, data: bytes) -> None:
        """Adds bytes and checks each head that is whole now; bytes of a body are passed over.

        Raises:
            InvalidHeadError: If a head breaks the protocol.
            TooManyHeadsError: If there are more interim heads than a server has reason to send.
        """
        while data and not self._has_final_head:
            # Parsers pass over empty lines before a response.
            searched = max(0, len(self._received) - MAX_HEAD_END_BYTES)
            self._received += data if self._received else data.lstrip(b"\r\n")
            end = _HEAD_END.search(self._received, searched)
            if end is None:
                return
            status = check_head(bytes(self._received[: end.start()]))
            data = bytes(self._received[end.end() :])
            self._received.clear()
            self._has_final_head = status >= MIN_FINAL_STATUS
            self._interim_count += not self._has_final_head
            if self._interim_count > MAX_INTERIM_HEADS:
                raise TooManyHeadsError(f"more than {MAX_INTERIM_HEADS} interim heads")


def check_head(head: bytes) -> int:
    """Checks a head as it was received, without its empty line, and returns its status.

    Raises:
        InvalidHeadError: If it breaks the protocol.
    """
    status_line, *lines = (line.removesuffix(b"\r") for line in head.split(b"\n"))
    match = _STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise InvalidHeadError(f"status line {_shorten(status_line)}")
    status = int(match["status"])
    check_status(status)
    fields = [_split_field(line) for line in lines]
    check_fields(fields)
    if match["minor"] == b"0" and _list_values(fields, b"transfer-encoding"):
        raise InvalidHeadError("a transfer coding in a response of HTTP/1.0")
    return status


def check_status(status: int) -> None:
    """Checks a status code; codes that nobody knows are valid.

    Args:
        status: The three digits of a status line as a number.

    Raises:
        InvalidHeadError: If it is outside the range of RFC 9110, section 15.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidHeadError(f"status {status:03}")


def check_fields(fields: Iterable[tuple[bytes, bytes]]) -> None:
    """Checks the names and values of fields, and what they say of the end of the body.

    Args:
        fields: Name and value of each header line.

    Raises:
        InvalidHeadError: If one is none, or if the end of the body is not clear.
    """
    fields = list(fields)
    for name, value in fields:
        if not _TOKEN.fullmatch(name):
            raise InvalidHeadError(f"field name {_shorten(name)}")
        if _FORBIDDEN_IN_VALUE.search(value):
            raise InvalidHeadError(f"value of {_shorten(name)}")
    _check_framing(fields)


def _check_framing(fields: list[tuple[bytes, bytes]]) -> None:
    """Checks that there is one way to find the end of the body.

    Requests name no transfer codings, so that a response may have none but chunked.
    """
    codings = _list_values(fields, b"transfer-encoding")
    lengths = _list_values(fields, b"content-length")
    if codings and (len(codings) > 1 or codings[0].lower() != b"chunked"):
        raise InvalidHeadError(f"transfer coding {_shorten(b', '.join(codings))}")
    if codings and lengths:
        raise InvalidHeadError("a length beside a transfer coding")
    if len(set(lengths)) > 1 or not all(map(_LENGTH.fullmatch, lengths)):
        raise InvalidHeadError(f"length {_shorten(b', '.join(lengths))}")


def _split_field(line: bytes) -> tuple[bytes, bytes]:
    """Returns name and value of a header line; one that goes on with the line before has neither.

    Raises:
        InvalidHeadError: If it has no colon.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        raise InvalidHeadError(f"header line {_shorten(line)}")
    return match["name"], match["value"].strip(_BLANKS)


def _list_values(fields: list[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Returns the values of all fields with a name, given in lower case."""
    return [value.strip(_BLANKS) for found, value in fields if found.lower() == name]


def _shorten(text: bytes) -> str:
    return repr(text[:60])
