"""Debounce events, so that one decision covers all of them.

Hundreds of runners report many small events, such as the ends of tasks. Each event may allow
something to start, and a decision costs nearly the same for one event as for many. One decision per
event would take processor time from reading answers and delay all later events.
"""

from collections.abc import Callable

from spoolcrank._timers import Timers

MIN_DEBOUNCE_S = 0.004
"""Shortest delay between an event and the decision on it, seconds; one response time of the store.
Events within this time are decided on and stored together."""

DEBOUNCE_FACTOR = 2.0
"""Delay as a multiple of the duration of the last decision. Decisions then take a third of a busy
leader's processor, and answers of runners are read between them."""

MAX_DEBOUNCE_S = 0.03
"""Longest delay between an event and the decision on it, seconds. Two such delays in a chain of
short steps are a twentieth of the time that the chain may take."""


class Debouncer:
    """Scheduling of the next decision after events.

    Args:
        timers: the timers of this process.
        clock: returns monotonic seconds.
        decide: called to decide on all events so far.
    """

    def __init__(
        self, timers: Timers, clock: Callable[[], float], decide: Callable[[], None]
    ) -> None:
        self._timers = timers
        self._clock = clock
        self._decide = decide
        self._scheduled = False
        self._last_decision_s = 0.0

    def schedule_decision(self) -> None:
        """Schedule a decision, unless one is scheduled already."""
        if not self._scheduled:
            self._scheduled = True
            delay_s = min(MAX_DEBOUNCE_S, DEBOUNCE_FACTOR * self._last_decision_s)
            self._timers.after(max(MIN_DEBOUNCE_S, delay_s), self.decide)

    def decide(self) -> None:
        """Decide at once and measure how long the decision takes."""
        self._scheduled = False
        began = self._clock()
        self._decide()
        self._last_decision_s = self._clock() - began
