"""Steps for routers that are cut off or stand still while servers of another version join.

The routers of the steps `that can be cut off` run in this process, each with a proxy before the
store and a network to its peers that can be cut; the others are processes that are stopped.
"""

import asyncio
import dataclasses
import pathlib
import signal

from behave import given, then, when
from contract_steps import run
from laburnumpier_core.errors import PeerUnreachableError
from laburnumpier_platform_standin.launch import PlatformRouterProcess
from laburnumpier_platform_standin.soak_proxy import FaultProxy, LinkFault
from scripted_server import ScriptedServer
from version_steps import (
    CALLERS,
    READY_TIMEOUT_SECONDS,
    Caller,
    register,
    start_fleet,
    start_router_in_process,
    take,
    take_up,
    wait_until_seen,
)

POLL_SECONDS = 0.02
SEEN_SECONDS = 0.3
"""Time in which routers that are connected see a change of the registry."""
CUT_POLL_SECONDS = 0.01
STORE_READS = ("/kv-key", "/kv-range", "/kv-watch")


class CuttableNetwork:
    """The network to the peers of one router.

    Attributes:
        is_cut: Whether messages and replies are held back.
    """

    def __init__(self, network):
        """Wraps a network."""
        self._network = network
        self.is_cut = False

    async def serve(self, handler):
        """Serves requests, those that arrive while it is cut after that."""

        async def handle(request):
            while self.is_cut:
                await asyncio.sleep(CUT_POLL_SECONDS)
            return await handler(request)

        await self._network.serve(handle)

    async def call(self, address, request, timeout_seconds):
        """Calls a peer; fails at the time limit if the network is cut."""
        if self.is_cut:
            await asyncio.sleep(timeout_seconds)
            raise PeerUnreachableError(address)
        return await self._network.call(address, request, timeout_seconds)

    async def close(self):
        """Closes the network."""
        await self._network.close()


@given("{count:d} routers that can be cut off and servers of the software versions {versions}")
def start_cuttable_fleet(context, count, versions):
    start_fleet(context, 0, versions)
    context.proxies, context.networks = {}, {}

    async def start():
        for number in range(1, count + 1):
            await start_cuttable_router(context, number)
        await wait_until_seen(context)

    async def stop():
        for proxy in context.proxies.values():
            await proxy.close()

    context.cleanups.append((context.real, stop))
    run(context, start())


async def start_cuttable_router(context, number):
    proxy = FaultProxy(host="127.0.0.1", port=context.store_server.port)
    await proxy.start()
    context.proxies[number] = proxy

    def wrap_ports(ports):
        context.networks[number] = ports.network = CuttableNetwork(ports.network)
        return ports

    await start_router_in_process(context, number, store_url=proxy.url, wrap_ports=wrap_ports)


@when("router {number:d} loses contact to {others}")
def cut_router(context, number, others):
    context.networks[number].is_cut = "other routers" in others
    if "store" in others:
        context.proxies[number].fault = LinkFault.SILENT


def connect_router(context, number):
    context.networks[number].is_cut = False
    context.proxies[number].fault = LinkFault.NONE
    # Bytes were lost on the open connections.
    context.proxies[number].reset_connections()


async def add_joining_server(context, version):
    """Registers a server whose streams are slow, and lets the others leave."""
    number = len(context.servers)
    server = ScriptedServer("streams slowly", version)
    context.servers.append(server)
    await server.start()
    context.entry_versions[number] = version
    context.starts[number] = 1000
    for other in range(number):
        register(context, other, state="draining")
    register(context, number)


@when("a server of {version} joins, and the others see it")
def join_server(context, version):
    async def join():
        await add_joining_server(context, version)
        tables = [
            router.application._server_table
            for number, router in context.routers.items()
            if context.proxies[number].fault is LinkFault.NONE
        ]
        name = f"i-{len(context.servers) - 1}"
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not all(table.servers.get(name) for table in tables):
                await asyncio.sleep(POLL_SECONDS)

    run(context, join())


@when("callers at router {number:d} leave streams of {version} after {count:d} events")
def leave_streams_of(context, number, version, count):
    run(context, leave(context, number, count))
    versions = {caller.events[0][1] for caller in context.callers}
    assert versions == {version}, versions


async def leave(context, number, count):
    context.callers = [Caller(name=f"c{index}") for index in range(CALLERS)]
    await asyncio.gather(
        *(take(context, caller, number, leave_after=count) for caller in context.callers)
    )


