"""Test what the leader knows about when its own writes were stored."""

from collections.abc import Callable
from itertools import count
from typing import Any

import pytest

from spoolcrank.leader_writer import AppendTiming, LeaderWriter, PendingAppend
from spoolcrank.store_port import Append, Appended, AppendOutcome


class _Store:
    """A store that answers each append with the next outcome."""

    def __init__(self, *outcomes: AppendOutcome) -> None:
        self._outcomes = list(outcomes)

    def append(self, append: Append, done: Callable[[Appended], None]) -> None:
        done(Appended(self._outcomes.pop(0)))


class _Timers:
    """Timers that run delayed actions at once."""

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        action()


@pytest.mark.parametrize(
    ("outcomes", "repeated"),
    [
        ([], False),
        ([AppendOutcome.UNKNOWN], True),
        ([AppendOutcome.NOT_STORED], False),
        ([AppendOutcome.NOT_STORED, AppendOutcome.UNKNOWN], True),
        ([AppendOutcome.UNKNOWN, AppendOutcome.NOT_STORED], True),
    ],
)
def test_a_write_counts_as_repeated_only_after_an_attempt_that_may_have_been_stored(
    outcomes: list[AppendOutcome], repeated: bool
) -> None:
    """The clock advances between any two lines; a first attempt must not look repeated."""
    ticks = count(100)
    store: Any = _Store(*outcomes, AppendOutcome.STORED)
    timers: Any = _Timers()
    timings: list[AppendTiming] = []
    writer = LeaderWriter(store, timers, lambda: float(next(ticks)), 1, lambda why: None)
    writer.write(PendingAppend(Append([]), timings.append))
    assert [timing.repeated for timing in timings] == [repeated]
    assert timings[0].first_at <= timings[0].sent_at
