"""Decisions leave a busy leader's processor to the answers of runners between them."""

from collections.abc import Callable
from typing import Any

from spoolcrank.gathering import GATHER_S, GATHER_SHARE, MOST_GATHER_S, Gathering


class _Time:
    """A clock that decisions move, and timers that are fired by hand."""

    def __init__(self) -> None:
        self.now = 50.0
        self.due: list[tuple[float, Callable[[], None]]] = []

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self.due.append((delay_s, action))

    def fire(self) -> float:
        delay_s, action = self.due.pop(0)
        action()
        return delay_s


def _gathering(time: _Time, takes_s: list[float]) -> Gathering:
    timers: Any = time

    def decide() -> None:
        time.now += takes_s[0]

    return Gathering(timers, lambda: time.now, decide)


def test_many_events_make_one_decision() -> None:
    time = _Time()
    gathering = _gathering(time, [0.0])
    for _ in range(40):
        gathering.wake()
    assert len(time.due) == 1
    assert time.fire() == GATHER_S


def test_the_longer_a_decision_takes_the_more_the_next_one_gathers() -> None:
    time = _Time()
    takes_s = [0.008]
    gathering = _gathering(time, takes_s)
    gathering.wake()
    time.fire()
    gathering.wake()
    assert abs(time.fire() - GATHER_SHARE * 0.008) < 1e-9
    takes_s[0] = 0.5
    gathering.wake()
    time.fire()
    gathering.wake()
    assert time.fire() == MOST_GATHER_S
