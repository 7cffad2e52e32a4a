"""Waits for a server with a time limit at which the wait can go on.

A time limit that cancels what it waits for would end the exchange with a server that is only slow.
Here the operation stays in progress when the time is over, so that the caller can look for
another server first and wait on if there is none.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any


class StillWaitingError(Exception):
    """The time is over and the operation goes on; unlike a time limit of the operation's own."""


class PatientWait:
    """An operation that is in progress; leaving the context cancels it unless it has ended."""

    __slots__ = ("_task",)

    def __init__(self, operation: Coroutine[Any, Any, Any]):
        """Starts the operation."""
        self._task = asyncio.ensure_future(operation)

    async def __aenter__(self) -> "PatientWait":
        return self

    async def __aexit__(self, *error: object) -> None:
        if not self._task.done():
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def is_done(self) -> bool:
        """Whether the operation has ended."""
        return self._task.done()

    @property
    def has_result(self) -> bool:
        """Whether the operation has ended without an error."""
        return self.is_done and not self._task.cancelled() and self._task.exception() is None

    async def get_result(self, timeout_seconds: float | None) -> Any:
        """Returns the result of the operation, or raises its error.

        Args:
            timeout_seconds: Longest time to wait now; None to wait until it ends.

        Raises:
            StillWaitingError: If it is still in progress.
        """
        done, _ = await asyncio.wait({self._task}, timeout=timeout_seconds)
        if not done:
            raise StillWaitingError
        return self._task.result()


@contextlib.asynccontextmanager
async def read_patiently(chunks: AsyncIterator[bytes]) -> AsyncIterator["PatientReader"]:
    """Provides a reader of chunks, and cancels its read in progress at the end."""
    reader = PatientReader(chunks)
    try:
        yield reader
    finally:
        await reader.close()


class PatientReader:
    """Reads chunks one after the other; a read that takes too long stays in progress."""

    __slots__ = ("_chunks", "_wait")

    def __init__(self, chunks: AsyncIterator[bytes]):
        """Creates a reader of chunks that are not read yet."""
        self._chunks = chunks
        self._wait: PatientWait | None = None

    @property
    def is_done(self) -> bool:
        """Whether the read in progress has ended."""
        return self._wait is not None and self._wait.is_done

    @property
    def has_result(self) -> bool:
        """Whether the read in progress has ended without an error."""
        return self._wait is not None and self._wait.has_result

    async def read(self, timeout_seconds: float | None) -> bytes | None:
        """Returns the next chunk, or None at the end.

        Raises:
            StillWaitingError: If there is none in time; the next call waits for the same one.
        """
        if self._wait is None:
            self._wait = PatientWait(self._read_next())
        chunk = await self._wait.get_result(timeout_seconds)
        self._wait = None
        return chunk

    async def close(self) -> None:
        """Cancels the read in progress."""
        if self._wait is not None:
            await self._wait.__aexit__()

    async def _read_next(self) -> bytes | None:
        return await anext(self._chunks, None)
