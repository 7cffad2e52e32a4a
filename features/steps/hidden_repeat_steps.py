"""Steps for requests that the HTTP library must not repeat, on real sockets.

They guard against requests that run twice, or count as never sent although they ran.
"""

import asyncio

from behave import given, then, when
from contract_steps import run
from laburnumpier_core.errors import ServerConnectionLostError, ServerUnreachableError
from laburnumpier_router.backend.engine_port import ServiceCall
from laburnumpier_router.backend.http_clients import HttpServiceClient
from laburnumpier_router.forward.exchange import ServerCall
from laburnumpier_router.forward.http_client import HttpServerClient
from multidict import CIMultiDict

CALL_SECONDS = 2.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class CrashingOnceServer:
    """A server that resets the connection of its first request."""

    def __init__(self, *, listens_after):
        """Creates a server that does not listen yet."""
        self.requests = 0
        self.address = ""
        self._listens_after = listens_after
        self._server = None

    async def start(self):
        """Listens on a loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        if self.requests == 1:
            if not self._listens_after:
                self._server.close()
            writer.transport.abort()
            return
        writer.write(ANSWER)
        writer.close()


@given("a port at which a server resets its first connection and {then_does}")
def start_server(context, then_does):
    context.server = CrashingOnceServer(listens_after=then_does == "answers")
    run(context, context.server.start())
    context.cleanups.append((context.real, context.server.stop))


async def send_forwarded(address, method):
    client = HttpServerClient()
    call = ServerCall(
        method=method, address=address, target="/x?y=1", headers=CIMultiDict(), body=b""
    )
    try:
        async with asyncio.timeout(CALL_SECONDS), client.open(call) as exchange:
            await exchange.read()
    finally:
        await client.close()


async def send_service_call(address, method):
    client = HttpServiceClient()
    call = ServiceCall(method=method, path="x", query="y=1", headers={}, body=b"")
    try:
        await client.call(f"http://{address}", call, CALL_SECONDS)
    finally:
        await client.close()


@when("the client of {kind} sends a {method} to it")
def send_call(context, kind, method):
    send = send_forwarded if kind == "forwarded calls" else send_service_call
    context.error = None
    try:
        run(context, send(context.server.address, method))
    except (ServerConnectionLostError, ServerUnreachableError) as error:
        context.error = error


@then("the server has got {count:d} request, and the outcome is unknown")
def check_lost(context, count):
    assert context.server.requests == count, context.server.requests
    assert isinstance(context.error, ServerConnectionLostError), context.error
