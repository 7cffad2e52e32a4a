"""Crowds of callers that send raw bytes, and what a process holds while they do.

A caller of a crowd sends its bytes, reads what comes back if it is told to, and keeps its
connection open until the crowd leaves.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import re
from collections.abc import AsyncIterator, Iterable

SEND_SECONDS = 25.0
"""Time after which a crowd stops sending what the process does not read."""
SAMPLE_SECONDS = 0.05
READ_BYTES = 65536
CONNECT_ATTEMPT_SECONDS = 2.0
ESTABLISHED_STATES = {"01", "08"}
"""States of /proc/net/tcp in which a socket may hold bytes that its process has not read."""


@dataclasses.dataclass(slots=True)
class CrowdCaller:
    """One caller of a crowd: what it has received, and whether its connection was closed."""

    received: bytearray = dataclasses.field(default_factory=bytearray)
    sent_bytes: int = 0
    is_closed: bool = False
    is_connected: bool = False

    @property
    def status(self) -> int:
        """HTTP status of the first answer; 0 without one."""
        match = re.match(rb"HTTP/1\.1 (\d{3}) ", self.received)
        return int(match[1]) if match else 0

    @property
    def result_code(self) -> str:
        """Result code of the first answer; empty without one."""
        match = re.search(rb"(?i)\r\nX-Result-Code: (\d+)\r\n", self.received)
        return match[1].decode() if match else ""


class Crowd:
    """Callers that send the same kind of bytes at the same time and stay."""

    def __init__(self, *, port: int, reads: bool):
        """Creates a crowd without callers.

        Args:
            port: Port of the process on loopback.
            reads: Whether its callers read answers while they send.
        """
        self._port = port
        self._reads = reads
        self._tasks: list[asyncio.Task[None]] = []
        self._leaving = asyncio.Event()
        self.callers: list[CrowdCaller] = []

    async def send(self, messages: Iterable[Iterable[bytes]]) -> None:
        """Lets one caller for each message send its blocks; returns when all have sent or failed.

        A caller that can send no more, since the process does not read, stays with the rest.
        """
        sendings = []
        for blocks in messages:
            caller = CrowdCaller()
            sent = asyncio.Event()
            self.callers.append(caller)
            self._tasks.append(asyncio.create_task(self._run(caller, blocks, sent)))
            sendings.append(sent.wait())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*sendings), SEND_SECONDS)

    async def leave(self) -> None:
        """Closes all connections of the crowd."""
        self._leaving.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def wait_until_closed(self, seconds: float) -> int:
        """Waits until the process has closed all connections; returns how many are left."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while any(not caller.is_closed for caller in self.callers):
                    await asyncio.sleep(SAMPLE_SECONDS)
        return sum(not caller.is_closed for caller in self.callers)

    async def _run(
        self, caller: CrowdCaller, blocks: Iterable[bytes], sent: asyncio.Event
    ) -> None:
        writer = None
        try:
            async with asyncio.timeout(CONNECT_ATTEMPT_SECONDS):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            caller.is_connected = True
            reading = asyncio.create_task(self._read(caller, reader)) if self._reads else None
            with contextlib.suppress(ConnectionError):
                for block in blocks:
                    writer.write(block)
                    await writer.drain()
                    caller.sent_bytes += len(block)
            sent.set()
            if reading is not None:
                await reading
            else:
                await self._leaving.wait()
        except (OSError, TimeoutError):
            caller.is_closed = True
        finally:
            sent.set()
            if writer is not None:
                writer.transport.abort()

    async def _read(self, caller: CrowdCaller, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                caller.received += data
        caller.is_closed = True


class ProcessWatch:
    """Samples the memory and the descriptors of a process.

    Attributes:
        peak_bytes: Largest sum of the resident memory and of the bytes that its sockets have
            received and the process has not read.
        peak_descriptors: Largest number of open descriptors.
    """

    def __init__(self, *, pid: int, ports: list[int], server_ports: list[int] | None = None):
        """Creates a watch without samples.

        Args:
            pid: Id of the process.
            ports: Ports on which it listens.
            server_ports: Ports of servers to which only this process connects.
        """
        self._pid = pid
        self._ports = {f"{port:04X}" for port in ports}
        self._server_ports = {f"{port:04X}" for port in server_ports or []}
        self.peak_bytes = 0
        self.peak_descriptors = 0

    @contextlib.asynccontextmanager
    async def sample(self) -> AsyncIterator[None]:
        """Samples until the context is left."""
        task = asyncio.create_task(self._sample_periodically())
        try:
            yield
        finally:
            self.take_sample()
            task.cancel()

    def take_sample(self) -> None:
        """Takes one sample; a process that has ended leaves the peaks as they are."""
        try:
            status = pathlib.Path(f"/proc/{self._pid}/status").read_text()
            descriptors = len(os.listdir(f"/proc/{self._pid}/fd"))
        except OSError:
            return
        resident = _read_kibibytes(status, "VmRSS") * 1024
        self.peak_bytes = max(
            self.peak_bytes,
            resident + self._count_unread_bytes(),
            _read_kibibytes(status, "VmHWM") * 1024,
        )
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    async def _sample_periodically(self) -> None:
        while True:
            self.take_sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def _count_unread_bytes(self) -> int:
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            port = fields[1].partition(":")[2]
            remote_port = fields[2].partition(":")[2]
            is_own = port in self._ports or remote_port in self._server_ports
            if is_own and fields[3] in ESTABLISHED_STATES:
                total += int(fields[4].partition(":")[2], 16)
        return total


def _read_kibibytes(status: str, name: str) -> int:
    line = next((line for line in status.splitlines() if line.startswith(name + ":")), "x: 0")
    return int(line.split()[1])
