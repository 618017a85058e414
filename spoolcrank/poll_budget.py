"""Limit what a leader spends on polls of a fleet that is large for its processors."""

import math

RUNNERS_CHECKED_ALWAYS = 700
"""Number of runners up to which each decision checks all of them for due polls."""

CHECKS_PER_S = 30_000.0
"""Number of checks per second of the runners above RUNNERS_CHECKED_ALWAYS; at 2 microseconds each,
a sixteenth of a processor."""

IDLE_POLL_INTERVAL_S = 1.5
"""Interval between polls at a runner without runs, in seconds. It is below MAX_ANSWER_AGE_S, after
which a runner without a new answer gets no new work."""

IDLE_POLLS_PER_CORE_S = 250.0
"""Number of polls of idle runners per second for each of the leader's processors; a tenth of its
time at 0.4 ms for a poll, its connection and its answer."""

FIRST_POLLS_PER_CORE = 800.0
"""Number of first polls of runners without runs that a new leader may send at once, for each of its
processors; a third of a second of its time."""


class PollBudget:
    """Budget of one leader for polls.

    Args:
        processors: processors of the leader, in cores.

    Attributes:
        max_ready: number of idle runners that are polled often enough to get new work.
    """

    def __init__(self, processors: float = math.inf) -> None:
        self._polls_per_s = processors * IDLE_POLLS_PER_CORE_S
        self.max_ready = max(1.0, self._polls_per_s * IDLE_POLL_INTERVAL_S)
        self._next_check_at = -math.inf
        self._max_first_polls = processors * FIRST_POLLS_PER_CORE
        self._first_polls = self._max_first_polls
        self._first_polls_at = -math.inf

    def take_first_polls(self, wanted: int, factor: int, now: float) -> int:
        """Return how many of the wanted first polls of runners without runs to send now.

        A new leader may send many of them at once, and the others at `factor` times the rate of
        idle polls.
        """
        if math.isinf(self._first_polls):
            return wanted
        since_s = now - max(self._first_polls_at, now - 1.0)
        refilled = self._first_polls + since_s * self._polls_per_s * factor
        self._first_polls = min(self._max_first_polls, refilled)
        self._first_polls_at = now
        taken = min(wanted, int(self._first_polls))
        self._first_polls -= taken
        return taken

    def may_check(self, runners: int, now: float) -> bool:
        """Return whether to check the runners for due polls now, and count the check if so."""
        if now < self._next_check_at:
            return False
        self._next_check_at = now + max(0, runners - RUNNERS_CHECKED_ALWAYS) / CHECKS_PER_S
        return True
