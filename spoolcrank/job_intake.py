"""Accept jobs and cancel requests at any instance, and report the state of jobs.

A job is accepted once its record is on the log. A record that was sent may be on the log now or
later, until an answer of the store rules that out; until then the job is neither accepted nor
refused.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import TypeVar

from spoolcrank._timers import Timers
from spoolcrank.errors import ErrorKind
from spoolcrank.ids import JobId
from spoolcrank.job_index import JobIndex
from spoolcrank.keyed_log import KeyedRecord, cancel_key, job_key
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import CALL_TIMEOUT_S, Append, Appended, AppendOutcome, LogPort
from spoolcrank.workflow import FINAL, JobPhase, JobRecord, RouteName, encode

Answer = TypeVar("Answer")

BATCH_DELAY_S = 0.002
"""The time for which records are collected into one append, seconds: half of the store's answer
time."""

RETRY_DELAY_S = 0.08
"""The delay before the next append after one that was not stored, seconds."""

WATCH_INTERVAL_S = 0.05
"""The interval between two checks whether an unanswered record is on the log, seconds."""

MAX_RETRY_S = 0.03
"""The age up to which a record that is certainly not stored is sent again, seconds. Failing early
tells the client at once when to retry, and its next attempt reaches another instance."""

STALLED_APPEND_S = 0.6
"""The time without an answer to an append after which new jobs are refused unsent, seconds: they
would only wait behind that append. A slow store answers in 0.4 s."""

APPEND_TIMEOUT_S = 1.8
"""The time limit for the outcome of a record that may be on the log, after which it is reported as
unknown, seconds: two calls, the pause between them and 0.1 s for a delayed event loop."""

MAX_SEND_AGE_S = APPEND_TIMEOUT_S - CALL_TIMEOUT_S
"""The age up to which a record may be sent, seconds: the answer to a later call could come after
`APPEND_TIMEOUT_S`."""

READ_TIMEOUT_S = 1.8
"""The time limit for a query that needs the store, seconds: the call already in flight, the query's
own call, and 0.2 s for the parts of a long answer."""

MAX_ANSWER_S = max(APPEND_TIMEOUT_S, READ_TIMEOUT_S)
"""The time limit for the answer to anything passed to the store, seconds; a planned stop relies on
it. Once intake has ended, a cancel request whose job had to be read first is no longer sent."""

MAX_STATE_AGE_S = 0.05
"""The age up to which the copy answers for the state of a job without another read, seconds."""

MAX_COUNT_AGE_S = 1.8
"""The age up to which the copy answers for a count of waiting jobs, seconds. The platform allows a
count to be 2 s old; the reads of an instance that does not lead follow within 1.1 s."""

MAX_UNKNOWN_CANCELS = 4000
"""The number of stored cancels of unknown ids above which more are refused: every instance holds
them in memory and reads them when it starts, 500 in one call."""

MAX_APPEND_BYTES = 1 << 20
"""The size at which an append takes no further record, bytes: half of the store's limit."""


class IntakeOutcome(Enum):
    """The outcome of a record that a client asked to store."""

    STORED = "kept"
    NOT_STORED = "not-kept"
    UNKNOWN = "unknown"
    LEAVING = "leaving"


@dataclass
class _Pending:
    record: KeyedRecord
    done: Callable[[IntakeOutcome], None]
    received_at: float
    unconfirmed: bool = False
    answered: bool = False

    def finish(self, outcome: IntakeOutcome) -> None:
        """Report the outcome, unless one was reported before."""
        if not self.answered:
            self.answered = True
            self.done(outcome)


