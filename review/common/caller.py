"""Callers that speak HTTP over plain sockets, so that every request is sent exactly once."""

import asyncio
import dataclasses
import re

from . import wire

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """What a caller received for one attempt.

    Attributes:
        status: HTTP status; 0 if no answer began.
        is_whole: Whether the answer ended as its framing says.
        events: Number and version of each event, in order.
    """

    attempt: str
    status: int = 0
    is_whole: bool = False
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and version of each whole event, in order."""
        return [(int(m[1]), m[2].decode()) for m in _EVENT.finditer(self.body)]


class Channel:
    """A caller's connection to a router, kept for several requests."""

    def __init__(self, *, port: int, host: str):
        """Creates a channel that connects with its first request.

        Args:
            port: Port of the router for callers.
            host: Value of the Host header.
        """
        self._port = port
        self._host = host
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        *,
        attempt: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_seconds: float = 20.0,
    ) -> Answer:
        """Sends one request, once, and returns what came back."""
        answer = Answer(attempt=attempt)
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._exchange(answer, path, headers, body)
        except (OSError, TimeoutError, wire.BrokenMessageError, asyncio.IncompleteReadError):
            self.close()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _exchange(
        self, answer: Answer, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        if self._writer is None:
            opened = await asyncio.open_connection("127.0.0.1", self._port)
            self._reader, self._writer = opened
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {self._host}",
            f"X-Attempt-Id: {answer.attempt}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self._writer.drain()
        await self._receive(answer, self._reader)
        is_last = answer.headers.get("connection", "").lower() == "close"
        if not answer.is_whole or is_last:
            self.close()

    async def _receive(self, answer: Answer, reader: asyncio.StreamReader) -> None:
        head = await wire.read_head(reader)
        if head is None:
            return
        answer.status = int(head.start_line.split(" ")[1])
        answer.headers = head.headers
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await wire.read_chunk(reader):
                answer.body += chunk
        elif "content-length" in head.headers:
            answer.body = await reader.readexactly(int(head.headers["content-length"]))
        else:
            while data := await reader.read(65536):
                answer.body += data
        answer.is_whole = True


async def send(
    port: int, *, attempt: str, host: str, path: str, headers: dict[str, str], body: bytes = b""
) -> Answer:
    """Sends one request on a connection of its own and returns what came back."""
    channel = Channel(port=port, host=host)
    try:
        return await channel.send(attempt=attempt, path=path, headers=headers, body=body)
    finally:
        channel.close()
