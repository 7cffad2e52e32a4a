"""Tells the other routers of the own data centre something, without waiting for them."""

import asyncio
from typing import Any

from laburnumpier_core.errors import PeerError
from laburnumpier_core.metrics import Metrics

from .service import FleetService

MESSAGE_SECONDS = 0.5
"""Time limit of one message; a router that is slower has to find out by itself."""


class Broadcaster:
    """Sends messages that may be lost; each receiver has at most one on its way."""

    __slots__ = ("_fleet", "_metrics", "_on_their_way")

    def __init__(self, *, fleet: FleetService, metrics: Metrics):
        """Creates a broadcast with nothing on its way."""
        self._fleet = fleet
        self._metrics = metrics
        self._on_their_way: dict[str, asyncio.Task[None]] = {}

    def send(self, message: Any) -> None:
        """Starts to send a message to all live routers of the own data centre."""
        for name in self._list_receivers():
            task = self._on_their_way.get(name)
            if task is not None and not task.done():
                self._metrics.count("fleet.broadcast_skipped")
                continue
            self._on_their_way[name] = asyncio.create_task(self._send_to(name, message))

    async def close(self) -> None:
        """Drops what is on its way."""
        tasks = list(self._on_their_way.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _list_receivers(self) -> list[str]:
        view = self._fleet.view
        own = self._fleet.member.data_centre
        receivers = [name for name in view.live if view.known[name].member.data_centre == own]
        for name in [name for name in self._on_their_way if name not in view.known]:
            self._on_their_way.pop(name).cancel()
        return receivers

    async def _send_to(self, name: str, message: Any) -> None:
        try:
            await self._fleet.call(name, message, MESSAGE_SECONDS)
        except PeerError:
            self._metrics.count("fleet.broadcast_lost")
