"""Expected durations of tasks, learned from tasks that ended.

The tests guard against expected durations that trust inaccurate estimates, ignore accurate ones, or
are lost with the leader.
"""

import math
import random

from spoolcrank.learned_state import LearnedState, decode_learned_state, encode_learned_state
from spoolcrank.step_times import StepTimes
from spoolcrank.workflow import RouteName

QUEUE = RouteName("q")


def trained_times(error: float, count: int = 300) -> StepTimes:
    """Return times learned from tasks of about 2 s.

    Args:
        error: standard deviation of the logarithm of the estimate's error.
        count: number of tasks.
    """
    chance = random.Random(3)
    times = StepTimes()
    for _ in range(count):
        took_ms = 2000.0 * math.exp(chance.gauss(0, 0.5))
        times.learn(QUEUE, took_ms * math.exp(chance.gauss(0, error)), took_ms)
    return times


def test_without_samples_the_estimate_is_used() -> None:
    assert StepTimes().expected_ms(QUEUE, 700.0) == 700.0


def test_inaccurate_estimates_get_little_weight() -> None:
    times = trained_times(error=1.5)
    assert times.expected_ms(QUEUE, 8000.0) < 3500.0
    assert times.expected_ms(QUEUE, 500.0) > 1200.0


def test_accurate_estimates_get_much_weight() -> None:
    times = trained_times(error=0.05)
    assert 7000.0 < times.expected_ms(QUEUE, 8000.0) < 9000.0
    assert 430.0 < times.expected_ms(QUEUE, 500.0) < 580.0


def test_learned_times_survive_a_change_of_leader() -> None:
    times = trained_times(error=0.8)
    stored = decode_learned_state(encode_learned_state(LearnedState((), times.learned_state())))
    successor = StepTimes()
    successor.restore(stored.times)
    assert successor.expected_ms(QUEUE, 900.0) == times.expected_ms(QUEUE, 900.0)


def test_older_samples_are_forgotten() -> None:
    times = trained_times(error=0.2)
    for _ in range(2000):
        times.learn(QUEUE, 2000.0, 6000.0)
    assert 5000.0 < times.expected_ms(QUEUE, 2000.0) < 7000.0
