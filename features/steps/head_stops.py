"""Heads of answers that stop before their end, for servers that break off there."""

import dataclasses
import re

_BEHAVIOUR = re.compile(
    r"stops (?P<stream>its stream )?after (?P<part>.+) and (?P<end>closes|resets)"
)
_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nX-Other: x\r\n\r\n"
_HALF_INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nX-Oth"
_INTERIM_PREFIX = "an interim head and "
_LENGTH = b"Content-Length: 15\r\n"
_EMPTY_LENGTH = b"Content-Length: 0\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_REFUSAL_LINES = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
_MISSING_LINE = b"HTTP/1.1 404 X\r\n"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadStop:
    """The part of a head that a server sends, and how it ends the connection then."""

    sent: bytes
    is_reset: bool


def parse_head_stop(behaviour: str, head: bytes, stream_head: bytes) -> HeadStop | None:
    """Returns what a behaviour sends of a head, or None if it sends whole heads.

    Args:
        behaviour: `stops after PART and closes`, or `stops its stream after PART and resets`.
        head: Status line and first header lines of a plain answer.
        stream_head: The same of a stream.
    """
    match = _BEHAVIOUR.fullmatch(behaviour)
    if match is None:
        return None
    lines = stream_head if match["stream"] else head
    return HeadStop(sent=_cut_head(match["part"], lines), is_reset=match["end"] == "resets")


def _cut_head(part: str, lines: bytes) -> bytes:
    if part.startswith(_INTERIM_PREFIX):
        return _INTERIM_HEAD + _cut_head(part.removeprefix(_INTERIM_PREFIX), lines)
    match part:
        case "nothing":
            return b""
        case "half an interim head":
            return _HALF_INTERIM_HEAD
        case "an interim head":
            return _INTERIM_HEAD
        case "half the status line":
            return _STATUS_LINE[:10]
        case "the status line without its line break":
            return _STATUS_LINE[:-2]
        case "the status line":
            return _STATUS_LINE
        case "the first header lines":
            return lines
        case "half a header name":
            return lines + _LENGTH[:9]
        case "half a header value":
            return lines + b"X-Server-Load: 1,"
        case "one digit of the length":
            return lines + _LENGTH[:-3]
        case "half the transfer coding":
            return lines + _CHUNKED[:-5]
        case "all but the empty line, with a length":
            return lines + _LENGTH
        case "all but the empty line, in chunks":
            return lines + _CHUNKED
        case "all but the last line feed, with a length":
            return lines + _LENGTH + b"\r"
        case "all but the last line feed, in chunks":
            return lines + _CHUNKED + b"\r"
        case "all but the last line feed of an empty answer":
            return lines + _EMPTY_LENGTH + b"\r"
        case "all but the last line feed, without a length":
            return lines + b"\r"
        case "a refusal but for the empty line":
            return lines.replace(_STATUS_LINE, _REFUSAL_LINES) + _EMPTY_LENGTH
        case "a status of 404 but for the empty line":
            return lines.replace(_STATUS_LINE, _MISSING_LINE) + _EMPTY_LENGTH
    raise ValueError(f"unknown part of a head: {part}")
