"""Collect counters, timings and gauges, and send them to statsd."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

_MIN_TIMING_US = 1
_MAX_TIMING_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_PREFIX = "spoolcrank"


class Metrics:
    """The counters, timings and gauges of one process."""

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._timings: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, float] = {}
        self._statsd: Any = None

    def send_to(self, address: str) -> None:
        """Send all later metrics to the statsd server at `IP:PORT`."""
        host, _, port = address.rpartition(":")
        self._statsd = StatsClient(host, int(port), prefix=_PREFIX)

    def incr(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram of a name, and send it to statsd at once."""
        histogram = self._timings.get(name)
        if histogram is None:
            histogram = HdrHistogram(_MIN_TIMING_US, _MAX_TIMING_US, _SIGNIFICANT_DIGITS)
            self._timings[name] = histogram
        histogram.record_value(max(_MIN_TIMING_US, int(seconds * 1e6)))
        if self._statsd is not None:
            self._statsd.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self._gauges[name] = value

    def flush(self) -> None:
        """Send all gauges, and the counters that changed since the last flush, to statsd."""
        if self._statsd is None:
            return
        with self._statsd.pipeline() as pipe:
            for name, count in self._counters.items():
                if count != self._sent[name]:
                    pipe.incr(name, count - self._sent[name])
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
        self._sent = Counter(self._counters)

    def snapshot(self) -> dict[str, Any]:
        """Return all metrics as plain JSON values; timings are in milliseconds."""
        timings = {
            name: {
                "count": histogram.get_total_count(),
                "p50": histogram.get_value_at_percentile(50) / 1000,
                "p99": histogram.get_value_at_percentile(99) / 1000,
            }
            for name, histogram in self._timings.items()
        }
        counters = dict(sorted(self._counters.items()))
        return {"counters": counters, "timings_ms": timings, "gauges": self._gauges}
