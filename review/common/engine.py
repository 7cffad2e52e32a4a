"""A backend server with an inference engine, as the users' pages describe one.

An event of a stream holds `TOKENS_PER_EVENT` tokens and names the version that wrote it, so that a
reader sees where text of two versions was joined.
"""

import asyncio
import collections
import dataclasses
import time

from . import wire

TOKENS_PER_EVENT = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One run of a request: the attempt, its tenant, and the events that were sent."""

    attempt: str
    tenant: str
    method: str
    target: str
    prompt_tokens: int
    events_sent: int = 0


class EngineStandIn:
    """A server that streams events; it can crash and start again at its address.

    Attributes:
        arrivals: Attempts of which at least the head was read, also at earlier starts.
        runs: All runs, also those of earlier starts.
        born_ms: Unix milliseconds of the present start.
        slots: Requests that run at the same time; others are turned away.
        silent_until_seconds: Time of the event loop up to which no event is sent.
    """

    def __init__(self, *, server_id: str, service: str, version: str, event_seconds: float):
        """Creates a server that is not started.

        Args:
            server_id: Id of its registry entry.
            service: Name of its service.
            version: Version of its software.
            event_seconds: Time between two events.
        """
        self.server_id = server_id
        self.service = service
        self.version = version
        self.event_seconds = event_seconds
        self.arrivals: set[str] = set()
        self.runs: list[Run] = []
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.born_ms = 0
        self.slots = 128
        self._running = 0
        self.silent_until_seconds = 0.0
        self.host, self.port = "127.0.0.1", 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    @property
    def is_up(self) -> bool:
        """Whether the server listens."""
        return self._server is not None

    async def start(self) -> None:
        """Listens, on the port of the earlier start if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.born_ms = int(time.time() * 1000)

    async def crash(self) -> None:
        """Ends like a process that is killed: its connections are reset and nothing listens."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for writer in list(self._writers):
            wire.reset(writer)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def make_entry(self, sequence: int) -> dict[str, object]:
        """Returns the registry entry as this server writes it."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "here",
            "Version": self.version,
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": sequence,
            "born": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (head := await wire.read_head(reader)) is not None:
                self.arrivals.add(head.headers.get("x-attempt-id", ""))
                await wire.read_request_body(reader, head)
                await self._answer(head, writer)
        except (wire.BrokenMessageError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: wire.Head, writer: asyncio.StreamWriter) -> None:
        method, target, _ = head.start_line.split(" ", 2)
        attempt = head.headers.get("x-attempt-id", "")
        if not attempt:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
            writer.write(f"X-Instance-Id: {self.server_id}\r\n\r\n".encode())
            return
        expected = head.headers.get("x-expected-instance", self.server_id)
        if expected != self.server_id:
            text = f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n"
            writer.write(text.encode() + b"Content-Length: 0\r\n\r\n")
            return
        if self._running >= self.slots:
            text = f"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {attempt}\r\n"
            writer.write(text.encode() + b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        prompt, _, output = head.headers.get("x-token-usage", "0,0").partition(",")
        run = Run(
            attempt=attempt,
            tenant=head.headers.get("x-tenant", ""),
            method=method,
            target=target,
            prompt_tokens=int(prompt),
        )
        self.runs.append(run)
        self.run_counts[attempt] += 1
        text = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Server-Signature: {self.server_id}.{self.version}.{len(self.runs)}\r\n"
            f"X-Server-Load: {self._running},0,{self.slots}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(text.encode())
        first = int(head.headers.get("last-event-id", "-1")) + 1
        self._running += 1
        try:
            await self._stream(run, writer, range(first, int(output) // TOKENS_PER_EVENT))
        finally:
            self._running -= 1

    async def _stream(self, run: Run, writer: asyncio.StreamWriter, numbers: range) -> None:
        for number in numbers:
            await self._wait_for_end_of_silence()
            event = f"id: {number}\ndata: {self.version} {number}\n\n"
            writer.write(wire.format_chunk(event.encode()))
            run.events_sent += 1
            await writer.drain()
            await asyncio.sleep(self.event_seconds)
        writer.write(wire.format_chunk(b""))
        await writer.drain()

    async def _wait_for_end_of_silence(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self.silent_until_seconds:
            await asyncio.sleep(self.silent_until_seconds - loop.time())
