"""Decide from the times of reads and appends whether the store is slow for this instance."""

from typing import NamedTuple

SLOW_STORE_S = 0.15
"""Time beyond its wait for a record from which a call shows a slow store, seconds. An answer takes
0.004 s usually, and 0.25 to 0.4 s while the store is slow."""

SLOW_READS = 2
"""Number of slow reads in a row that show a slow store: a single one may be late by itself."""


class ReadTiming(NamedTuple):
    """The times of one read that the store answered.

    Attributes:
        asked_at, answered_at: when it was sent and answered, monotonic seconds.
        wait_s: longest time for which the store was asked to wait for a record, seconds.
        found_records: whether it returned records, so that it may have waited for a shorter time.
    """

    asked_at: float
    answered_at: float
    wait_s: float
    found_records: bool

    @property
    def min_excess_s(self) -> float:
        """Return the time that the read took beyond the longest wait that it may have had."""
        return self.answered_at - self.asked_at - self.wait_s

    @property
    def max_excess_s(self) -> float:
        """Return the time that the read took beyond the shortest wait that it may have had."""
        return self.min_excess_s + (self.wait_s if self.found_records else 0.0)


class StoreHealth:
    """What the calls of one instance show of the speed of the store.

    Attributes:
        is_slow: whether the store is slow.
        slow_reads: whether slow reads show it, so that the store answers, though late.
        delay_s: the delay that was last seen of a slow call, seconds.
    """

    def __init__(self) -> None:
        self.is_slow = False
        self.slow_reads = False
        self.delay_s = 0.0
        self._slow_in_a_row = 0
        self._slow_seen_at = -1.0

    @property
    def answers_late(self) -> bool:
        """Return whether the newest reads that show anything were answered, but late."""
        return self.slow_reads or self._slow_in_a_row > 0

    def record_read(self, read: ReadTiming) -> None:
        """Apply the times of a read; one that may have waited for a record shows nothing."""
        if read.min_excess_s >= SLOW_STORE_S:
            self._slow_in_a_row += 1
            self.slow_reads = self.slow_reads or self._slow_in_a_row >= SLOW_READS
            if self.is_slow or self.slow_reads:
                self._record_slow(read.min_excess_s, read.answered_at)
        elif read.max_excess_s < SLOW_STORE_S:
            self._slow_in_a_row = 0
            if read.asked_at >= self._slow_seen_at:
                self.is_slow = self.slow_reads = False

    def record_append(self, sent_at: float | None, now: float) -> None:
        """Apply when an append in flight, or just answered, was sent; None if there is none."""
        if sent_at is not None and now - sent_at >= SLOW_STORE_S:
            self._record_slow(now - sent_at, now)

    def _record_slow(self, delay_s: float, now: float) -> None:
        self.is_slow = True
        self.delay_s = delay_s
        self._slow_seen_at = now
