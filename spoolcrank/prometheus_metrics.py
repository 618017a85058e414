"""Collect event counts, gauges and request durations, and export them as Prometheus text."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import Any

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the histogram buckets, seconds; from a store answer to the length of a lease."""

TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def buckets(self) -> Iterator[tuple[str, float]]:
        cumulative = 0
        for upper_bound, count in zip((*map(str, BUCKETS_S), "+Inf"), self.counts, strict=True):
            cumulative += count
            yield upper_bound, cumulative


class PrometheusMetrics:
    """The counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._events: Counter[str] = Counter()
        self._labelled: dict[str, Counter[tuple[tuple[str, str], ...]]] = {}
        self._times: dict[str, _Histogram] = {}
        self._gauges: dict[str, float] = {}

    def count(self, event: str) -> None:
        """Count one event, named like the log line that reports it."""
        self._events[event] += 1

    def count_labelled(self, name: str, **labels: str) -> None:
        """Count one event in a counter of its own, by the values of its labels."""
        self._labelled.setdefault(name, Counter())[tuple(labels.items())] += 1

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram of a name."""
        histogram = self._times.get(name)
        if histogram is None:
            histogram = self._times[name] = _Histogram()
        histogram.add(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self._gauges[name] = value

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        The client library is imported here because its import takes longer than the rest of the
        start-up, and only a scrape needs it.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return bytes(generate_latest(registry))

    def collect(self) -> Iterator[Any]:
        """Yield all metric families; the client library calls this for each scrape."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "spoolcrank_events", "Decisions and changes of belief", labels=["event"]
        )
        for event, count in sorted(self._events.items()):
            events.add_metric([event], count)
        yield events
        for name, counts in sorted(self._labelled.items()):
            labels = [label for label, _ in next(iter(counts))]
            family = CounterMetricFamily(
                f"spoolcrank_{name}", name.replace("_", " "), labels=labels
            )
            for values, count in sorted(counts.items()):
                family.add_metric([value for _, value in values], count)
            yield family
        for name, value in sorted(self._gauges.items()):
            yield GaugeMetricFamily(f"spoolcrank_{name}", name.replace("_", " "), value=value)
        times = HistogramMetricFamily(
            "spoolcrank_seconds",
            "How long things took",
            labels=["what"],
        )
        for name, histogram in sorted(self._times.items()):
            times.add_metric([name], list(histogram.buckets()), histogram.sum_s)
        yield times
