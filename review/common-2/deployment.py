"""A small deployment on loopback: a store, servers and routers started as the deploy file does.

The store is the project's stand-in. Routers are separate processes of `platform/start.py` with
settings rendered from the deployment's template. `Deployment` ends all of them.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time

from aiohttp import web
from laburnumpier_measure.local_fleet import choose_listen_ports
from laburnumpier_platform_standin.launch import render_router_settings
from laburnumpier_platform_standin.store import PlatformStoreStandIn

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """Lines with the seconds since the start, in `record.txt` of the case."""

    def __init__(self, folder):
        """Begins an empty record in a folder."""
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()

    def add(self, text):
        """Adds a line to the record."""
        self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
        self._file.flush()

    def say(self, text):
        """Adds a line to the record and prints it."""
        self.add(text)
        print(text, flush=True)


class RouterVm:
    """A machine with one router process; the process is restarted on the same ports."""

    def __init__(self, *, name, folder, store_url, vm_limits, grace_seconds=8):
        """Writes the settings of a router that is not started yet."""
        self.name = name
        self.ports = choose_listen_ports(4)
        self.process = None
        self._settings = folder / f"{name}.ini"
        self.log_path = folder / f"{name}.log"
        self._settings.write_text(
            render_router_settings(
                name=name,
                ports=self.ports,
                store_url=store_url,
                grace_seconds=grace_seconds,
                vm_limits=vm_limits,
            )
        )

    @property
    def callers_port(self):
        """Port for callers."""
        return self.ports[0]

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Starts the process with the variables that the platform passes on."""
        passed_on = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in passed_on if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["LABURNUMPIER_CONFIG"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "platform/start.py", cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_until_ready(self):
        """Waits until the router says that it is ready."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready within {READY_SECONDS:.0f} s")

    async def is_ready(self):
        """Whether the router answers a readiness check with 200 within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def read_memory_bytes(self):
        """Returns the resident memory of the process without that of files; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (AttributeError, OSError):
            return 0
        lines = [line for line in text.splitlines() if line.startswith("RssAnon:")]
        return int(lines[0].split()[1]) * 1024 if lines else 0

    def send_signal(self, number):
        """Sends a signal to the process, if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self):
        """Kills the process, if it runs."""
        if self.is_running:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Deployment:
    """The store, the servers and the routers of one case."""

    def __init__(self, record):
        """Creates a deployment without servers and routers."""
        self.record = record
        self.store = PlatformStoreStandIn()
        self.store_url = ""
        self.routers = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-case-")
        self._runners = []
        self._raw_servers = []

    async def __aenter__(self):
        runner = web.AppRunner(self.store.make_app(), access_log=None, shutdown_timeout=0.1)
        self.store_url = "http://" + await self._listen(runner)
        return self

    async def __aexit__(self, *error):
        await asyncio.gather(*(router.kill() for router in self.routers))
        for server in self._raw_servers:
            server.close()
        for runner in self._runners:
            await runner.cleanup()
        self._folder.cleanup()

    async def _listen(self, runner):
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def add_server(self, handler):
        """Starts a server whose requests a coroutine answers; returns its address."""
        server = web.Server(handler, access_log=None, max_field_size=65536, max_line_size=65536)
        return await self._listen(web.ServerRunner(server, shutdown_timeout=0.1))

    async def add_raw_server(self, serve):
        """Starts a server that handles the bytes of its connections; returns its address."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._raw_servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def put_server(self, server_id, service, address, slots, **fields):
        """Registers a server in the store, as the server does itself."""
        entry = {
            "Service": service,
            "Address": address,
            "Zone": "here",
            "Version": "v1",
            "Slots": slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "born": int(time.time() * 1000),
            "Sequence": 1,
            **fields,
        }
        self.store.put(f"servers/{server_id}", json.dumps(entry).encode())

    def put_configuration(self, configuration):
        """Writes a configuration, as the operator does."""
        self.store.put("op/config", json.dumps(configuration).encode())

    async def start_routers(self, count, vm_limits):
        """Starts routers on machines of their own, and waits until all are ready."""
        for number in range(1, count + 1):
            router = RouterVm(
                name=f"vm-{number}",
                folder=pathlib.Path(self._folder.name),
                store_url=self.store_url,
                vm_limits=vm_limits,
            )
            self.routers.append(router)
        await asyncio.gather(*(router.start() for router in self.routers))
        await asyncio.gather(*(router.wait_until_ready() for router in self.routers))
        self.record.add(f"{count} routers are ready")


def run_case(play, folder):
    """Runs a case and exits with its result.

    Args:
        play: Coroutine function that gets the record and whether the disruption comes, and
            returns whether the rule was broken.
        folder: Folder of the case.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'yes' if has_trouble else 'no'}")
    try:
        is_broken = asyncio.run(play(record, has_trouble))
    except (CannotRunError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.say("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)
