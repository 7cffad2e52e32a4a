"""Best-effort messages to the other routers of the own data centre."""

import asyncio
from typing import Any

from laburnumpier_core.errors import PeerError
from laburnumpier_core.metrics import Metrics

from .service import FleetService

MESSAGE_TIMEOUT_SECONDS = 0.5
"""Time limit of one send; a slower receiver has to fetch the content by itself."""


class Broadcaster:
    """Sends messages without delivery guarantee; each receiver has at most one send in progress.

    A message to a receiver whose previous send has not finished is skipped.
    """

    __slots__ = ("_fleet", "_metrics", "_pending_sends")

    def __init__(self, *, fleet: FleetService, metrics: Metrics):
        """Creates a broadcaster without sends in progress."""
        self._fleet = fleet
        self._metrics = metrics
        self._pending_sends: dict[str, asyncio.Task[None]] = {}

    def send(self, message: Any) -> None:
        """Starts sending a message to all live routers of the own data centre; does not wait."""
        for name in self._list_receivers():
            task = self._pending_sends.get(name)
            if task is not None and not task.done():
                self._metrics.count("fleet.broadcast_skipped")
                continue
            self._pending_sends[name] = asyncio.create_task(self._send_to(name, message))

    async def close(self) -> None:
        """Cancels the sends in progress."""
        tasks = list(self._pending_sends.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _list_receivers(self) -> list[str]:
        """Returns the receivers; cancels pending sends to members that are no longer known."""
        view = self._fleet.view
        own = self._fleet.member.data_centre
        receivers = [name for name in view.live if view.known[name].member.data_centre == own]
        for name in [name for name in self._pending_sends if name not in view.known]:
            self._pending_sends.pop(name).cancel()
        return receivers

    async def _send_to(self, name: str, message: Any) -> None:
        try:
            await self._fleet.call(name, message, MESSAGE_TIMEOUT_SECONDS)
        except PeerError:
            self._metrics.count("fleet.broadcast_lost")
