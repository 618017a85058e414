"""Learn how long the tasks of a queue's steps really take.

Estimates that come with jobs may be off by any factor. For each queue the logarithm of a task's
time is taken as a line over the logarithm of its estimate, fitted to the tasks that ended at full
pace. Where estimates say little the line is flat, and a step counts as the queue's usual one.
"""

import math
from collections.abc import Iterable

import msgspec

from spoolcrank.workflow import RouteName

PRIOR_POINTS = 4.0
"""Weight, in tasks, of the belief that an estimate is right; some tens of tasks outweigh it."""

PRIOR_SPREAD = 0.25
"""Variance of the estimates' logarithms in those points; 0.5 is their measured deviation."""

MEMORY_POINTS = 400.0
"""Tasks after whose number older ones count half as much: some half a minute at the peak."""

LEAST_MS = 20.0
"""Shorter estimates and times count as this, ms; 0 has no logarithm."""


class LearntTimes(msgspec.Struct, array_like=True):
    """Weighted sums over a queue's ended tasks: points, x, y, x squared, x times y.

    x is the logarithm of the estimate, y of the time, both in ms.
    """

    queue: RouteName
    points: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0


class StepTimes:
    """What one leader has learnt of the times of tasks."""

    def __init__(self) -> None:
        self._queues: dict[RouteName, LearntTimes] = {}

    def learnt(self) -> tuple[LearntTimes, ...]:
        """Return what the next leader should start from."""
        return tuple(self._queues.values())

    def restore(self, learnt: Iterable[LearntTimes]) -> None:
        """Take over what an earlier leader learnt."""
        self._queues = {one.queue: one for one in learnt}

    def learn(self, queue: RouteName, estimate_ms: float, took_ms: float) -> None:
        """Take the time of one task that worked at full pace until it was done."""
        held = self._queues.setdefault(queue, LearntTimes(queue))
        x, y = _log(estimate_ms), _log(took_ms)
        keep = 1.0 if held.points < MEMORY_POINTS else 0.5
        held.points = held.points * keep + 1.0
        held.x = held.x * keep + x
        held.y = held.y * keep + y
        held.xx = held.xx * keep + x * x
        held.xy = held.xy * keep + x * y

    def expected_ms(self, queue: RouteName, estimate_ms: float) -> float:
        """Return how long a task of an estimate likely takes."""
        held = self._queues.get(queue)
        if held is None or estimate_ms <= 0:
            return estimate_ms
        mean_x, mean_y = held.x / held.points, held.y / held.points
        # The prior's points lie on the line y = x around the estimates' mean.
        pull = PRIOR_POINTS * PRIOR_SPREAD
        spread = max(0.0, held.xx - held.points * mean_x * mean_x) + pull
        slope = (held.xy - held.points * mean_x * mean_y + pull) / spread
        trust = held.points / (held.points + PRIOR_POINTS)
        middle = mean_x + trust * (mean_y - mean_x)
        return math.exp(middle + slope * (_log(estimate_ms) - mean_x))


def _log(ms: float) -> float:
    return math.log(max(LEAST_MS, ms))
