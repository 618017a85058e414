"""Deny that something is on the log only by a read of the log that was sent after the question."""

from collections.abc import Callable
from typing import NamedTuple

from spoolcrank._timers import Timers

MAX_LOOKUP_S = 2.0
"""Time limit of a lookup, in seconds: the read in flight and the next one may each wait 0.5 s for a
record, and the log may take 0.5 s for each answer."""


class _Lookup(NamedTuple):
    since: float
    look: Callable[[], bool]
    on_missing: Callable[[bool], None]


class PendingLookups:
    """Questions about the ledger that reads of the log have to answer."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._lookups: list[_Lookup] = []
        self._read_at = float("-inf")

    def start(
        self, look: Callable[[], bool], on_missing: Callable[[bool], None], since: float
    ) -> None:
        """Look now, and after each read to the log's end until it is found or missing.

        Args:
            look: answers the question and returns True if what it asks for is in the ledger.
            on_missing: called with True after a read that was sent after `since`, and with False
                if there was none in `MAX_LOOKUP_S`.
            since: when the question was asked, in monotonic seconds.
        """
        if look():
            return
        if self._read_at >= since:
            on_missing(True)
            return
        lookup = _Lookup(since, look, on_missing)
        self._lookups.append(lookup)
        self._timers.after(MAX_LOOKUP_S, lambda: self._expire(lookup))

    def on_log_read(self, asked_at: float) -> None:
        """Continue after a request sent at `asked_at` read the log to its end."""
        self._read_at = max(self._read_at, asked_at)
        lookups, self._lookups = self._lookups, []
        for lookup in lookups:
            if lookup.look():
                continue
            if asked_at >= lookup.since:
                lookup.on_missing(True)
            else:
                self._lookups.append(lookup)

    def _expire(self, lookup: _Lookup) -> None:
        if lookup not in self._lookups:
            return
        self._lookups.remove(lookup)
        if not lookup.look():
            lookup.on_missing(False)
