"""Starts stand-ins and routers as plain processes on loopback, for the demo and the load tools."""

import asyncio
import dataclasses
import pathlib
import signal
import socket
import sys
import sysconfig
import tempfile
from typing import Any

import aiohttp
from laburnumpier_core.hashing import hash_key

OPERATOR_TOKEN = "demo-operator-token"
FLEET_TOKEN = "demo-fleet-token"
START_SECONDS = 20.0


def find_free_port() -> int:
    """Returns a loopback TCP port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterProcess:
    """A running router and its addresses."""

    name: str
    process: asyncio.subprocess.Process
    callers_url: str
    operators_url: str
    settings_path: str


@dataclasses.dataclass(slots=True, kw_only=True)
class StandInProcess:
    """A running stand-in and its URL."""

    process: asyncio.subprocess.Process
    url: str


class LocalFleet:
    """Processes on loopback that are all ended when the context is left."""

    def __init__(self, *, settings: dict[str, str] | None = None):
        """Creates an empty fleet.

        Args:
            settings: Lines to add to sections of every router's settings, as `section.key`.
        """
        self._settings = settings or {}
        self._folder = tempfile.TemporaryDirectory(prefix="laburnumpier-")
        self._processes: list[asyncio.subprocess.Process] = []
        self.session: aiohttp.ClientSession | None = None
        self.routers: list[RouterProcess] = []
        self.platform_url = ""

    async def __aenter__(self) -> "LocalFleet":
        """Opens the HTTP session and writes the secrets."""
        self.session = aiohttp.ClientSession()
        for name, secret in (("operator", OPERATOR_TOKEN), ("fleet", FLEET_TOKEN)):
            (pathlib.Path(self._folder.name) / f"{name}.token").write_text(secret)
        return self

    async def __aexit__(self, *details: object) -> None:
        """Ends every process that this fleet started."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes))
        if self.session is not None:
            await self.session.close()
        self._folder.cleanup()

    @property
    def folder(self) -> pathlib.Path:
        """Folder for settings and other files."""
        return pathlib.Path(self._folder.name)

    async def start_platform(self) -> None:
        """Starts the stand-in platform."""
        stand_in = await self._start_stand_in("etcd_gateway", "/calls")
        self.platform_url = stand_in.url

    async def start_engine(
        self, models: str, *, token_seconds: float, words: int
    ) -> StandInProcess:
        """Starts a stand-in engine."""
        return await self._start_stand_in(
            "engine",
            "/load",
            "--models",
            models,
            "--token-seconds",
            str(token_seconds),
            "--words",
            str(words),
        )

    async def start_order_service(self) -> StandInProcess:
        """Starts a stand-in order service."""
        return await self._start_stand_in("order_service", "/load")

    async def start_router(self, name: str, data_centre: str) -> RouterProcess:
        """Starts a router and waits until it answers."""
        ports = [find_free_port() for _ in range(3)]
        path = self.folder / f"{name}.ini"
        path.write_text(self._make_settings(name, data_centre, ports))
        binary = str(pathlib.Path(sysconfig.get_path("scripts")) / "laburnumpier-router")
        log = (self.folder / f"{name}.log").open("w")
        process = await asyncio.create_subprocess_exec(
            binary, f"--settings={path}", stderr=log, stdout=log
        )
        self._processes.append(process)
        router = RouterProcess(
            name=name,
            process=process,
            callers_url=f"http://127.0.0.1:{ports[0]}",
            operators_url=f"http://127.0.0.1:{ports[1]}",
            settings_path=str(path),
        )
        await self._wait_for(router.callers_url + "/healthz")
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
        """Calls a router's operator port and returns status and answer."""
        assert self.session is not None
        async with self.session.request(
            method,
            router.operators_url + path,
            json=body,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}", **(headers or {})},
        ) as answer:
            return answer.status, await answer.json()

    async def wait_for_number(self, number: int) -> bool:
        """Waits until a configuration is in force on all running routers."""
        for _ in range(200):
            numbers = []
            for router in self.routers:
                if router.process.returncode is None:
                    _, answer = await self.call_operator(router, "GET", "/configuration")
                    numbers.append(answer["number"])
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
        await self._wait_for(url + ready_path)
        return StandInProcess(process=process, url=url)

    async def _wait_for(self, url: str) -> None:
        assert self.session is not None
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    async with self.session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    def _make_settings(self, name: str, data_centre: str, ports: list[int]) -> str:
        sections: dict[str, list[str]] = {
            "router": [
                f"vm = {name}",
                f"data_centre = {data_centre}",
                f"callers_address = 127.0.0.1:{ports[0]}",
                f"operators_address = 127.0.0.1:{ports[1]}",
                f"peers_address = 127.0.0.1:{ports[2]}",
                f"operator_token_file = {self.folder}/operator.token",
                f"fleet_token_file = {self.folder}/fleet.token",
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
    """Returns a configuration document for one model and one plain service.

    Args:
        engines: URLs of model servers by name.
        services: URLs of order servers by name.
        budgets: Purchased tokens by workspace; the key of a workspace is `key-<name>`.
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
