"""Test up to when a copy that was loaded in pages, or refreshed beside a load, counts as read."""

from collections.abc import Callable
from typing import Any

from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import Append, NewestPage, ReadOutcome, Records

FIRST = KeyedRecord("j/1", b"x", 0)
SECOND = KeyedRecord("j/2", b"x", 1)
BEGUN_AT = 5.0
SECOND_PAGE_ASKED_AT = 9.0
ENDED_AT = 10.0


class _Log:
    """A log that answers when it is told to."""

    def __init__(self) -> None:
        self.pages: list[Callable[[NewestPage], None]] = []
        self.reads: list[Callable[[Records], None]] = []

    def append(self, append: Append, done: Callable[[Any], None]) -> None:
        raise AssertionError("nothing is written here")

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        self.pages.append(done)

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        self.reads.append(done)


class _Clock:
    def __init__(self) -> None:
        self.now = BEGUN_AT

    def __call__(self) -> float:
        return self.now


def _follow(log: _Log, clock: _Clock) -> LogFollower:
    timers: Any = None
    return LogFollower(log, timers, clock, lambda records: None, lambda *_: None)


def test_a_copy_loaded_in_pages_counts_as_read_when_its_first_page_was_asked_for() -> None:
    """Guards against answers and decisions from a copy that lacks what was written while it loaded.

    The copy is complete up to the end of the log at the first page only.
    """
    log, clock = _Log(), _Clock()
    follower = _follow(log, clock)
    follower.begin()
    clock.now = SECOND_PAGE_ASKED_AT
    log.pages.pop()(NewestPage(True, (FIRST,), True, 1))
    clock.now = ENDED_AT
    log.pages.pop()(NewestPage(True, (SECOND,), False, 3))
    assert follower.copy.loaded
    assert follower.copy.next_offset == 1
    assert follower.copy.read_at == BEGUN_AT


def test_a_refresh_fails_whose_answer_comes_while_the_log_is_loaded_again() -> None:
    """Guards against denying an accepted job from a copy that its record was not read into."""
    log, clock = _Log(), _Clock()
    follower = _follow(log, clock)
    follower.begin()
    log.pages.pop()(NewestPage(True, (FIRST,), False, 1))
    results: list[bool] = []
    follower.refresh(results.append)
    long_poll, refresh = log.reads
    long_poll(Records(ReadOutcome.EXPIRED))
    refresh(Records(ReadOutcome.OK, (SECOND,), 2))
    assert SECOND.key not in follower.copy.newest
    assert results == [False]
