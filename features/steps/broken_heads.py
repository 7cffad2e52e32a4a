"""Whole answers with a head as a test describes it, sound or broken."""

import re

_BEHAVIOUR = re.compile(r"(?P<verb>answers|streams) with the (?P<part>[a-z]+)(?: (?P<text>.*))?")
DESCRIBED_BODY = b'{"serial": 1, "vms": []}'
"""Body of an answer that is no stream; a store, a router and the list of VMs send JSON."""
_REPEATED = re.compile(r"(.)\{([0-9]+)\}")
_EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


def make_described_answer(behaviour: str, attempt_id: bytes) -> bytes | None:
    r"""Returns the answer that a behaviour describes, or None if it describes none.

    Args:
        behaviour: `answers with the PART TEXT`, or `streams with` for a stream. The part is
            `status`, `line` for one more header line, `first` for one before all others,
            `framing` for the one that says where the body ends, `interim` for one of an interim
            head before a sound one, `trailer`, `chunk` for the first line of a chunk, or `refusal`
            for a status that says that nothing ran and one more line. The text may hold escapes
            such as `\x01`, and `0{9}` for nine of a letter.
        attempt_id: Id of the request.
    """
    match = _BEHAVIOUR.fullmatch(behaviour)
    if match is None:
        return None
    is_stream = match["verb"] == "streams"
    described = _REPEATED.sub(lambda found: found[1] * int(found[2]), match["text"] or "")
    text = described.encode().decode("unicode_escape").encode("latin-1")
    body = _EVENTS if is_stream else DESCRIBED_BODY
    lines = [b"X-Attempt-Id: " + attempt_id, b"X-Server-Signature: sig"]
    if is_stream:
        lines.append(b"Content-Type: text/event-stream")
    status, length = b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body)
    chunked, chunk = b"Transfer-Encoding: chunked", b"%x\r\n%b\r\n" % (len(body), body)
    match match["part"]:
        case "status":
            return _join_head(b"HTTP/1.1 " + text, *lines, length) + body
        case "line":
            return _join_head(status, *lines, text, length) + body
        case "first":
            return _join_head(status, text, *lines, length) + body
        case "framing":
            is_coded = b"chunked" in text.lower() and b"encoding" in text.lower()
            framed = chunk + b"0\r\n\r\n" if is_coded else body
            return _join_head(status, *lines, text) + framed
        case "interim":
            interim = _join_head(b"HTTP/1.1 103 Early Hints", text)
            return interim + _join_head(status, *lines, length) + body
        case "trailer":
            trailer = chunk + b"0\r\n" + text + b"\r\n\r\n"
            return _join_head(status, *lines, chunked) + trailer
        case "chunk":
            framed = text + b"\r\n" + body + b"\r\n0\r\n\r\n"
            return _join_head(status, *lines, chunked) + framed
        case "refusal":
            number, _, line = text.partition(b" ")
            lines += [b"X-Not-Executed: 1", b"Server-Limit: 0.01", b"X-Server-Load: 9,9,1"]
            return _join_head(b"HTTP/1.1 " + number + b" X", *lines, line, length) + body
    raise ValueError(f"unknown part of an answer: {behaviour}")


def _join_head(*lines: bytes) -> bytes:
    return b"\r\n".join([*lines, b"", b""])
