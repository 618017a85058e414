"""How long tasks really take, learnt from those that ended."""

import math
import random

from spoolcrank.learnt import Learnt, decode_learnt, encode_learnt
from spoolcrank.step_times import StepTimes
from spoolcrank.workflow import RouteName

QUEUE = RouteName("q")


def taught(error: float, count: int = 300) -> StepTimes:
    """Return times learnt of tasks around 2 s whose estimates are off by such a deviation."""
    chance = random.Random(3)
    times = StepTimes()
    for _ in range(count):
        took_ms = 2000.0 * math.exp(chance.gauss(0, 0.5))
        times.learn(QUEUE, took_ms * math.exp(chance.gauss(0, error)), took_ms)
    return times


def test_nothing_learnt_leaves_the_estimate() -> None:
    assert StepTimes().expected_ms(QUEUE, 700.0) == 700.0


def test_worthless_estimates_count_little() -> None:
    times = taught(error=1.5)
    assert times.expected_ms(QUEUE, 8000.0) < 3500.0
    assert times.expected_ms(QUEUE, 500.0) > 1200.0


def test_right_estimates_are_believed() -> None:
    times = taught(error=0.05)
    assert 7000.0 < times.expected_ms(QUEUE, 8000.0) < 9000.0
    assert 430.0 < times.expected_ms(QUEUE, 500.0) < 580.0


def test_what_is_learnt_outlives_its_leader() -> None:
    times = taught(error=0.8)
    stored = decode_learnt(encode_learnt(Learnt((), times.learnt())))
    successor = StepTimes()
    successor.restore(stored.times)
    assert successor.expected_ms(QUEUE, 900.0) == times.expected_ms(QUEUE, 900.0)


def test_older_tasks_are_forgotten() -> None:
    times = taught(error=0.2)
    for _ in range(2000):
        times.learn(QUEUE, 2000.0, 6000.0)
    assert 5000.0 < times.expected_ms(QUEUE, 2000.0) < 7000.0
