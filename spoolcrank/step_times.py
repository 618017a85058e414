"""Learn the actual run times of the tasks of each queue.

The estimates in jobs may be wrong by any factor. For each queue, the logarithm of a task's time is
modelled as a linear function of the logarithm of its estimate, fitted to the tasks that ran at full
pace until they were done. Where estimates carry little information the line is flat, and the
expected time is the usual one of the queue.
"""

import math
from collections.abc import Iterable

from spoolcrank.learned_state import QueueTimes
from spoolcrank.workflow import RouteName

PRIOR_TASKS = 4.0
"""Weight, in tasks, of the prior that estimates are right; some tens of tasks outweigh it."""

PRIOR_VARIANCE = 0.25
"""Variance of the logarithms of the estimates in the prior; their standard deviation is 0.5."""

MAX_TASKS_BEFORE_HALVING = 400.0
"""Weight, in tasks, at which the weight of all recorded tasks is halved. At peak load it is reached
in about half a minute."""

MIN_TIME_MS = 20.0
"""Lower limit of estimates and times, ms, because 0 has no logarithm."""


class StepTimes:
    """One leader's model of the times of tasks, by queue."""

    def __init__(self) -> None:
        self._queues: dict[RouteName, QueueTimes] = {}

    def learned_state(self) -> tuple[QueueTimes, ...]:
        """Return the state for the next leader."""
        return tuple(self._queues.values())

    def restore(self, queues: Iterable[QueueTimes]) -> None:
        """Load the state that an earlier leader stored."""
        self._queues = {times.queue: times for times in queues}

    def learn(self, queue: RouteName, estimate_ms: float, took_ms: float) -> None:
        """Add the time of one task that ran at full pace until it was done."""
        times = self._queues.setdefault(queue, QueueTimes(queue))
        x, y = _log(estimate_ms), _log(took_ms)
        decay = 1.0 if times.points < MAX_TASKS_BEFORE_HALVING else 0.5
        times.points = times.points * decay + 1.0
        times.x = times.x * decay + x
        times.y = times.y * decay + y
        times.xx = times.xx * decay + x * x
        times.xy = times.xy * decay + x * y

    def expected_ms(self, queue: RouteName, estimate_ms: float) -> float:
        """Return the expected time of a task, ms; without a model, its estimate."""
        times = self._queues.get(queue)
        if times is None or estimate_ms <= 0:
            return estimate_ms
        mean_x, mean_y = times.x / times.points, times.y / times.points
        # The prior's tasks lie on the line y = x around the mean of the estimates.
        prior_weight = PRIOR_TASKS * PRIOR_VARIANCE
        spread = max(0.0, times.xx - times.points * mean_x * mean_x) + prior_weight
        slope = (times.xy - times.points * mean_x * mean_y + prior_weight) / spread
        confidence = times.points / (times.points + PRIOR_TASKS)
        mean_log_time = mean_x + confidence * (mean_y - mean_x)
        return math.exp(mean_log_time + slope * (_log(estimate_ms) - mean_x))


def _log(ms: float) -> float:
    return math.log(max(MIN_TIME_MS, ms))
