"""Write the leader's records in order: one append at a time, repeated until it is known.

Repeating is safe, as the store gives a repeated sequence its first answer again, and nothing
of an earlier term is taken any more.
"""

from collections.abc import Callable
from typing import NamedTuple

from spoolcrank._timers import Timers
from spoolcrank.store_port import Append, Appended, AppendOutcome, LogPort, WriterFence

RETRY_S = 0.08
"""Before an append is sent again, s."""


class Kept(NamedTuple):
    """What is known of when an append that is kept was taken, monotonic seconds.

    Attributes:
        first_at: when it was first sent without being surely refused; it may have been taken, and
            read by others, since then.
        sent_at: when that was sent which was answered; the store took appends of this term then.
    """

    first_at: float
    sent_at: float

    @property
    def repeated(self) -> bool:
        """Tell whether an earlier sending had no answer and may be what the store took."""
        return self.first_at < self.sent_at


class Writing(NamedTuple):
    """One append of the leader, and what is told once it is kept."""

    append: Append
    kept: Callable[[Kept], None]


class LeaderWriter:
    """The appends of one term."""

    def __init__(
        self,
        log: LogPort,
        timers: Timers,
        clock: Callable[[], float],
        term: int,
        on_lost: Callable[[str], None],
    ) -> None:
        self._log = log
        self._timers = timers
        self._clock = clock
        self._term = term
        self._sequence = FIRST_SEQUENCE
        self._on_lost = on_lost
        self.busy = False
        self.busy_since = 0.0
        self.closed = False
        self.stuck_since: float | None = None

    def write(self, writing: Writing) -> None:
        """Append; only while not `busy`."""
        self.busy = True
        self.busy_since = self._clock()
        self._sequence += 1
        fence = WriterFence(self._term, self._sequence)
        self._send(writing._replace(append=writing.append._replace(fence=fence)))

    def close(self) -> None:
        """Send nothing more."""
        self.closed = True

    def _send(self, writing: Writing, unsure_since: float | None = None) -> None:
        if self.closed:
            return
        sent_at = self._clock()
        first_at = sent_at if unsure_since is None else unsure_since

        def appended(got: Appended) -> None:
            if not self.closed:
                self._on_appended(writing, Kept(first_at, sent_at), got)

        self._log.append(writing.append, appended)

    def _on_appended(self, writing: Writing, sent: Kept, got: Appended) -> None:
        if got.outcome is AppendOutcome.KEPT:
            self.busy = False
            self.stuck_since = None
            writing.kept(sent)
        elif got.outcome in (AppendOutcome.NOT_KEPT, AppendOutcome.UNKNOWN):
            if self.stuck_since is None:
                self.stuck_since = sent.first_at
            # What was surely not taken leaves no doubt of when the next sending is.
            unsure = got.outcome is AppendOutcome.UNKNOWN or sent.repeated
            unsure_since = sent.first_at if unsure else None
            self._timers.after(RETRY_S, lambda: self._send(writing, unsure_since))
        else:
            self.closed = True
            self._on_lost(got.outcome.value)


FIRST_SEQUENCE = 1
"""The sequence of the claim itself; the leader's records follow."""
