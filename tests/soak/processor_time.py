"""Watch how much processor time a process gets, and for how long it stands still."""

import bisect
import os
import threading
import time
from pathlib import Path
from typing import NamedTuple

SAMPLE_INTERVAL_S = 0.01
MAX_SAMPLE_S = 0.05
"""Time between two samples from which the machine counts as standing, in seconds."""

STANDING_STATES = frozenset("RDTt")
"""States of a process that has work to do, or that is stopped by a signal."""


class Sample(NamedTuple):
    """One span of time; `stood_s` is how long the process got no processor time in it."""

    begin: float
    end: float
    stood_s: float
    used_s: float


class ProcessorTime:
    """Samples of one process until it ends, or until `end()`."""

    def __init__(self, pid: int) -> None:
        self._stat = Path(f"/proc/{pid}/stat")
        # The number of a process' clock, as the kernel defines it.
        self._clock = (~pid << 3) | 2
        self._ended = threading.Event()
        self._samples: list[Sample] = []
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def end(self) -> None:
        """Take no further samples."""
        self._ended.set()
        self._thread.join(5.0)

    def stood_s(self, begin: float, end: float) -> float:
        """Return for how long the process stood still within a span, in seconds."""
        return sum(
            sample.stood_s * _overlap(sample, begin, end) for sample in self._within(begin, end)
        )

    def used_s(self, begin: float, end: float) -> float:
        """Return the processor time that the process got within a span, in seconds."""
        return sum(
            sample.used_s * _overlap(sample, begin, end) for sample in self._within(begin, end)
        )

    def _within(self, begin: float, end: float) -> list[Sample]:
        first = bisect.bisect_left(self._samples, begin, key=lambda sample: sample.end)
        last = bisect.bisect_right(self._samples, end, key=lambda sample: sample.begin)
        return self._samples[first:last]

    def _watch(self) -> None:
        at = time.monotonic()
        used = self._used()
        while not self._ended.wait(SAMPLE_INTERVAL_S) and used is not None:
            now, used_now = time.monotonic(), self._used()
            if used_now is None:
                return
            used_s = used_now - used
            is_late = now - at > MAX_SAMPLE_S
            stood_s = max(0.0, now - at - used_s) if is_late or self._is_standing() else 0.0
            self._samples.append(Sample(at, now, stood_s, used_s))
            at, used = now, used_now

    def _used(self) -> float | None:
        try:
            return time.clock_gettime(self._clock)
        except OSError:
            return None

    def _is_standing(self) -> bool:
        try:
            text = self._stat.read_text()
        except OSError:
            return False
        return text.rpartition(")")[2].split()[0] in STANDING_STATES


def _overlap(sample: Sample, begin: float, end: float) -> float:
    """Return the share of a sample that lies within a span."""
    common_s = min(sample.end, end) - max(sample.begin, begin)
    return max(0.0, common_s) / max(1e-9, sample.end - sample.begin)


def pin(pids: list[int]) -> None:
    """Let processes share one processor, another one for each soak."""
    processors = sorted(os.sched_getaffinity(0))
    processor = processors[os.getpid() % len(processors)]
    for pid in pids:
        os.sched_setaffinity(pid, {processor})
