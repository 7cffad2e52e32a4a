"""Metrics for statsd and in the Prometheus text format.

Counters and gauges are also kept in memory, so that the state dump and the metrics endpoint show
them without a statsd server. docs/OPERATIONS.md lists the names.
"""

import collections
from collections.abc import Iterator

import statsd
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.6, 3.2, 6.4, 12.8)


class Metrics:
    """Collects counters, gauges and histograms and sends them to statsd if it is configured."""

    __slots__ = ("_client", "_counters", "_gauges", "_histograms", "_registry")

    def __init__(self, *, host: str = "", port: int = 8125, prefix: str = "laburnumpier"):
        """Creates the metrics of one process.

        Args:
            host: Host of the statsd server; empty disables statsd.
            port: UDP port of the statsd server.
            prefix: Prefix of the metric names in statsd.
        """
        self._client = statsd.StatsClient(host, port, prefix=prefix) if host else None
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, Histogram] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    @property
    def counters(self) -> dict[str, int]:
        """Copy of all counters, counted since the process started."""
        return dict(self._counters)

    @property
    def gauges(self) -> dict[str, float]:
        """Copy of the current value of each gauge."""
        return dict(self._gauges)

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        self._counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
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
        """Yields the counters and gauges; called by the Prometheus registry."""
        counters = CounterMetricFamily("laburnumpier_events", "Events.", labels=["event"])
        for name, count in sorted(self._counters.items()):
            counters.add_metric([name], count)
        yield counters
        gauges = GaugeMetricFamily("laburnumpier_value", "Newest values.", labels=["name"])
        for name, value in sorted(self._gauges.items()):
            gauges.add_metric([name], value)
        yield gauges

    def render_prometheus_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
