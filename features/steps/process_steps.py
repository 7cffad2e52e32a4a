"""Steps about the router as a process, started as the platform starts it."""

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
from laburnumpier_measure.local_fleet import find_free_port
from laburnumpier_platform_standin.launch import ROOT, render_router_settings
from laburnumpier_platform_standin.store import PlatformStoreStandIn
from scripted_server import ScriptedServer

SLOW_END = "import atexit, time\natexit.register(time.sleep, 10)\n"
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


@given("a router process with a grace of {grace:d} seconds")
def start_quietly(context, grace):
    start_process(context, grace, early_hangup=False)


@given(
    "a router process with a grace of {grace:d} seconds that is sent SIGHUP as soon as it may be"
)
def start_with_hangup(context, grace):
    start_process(context, grace, early_hangup=True)


@given(
    "a router process with a grace of {grace:d} seconds whose interpreter takes 10 seconds to end"
)
def start_slow_to_end(context, grace):
    start_process(context, grace, early_hangup=False, customization=SLOW_END)


def read_signals(process, name):
    """Returns the mask of signals that a process ignores (SigIgn) or handles (SigCgt)."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(name))
    return int(line.split()[1], 16)


async def hang_up_early(context):
    """Sends SIGHUP as soon as the process ignores or handles it, and notes which it is."""
    bit = 1 << (signal.SIGHUP - 1)
    async with asyncio.timeout(20):
        while not (read_signals(context.process, "SigIgn") & bit):
            assert not read_signals(context.process, "SigCgt") & bit, "handled, never ignored"
            await asyncio.sleep(0.001)
    context.process.send_signal(signal.SIGHUP)


def start_process(context, grace, *, early_hangup, customization=""):
    context.store = PlatformStoreStandIn()
    context.backend = ScriptedServer("streams")
    context.folder = tempfile.TemporaryDirectory()
    context.ports = [find_free_port() for _ in range(4)]

    async def start():
        await context.backend.start()
        entry = {"Service": "s", "Address": context.backend.address, "State": "ready"}
        context.store.put("servers/i-1", json.dumps(entry).encode())
        context.store.put("op/config", json.dumps(CONFIGURATION).encode())
        context.server = TestServer(context.store.make_app())
        await context.server.start_server()
        url = str(context.server.make_url("")).rstrip("/")
        path = pathlib.Path(context.folder.name) / "settings.ini"
        text = render_router_settings(
            name="vm-1", ports=context.ports, store_url=url, grace_seconds=grace
        )
        path.write_text(text)
        # Python runs this module when it starts.
        (path.parent / "sitecustomize.py").write_text(customization)
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
        )
        context.output = asyncio.create_task(context.process.stdout.read())
        if early_hangup:
            await hang_up_early(context)
        async with asyncio.timeout(20):
            while await ask_readiness(context) != 200:
                await asyncio.sleep(0.05)
        # The registry is read beside the configuration.
        await asyncio.sleep(0.3)

    async def stop():
        if context.process.returncode is None:
            context.process.kill()
            await context.process.wait()
        await context.session.close()
        await context.backend.stop()
        await context.server.close()
        context.folder.cleanup()

    context.cleanups.append((context.real, stop))
    run(context, start())


async def ask_readiness(context):
    url = f"http://127.0.0.1:{context.ports[1]}/readiness"
    try:
        async with context.session.get(url) as response:
            return response.status
    except aiohttp.ClientError:
        return 0


async def send(context):
    url = f"http://127.0.0.1:{context.ports[0]}/shop/x"
    async with context.session.post(url, headers=HEADERS, data=b"order") as response:
        return response.status, await response.read()


@given("a caller whose stream never ends")
def open_stream(context):
    context.backend.behaviour = "falls silent after 2 events"

    async def begin():
        context.call = asyncio.create_task(send(context))
        await asyncio.sleep(0.5)
        assert not context.call.done()

    run(context, begin())


@when("the process gets {name}")
def send_signal(context, name):
    async def play():
        context.signalled = asyncio.get_running_loop().time()
        context.process.send_signal(signal.Signals[name])
        await asyncio.sleep(0.2)

    run(context, play())


@then("SIGHUP was ignored before it was handled")
def check_running(context):
    assert context.process.returncode is None, context.process.returncode


@when("a request is answered")
def answer_request(context):
    status, body = run(context, send(context))
    assert status == 200, (status, body)


@then("readiness is refused within {seconds:f} seconds")
def check_readiness(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while await ask_readiness(context) == 200:
                await asyncio.sleep(0.02)

    run(context, wait())


@then("the process ends with code {code:d} after {least:g} to {most:g} seconds")
def check_end(context, code, least, most):
    async def wait():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(context.process.wait(), most + 3)
        return asyncio.get_running_loop().time() - context.signalled

    took = run(context, wait())
    assert context.process.returncode == code, context.process.returncode
    assert least <= took <= most, took


@then("the caller's stream is broken off")
def check_broken(context):
    async def wait():
        try:
            await context.call
        except aiohttp.ClientError:
            return True
        return False

    assert run(context, wait())


@then("its log tells its start, the settings checked again and its stop")
def check_log(context):
    async def read():
        return await context.output

    output = run(context, read()).decode()
    events = [json.loads(line)["event"] for line in output.splitlines()]
    wanted = [
        "router started",
        "settings checked again",
        "request ended",
        "graceful stop begins",
        "graceful stop done",
    ]
    places = [events.index(event) for event in wanted]
    assert places == sorted(places), events


@then("the metrics tell {count:d} answered request")
def check_metrics(context, count):
    async def ask():
        async with context.session.get(f"http://127.0.0.1:{context.ports[3]}/metrics") as answer:
            return await answer.text()

    text = run(context, ask())
    assert f'laburnumpier_events_total{{event="forward.answered"}} {count}.0' in text, text