@when("the server of {version} is gone without notice")
def end_server(context, version):
    number = max(context.entry_versions)
    assert context.entry_versions.pop(number) == version

    async def end():
        await context.servers[number].stop()
        for other in range(number):
            register(context, other)
        # The others have written down by then which versions serve.
        await asyncio.sleep(1.5)
        context.version_store.remove(f"servers/i-{number}")

    run(context, end())


@when("all servers start again at {version} under their ids")
def restart_servers(context, version):
    for number, server in enumerate(context.servers):
        context.entry_versions[number] = version
        context.starts[number] += 1000
        server.version = version
        register(context, number)
    run(context, asyncio.sleep(SEEN_SECONDS))


@when("the other routers are killed")
def kill_others(context):
    async def kill():
        await asyncio.gather(*(context.routers.pop(number).kill() for number in (1, 2)))

    run(context, kill())


@when("router {number:d} is connected again while the callers come back there")
def connect_while_coming_back(context, number):
    async def come():
        coming = asyncio.create_task(take_up(context, number, None))
        connect_router(context, number)
        await coming

    run(context, come())


@when("callers take up streams of unknown origin at router {number:d}")
def take_up_unknown_streams(context, number):
    context.callers = [Caller(name=f"c{index}") for index in range(CALLERS)]
    context.called_before = len(context.version_store.called_paths)

    async def come():
        await asyncio.gather(
            *(
                take(context, caller, number, last=2, resumes=f"nobody-knows-{caller.name}")
                for caller in context.callers
            )
        )

    run(context, come())


@then("all of them go on")
def check_all_go_on(context):
    taken = [caller.tries[-1] for caller in context.callers]
    assert all([event_id for event_id, _ in one.events] == [3, 4, 5] for one in taken), taken


@then("the routers have read from the store at most {count:d} times for them")
def check_store_calls(context, count):
    paths = context.version_store.called_paths[context.called_before :]
    reads = [path for path in paths if path in STORE_READS]
    assert len(reads) <= count, reads


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterAtUrl:
    """A router process as the steps of versions see it."""

    process: PlatformRouterProcess
    url: str

    async def kill(self):
        """Ends the process."""
        await self.process.kill()


@given("{count:d} router processes and servers of the software versions {versions}")
def start_processes(context, count, versions):
    start_fleet(context, 0, versions)

    async def start():
        for number in range(1, count + 1):
            process = PlatformRouterProcess(
                name=f"vm-{number}",
                directory=pathlib.Path(context.directory.name),
                store_url=context.store_url,
                grace_seconds=4,
            )
            url = f"http://127.0.0.1:{process.ports[0]}"
            context.routers[number] = RouterAtUrl(process=process, url=url)
            await process.start()
        for router in context.routers.values():
            await router.process.wait_until_ready(context.session)
        await wait_until_served(context, 1)

    run(context, start())


async def wait_until_served(context, number):
    """Waits until a router serves new streams, so that it knows servers and peers."""
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while (await take(context, Caller(name="w"), number)).status != 200:
            await asyncio.sleep(POLL_SECONDS)
        # Heartbeats of the others arrive meanwhile.
        await asyncio.sleep(2.0)


@when("process {number:d} stands still for {seconds:g} seconds while a server of {version} joins")
def stop_process(context, number, seconds, version):
    async def stand_still():
        context.routers[number].process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        await add_joining_server(context, version)
        context.probe = Caller(name="p")
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while True:
                taken = await take(context, context.probe, 1, leave_after=1)
                if taken.events and taken.events[0][1] == version:
                    return
                await asyncio.sleep(POLL_SECONDS)

    run(context, stand_still())


@when("callers at process {number:d} leave streams of {version} after {count:d} events")
def leave_streams_at_process(context, number, version, count):
    leave_streams_of(context, number, version, count)


@when("nothing else happens")
def do_nothing(context):
    pass


@when("the other processes are killed")
def kill_other_processes(context):
    kill_others(context)


@when("the callers come back at process {number:d}, which goes on")
def come_back_at_process(context, number):
    async def come():
        coming = asyncio.create_task(take_up(context, number, None))
        # The requests wait in the process's sockets.
        await asyncio.sleep(0.1)
        context.routers[number].process.send_signal(signal.SIGCONT)
        await coming

    run(context, come())
