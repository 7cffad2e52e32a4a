"""Metrics by statsd.

Every counter is kept in the process too, so that the state dump shows it even where no statsd
server is configured. docs/OPERATIONS.md lists the names.
"""

import collections

import statsd


class Metrics:
    """Counts events and forwards them to a statsd server when there is one."""

    __slots__ = ("_client", "_counters", "_gauges")

    def __init__(self, *, host: str = "", port: int = 8125, prefix: str = "laburnumpier"):
        """Creates the metrics of one process.

        Args:
            host: Host of the statsd server; empty sends nothing.
            port: UDP port of the statsd server.
            prefix: First part of each metric's name.
        """
        self._client = statsd.StatsClient(host, port, prefix=prefix) if host else None
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}

    @property
    def counters(self) -> dict[str, int]:
        """Copy of all counters since the process started."""
        return dict(self._counters)

    @property
    def gauges(self) -> dict[str, float]:
        """Copy of the last value of each gauge."""
        return dict(self._gauges)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self._counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def record_gauge(self, name: str, value: float) -> None:
        """Sets a gauge to its newest value."""
        self._gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)
