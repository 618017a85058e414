"""Keep a copy of a keyed log up to date: load the newest records, then read on."""

import traceback
from collections.abc import Callable
from typing import NamedTuple

from spoolcrank._timers import Timers
from spoolcrank.keyed_log import KeyedLog, KeyedRecord
from spoolcrank.store_health import SLOW_STORE_S, ReadTiming
from spoolcrank.store_port import LogPort, NewestPage, ReadOutcome, Records

EAGER_READ_DELAY_S = 0.004
"""The delay before the next read of an eager follower, seconds. It lets records that arrive close
together share one read."""

LAZY_READ_DELAY_S = 0.3
"""The delay before the next read of a lazy follower, seconds. A query for the state of a job makes
it read at once."""

READ_WAIT_MS = 700
"""The time for which a read waits for a record, milliseconds. Together with the time limit of a
store call it stays below the 2 s within which a configuration must be in force."""

SLOW_READ_WAIT_MS = 300
"""The time for which a read waits for a record after a slow one, if reads are timed, milliseconds.
With answers after 0.4 s the copy is at most 1.4 s old then, so that it still answers requests; with
the usual wait it is up to 2.2 s old."""

RETRY_DELAY_S = 0.15
"""The delay before the next read after a failed one, seconds."""

MAX_FAILURE_S = 0.25
"""The time for which reads may fail before it counts as time without an answer, seconds. A leader
that could not write either is then silent for a heartbeat (0.4 s) and this at most, half of the
1.3 s after which others claim; the other half is left for its next record to be read."""

ACTIVE_LOG_S = 1.0
"""The time for which a log counts as active after a read that returned several records, seconds.
It is shorter than the silence of a leader after which other instances claim the leadership."""

RecordsHandler = Callable[[list[KeyedRecord]], None]
ErrorHandler = Callable[[str], None]
RefreshHandler = Callable[[bool], None]


class _RefreshRequest(NamedTuple):
    """A request to read every record that was written before `asked_at`."""

    asked_at: float
    done: RefreshHandler


def reraise(trace: str) -> None:
    """Reraise the error of a records handler, which ends the reading."""
    raise


