"""Steps for a router process that is started by the platform's launcher."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile

import aiohttp
from aiohttp.test_utils import TestServer
from behave import given, then, when
from contract_steps import run
from laburnumpier_measure.local_fleet import find_free_port, make_descriptor_limit
from laburnumpier_platform_standin.launch import ROOT, render_router_settings
from laburnumpier_platform_standin.store import PlatformStoreStandIn
from scripted_server import ScriptedServer

SLOW_SHUTDOWN = "import atexit, time\natexit.register(time.sleep, 10)\n"
START_SECONDS = 0.5
"""Time in which a process that handles signals starts its application."""
SLOW_RETURN_OF_LOOP = """
import time
import uvloop


class SlowLoop(uvloop.Loop):
    def run_until_complete(self, future):
        result = super().run_until_complete(future)
        time.sleep(1.5)
        return result


uvloop.new_event_loop = SlowLoop
"""
"""Lets the process take long for what it does between two runs of its event loop."""
FAILING_READS = """
import aiohttp

read = aiohttp.StreamReader.readany


async def fail(self):
    if type(self._protocol).__name__ == "ServerResponseHandler":
        raise ValueError("not expected")
    return await read(self)


aiohttp.StreamReader.readany = fail
"""
"""Lets reading the answer of a server fail with an error that nobody expects."""
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r",
            "Host": "shop.example",
            "Prefix": "/shop/",
            "Kind": "streaming",
            "TimeoutMs": 60000,
            "Service": "s",
        }
    ],
    "Services": [{"Name": "s", "InferenceEngine": {"Slots": 4, "Stride": 3}}],
    "Tenants": [{"Name": "office", "ApiKeys": ["secret"], "Prepaid": 100000}],
}
HEADERS = {
    "Host": "shop.example",
    "X-Attempt-Id": "a1",
    "Authorization": "Token secret",
    "X-Deadline-Ms": "60000",
    "X-Token-Usage": "100,30",
}


@given("a router process with a grace period of {grace_seconds:d} seconds")
def start_router(context, grace_seconds):
    start_router_process(context, grace_seconds, early_sighup=False)


@given(
    "a router process with a grace period of {grace_seconds:d} seconds "
    "that receives SIGHUP as early as possible"
)
def start_with_early_sighup(context, grace_seconds):
    start_router_process(context, grace_seconds, early_sighup=True)


@given(
    "a router process with a grace period of {grace_seconds:d} seconds "
    "whose interpreter takes 10 seconds to shut down"
)
def start_with_slow_shutdown(context, grace_seconds):
    start_router_process(
        context, grace_seconds, early_sighup=False, site_customization=SLOW_SHUTDOWN
    )


@given(
    "a router process with a grace period of {grace_seconds:d} seconds "
    "that fails unexpectedly when it reads answers"
)
def start_with_failing_reads(context, grace_seconds):
    start_router_process(
        context, grace_seconds, early_sighup=False, site_customization=FAILING_READS
    )


@when("a request is sent")
def send_one_request(context):
    context.answer = run(context, send_request(context))


@then("it ran, and its caller got {status:d} and is told that it may have run")
def check_may_have_run(context, status):
    found, body = context.answer
    assert found == status, context.answer
    assert json.loads(body)["ran"] == "unknown", context.answer
    assert context.backend.runs == 1, context.backend.runs


@given(
    "a router process with a grace period of {grace_seconds:d} seconds "
    "that receives SIGTERM just after its start"
)
def start_with_early_stop(context, grace_seconds):
    start_router_process(
        context,
        grace_seconds,
        early_sighup=False,
        early_stop=True,
        site_customization=SLOW_RETURN_OF_LOOP,
    )


def read_signal_mask(process, name):
    """Returns the mask of the signals that a process ignores (SigIgn) or handles (SigCgt)."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(name))
    return int(line.split()[1], 16)


async def send_early_sighup(context):
    """Sends SIGHUP as soon as the process ignores it.

    Fails if the process handles SIGHUP before it has ignored it.
    """
    bit = 1 << (signal.SIGHUP - 1)
    async with asyncio.timeout(20):
        while not (read_signal_mask(context.process, "SigIgn") & bit):
            assert not read_signal_mask(context.process, "SigCgt") & bit, (
                "SIGHUP was never ignored"
            )
            await asyncio.sleep(0.001)
    context.process.send_signal(signal.SIGHUP)


async def send_early_stop(context):
    """Sends SIGTERM soon after the process handles it, whether it is ready or not."""
    bit = 1 << (signal.SIGTERM - 1)
    async with asyncio.timeout(20):
        while not read_signal_mask(context.process, "SigCgt") & bit:
            await asyncio.sleep(0.001)
    await asyncio.sleep(START_SECONDS)
    context.signalled_at_seconds = asyncio.get_running_loop().time()
    context.process.send_signal(signal.SIGTERM)


