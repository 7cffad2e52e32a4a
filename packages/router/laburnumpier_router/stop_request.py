"""Signals that ask the process to stop."""

import asyncio
import signal

from laburnumpier_core.log import get_part_logger

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_log = get_part_logger("app")


class StopRequest:
    """Set by the first signal that asks the process to stop; later ones change nothing."""

    __slots__ = ("_event", "_requested_seconds")

    def __init__(self):
        """Creates a request that is not set."""
        self._event = asyncio.Event()
        self._requested_seconds: float | None = None

    @property
    def requested_seconds(self) -> float | None:
        """Event loop time of the first signal; None if there was none."""
        return self._requested_seconds

    def install_handlers(self) -> None:
        """Handles the signals from now on, until the process exits."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._handle_signal, number)

    async def wait(self) -> None:
        """Waits until the process is asked to stop."""
        await self._event.wait()

    def _handle_signal(self, number: signal.Signals) -> None:
        is_first = not self._event.is_set()
        _log.info("stop signal received", fields={"signal": number.name, "first": is_first})
        if is_first:
            self._requested_seconds = asyncio.get_running_loop().time()
            self._event.set()