class LogFollower:
    """A follower of one keyed log, which reads it into a copy and reports new records.

    Args:
        log: log to follow.
        timers: timers of this process.
        clock: returns the monotonic time, seconds.
        on_records: called with the records of each read.
        on_contact: called when the store stops answering and when it answers again.
        on_error: called with the traceback of an error of `on_records`; reading then continues.
    """

    def __init__(
        self,
        log: LogPort,
        timers: Timers,
        clock: Callable[[], float],
        on_records: RecordsHandler,
        on_contact: Callable[[bool, str], None],
        on_error: ErrorHandler = reraise,
    ) -> None:
        self.copy = KeyedLog()
        self.eager = False
        self.contact = False
        self.reconnected_at = -1.0
        self.answered_at = -1.0
        self._failing_since: float | None = None
        self._past_unanswered_s = 0.0
        self._log = log
        self._timers = timers
        self._clock = clock
        self._handle_records = on_records
        self._on_error = on_error
        self._on_contact = on_contact
        self.on_read_timed: Callable[[ReadTiming], None] | None = None
        self._read_was_slow = False
        self._generation = 0
        self._page_end = -1
        self._load_began_at = -1.0
        self._reading = False
        self._refreshing = False
        self._refresh_after_read = False
        self._last_batch_at = -ACTIVE_LOG_S
        self._refresh_requests: list[_RefreshRequest] = []

    @property
    def unanswered_s(self) -> float:
        """Return for how long in all the log has not answered, seconds.

        Each time for which reads fail counts less its first MAX_FAILURE_S.
        """
        if self._failing_since is None:
            return self._past_unanswered_s
        failing_s = self._clock() - self._failing_since
        return self._past_unanswered_s + max(0.0, failing_s - MAX_FAILURE_S)

    @property
    def generation(self) -> int:
        """Return a number that rises with each load, which skips records but the newest."""
        return self._generation

    def begin(self) -> None:
        """Start to follow the log, or restart from a full load."""
        self.pause()
        self._page_end = -1
        self._load("")

    def pause(self) -> None:
        """Stop reading; the copy is out of date from then on."""
        self._generation += 1
        self.copy.reset()
        self._reading = False
        if self._refresh_after_read:
            self._refresh_after_read = False
            self._finish_refreshes(False)

    def refresh(self, done: RefreshHandler, max_age_s: float = 0.0) -> None:
        """Read all that is in the log now; call `done` with whether that succeeded.

        A refresh in flight is enough if it was sent up to `max_age_s` ago. A log that grows faster
        than it is read has no end that could be waited for.
        """
        if not self.copy.loaded:
            done(False)
            return
        self._refresh_requests.append(_RefreshRequest(self._clock() - max_age_s, done))
        if self._refreshing:
            return
        if self._reading and self._is_active:
            # The read in flight returns the same records; a second read would fetch them twice.
            self._refresh_after_read = True
        else:
            self._start_refresh()

    @property
    def _is_active(self) -> bool:
        return self._clock() - self._last_batch_at <= ACTIVE_LOG_S

    def is_fresh(self, age_s: float) -> bool:
        """Return whether the copy certainly contains all records written up to `age_s` ago."""
        return self._clock() - self.copy.read_at <= age_s

    def confirm(self, age_s: float, done: RefreshHandler) -> None:
        """Report whether the copy contains all records written up to `age_s` ago.

        If that is uncertain, refresh the copy first; report False at once if the store does not
        answer.
        """
        if self.is_fresh(age_s):
            done(True)
        elif self.contact:
            # Without forwarding, the answer of a refresh in flight is not used.
            self.refresh(done, age_s if self.on_read_timed is not None else 0.0)
        else:
            done(False)

    def _notify(self, records: list[KeyedRecord]) -> None:
        # This runs in the callback of a read: an uncaught error would prevent the next read.
        try:
            self._handle_records(records)
        except Exception:
            self._on_error(traceback.format_exc())

    # Loading

    def _load(self, after_key: str) -> None:
        generation = self._generation
        asked_at = self._clock()

        def loaded(page: NewestPage) -> None:
            if generation == self._generation:
                self._on_page(page, after_key, asked_at)

        self._log.newest(after_key, loaded)

    def _on_page(self, page: NewestPage, after_key: str, asked_at: float) -> None:
        self._update_contact(page.ok, page.detail, asked_at)
        if not page.ok:
            self._schedule(RETRY_DELAY_S, lambda: self._load(after_key))
            return
        if self._page_end < 0:
            # Later pages are newer, but the copy is complete only up to this end of the log.
            self._page_end, self._load_began_at = page.end, asked_at
        records = self.copy.load_page(page.records)
        if page.more and page.records:
            self._notify(records)
            self._load(page.records[-1].key)
            return
        removed = self.copy.finish_load(self._page_end)
        self.copy.read_at = max(self.copy.read_at, self._load_began_at)
        self._notify(records + removed)
        self._read()

    # Reading after the load

    def _read(self, wait_ms: int | None = None) -> None:
        if wait_ms is None:
            wait_ms = SLOW_READ_WAIT_MS if self._read_was_slow else READ_WAIT_MS
        if self._refreshing and not self.eager:
            self._schedule(LAZY_READ_DELAY_S, self._read)
            return
        generation = self._generation
        asked_at, from_offset = self._clock(), self.copy.next_offset
        self._reading = True

        def on_answer(answer: Records) -> None:
            if generation == self._generation:
                self._reading = False
                self._report_timing(answer, asked_at, wait_ms)
                self._on_read(answer, from_offset, asked_at)
                self._start_joined_refresh(answer.outcome)

        self._log.read(from_offset, wait_ms, on_answer)

    def _report_timing(self, answer: Records, asked_at: float, wait_ms: int) -> None:
        if self.on_read_timed is not None and answer.outcome is ReadOutcome.OK:
            found = bool(answer.records)
            timing = ReadTiming(asked_at, self._clock(), wait_ms / 1000.0, found)
            self._read_was_slow = timing.min_excess_s >= SLOW_STORE_S
            self.on_read_timed(timing)

    def _start_joined_refresh(self, outcome: ReadOutcome) -> None:
        """End or start the refreshes that waited for a read that has been answered.

        Those that are not ended by the records read wait on while further reads follow at once.
        """
        if not self._refresh_after_read:
            return
        if outcome is ReadOutcome.FAILED:
            self._finish_refreshes(False)
        else:
            self._finish_reached_refreshes()
        if self._refresh_requests and self._reading:
            return
        self._refresh_after_read = False
        if self._refresh_requests:
            self._start_refresh()

    def _on_read(self, answer: Records, from_offset: int, asked_at: float) -> None:
        generation = self._generation
        if not self._apply_read(answer, from_offset, asked_at):
            return
        if generation != self._generation:
            return
        if answer.outcome is ReadOutcome.FAILED:
            # A read that waits for a record would show only then that the store answers again.
            self._schedule(RETRY_DELAY_S, lambda: self._read(0))
        elif answer.records and answer.end > self.copy.next_offset:
            self._read()
        elif self.eager:
            self._schedule(EAGER_READ_DELAY_S, self._read)
        elif answer.records and self.on_read_timed is not None and self._is_active:
            # It finds records at once, and how long it takes then shows the delay of the store.
            self._schedule(LAZY_READ_DELAY_S, lambda: self._read(0))
        else:
            self._schedule(LAZY_READ_DELAY_S if answer.records else 0.0, self._read)

    def _apply_read(self, answer: Records, from_offset: int, asked_at: float) -> bool:
        """Apply the result of a read from an offset; return whether the copy is still valid.

        Another read may have overtaken this one, so that the log's end in this answer is before
        `next_offset`. Only an end before `from_offset` shows that the log lost records.
        """
        self._update_contact(answer.outcome is not ReadOutcome.FAILED, answer.detail, asked_at)
        if answer.outcome is ReadOutcome.EXPIRED or (
            answer.outcome is ReadOutcome.OK and answer.end < from_offset
        ):
            self.begin()
            return False
        if answer.outcome is ReadOutcome.OK:
            if len(answer.records) > 1:
                self._last_batch_at = self._clock()
            new_records = self.copy.extend(answer.records, answer.end, asked_at)
            self._notify(new_records)
        return True

    def _finish_refreshes(self, ok: bool) -> None:
        requests, self._refresh_requests = self._refresh_requests, []
        for request in requests:
            request.done(ok)

    def _finish_reached_refreshes(self) -> None:
        requests, read_at = self._refresh_requests, self.copy.read_at
        self._refresh_requests = [each for each in requests if each.asked_at >= read_at]
        for request in requests:
            if request.asked_at < read_at:
                request.done(True)

    def _start_refresh(self) -> None:
        self._refreshing = True
        requests, self._refresh_requests = self._refresh_requests, []
        self._read_to_end(requests, self._clock())

    def _read_to_end(
        self, requests: list[_RefreshRequest], asked_at: float, end: int | None = None
    ) -> None:
        """Read, in several parts if needed, up to `end`, or up to the end that the read sees."""
        from_offset, generation = self.copy.next_offset, self._generation
        sent_at = self._clock()

        def on_answer(answer: Records) -> None:
            self._report_timing(answer, sent_at, 0)
            # An answer that a new load has overtaken says nothing of the copy that is loaded now.
            is_current = generation == self._generation and self.copy.loaded
            applied = is_current and self._apply_read(answer, from_offset, asked_at)
            ok = applied and answer.outcome is ReadOutcome.OK
            seen_end = answer.end if end is None else end
            if ok and answer.records and seen_end > self.copy.next_offset:
                self._read_to_end(requests, asked_at, seen_end)
                return
            self._refreshing = False
            for request in requests:
                request.done(ok)
            if self.on_read_timed is not None:
                self._finish_reached_refreshes()
            if self._refresh_requests:
                self._start_refresh()

        self._log.read(from_offset, 0, on_answer)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        generation = self._generation

        def act() -> None:
            if generation == self._generation:
                action()

        self._timers.after(delay_s, act)

    def _update_contact(self, contact: bool, detail: str, asked_at: float) -> None:
        if contact:
            self._past_unanswered_s = self.unanswered_s
            self.answered_at, self._failing_since = self._clock(), None
        elif self._failing_since is None:
            self._failing_since = max(asked_at, self.answered_at)
        if contact != self.contact:
            self.contact = contact
            if contact:
                self.reconnected_at = self._clock()
            self._on_contact(contact, detail)
