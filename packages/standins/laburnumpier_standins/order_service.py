"""An order service for tests: bookings that must not run twice, stock queries and a ledger.

The service does not deduplicate by idempotency key, so that its ledger shows a booking that was
run twice. `POST /faults` injects a fault into the next call: `close_before` processes the call
and aborts the connection before the answer, `silent` records a booking and never answers.
"""

import argparse
import asyncio

from aiohttp import web

from .process import serve_on_loopback


class OrderServiceStandIn:
    """HTTP handlers of the service."""

    def __init__(self):
        """Creates a service without bookings."""
        self.bookings: list[str] = []
        self.faults: dict[str, int] = {}

    def make_app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application()
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/ledger", self._report_ledger)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/stock/{item}", self._read_stock)
        app.router.add_post("/bookings", self._create_booking)
        return app

    async def _report_load(self, request: web.Request) -> web.Response:
        return web.json_response({"running": 0, "waiting": 0, "capacity": 64})

    async def _report_ledger(self, request: web.Request) -> web.Response:
        return web.json_response({"bookings": self.bookings})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = await request.json()
        return web.json_response({})

    async def _read_stock(self, request: web.Request) -> web.Response:
        if self.faults.pop("close_before", 0) and request.transport is not None:
            request.transport.abort()
        return web.json_response({"item": request.match_info["item"], "litres": 40})

    async def _create_booking(self, request: web.Request) -> web.Response:
        await request.read()
        self.bookings.append(request.headers.get("Idempotency-Key", ""))
        number = len(self.bookings)
        if self.faults.pop("close_before", 0) and request.transport is not None:
            request.transport.abort()
        if self.faults.pop("silent", 0):
            await asyncio.sleep(3600)
        return web.json_response({"booking": number}, status=201)


def main() -> None:
    """Runs the test order service on a loopback port."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    serve_on_loopback(OrderServiceStandIn().make_app(), arguments.port)


if __name__ == "__main__":
    main()