class JobIntake:
    """The intake of jobs and cancel requests from the clients of one instance.

    Attributes:
        on_append_answered: called with the time at which an append was sent once it has ended.
        confirms_by_reads: whether records without an answer are looked for in the log.
        is_store_slow: returns whether the store answers, though late; an append that takes long is
            not stalled then.
    """

    def __init__(
        self,
        log: LogPort,
        follower: LogFollower,
        index: JobIndex,
        timers: Timers,
        clock: Callable[[], float],
    ) -> None:
        self._log = log
        self._follower = follower
        self._index = index
        self._timers = timers
        self._clock = clock
        self._pending: list[_Pending] = []
        self._append_in_flight = False
        self._append_sent_at = 0.0
        self._send_scheduled = False
        self._ended = False
        self._unknown_cancels_sent = 0
        self.on_append_answered: Callable[[float], None] | None = None
        self.confirms_by_reads = False
        self.is_store_slow: Callable[[], bool] = lambda: False

    @property
    def ended(self) -> bool:
        """Return whether no further records and queries are accepted."""
        return self._ended

    @property
    def append_sent_at(self) -> float | None:
        """Return when the append in flight was sent, monotonic seconds; None if there is none."""
        return self._append_sent_at if self._append_in_flight else None

    def end(self) -> None:
        """Accept no further records or queries for the store; answer only from the local copy."""
        self._ended = True

    def knows(self, job: JobId) -> bool:
        """Return whether the copy of the log has the accepted job."""
        return self._index.phase(job) is not None

    def submit(
        self,
        job: JobId,
        record: JobRecord,
        done: Callable[[IntakeOutcome], None],
        since: float | None = None,
    ) -> None:
        """Store a job; submitting the same id again refers to the same job.

        The time limit for its outcome begins at `since`, monotonic seconds, or now if it is None.
        """
        if self.knows(job):
            done(IntakeOutcome.STORED)
            return
        if self._ended:
            done(IntakeOutcome.LEAVING)
            return
        if not self._follower.contact or self._is_stalled():
            done(IntakeOutcome.NOT_STORED)
            return
        self._store(KeyedRecord(job_key(job), encode(record)), done, since)

    def cancel(
        self,
        job: JobId,
        done: Callable[[IntakeOutcome | ErrorKind], None],
        since: float | None = None,
    ) -> None:
        """Store the request to cancel a job; the time limit for its outcome begins at `since`.

        That of an unknown id is stored too before it is reported as NO_SUCH_JOB: the job may have
        been sent before and be stored later, by an instance that was paused or by a late append.
        """

        def on_phase(phase: JobPhase | ErrorKind) -> None:
            if phase is ErrorKind.NO_SUCH_JOB:
                self._cancel_unknown(job, done, since)
            elif isinstance(phase, ErrorKind):
                done(phase)
            elif phase in FINAL:
                done(IntakeOutcome.STORED)
            elif self._ended:
                done(IntakeOutcome.LEAVING)
            else:
                self._store(KeyedRecord(cancel_key(job), b"1"), done, since)

        if self._index.phase(job) is not None:
            on_phase(self._index.phase(job) or JobPhase.PENDING)
        else:
            self.state(job, on_phase)

    def _cancel_unknown(
        self,
        job: JobId,
        done: Callable[[IntakeOutcome | ErrorKind], None],
        since: float | None,
    ) -> None:
        def on_outcome(outcome: IntakeOutcome) -> None:
            self._unknown_cancels_sent -= 1
            # The job may have been stored meanwhile, and is cancelled then.
            unknown = outcome is IntakeOutcome.STORED and self._index.phase(job) is None
            done(ErrorKind.NO_SUCH_JOB if unknown else outcome)

        present = self._index.unknown_cancelled + self._unknown_cancels_sent
        if self._ended:
            done(IntakeOutcome.LEAVING)
        elif present >= MAX_UNKNOWN_CANCELS:
            done(ErrorKind.OVERLOADED)
        else:
            self._unknown_cancels_sent += 1
            self._store(KeyedRecord(cancel_key(job), b"1"), on_outcome, since)

    def state(self, job: JobId, done: Callable[[JobPhase | ErrorKind], None]) -> None:
        """Report the phase of a job; refresh the copy first if it is older than `MAX_STATE_AGE_S`.

        A final phase is reported without a refresh, and a known phase also if the refresh fails.
        """
        phase = self._index.phase(job)
        if phase is not None and (self._follower.is_fresh(MAX_STATE_AGE_S) or phase in FINAL):
            done(phase)
            return
        if self._ended:
            done(ErrorKind.LEAVING)
            return
        report = self._with_timeout(done)

        def refreshed(ok: bool) -> None:
            newer = self._index.phase(job)
            if newer is not None:
                report(newer)
            else:
                report(ErrorKind.NO_SUCH_JOB if ok else ErrorKind.LOG_UNAVAILABLE)

        self._follower.refresh(refreshed)

    def waiting(self, route: RouteName, done: Callable[[int | ErrorKind], None]) -> None:
        """Report how many jobs of a queue wait, from a copy no older than `MAX_COUNT_AGE_S`."""

        def confirmed(failure: ErrorKind | None) -> None:
            done(self._index.waiting(route) if failure is None else failure)

        self.confirm(self._follower, MAX_COUNT_AGE_S, confirmed)

    def confirm(
        self, follower: LogFollower, age_s: float, done: Callable[[ErrorKind | None], None]
    ) -> None:
        """Report why a copy may lack records written up to `age_s` ago; None if it has them all.

        An older copy is refreshed first, but no longer once intake has ended.
        """
        if follower.is_fresh(age_s):
            done(None)
            return
        if self._ended:
            done(ErrorKind.LEAVING)
            return
        report = self._with_timeout(done)
        follower.confirm(age_s, lambda ok: report(None if ok else ErrorKind.LOG_UNAVAILABLE))

    def _with_timeout(
        self, done: Callable[[Answer | ErrorKind], None]
    ) -> Callable[[Answer | ErrorKind], None]:
        """Return a callback that calls `done` once; after `READ_TIMEOUT_S` it reports a failure.

        The timeout is needed because reads may be late or have to be repeated.
        """
        reported = False

        def report(answer: Answer | ErrorKind) -> None:
            nonlocal reported
            if not reported:
                reported = True
                done(answer)

        self._timers.after(READ_TIMEOUT_S, lambda: report(ErrorKind.LOG_UNAVAILABLE))
        return report

    def _is_stalled(self) -> bool:
        if not self._append_in_flight or self.is_store_slow():
            return False
        return self._clock() - self._append_sent_at >= STALLED_APPEND_S

    # Storing records

    def _store(
        self, record: KeyedRecord, done: Callable[[IntakeOutcome], None], since: float | None
    ) -> None:
        self._pending.append(_Pending(record, done, self._clock() if since is None else since))
        if not self._send_scheduled and not self._append_in_flight:
            self._send_scheduled = True
            self._timers.after(BATCH_DELAY_S, self._send)

    def _send(self) -> None:
        self._send_scheduled = False
        if self._append_in_flight:
            return
        if self.confirms_by_reads:
            self._answer_stored(self._pending)
            self._pending = [pending for pending in self._pending if not pending.answered]
        self._fail_expired(self._clock())
        if not self._pending:
            return
        batch: list[_Pending] = []
        size = 0
        while self._pending and (not batch or size < MAX_APPEND_BYTES):
            batch.append(self._pending.pop(0))
            size += len(batch[-1].record.value)
        self._append_in_flight = True
        self._append_sent_at = self._clock()
        append = Append([pending.record for pending in batch])
        self._log.append(append, lambda appended: self._on_appended(batch, appended))

    def _on_appended(self, batch: list[_Pending], appended: Appended) -> None:
        self._append_in_flight = False
        sent_at = self._append_sent_at
        if appended.outcome is AppendOutcome.STORED:
            for position, pending in enumerate(batch):
                record = pending.record._replace(offset=appended.offset + position)
                self._follower.copy.apply(record)
                self._index.apply_record(record)
                pending.finish(IntakeOutcome.STORED)
        else:
            self._try_again(batch, appended)
        if self._pending and not self._send_scheduled:
            self._send_scheduled = True
            delay_s = BATCH_DELAY_S if appended.outcome is AppendOutcome.STORED else RETRY_DELAY_S
            self._timers.after(delay_s, self._send)
        if self.on_append_answered is not None:
            self.on_append_answered(sent_at)

    def _try_again(self, batch: list[_Pending], appended: Appended) -> None:
        now = self._clock()
        retried = []
        is_unknown = appended.outcome is AppendOutcome.UNKNOWN
        if is_unknown and self.confirms_by_reads and self.is_store_slow():
            self._watch(batch)
            return
        for pending in batch:
            pending.unconfirmed = pending.unconfirmed or is_unknown
            # A third call without an answer would end after the client has left.
            may_send = now + RETRY_DELAY_S - pending.received_at <= MAX_SEND_AGE_S
            if may_send if pending.unconfirmed else now - pending.received_at < MAX_RETRY_S:
                retried.append(pending)
            else:
                self._fail(pending)
        self._pending = retried + self._pending
        if self.confirms_by_reads and is_unknown:
            self._follower.refresh(lambda _: self._answer_stored(batch))

    def _watch(self, batch: list[_Pending]) -> None:
        """Look for records in the log until their time limit, without sending them again.

        A slow store carries out an append after the time limit of its call. Sending its records
        again would take the time of another append.
        """
        for item in batch:
            item.unconfirmed = True
            left_s = max(0.0, item.received_at + APPEND_TIMEOUT_S - self._clock())
            self._timers.after(left_s, partial(self._fail, item))

        def check_copy() -> None:
            # The follower's own reads may bring a record before the refresh ends.
            self._answer_stored(batch)
            if not all(item.answered for item in batch):
                self._timers.after(WATCH_INTERVAL_S, check_copy)

        def refresh_again(_: bool = True) -> None:
            if not all(item.answered for item in batch):
                self._timers.after(WATCH_INTERVAL_S, lambda: self._follower.refresh(refresh_again))

        check_copy()
        self._follower.refresh(refresh_again)

    def _answer_stored(self, items: list[_Pending]) -> None:
        """Report unconfirmed records as stored that were read from the log meanwhile."""
        for item in items:
            if item.unconfirmed and self._follower.copy.value(item.record.key):
                item.finish(IntakeOutcome.STORED)

    def _fail_expired(self, now: float) -> None:
        """Fail records that waited for earlier appends until their own could not end in time."""
        late = [item for item in self._pending if now - item.received_at > MAX_SEND_AGE_S]
        self._pending = [item for item in self._pending if now - item.received_at <= MAX_SEND_AGE_S]
        for item in late:
            self._fail(item)

    def _fail(self, pending: _Pending) -> None:
        if self.confirms_by_reads:
            self._answer_stored([pending])
        unconfirmed = pending.unconfirmed
        pending.finish(IntakeOutcome.UNKNOWN if unconfirmed else IntakeOutcome.NOT_STORED)
