"""Write the leader's records in order: one append at a time, repeated until its result is known.

Repeating is safe: the store gives a repeated sequence number its first answer again, and it accepts
no append of an earlier term.
"""

from collections.abc import Callable
from typing import NamedTuple

from spoolcrank._timers import Timers
from spoolcrank.store_port import Append, Appended, AppendOutcome, LogPort, WriterFence

RETRY_S = 0.08
"""Delay before an append is sent again, in seconds."""


class AppendTiming(NamedTuple):
    """Times between which the store accepted an append, in monotonic seconds.

    Attributes:
        first_at: when the first attempt was sent that may have been stored; other instances may
            have read the records since then.
        sent_at: when the answered attempt was sent; the store accepted this term's appends then.
    """

    first_at: float
    sent_at: float

    @property
    def repeated(self) -> bool:
        """Return whether the store may have accepted an earlier attempt that was not answered."""
        return self.first_at < self.sent_at


class PendingAppend(NamedTuple):
    """One append of the leader, and the callback for when it is stored."""

    append: Append
    on_stored: Callable[[AppendTiming], None]


class LeaderWriter:
    """The writer of one term's appends.

    `on_lost` is called with the reason if the store refuses the term or sequence.
    """

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
        self.unanswered_since: float | None = None

    def write(self, pending: PendingAppend) -> None:
        """Send an append and repeat it as needed; only while not `busy`."""
        self.busy = True
        self.busy_since = self._clock()
        self._sequence += 1
        fence = WriterFence(self._term, self._sequence)
        self._send(pending._replace(append=pending.append._replace(fence=fence)))

    def close(self) -> None:
        """Send nothing more, and ignore later answers."""
        self.closed = True

    def _send(self, pending: PendingAppend, possibly_stored_since: float | None = None) -> None:
        if self.closed:
            return
        sent_at = self._clock()
        first_at = sent_at if possibly_stored_since is None else possibly_stored_since

        def on_answer(result: Appended) -> None:
            if not self.closed:
                self._on_appended(pending, AppendTiming(first_at, sent_at), result)

        self._log.append(pending.append, on_answer)

    def _on_appended(self, pending: PendingAppend, timing: AppendTiming, result: Appended) -> None:
        if result.outcome is AppendOutcome.STORED:
            self.busy = False
            self.unanswered_since = None
            pending.on_stored(timing)
        elif result.outcome in (AppendOutcome.NOT_STORED, AppendOutcome.UNKNOWN):
            if self.unanswered_since is None:
                self.unanswered_since = timing.first_at
            # An attempt that was certainly not stored does not affect the timing of the next one.
            may_be_stored = result.outcome is AppendOutcome.UNKNOWN or timing.repeated
            possibly_stored_since = timing.first_at if may_be_stored else None
            self._timers.after(RETRY_S, lambda: self._send(pending, possibly_stored_since))
        else:
            self.closed = True
            self._on_lost(f"the store refused a write: {result.outcome.value}")


FIRST_SEQUENCE = 1
"""Sequence number of the claim itself; the leader's records follow."""
