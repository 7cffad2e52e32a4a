"""A small installation on loopback: the platform's store, the routers and the servers."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import tempfile
import time
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from laburnumpier_platform_standin.launch import PlatformRouterProcess
from laburnumpier_platform_standin.store import PlatformStoreStandIn

from .engine import EngineStandIn

HEARTBEAT_SECONDS = 1.2
"""`HeartbeatIntervalMs` of the users' pages."""
GRACE_SECONDS = 8

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, path: pathlib.Path):
        """Opens the file, and empties it."""
        self._file = path.open("w", encoding="utf-8")
        self._started_seconds = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        age_seconds = time.monotonic() - self._started_seconds
        self._file.write(f"{age_seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def has_trouble() -> bool:
    """Whether the script is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Installation:
    """The parts of an installation.

    Attributes:
        store: The platform's store.
        routers: Processes of the program that the deploy file names.
        servers: Backend servers, each of which writes its registry entry while it is up.
    """

    def __init__(self, *, directory: pathlib.Path, record: Record):
        """Creates an installation without any part."""
        self.store = PlatformStoreStandIn()
        self.routers: list[PlatformRouterProcess] = []
        self.servers: list[EngineStandIn] = []
        self.record = record
        self.session: aiohttp.ClientSession | None = None
        self._directory = directory
        self._heartbeats: dict[str, asyncio.Task[None]] = {}
        self._store_url = ""
        self._store_runner: web.AppRunner | None = None

    async def open(self, configuration: dict[str, object], router_count: int) -> None:
        """Starts the store with a configuration and the routers, and waits until all are ready."""
        self._store_runner = web.AppRunner(self.store.make_app(), access_log=None)
        await self._store_runner.setup()
        site = web.TCPSite(self._store_runner, "127.0.0.1", 0, shutdown_timeout=0.1)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        self._store_url = f"http://{host}:{port}"
        self.configure(configuration)
        self.session = aiohttp.ClientSession()
        self.routers = [
            PlatformRouterProcess(
                name=f"frontend-{number}",
                directory=self._directory,
                store_url=self._store_url,
                grace_seconds=GRACE_SECONDS,
            )
            for number in range(1, router_count + 1)
        ]
        await self.start_routers()

    async def start_routers(self) -> None:
        """Starts all routers and waits until they are ready."""
        await asyncio.gather(*(router.start() for router in self.routers))
        await asyncio.gather(*(router.wait_until_ready(self.session) for router in self.routers))
        self.record.write(f"{len(self.routers)} routers are ready")

    def kill_routers(self) -> None:
        """Sends SIGKILL to all routers, as a loss of power ends them."""
        for router in self.routers:
            router.send_signal(signal.SIGKILL)

    def configure(self, configuration: dict[str, object]) -> None:
        """Writes a configuration as the operator."""
        self.store.put("op/config", json.dumps(configuration).encode())

    async def add_server(self, server: EngineStandIn) -> None:
        """Starts a server and its registry entry."""
        await server.start()
        self.servers.append(server)
        self.start_heartbeat(server, delay_seconds=0.0)

    def start_heartbeat(self, server: EngineStandIn, delay_seconds: float) -> None:
        """Has a server write its registry entry after a delay, and again at each interval."""
        self.stop_heartbeat(server)
        task = asyncio.create_task(self._write_entries(server, delay_seconds))
        self._heartbeats[server.server_id] = task

    def stop_heartbeat(self, server: EngineStandIn) -> None:
        """Ends the writes of a server, as its crash does."""
        task = self._heartbeats.pop(server.server_id, None)
        if task is not None:
            task.cancel()

    async def _write_entries(self, server: EngineStandIn, delay_seconds: float) -> None:
        await asyncio.sleep(delay_seconds)
        sequence = 0
        while True:
            sequence += 1
            entry = json.dumps(server.make_entry(sequence)).encode()
            self.store.put(f"servers/{server.server_id}", entry)
            if sequence == 1:
                self.record.write(f"entry of {server.server_id}: version {server.version}")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def close(self) -> None:
        """Ends all processes and closes all sockets."""
        for server in self.servers:
            self.stop_heartbeat(server)
            await server.crash()
        for router in self.routers:
            await router.kill()
        if self.session is not None:
            await self.session.close()
        if self._store_runner is not None:
            await self._store_runner.cleanup()


@contextlib.asynccontextmanager
async def make_installation(record: Record) -> AsyncIterator[Installation]:
    """Provides an installation with a temporary folder, and ends all of it."""
    with tempfile.TemporaryDirectory() as directory:
        installation = Installation(directory=pathlib.Path(directory), record=record)
        try:
            yield installation
        finally:
            await installation.close()
