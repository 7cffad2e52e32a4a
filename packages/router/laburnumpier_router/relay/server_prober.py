"""Tries whether a server answers on a new connection, without running anything there.

A network may accept connections for a server that it does not reach, so that only an answer is
evidence. The call names a server id that no server has: a server with ids answers 421, and for any
other one the method OPTIONS has no effect.
"""

import asyncio

from laburnumpier_core.errors import ServerError
from laburnumpier_core.metrics import Metrics
from multidict import CIMultiDict, CIMultiDictProxy

from ..forward.exchange import ServerCall, ServerClient
from ..ports.dialect import Dialect, ForwardedRequestInfo
from ..ports.server_registry import RegisteredServer

PROBE_SECONDS = 0.3
"""Time limit of a probe; servers are a few milliseconds away and refuse such a call at once."""
PROBE_SERVER_ID = "-"
"""Id in a probe, which no server has."""


class ServerProber:
    """Sends probes to servers."""

    __slots__ = ("_client", "_dialect", "_metrics")

    def __init__(self, *, client: ServerClient, dialect: Dialect, metrics: Metrics):
        """Creates the prober.

        Args:
            client: Sends requests to servers directly.
            dialect: Builds the headers of a probe.
            metrics: Counters.
        """
        self._client = client
        self._dialect = dialect
        self._metrics = metrics

    async def probe(self, server: RegisteredServer) -> bool:
        """Returns whether a server answers on a new connection."""
        self._metrics.count("relay.probes")
        info = ForwardedRequestInfo(
            server_id=PROBE_SERVER_ID, workspace="", remaining_seconds=PROBE_SECONDS
        )
        headers = CIMultiDictProxy(CIMultiDict[str]())
        call = ServerCall(
            method="OPTIONS",
            address=server.address,
            target="/",
            headers=self._dialect.make_server_headers(headers, info),
            body=b"",
            server_id=server.server_id,
            connect_timeout_seconds=PROBE_SECONDS,
        )
        try:
            async with asyncio.timeout(PROBE_SECONDS), self._client.open(call):
                return True
        except (ServerError, TimeoutError):
            return False
