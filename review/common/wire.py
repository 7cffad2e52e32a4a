"""A minimal HTTP/1.1 reader and writer, so that a stand-in controls every byte and every close."""

import asyncio
import dataclasses
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_HEAD_BYTES = 64 * 1024


class BrokenMessageError(Exception):
    """A message ended before its framing said so."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Head:
    """Start line and headers of a message; header names are in lower case."""

    start_line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the next head; None if the connection ended before its first byte.

    Raises:
        BrokenMessageError: If the connection ended within the head.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenMessageError("the connection ended within a head") from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Head(start_line=lines[0], headers=headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Returns the next chunk of a chunked body; empty at its end.

    Raises:
        BrokenMessageError: If the connection ended before.
    """
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise BrokenMessageError("the connection ended within a chunked body") from error
    return data[:-2]


async def read_request_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Returns the body of a request.

    Raises:
        BrokenMessageError: If the connection ended before.
    """
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    try:
        return await reader.readexactly(int(head.headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise BrokenMessageError("the connection ended within a body") from error


def format_chunk(data: bytes) -> bytes:
    """Returns a chunk of a chunked body; the last one for no data."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
