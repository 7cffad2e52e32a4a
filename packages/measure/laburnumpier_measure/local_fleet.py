"""Runs stand-ins and routers as processes on loopback, for the demo and the benchmarks."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import resource
import signal
import socket
import sys
import sysconfig
import tempfile
from collections.abc import Callable
from typing import Any

import aiohttp
from laburnumpier_core.hashing import hash_key

OPERATOR_TOKEN = "demo-operator-token"
FLEET_TOKEN = "demo-fleet-token"
START_TIMEOUT_SECONDS = 20.0
FIRST_PORT = 10_000
"""Lowest port that a router may listen on."""
LAST_PORT = 65_535
BLOCK_PORTS = 128
"""Ports that a process reserves at a time."""
_OUTGOING_PORTS_PATH = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")

_reservations: list[socket.socket] = []
_reserved_ports: collections.deque[int] = collections.deque()


def find_free_port() -> int:
    """Returns an unused TCP port on loopback that no outgoing connection can take."""
    return choose_listen_ports(1)[0]


def read_outgoing_ports() -> range:
    """Returns the ports that the kernel assigns to outgoing connections."""
    first, last = map(int, _OUTGOING_PORTS_PATH.read_text().split())
    return range(first, last + 1)


def choose_listen_ports(count: int) -> list[int]:
    """Returns unused ports on loopback that neither others nor outgoing connections can take.

    No other process that chooses ports in this way gets them before this one ends, so that a
    router finds its ports free when it starts again.

    Raises:
        OSError: If there are not enough unused ports.
    """
    ports = []
    while len(ports) < count:
        if not _reserved_ports:
            _reserved_ports.extend(_reserve_block())
        port = _reserved_ports.popleft()
        if _is_unused(port):
            ports.append(port)
    return ports


def _reserve_block() -> range:
    """Reserves ports for this process until it ends, by the name of a socket.

    Raises:
        OSError: If all ports are reserved.
    """
    outgoing_ports = read_outgoing_ports()
    starts = range(FIRST_PORT, LAST_PORT + 2 - BLOCK_PORTS, BLOCK_PORTS)
    for start in random.SystemRandom().sample(starts, len(starts)):
        block = range(start, start + BLOCK_PORTS)
        if any(port in outgoing_ports for port in block):
            continue
        reservation = socket.socket(socket.AF_UNIX)
        try:
            # Names in the abstract namespace belong to the same network as the ports.
            reservation.bind(f"\0laburnumpier-ports-{start}")
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return block
    raise OSError(f"all ports outside {outgoing_ports} are reserved")


def make_descriptor_limit(count: int | None) -> Callable[[], None] | None:
    """Returns a function that limits the descriptors of a process that is being started.

    Args:
        count: Descriptors that it may open; None for no limit of its own, and no function.
    """
    if count is None:
        return None
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


def _is_unused(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterProcess:
    """A router process and its addresses."""

    name: str
    process: asyncio.subprocess.Process
    callers_url: str
    operators_url: str
    settings_path: str


@dataclasses.dataclass(slots=True, kw_only=True)
class StandInProcess:
    """A stand-in process and its URL."""

    process: asyncio.subprocess.Process
    url: str


class LocalFleet:
    """Processes on loopback, killed when the context manager exits."""

    def __init__(
        self, *, settings: dict[str, str] | None = None, max_descriptors: int | None = None
    ):
        """Creates an empty fleet.

        Args:
            settings: Additional settings of every router, with keys of the form `section.key`.
            max_descriptors: Descriptors that a router may open; None for the usual number.
        """
        self._max_descriptors = max_descriptors
        self._settings = settings or {}
        self._directory = tempfile.TemporaryDirectory(prefix="laburnumpier-")
        self._processes: list[asyncio.subprocess.Process] = []
        self.session: aiohttp.ClientSession | None = None
        self.routers: list[RouterProcess] = []
        self.platform: StandInProcess | None = None
        self.platform_url = ""

    async def __aenter__(self) -> "LocalFleet":
        """Opens the HTTP session and writes the token files."""
        self.session = aiohttp.ClientSession()
        for name, token in (("operator", OPERATOR_TOKEN), ("fleet", FLEET_TOKEN)):
            (pathlib.Path(self._directory.name) / f"{name}.token").write_text(token)
        return self

    async def __aexit__(self, *exception_details: object) -> None:
        """Kills all processes of the fleet and deletes its files."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes))
        if self.session is not None:
            await self.session.close()
        self._directory.cleanup()

    @property
    def directory(self) -> pathlib.Path:
        """Temporary directory of settings, token and log files."""
        return pathlib.Path(self._directory.name)

    async def start_platform(self) -> None:
        """Starts the stand-in of the platform."""
        self.platform = await self._start_stand_in("etcd_gateway", "/calls")
        self.platform_url = self.platform.url

    async def start_engine(
        self, models: str, *, token_seconds: float, answer_tokens: int
    ) -> StandInProcess:
        """Starts a stand-in of a model engine.

        Args:
            models: Comma-separated names of the loaded models.
            token_seconds: Time to generate one token.
            answer_tokens: Maximum tokens of each answer; 0 for up to the request's limit.
        """
        return await self._start_stand_in(
            "engine",
            "/load",
            "--models",
            models,
            "--token-seconds",
            str(token_seconds),
            "--words",
            str(answer_tokens),
        )

    async def start_order_service(self) -> StandInProcess:
        """Starts a stand-in of an order service."""
        return await self._start_stand_in("order_service", "/load")

    async def start_router(self, name: str, data_centre: str) -> RouterProcess:
        """Starts a router and waits until its health check succeeds."""
        ports = [find_free_port() for _ in range(3)]
        settings_path = self.directory / f"{name}.ini"
        settings_path.write_text(self._format_settings(name, data_centre, ports))
        executable = str(pathlib.Path(sysconfig.get_path("scripts")) / "laburnumpier-router")
        log_file = (self.directory / f"{name}.log").open("w")
        process = await asyncio.create_subprocess_exec(
            executable,
            f"--settings={settings_path}",
            stderr=log_file,
            stdout=log_file,
            preexec_fn=make_descriptor_limit(self._max_descriptors),
        )
        self._processes.append(process)
        router = RouterProcess(
            name=name,
            process=process,
            callers_url=f"http://127.0.0.1:{ports[0]}",
            operators_url=f"http://127.0.0.1:{ports[1]}",
            settings_path=str(settings_path),
        )
        await self._wait_until_ready(router.callers_url + "/healthz")
        self.routers.append(router)
        return router

    async def stop_router(self, router: RouterProcess) -> int:
        """Stops a router gracefully and returns its exit code."""
        router.process.send_signal(signal.SIGTERM)
        return await router.process.wait()

    async def call_operator(
        self,
        router: RouterProcess,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request to a router's operator API and returns the HTTP status and JSON body."""
        assert self.session is not None
        async with self.session.request(
            method,
            router.operators_url + path,
            json=body,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}", **(headers or {})},
        ) as response:
            return response.status, await response.json()

    async def wait_for_configuration(self, number: int) -> bool:
        """Waits up to about 10 s until all running routers apply a configuration.

        Returns:
            Whether all of them have applied this configuration number or a later one.
        """
        for _ in range(200):
            numbers = []
            for router in self.routers:
                if router.process.returncode is None:
                    _, response = await self.call_operator(router, "GET", "/configuration")
                    numbers.append(response["number"])
            if min(numbers) >= number:
                return True
            await asyncio.sleep(0.05)
        return False

    async def _start_stand_in(self, module: str, ready_path: str, *options: str) -> StandInProcess:
        port = find_free_port()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"laburnumpier_standins.{module}",
            "--port",
            str(port),
            *options,
        )
        self._processes.append(process)
        url = f"http://127.0.0.1:{port}"
        await self._wait_until_ready(url + ready_path)
        return StandInProcess(process=process, url=url)

    async def _wait_until_ready(self, url: str) -> None:
        assert self.session is not None
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                try:
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    def _format_settings(self, name: str, data_centre: str, ports: list[int]) -> str:
        sections: dict[str, list[str]] = {
            "router": [
                f"vm = {name}",
                f"data_centre = {data_centre}",
                f"callers_address = 127.0.0.1:{ports[0]}",
                f"operators_address = 127.0.0.1:{ports[1]}",
                f"peers_address = 127.0.0.1:{ports[2]}",
                f"operator_token_file = {self.directory}/operator.token",
                f"fleet_token_file = {self.directory}/fleet.token",
            ],
            "platform": [f"store_url = {self.platform_url}"],
        }
        for key, value in self._settings.items():
            section, _, setting = key.partition(".")
            sections.setdefault(section, []).append(f"{setting} = {value}")
        return "\n".join(
            line for section, lines in sections.items() for line in (f"[{section}]", *lines)
        )


def make_configuration(
    engines: dict[str, str], services: dict[str, str], budgets: dict[str, int]
) -> dict[str, Any]:
    """Returns a configuration document with one model and one service.

    Args:
        engines: URLs of the model engines by server name.
        services: URLs of the order services by server name.
        budgets: Purchased tokens by workspace; the API key of a workspace is `key-<workspace>`.
    """
    urls = {**engines, **services}
    return {
        "servers": {name: {"url": url} for name, url in urls.items()},
        "models": {"dairy": {"servers": list(engines), "max_output_tokens": 512}},
        "services": {"orders": {"servers": list(services), "price_tokens": 5}},
        "workspaces": {
            name: {
                "budget_tokens": tokens,
                "key_hashes": [hash_key(f"key-{name}")],
                "models": ["dairy"],
                "services": ["orders"],
            }
            for name, tokens in budgets.items()
        },
    }
