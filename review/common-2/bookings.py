"""A service for bookings behind a router, its ordinary callers, and the platform's limits."""

import asyncio

from aiohttp import web

SERVERS = 3
SLOTS = 6
WORK_SECONDS = 0.045
ANSWER = b"b" * 800
DEADLINE_SECONDS = 2.5
PAUSE_SECONDS = 0.2
"""Pause of a caller before its next try if its connection was closed without an answer."""
MIN_PAUSE_SECONDS = 0.05
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "bookings",
            "Host": "slopes.example",
            "Prefix": "/book/",
            "Kind": "non_idempotent",
            "TimeoutMs": 2500,
            "TargetLatencyMs": 200,
            "Priority": 2,
            "Service": "reservations",
            "MaxAttempts": 1,
        }
    ],
    "Services": [{"Name": "reservations", "HealthPath": "/health", "MaxConnections": 100}],
    "Limits": {
        "MaxHeaderBytes": MAX_HEADER_BYTES,
        "MaxBodyBytes": MAX_BODY_BYTES,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "lodge", "ApiKeys": ["key-of-lodge"], "Prepaid": 1000000}],
}


def make_vm_limits(memory_mb):
    """Returns the limits of a machine as the platform states them."""
    return {"MemoryMb": memory_mb, "FileDescriptors": 4100, "LinkMbps": 1000.0}


def make_head(attempt_id, framing, path="/book/1"):
    """Returns the head of a request; `framing` holds its last lines."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: slopes.example\r\n"
        f"X-Attempt-Id: {attempt_id}\r\nX-Deadline-Ms: 2500\r\n"
        f"Authorization: Token key-of-lodge\r\n{framing}\r\n\r\n"
    ).encode()


async def start_bookings(deployment, memory_mb):
    """Starts the servers of the service and one router; returns the router."""
    record = deployment.record

    async def handle(request):
        attempt_id = request.headers.get("X-Attempt-Id", "")
        await request.read()
        if attempt_id:
            record.add(f"request {attempt_id} runs")
        await asyncio.sleep(WORK_SECONDS)
        headers = {"X-Attempt-Id": attempt_id, "X-Server-Signature": f"signed-{attempt_id}"}
        return web.Response(body=ANSWER, headers=headers)

    for number in range(SERVERS):
        address = await deployment.add_server(handle)
        deployment.put_server(f"i-{number}", "reservations", address, SLOTS)
    deployment.put_configuration(CONFIGURATION)
    await deployment.start_routers(1, make_vm_limits(memory_mb))
    await asyncio.sleep(1.0)
    router = deployment.routers[0]
    record.say(f"memory in calm: {router.read_memory_bytes() / 1e6:.0f} MB of {memory_mb} MB")
    return router


async def exchange(reader, writer, attempt_id, path="/book/1"):
    """Sends a whole request and reads its answer; returns the status and the Retry-After."""
    writer.write(make_head(attempt_id, "Content-Length: 5", path) + b"hello")
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2])
    await reader.readexactly(int(fields["content-length"]))
    return int(head.split(" ")[1]), float(fields.get("retry-after", 0.0))


async def call(record, port, name):
    """Sends an ordinary request, each try on a new connection, until its time is over.

    It comes back after a refusal as the refusal asks, but within a third of the time left.
    Returns whether it was served.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + DEADLINE_SECONDS
    tries = 0
    while loop.time() < end:
        tries += 1
        attempt_id, pause_seconds = f"{name}-{tries}", PAUSE_SECONDS
        try:
            async with asyncio.timeout_at(end):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                status, pause_seconds = await exchange(reader, writer, attempt_id)
                writer.close()
            record.add(f"request {attempt_id} is answered {status}")
            if status == 200:
                return True
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.add(f"request {attempt_id} gets no answer: {error!r}")
        longest_seconds = (end - loop.time()) / 3
        await asyncio.sleep(max(MIN_PAUSE_SECONDS, min(pause_seconds, longest_seconds)))
    return False


async def call_steadily(record, port, name, seconds, per_second=10):
    """Sends ordinary requests at an even rate; returns how many were sent and served."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    calls = []
    while loop.time() < end:
        calls.append(asyncio.create_task(call(record, port, f"{name}-{len(calls)}")))
        await asyncio.sleep(1 / per_second)
    served = sum(await asyncio.gather(*calls))
    record.say(f"{name}: {served} of {len(calls)} ordinary requests were served")
    return len(calls), served


async def watch_memory(record, router, memory_mb):
    """Kills the process once it exceeds the memory of its machine, as the platform does.

    Returns when the process has ended.
    """
    while router.is_running:
        memory = router.read_memory_bytes()
        if memory > memory_mb * 1024 * 1024:
            record.say(f"the platform kills the router: {memory / 1e6:.0f} MB of {memory_mb} MB")
            await router.kill()
            return
        await asyncio.sleep(0.01)
    record.say("the router has ended by itself")


async def play_memory_case(deployment, memory_mb, odd_callers, seconds=15.0):
    """Plays ordinary requests, and odd callers from the fourth second on.

    Args:
        deployment: The deployment, without servers and routers.
        memory_mb: Memory of the router's machine.
        odd_callers: Returns the coroutines of the odd callers, given the port for callers.
        seconds: Time in which ordinary requests are sent.

    Returns:
        Whether the router exceeded the memory of its machine or ended.
    """
    record = deployment.record
    router = await start_bookings(deployment, memory_mb)
    watch = asyncio.create_task(watch_memory(record, router, memory_mb))
    steady = asyncio.create_task(call_steadily(record, router.callers_port, "ordinary", seconds))
    await asyncio.sleep(3.0)
    odd = [asyncio.create_task(coroutine) for coroutine in odd_callers(router.callers_port)]
    await steady
    is_broken = watch.done()
    if not is_broken:
        record.say(f"memory at the end: {router.read_memory_bytes() / 1e6:.0f} MB")
    for task in (watch, *odd):
        task.cancel()
    await asyncio.gather(watch, *odd, return_exceptions=True)
    return is_broken
