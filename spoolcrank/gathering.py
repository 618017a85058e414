"""Gather what happens for a moment, and decide on all of it at once.

Pattern: a flood of small events, as ends of tasks over hundreds of runners. Each of them may let
something start, and a decision costs nearly the same for one as for many. Decided one by one they
take the processor from the reading of answers, and every later one is late.
"""

from collections.abc import Callable

from spoolcrank._timers import Timers

GATHER_S = 0.004
"""What happens within so long is decided and written together, s; one answer of the store."""

GATHER_SHARE = 2.0
"""Times the last decision that what happens is gathered for, so that decisions take a third of a
busy leader's processor and answers of runners are read between them. Over 270 runners under load
226 of them a second took half of all that the leader did (its calls counted for 24 s)."""

MOST_GATHER_S = 0.03
"""What happens waits no longer than that, s: two of these in a chain of short steps are a twentieth
of the time that it may take."""


class Gathering:
    """When the next decision is made.

    Args:
        timers: of this process.
        clock: monotonic seconds.
        decide: decides on everything that has happened.
    """

    def __init__(
        self, timers: Timers, clock: Callable[[], float], decide: Callable[[], None]
    ) -> None:
        self._timers = timers
        self._clock = clock
        self._decide = decide
        self._woken = False
        self._took_s = 0.0

    def wake(self) -> None:
        """Let what has happened be decided on soon."""
        if not self._woken:
            self._woken = True
            gather_s = min(MOST_GATHER_S, GATHER_SHARE * self._took_s)
            self._timers.after(max(GATHER_S, gather_s), self.decide)

    def decide(self) -> None:
        """Decide now."""
        self._woken = False
        began = self._clock()
        self._decide()
        self._took_s = self._clock() - began
