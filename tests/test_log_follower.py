"""The copy of a log that is read in several parts."""

from collections.abc import Callable
from typing import Any

from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import Append, NewestPage, ReadOutcome, Records

PART = 2
LOG = tuple(KeyedRecord(f"j/{number}", b"x", number) for number in range(7))


class Log:
    """A log that answers reads at once, one part each, and leaves long polls unanswered."""

    def __init__(self) -> None:
        self.reads: list[int] = []

    def append(self, append: Append, done: Callable[[Any], None]) -> None:
        raise AssertionError("nothing is written here")

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        done(NewestPage(True, (), False, 0))

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        if wait_ms == 0:
            self.reads.append(from_offset)
            part = LOG[from_offset : from_offset + PART]
            done(Records(ReadOutcome.OK, part, len(LOG)))


def test_a_refresh_ends_only_at_the_reported_end_of_the_log() -> None:
    log = Log()
    timers: Any = None
    follower = LogFollower(log, timers, lambda: 5.0, lambda records: None, lambda *_: None)
    follower.begin()
    reached: list[int] = []
    follower.refresh(lambda ok: reached.append(follower.copy.next_offset))
    assert reached == [len(LOG)]
    assert log.reads == [0, 2, 4, 6]


def test_a_copy_is_up_to_date_only_at_the_end_of_the_log() -> None:
    follower = LogFollower(Log(), None, lambda: 5.0, lambda *_: None, lambda *_: None)  # type: ignore[arg-type]
    copy = follower.copy
    copy.extend(LOG[:PART], len(LOG), 5.0)
    assert copy.read_at < 0
    copy.extend(LOG[PART:], len(LOG), 6.0)
    assert copy.read_at == 6.0
