"""HTTP servers whose connections take part in the account of what callers hold."""

from typing import Any

from aiohttp import web

from .connection import BoundedConnection
from .connection_table import ConnectionTable
from .service import Intake


class BoundedServer(web.Server):
    """Creates a `BoundedConnection` for each connection."""

    def __init__(self, handler, *, intake: Intake, table: ConnectionTable, **options: Any):
        """Creates the server; the handler and the options are those of the library.

        Args:
            handler: Handles a request.
            intake: Decides which callers give way.
            table: Connections of this server.
            options: Options of the library.
        """
        super().__init__(handler, **options)
        self._intake = intake
        self._table = table

    def __call__(self) -> BoundedConnection:
        """Returns the protocol of a new connection."""
        return BoundedConnection(
            self, intake=self._intake, table=self._table, loop=self._loop, **self._kwargs
        )


class BoundedAppRunner(web.AppRunner):
    """Runs an application on a `BoundedServer`."""

    def __init__(
        self, app: web.Application, *, intake: Intake, table: ConnectionTable, **options: Any
    ):
        """Creates the runner; the options are those of the library."""
        super().__init__(app, **options)
        self._intake = intake
        self._table = table

    async def _make_server(self) -> web.Server:
        return bound_server(await super()._make_server(), self._intake, self._table)


def bound_server(server: web.Server, intake: Intake, table: ConnectionTable) -> BoundedServer:
    """Returns a server with the same handler whose connections are accounted for."""
    return BoundedServer(
        server.request_handler,
        intake=intake,
        table=table,
        request_factory=server.request_factory,
        # A connection that is lost drops its requests, and nobody may look for them.
        handler_cancellation=True,
        **server._kwargs,
    )
