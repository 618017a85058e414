"""Limit what a leader spends on polls of a fleet that is large for its processors."""

import math
from dataclasses import dataclass

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


@dataclass
class Turns:
    """Turns of the waiting jobs at polls.

    Attributes:
        next_job: number, among the waiting jobs, of the one whose needs come first.
    """

    next_job: int = 0


class _RateLimit:
    """Polls that may be sent at once, and the rate at which further ones may follow.

    Args:
        burst: maximum number of polls at once.
        per_s: number of polls per second after that.
    """

    def __init__(self, burst: float, per_s: float) -> None:
        self._burst = burst
        self._per_s = per_s
        self._left = burst
        self._refilled_at = -math.inf

    def take(self, wanted: int, now: float, factor: int = 1) -> int:
        """Return how many of the wanted polls to send now, at `factor` times the rate."""
        if math.isinf(self._burst):
            return wanted
        since_s = now - max(self._refilled_at, now - 1.0)
        self._left = min(self._burst, self._left + since_s * self._per_s * factor)
        self._refilled_at = now
        taken = max(0, min(wanted, int(self._left)))
        self._left -= taken
        return taken


class PollBudget:
    """Budget of one leader for polls.

    Args:
        processors: processors of the leader, in cores.

    Attributes:
        max_ready: number of idle runners that are polled often enough to get new work.
        first: limit of the first polls of runners without runs. A new leader may send many of them
            at once.
        in_turn: limit of the polls of idle runners for waiting work that are sent although as many
            as may be are ready. First polls alone would use up that number after a takeover.
        idle_turns: turns of the waiting jobs at the polls of idle runners.
        first_turns: turns of the waiting jobs at the first polls of a new leader.
    """

    def __init__(self, processors: float = math.inf) -> None:
        polls_per_s = processors * IDLE_POLLS_PER_CORE_S
        self.max_ready = max(1.0, polls_per_s * IDLE_POLL_INTERVAL_S)
        self.first = _RateLimit(processors * FIRST_POLLS_PER_CORE, polls_per_s)
        self.in_turn = _RateLimit(max(1.0, polls_per_s), polls_per_s)
        self.idle_turns = Turns()
        self.first_turns = Turns()
        self._next_check_at = -math.inf

    def may_check(self, runners: int, now: float) -> bool:
        """Return whether to check the runners for due polls now, and count the check if so."""
        if now < self._next_check_at:
            return False
        self._next_check_at = now + max(0, runners - RUNNERS_CHECKED_ALWAYS) / CHECKS_PER_S
        return True
