"""Limit what a leader spends on polls of a fleet that is large for its processors."""

import math
from dataclasses import dataclass

RUNNERS_CHECKED_ALWAYS = 700
"""Number of runners up to which each decision checks all of them for due polls."""

CHECKS_PER_S = 30_000.0
"""Number of checks per second of the runners above RUNNERS_CHECKED_ALWAYS; a sixteenth of a
processor."""

IDLE_POLL_INTERVAL_S = 1.5
"""Interval between polls at a runner without runs, in seconds. It is below MAX_ANSWER_AGE_S, after
which a runner without a new answer gets no new work."""

IDLE_POLLS_PER_CORE_S = 250.0
"""Number of polls of idle runners per second for each of the leader's processors; a tenth of its
time, with the connections and answers."""

FIRST_POLLS_PER_CORE = 800.0
"""Number of first polls of runners without runs that a new leader may send at once, for each of its
processors; a third of a second of its time."""

LATE_TICK_S = 0.05
"""Delay of the leader's periodic work from which its processor counts as too busy for all polls, in
seconds; half of the period."""

SHARE_DECREASE_FACTOR = 0.7
"""Factor applied to the share of polls of runners without runs after a late tick. The share falls
from 1 to MIN_SHARE within 0.7 s."""

SHARE_INCREASE = 0.05
"""Amount added to the share of polls of runners without runs after a timely tick. The share rises
from MIN_SHARE to 1 within 2 s."""

MIN_SHARE = 0.1
"""Smallest share of the polls of runners without runs. Without any, no new work could start."""

MIN_CHECKS_SHARE = 0.25
"""Smallest share of CHECKS_PER_S; runners with runs have to be polled well within their leases."""


@dataclass
class Turns:
    """Turns of the waiting jobs at polls.

    Attributes:
        next_job: number, among the waiting jobs, of the one whose needs come first.
        next_step: number, among the steps of that job that wait, of the first whose need counts.
    """

    next_job: int = 0
    next_step: int = 0


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

    def take(self, wanted: int, now: float, factor: float = 1.0) -> int:
        """Return how many of the wanted polls to send now, at `factor` times the rate.

        A factor below 1 also reduces the number of polls at once, but not below one.
        """
        if math.isinf(self._burst):
            return wanted
        since_s = now - max(self._refilled_at, now - 1.0)
        burst = max(1.0, self._burst * min(1.0, factor))
        self._left = min(burst, self._left + since_s * self._per_s * factor)
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
        share: share of the polls of runners without runs that the leader has time for.
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
        self.share = 1.0
        self.first = _RateLimit(processors * FIRST_POLLS_PER_CORE, polls_per_s)
        self.in_turn = _RateLimit(max(1.0, polls_per_s), polls_per_s)
        self.idle_turns = Turns()
        self.first_turns = Turns()
        self._next_check_at = -math.inf
        self._ticked_at = -math.inf

    def record_tick(self, now: float, period_s: float, runners: int) -> None:
        """Adapt the polls of runners without runs to whether a tick of the leader came late.

        Polls that keep the leader from reading the list of runners keep it from placing work, and
        more polls are then sent for the work that waits. The polls of a fleet of which all runners
        may be ready are too few for that; a late tick then has another cause.

        Args:
            now: time in monotonic seconds.
            period_s: usual time between two ticks, in seconds.
            runners: number of runners.
        """
        late_s = now - self._ticked_at - period_s
        self._ticked_at = now
        if runners <= self.max_ready:
            self.share = 1.0
        elif LATE_TICK_S < late_s < math.inf:
            self.share = max(MIN_SHARE, self.share * SHARE_DECREASE_FACTOR)
        else:
            self.share = min(1.0, self.share + SHARE_INCREASE)

    def may_check(self, runners: int, now: float) -> bool:
        """Return whether to check the runners for due polls now, and count the check if so."""
        if now < self._next_check_at:
            return False
        checks_per_s = CHECKS_PER_S * max(MIN_CHECKS_SHARE, self.share)
        self._next_check_at = now + max(0, runners - RUNNERS_CHECKED_ALWAYS) / checks_per_s
        return True
