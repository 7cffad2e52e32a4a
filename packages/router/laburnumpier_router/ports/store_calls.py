"""Counts the calls to the key-value service by kind, area of keys and cause.

The store charges for each call, so an operator has to see where they come from. The names of the
counters are `store.calls.<kind>.<area>` and, where one area is used for several reasons,
`store.calls.<kind>.<area>.<cause>`. The area is the first part of a key.
"""

import asyncio
import contextlib
import contextvars
import enum
from collections.abc import Iterator

from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

COUNTER_PREFIX = "store.calls."
LOG_INTERVAL_SECONDS = 5.0

_log = get_part_logger("store")

_cause: contextvars.ContextVar[str] = contextvars.ContextVar("store_call_cause", default="")


class CallKind(enum.StrEnum):
    """What a call does."""

    READ = "read"
    LIST = "list"
    WATCH = "watch"
    WRITE = "write"
    LEASE = "lease"


@contextlib.contextmanager
def name_store_calls(cause: str) -> Iterator[None]:
    """Counts the calls made in this context, and by tasks started in it, under a cause."""
    token = _cause.set(cause)
    try:
        yield
    finally:
        _cause.reset(token)


def count_store_call(metrics: Metrics, kind: CallKind, key: str) -> None:
    """Counts one call.

    Args:
        metrics: Receives the count.
        kind: What the call does.
        key: A key or prefix of the call; empty for calls without one.
    """
    parts = [kind.value, key.partition("/")[0], _cause.get()]
    metrics.count(COUNTER_PREFIX + ".".join(part for part in parts if part))


async def log_store_calls_periodically(metrics: Metrics) -> None:
    """Logs how many calls of each kind were sent since the last line; runs until cancelled."""
    logged: dict[str, int] = {}
    while True:
        await asyncio.sleep(LOG_INTERVAL_SECONDS)
        counted = {
            name.removeprefix(COUNTER_PREFIX): count
            for name, count in metrics.counters.items()
            if name.startswith(COUNTER_PREFIX)
        }
        new = {name: count - logged.get(name, 0) for name, count in counted.items()}
        new = {name: count for name, count in new.items() if count}
        logged = counted
        if new:
            _log.info("store calls", fields=new)
