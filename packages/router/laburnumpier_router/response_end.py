"""How the response of a server says where its body ends.

A response without a length or chunks ends with its connection, which a crash of the server ends as
well. Whoever passes such a response on must not claim an end that the server did not claim.
"""

import enum
from collections.abc import Mapping

import aiohttp

EMPTY_STATUSES = (204, 304)
"""Statuses of responses that have no body."""


class EndMarker(enum.Enum):
    """How a response says where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"

    @property
    def is_explicit(self) -> bool:
        """Whether an early end can be told from the end of the whole body."""
        return self is not EndMarker.CLOSE


def get_end_marker(response: aiohttp.ClientResponse) -> EndMarker:
    """Returns how a response says where its body ends, as RFC 9112, section 6.3 has it."""
    codings = ",".join(response.headers.getall("Transfer-Encoding", ()))
    coding = codings.rpartition(",")[2].strip().lower()
    if coding == "chunked":
        return EndMarker.CHUNKS
    is_empty = response.method == "HEAD" or response.status in EMPTY_STATUSES
    if is_empty or (not coding and "Content-Length" in response.headers):
        return EndMarker.LENGTH
    return EndMarker.CLOSE


def get_stated_length(headers: Mapping[str, str]) -> int | None:
    """Returns the length in bytes that a valid head states; None if it states none."""
    text = headers.get("Content-Length", "")
    return int(text) if text.isascii() and text.isdigit() else None
