"""Count events and time what clients wait for; tell both in the text form of Prometheus."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import Any

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the histograms' buckets, s: from the store's answer to a lease."""

TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def buckets(self) -> Iterator[tuple[str, float]]:
        so_far = 0
        for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), self.counts, strict=True):
            so_far += count
            yield bound, so_far


class Figures:
    """The counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._events: Counter[str] = Counter()
        self._times: dict[str, _Histogram] = {}
        self._gauges: dict[str, float] = {}

    def count(self, event: str) -> None:
        """Count one event; events carry the names of the log lines."""
        self._events[event] += 1

    def time(self, name: str, seconds: float) -> None:
        """Take how long one thing took."""
        held = self._times.get(name)
        if held is None:
            held = self._times[name] = _Histogram()
        held.add(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Set a present value."""
        self._gauges[name] = value

    def text(self) -> bytes:
        """Return everything as text.

        The library is imported here, as it costs more than the rest of a start and is
        needed only where someone asks.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return bytes(generate_latest(registry))

    def collect(self) -> Iterator[Any]:
        """Yield the library's families; called by it."""
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
        for name, value in sorted(self._gauges.items()):
            yield GaugeMetricFamily(f"spoolcrank_{name}", name.replace("_", " "), value=value)
        times = HistogramMetricFamily("spoolcrank_seconds", "How long things took", labels=["what"])
        for name, held in sorted(self._times.items()):
            times.add_metric([name], list(held.buckets()), held.sum_s)
        yield times
