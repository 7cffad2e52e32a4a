"""Serves a test application in its own process on a loopback port."""

import uvloop
from aiohttp import web


def serve_on_loopback(app: web.Application, port: int) -> None:
    """Serves an application until the process ends; a closed connection cancels its handler."""
    web.run_app(
        app,
        host="127.0.0.1",
        port=port,
        print=None,
        access_log=None,
        handler_cancellation=True,
        loop=uvloop.new_event_loop(),
    )
