"""A server for tests that speaks raw bytes, so that it can break every rule of its protocol."""

import asyncio
import contextlib
import socket
import struct

EVENTS = {n: b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6)}
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: sig\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"


class ScriptedServer:
    """Runs one behaviour for each request and notes what it saw.

    Attributes:
        runs: Requests that it ran.
        requests: Head and body of each request, as received.
        closed: Set when a caller closed its connection before the answer's end.
    """

    def __init__(self, behaviour: str):
        """Creates a server that does not listen yet."""
        self.behaviour = behaviour
        self.runs = 0
        self.requests: list[tuple[bytes, bytes]] = []
        self.client_closed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        if self.behaviour == "does not listen":
            await self.stop()

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            headers = dict(line.split(b": ", 1) for line in lines[1:] if b": " in line)
            headers = {name.lower(): value for name, value in headers.items()}
            early = self.behaviour == "answers before it has read the body"
            length = 0 if early else int(headers.get(b"content-length", 0))
            body = await reader.readexactly(length)
            self.requests.append((head, body))
            attempt = headers.get(b"x-attempt-id", b"")
            after = int(headers.get(b"last-event-id", 0))
            await self._behave(attempt, after, reader, writer)
        writer.close()

    async def _behave(self, attempt, after, reader, writer) -> None:
        head = HEAD % attempt
        whole = head + b"Content-Length: 5\r\n\r\nhello"
        stream = STREAM_HEAD % attempt
        chunked = stream + b"Transfer-Encoding: chunked\r\n\r\n"
        events = [event for number, event in EVENTS.items() if number > after]
        match self.behaviour:
            case "refuses as full":
                refusal = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                await self._send(writer, refusal)
                return
            case "is another server":
                await self._send(writer, b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                return
        self.runs += 1
        match self.behaviour:
            case "answers" | "answers before it has read the body":
                await self._send(writer, whole)
            case "answers twice":
                await self._send(writer, whole + whole)
            case "answers in chunks":
                await self._send(
                    writer, head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
                )
            case "answers without a length":
                await self._send(writer, head + b"\r\nhello")
            case "resets an answer without a length":
                await self._send(writer, head + b"\r\nhel")
                await asyncio.sleep(0.05)
                _reset(writer)
            case "fails":
                error = b"HTTP/1.1 500 X\r\nX-Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
                await self._send(writer, error % attempt)
            case "resets":
                _reset(writer)
            case "breaks off in the body":
                await self._send(writer, head + b"Content-Length: 5\r\n\r\nhel")
            case "breaks off in a chunk":
                await self._send(writer, head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel")
            case "answers another request":
                await self._send(writer, HEAD % b"other" + b"Content-Length: 5\r\n\r\nother")
            case "sends no HTTP":
                await self._send(writer, b"\x00\x01 what is this\r\n\r\n")
            case "is silent":
                await self._wait_for_close(reader)
            case "streams":
                await self._send(writer, chunked + _chunk(b"".join(events)) + b"0\r\n\r\n")
            case "streams without a length":
                await self._send(writer, stream + b"\r\n" + b"".join(events))
            case "breaks off after 2 events and a half":
                part = b"".join(events[:2]) + events[2][:8]
                await self._send(writer, chunked + _chunk(part))
                await asyncio.sleep(0.05)
                _reset(writer)
            case "closes after 2 events and a half":
                part = b"".join(events[:2]) + events[2][:8]
                await self._send(writer, stream + b"\r\n" + part)
            case "falls silent after 2 events":
                await self._send(writer, chunked + _chunk(b"".join(events[:2])))
                await self._wait_for_close(reader)
            case other:
                raise ValueError(other)

    async def _wait_for_close(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.client_closed.set()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection so that the other end sees a reset and no orderly end."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
