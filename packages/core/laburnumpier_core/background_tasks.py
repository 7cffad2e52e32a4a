"""Tasks that run beside requests and whose result nobody may be waiting for.

A task that ends with an exception is logged and counted, so that no failure stays unseen.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from .log import get_part_logger
from .metrics import Metrics

FAILED_TASKS_METRIC = "tasks.failed"


class BackgroundTasks:
    """The background tasks of one component."""

    __slots__ = ("_log", "_metrics", "_tasks")

    def __init__(self, *, part: str, metrics: Metrics):
        """Creates an empty set of tasks.

        Args:
            part: Part of the system in whose name failures are logged.
            metrics: Counts the failures.
        """
        self._log = get_part_logger(part)
        self._metrics = metrics
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a coroutine as a task and returns the task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    async def cancel_all(self) -> None:
        """Cancels the running tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._metrics.count(FAILED_TASKS_METRIC)
            self._log.error("background task failed", exc_info=task.exception())
