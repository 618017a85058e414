"""Debouncing leaves processor time for reading runners' answers between decisions."""

from collections.abc import Callable
from typing import Any

from spoolcrank.debounce import DEBOUNCE_FACTOR, MAX_DEBOUNCE_S, MIN_DEBOUNCE_S, Debouncer


class _Time:
    """A clock that decisions advance, and timers that the test fires."""

    def __init__(self) -> None:
        self.now = 50.0
        self.due: list[tuple[float, Callable[[], None]]] = []

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self.due.append((delay_s, action))

    def fire(self) -> float:
        delay_s, action = self.due.pop(0)
        action()
        return delay_s


def _debouncer(time: _Time, duration_s: list[float]) -> Debouncer:
    timers: Any = time

    def decide() -> None:
        time.now += duration_s[0]

    return Debouncer(timers, lambda: time.now, decide)


def test_many_events_make_one_decision() -> None:
    time = _Time()
    debouncer = _debouncer(time, [0.0])
    for _ in range(40):
        debouncer.schedule_decision()
    assert len(time.due) == 1
    assert time.fire() == MIN_DEBOUNCE_S


def test_delay_grows_with_the_duration_of_the_last_decision() -> None:
    time = _Time()
    duration_s = [0.008]
    debouncer = _debouncer(time, duration_s)
    debouncer.schedule_decision()
    time.fire()
    debouncer.schedule_decision()
    assert abs(time.fire() - DEBOUNCE_FACTOR * 0.008) < 1e-9
    duration_s[0] = 0.5
    debouncer.schedule_decision()
    time.fire()
    debouncer.schedule_decision()
    assert time.fire() == MAX_DEBOUNCE_S
