"""Entry point of the router: settings, sockets, signals and the event loop.

Usage: laburnumpier-router --settings=FILE [--check]

--settings=FILE is the path of the INI settings file; examples/ has one for each kind of
deployment. --check prints all errors in the file and exits with status 2, or with 0 if there are
none. SIGTERM stops the router gracefully, SIGUSR1 writes its state to the log, and SIGHUP checks
the settings file again.
"""

import asyncio
import os
import pathlib
import signal
import ssl
import sys
import time
from collections.abc import Callable
from typing import NoReturn

import aiomisc
import uvloop
from absl import app, flags
from aiohttp import web
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.errors import SettingsError
from laburnumpier_core.identity import Incarnation
from laburnumpier_core.log import configure_logging, get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.settings import Address, Settings, load_settings

from .application import Ports, RouterApplication
from .backend.http_clients import HttpEngineClient, HttpServiceClient
from .callers.http_listener import HttpListener
from .fleet.member import Member
from .fleet.peer_network import PynngPeerNetwork
from .intake.allocator import return_large_buffers
from .intake.connection_table import ConnectionTable
from .intake.memory import make_caller_memory
from .intake.server import BoundedAppRunner, bound_server
from .intake.service import Intake
from .ports.etcd_service import EtcdKeyValueService
from .ports.server_memory import make_server_memory
from .ports.vm_list import HttpVmList
from .stop_request import StopRequest

CONNECTION_CLOSE_SECONDS = 0.01
"""Wait for handlers of connections that are left when the time of a stop is over."""
EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the INI settings file.")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings, print all errors, and exit.")

_log = get_part_logger("app")


class RouterService(aiomisc.Service):
    """Runs the router application as an aiomisc service."""

    settings: Settings
    settings_path: str
    make_ports: Callable[[Settings, Metrics], Ports]

    async def start(self) -> None:
        """Opens the listening sockets and starts the application."""
        self.stop_request = StopRequest()
        self.stop_request.install_handlers()
        settings = self.settings
        metrics = Metrics(host=settings.statsd_host, port=settings.statsd_port)
        self.application = make_application(settings, self.make_ports(settings, metrics), metrics)
        self.caller_listener, self.other_listeners = self._make_listeners()
        for listener in (self.caller_listener, *self.other_listeners):
            await listener.open()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.application.log_state)
        loop.add_signal_handler(signal.SIGHUP, self._recheck_settings)
        await self._start_unless_stopped()
        self.start_event.set()

    async def _start_unless_stopped(self) -> None:
        """Starts the application; a stop interrupts that, as the store may not answer."""
        start = asyncio.create_task(self.application.start())
        stop = asyncio.create_task(self.stop_request.wait())
        await asyncio.wait((start, stop), return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if start.done():
            await start
            return
        start.cancel()
        (result,) = await asyncio.gather(start, return_exceptions=True)
        _log.info("start interrupted by a stop", fields={"result": repr(result)})

    async def stop(self, exception: Exception | None = None) -> None:
        """Serves open requests to their end and releases what the process holds."""
        await self.application.finish_work(
            self.caller_listener.close, self.stop_request.requested_seconds
        )
        now = asyncio.get_running_loop().time()
        await asyncio.gather(*(listener.close(now) for listener in self.other_listeners))

    def _make_listeners(self) -> tuple[HttpListener, list[HttpListener]]:
        """Returns the listener for callers, and those for readiness, operators and metrics."""
        settings, application = self.settings, self.application
        clock, tls_context = SystemClock(), make_tls_context(settings)
        intake = application.intake

        def make_listener(app_or_server, address: Address, table: ConnectionTable) -> HttpListener:
            runner = _make_runner(app_or_server, intake, table)
            return HttpListener(
                runner=runner, address=address, tls_context=tls_context, clock=clock
            )

        frontend = application.forward_frontend
        if frontend is None:
            caller_server = application.caller_frontend.make_app()
        else:
            caller_server = frontend.make_server()
        others = []
        if frontend is not None and settings.readiness_address is not None:
            others.append((frontend.make_readiness_server(), settings.readiness_address))
        if settings.operators_address is not None:
            others.append((application.operator_frontend.make_app(), settings.operators_address))
        if settings.metrics_address is not None:
            others.append((_make_metrics_server(application.metrics), settings.metrics_address))
        caller_listener = make_listener(
            caller_server, settings.callers_address, intake.open_callers_table()
        )
        other_listeners = [
            make_listener(*other, table=intake.open_other_table()) for other in others
        ]
        return caller_listener, other_listeners

    def _recheck_settings(self) -> None:
        """Checks the settings file again; changes take effect at the next start."""
        try:
            changed = load_settings(self.settings_path) != self.settings
        except SettingsError as error:
            _log.error("the changed settings file has errors", fields={"error": error})
            return
        _log.info("settings checked again", fields={"changed": changed})


def make_default_ports(settings: Settings, metrics: Metrics) -> Ports:
    """Returns the adapters for a platform that provides the project's own interfaces.

    Args:
        settings: Validated settings.
        metrics: Counters and gauges.
    """
    store = EtcdKeyValueService(
        url=settings.store_url, timeout_seconds=settings.store_timeout_seconds, metrics=metrics
    )
    memory = make_caller_memory(settings.memory_mb)
    server_memory = make_server_memory(settings.memory_mb)
    return Ports(
        store=store,
        evacuations=store,
        vm_list=(
            HttpVmList(url=settings.vm_list_url, timeout_seconds=settings.store_timeout_seconds)
            if settings.vm_list_url
            else None
        ),
        network=PynngPeerNetwork(settings=settings),
        engines=HttpEngineClient(
            stall_seconds=settings.stall_seconds, server_memory=server_memory
        ),
        services=HttpServiceClient(memory=memory, server_memory=server_memory),
        memory=memory,
        server_memory=server_memory,
    )


def make_application(settings: Settings, ports: Ports, metrics: Metrics) -> RouterApplication:
    """Creates the application without starting it.

    Args:
        settings: Validated settings.
        ports: Adapters to the environment.
        metrics: Counters and gauges.
    """
    started_ns = time.time_ns()
    member = Member(
        incarnation=str(Incarnation(vm=settings.vm, started_ns=started_ns)),
        vm=settings.vm,
        data_centre=settings.data_centre,
        peers_address=str(settings.peers_address),
    )
    return RouterApplication(
        settings=settings,
        member=member,
        ports=ports,
        fleet_token=_read_secret(settings.fleet_token_file),
        operator_token=_read_secret(settings.operator_token_file),
        clock=SystemClock(),
        metrics=metrics,
        seed=started_ns ^ os.getpid(),
        seed_addresses=list(settings.seed_addresses),
    )


def make_tls_context(settings: Settings) -> ssl.SSLContext | None:
    """Returns the TLS context for the HTTP frontends, or None if no certificate is configured."""
    if not settings.tls_certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate_file, settings.tls_key_file or None)
    return context