def start_router_process(
    context,
    grace_seconds,
    *,
    early_sighup,
    early_stop=False,
    site_customization="",
    backend=None,
    configuration=CONFIGURATION,
    vm_limits=None,
    max_descriptors=None,
):
    """Starts a router process, its store and a server.

    Args:
        context: Gets the process, its ports, the store and the server.
        grace_seconds: Grace period of a stop.
        early_sighup: Whether the process receives SIGHUP as early as possible.
        early_stop: Whether it receives SIGTERM just after its start, ready or not.
        site_customization: Python code that the interpreter runs first.
        backend: The server; by default one that streams.
        configuration: Configuration in the platform's form.
        vm_limits: The platform's fields of the VM's limits, such as `MemoryMb`.
        max_descriptors: Descriptors that the process may open; None for the usual number.
    """
    context.store = PlatformStoreStandIn()
    context.backend = backend or ScriptedServer("streams")
    context.directory = tempfile.TemporaryDirectory()
    context.ports = [find_free_port() for _ in range(4)]

    async def start():
        await context.backend.start()
        entry = {"Service": "s", "Address": context.backend.address, "State": "ready"}
        context.store.put("servers/i-1", json.dumps(entry).encode())
        context.store.put("op/config", json.dumps(configuration).encode())
        context.store_server = TestServer(context.store.make_app())
        await context.store_server.start_server()
        url = str(context.store_server.make_url("")).rstrip("/")
        path = pathlib.Path(context.directory.name) / "settings.ini"
        settings = render_router_settings(
            name="vm-1",
            ports=context.ports,
            store_url=url,
            grace_seconds=grace_seconds,
            vm_limits=vm_limits,
        )
        path.write_text(settings)
        # Python imports sitecustomize when it starts.
        (path.parent / "sitecustomize.py").write_text(site_customization)
        context.session = aiohttp.ClientSession()
        context.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/start.py",
            cwd=ROOT,
            env={
                **os.environ,
                "LABURNUMPIER_CONFIG": str(path),
                "PYTHONPATH": str(path.parent),
            },
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=make_descriptor_limit(max_descriptors),
        )
        context.output = asyncio.create_task(context.process.stdout.read())
        if early_sighup:
            await send_early_sighup(context)
        if early_stop:
            await send_early_stop(context)
            return
        async with asyncio.timeout(20):
            while await read_readiness_status(context) != 200:
                await asyncio.sleep(0.05)
        # Readiness depends on the configuration only; the registry is read in parallel.
        await asyncio.sleep(0.3)

    async def stop():
        if context.process.returncode is None:
            context.process.kill()
            await context.process.wait()
        await context.session.close()
        await context.backend.stop()
        await context.store_server.close()
        context.directory.cleanup()

    context.cleanups.append((context.real, stop))
    run(context, start())


async def read_readiness_status(context):
    url = f"http://127.0.0.1:{context.ports[1]}/readiness"
    try:
        async with context.session.get(url) as response:
            return response.status
    except aiohttp.ClientError:
        return 0


async def send_request(context):
    url = f"http://127.0.0.1:{context.ports[0]}/shop/x"
    async with context.session.post(url, headers=HEADERS, data=b"order") as response:
        return response.status, await response.read()


@given("a caller whose stream never ends")
def open_stream(context):
    context.backend.behaviour = "falls silent after 2 events"

    async def begin():
        context.call_task = asyncio.create_task(send_request(context))
        await asyncio.sleep(0.5)
        assert not context.call_task.done()

    run(context, begin())


@when("the process receives {name}")
def send_signal(context, name):
    async def deliver():
        context.signalled_at_seconds = asyncio.get_running_loop().time()
        context.process.send_signal(signal.Signals[name])
        await asyncio.sleep(0.2)

    run(context, deliver())


@then("SIGHUP was ignored before its handler was installed")
def check_process_survived_sighup(context):
    assert context.process.returncode is None, context.process.returncode


@when("a request is answered")
def answer_request(context):
    status, body = run(context, send_request(context))
    assert status == 200, (status, body)


@then("the readiness check fails within {seconds:f} seconds")
def check_readiness(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while await read_readiness_status(context) == 200:
                await asyncio.sleep(0.02)

    run(context, wait())


@then("the process exits with code {code:d} after {min_seconds:g} to {max_seconds:g} seconds")
def check_exit(context, code, min_seconds, max_seconds):
    async def wait():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(context.process.wait(), max_seconds + 3)
        return asyncio.get_running_loop().time() - context.signalled_at_seconds

    elapsed_seconds = run(context, wait())
    assert context.process.returncode == code, context.process.returncode
    assert min_seconds <= elapsed_seconds <= max_seconds, elapsed_seconds


@then("the caller's stream is aborted")
def check_stream_aborted(context):
    async def wait():
        try:
            await context.call_task
        except aiohttp.ClientError:
            return True
        return False

    assert run(context, wait())


@then("its log reports the start, the settings check and the stop in this order")
def check_log(context):
    async def read():
        return await context.output

    output = run(context, read()).decode()
    events = [json.loads(line)["event"] for line in output.splitlines()]
    expected_events = [
        "router started",
        "settings checked again",
        "request ended",
        "graceful stop begins",
        "graceful stop done",
    ]
    positions = [events.index(event) for event in expected_events]
    assert positions == sorted(positions), events


@then("the metrics report {count:d} answered request")
def check_metrics(context, count):
    async def read_metrics():
        async with context.session.get(f"http://127.0.0.1:{context.ports[3]}/metrics") as response:
            return await response.text()

    text = run(context, read_metrics())
    assert f'laburnumpier_events_total{{event="forward.answered"}} {count}.0' in text, text
