"""Metrics by statsd, and as text in the Prometheus form.

Every counter is kept in the process too, so that the state dump and the metrics address show it
where no statsd server is configured. docs/OPERATIONS.md lists the names.
"""

import collections
from collections.abc import Iterator

import statsd
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.6, 3.2, 6.4, 12.8)


class Metrics:
    """Counts events and forwards them to a statsd server when there is one."""

    __slots__ = ("_client", "_counters", "_gauges", "_histograms", "_registry")

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
        self._histograms: dict[str, Histogram] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

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

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge to its newest value."""
        self._gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"laburnumpier_{name.replace('.', '_')}_seconds",
                f"Durations of {name}.",
                buckets=LATENCY_BUCKETS_SECONDS,
                registry=self._registry,
            )
            self._histograms[name] = histogram
        histogram.observe(seconds)
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def collect(self) -> Iterator[Metric]:
        """Yields the counters and gauges; called by the registry."""
        events = CounterMetricFamily("laburnumpier_events", "Events.", labels=["event"])
        for name, count in sorted(self._counters.items()):
            events.add_metric([name], count)
        yield events
        values = GaugeMetricFamily("laburnumpier_value", "Newest values.", labels=["name"])
        for name, value in sorted(self._gauges.items()):
            values.add_metric([name], value)
        yield values

    def render_prometheus_text(self) -> bytes:
        """Returns all metrics as text in the Prometheus form."""
        return generate_latest(self._registry)