def _make_runner(
    app_or_server: web.Application | web.Server, intake: Intake, table: ConnectionTable
) -> web.BaseRunner:
    if isinstance(app_or_server, web.Server):
        server = bound_server(app_or_server, intake, table)
        return web.ServerRunner(server, shutdown_timeout=CONNECTION_CLOSE_SECONDS)
    return BoundedAppRunner(
        app_or_server,
        intake=intake,
        table=table,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=CONNECTION_CLOSE_SECONDS,
    )


def _make_metrics_server(metrics: Metrics) -> web.Server:
    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(body=metrics.render_prometheus_text(), content_type="text/plain")

    return web.Server(handle, access_log=None)


def _read_secret(path: str) -> str:
    return pathlib.Path(path).read_text(encoding="utf-8").strip() if path else ""


def _main(argv: list[str]) -> int:
    if not _SETTINGS.value:
        print("laburnumpier-router: --settings is required", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    try:
        settings = load_settings(_SETTINGS.value)
    except SettingsError as error:
        print(f"{_SETTINGS.value}: {len(error.problems)} errors", file=sys.stderr)
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if _CHECK.value:
        print(f"{_SETTINGS.value}: no errors")
        return EXIT_OK
    return serve_router(settings, _SETTINGS.value, make_default_ports)


def serve_router(
    settings: Settings, settings_path: str, make_ports: Callable[[Settings, Metrics], Ports]
) -> NoReturn:
    """Runs a router until it receives a signal to stop.

    Args:
        settings: Validated settings.
        settings_path: Path of the settings file.
        make_ports: Creates the adapters to the environment.

    Returns:
        Never: the process exits after the stop.
    """
    configure_logging(settings.log_level)
    return_large_buffers()
    service = RouterService(settings=settings, settings_path=settings_path, make_ports=make_ports)
    # The library would restore the default action of a signal after the first one, and a second
    # one would then kill the process during its stop.
    entrypoint = aiomisc.entrypoint(
        service, loop_factory=uvloop.new_event_loop, log_config=False, catch_signals=()
    )
    entrypoint.loop.run_until_complete(_serve_until_stopped(entrypoint, service))


async def _serve_until_stopped(entrypoint: aiomisc.Entrypoint, service: RouterService) -> NoReturn:
    """Starts the service, stops it when that is asked for, and exits the process.

    All of it happens in one run of the event loop. uvloop does not handle a signal that arrives
    between two runs until it receives another one.
    """
    async with entrypoint:
        await service.stop_request.wait()
        await service.stop()
        _log.info("process exits")
        # The rest is left to the system. The threads of nng can take a second to end on a busy
        # machine, and a closed loop would no longer handle signals.
        exit_process(EXIT_OK)


def exit_process(status: int) -> NoReturn:
    """Exits the process without shutting down the interpreter.

    By then all work is done and logged. Threads of nng may still call into the interpreter while
    it shuts down, and the process then hangs until it is killed.
    """
    os._exit(status)


def run() -> None:
    """Runs the router; installed as `laburnumpier-router`."""
    sys.modules["__main__"].__doc__ = __doc__
    app.run(_main)
