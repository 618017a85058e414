"""The age of the copy of a log that grows faster than one read after another can reach its end.

Load pattern: thousands of runners write their entries, some 2,000 records a second, and each read
returns a part of what was written since the one before.
"""

from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank.keyed_log import KeyedLog, KeyedRecord
from spoolcrank.leadership_monitor import MAX_LIST_AGE_S, PlacingBlock, find_placing_block
from spoolcrank.log_follower import LogFollower
from spoolcrank.platform.documents import is_heartbeat
from spoolcrank.store_port import Append, NewestPage, ReadOutcome, Records

RUNNERS = 3000
RECORDS_PER_S = 2000.0
READ_S = 0.05
"""Time from a read to its answer, seconds."""

RECORDS_PER_READ = 104
"""Number of records in an answer: as many as are written between two reads, and no more."""

LOAD_S = 0.4
"""Time that the load takes, seconds; what is written meanwhile has to be read afterwards."""

PLAY_S = 20.0


def _records(first: int, end: int) -> tuple[KeyedRecord, ...]:
    return tuple(KeyedRecord(f"i-{n % RUNNERS}", b"ready", n) for n in range(first, end))


class _GrowingLog:
    """A log to which records are written all the time, with the clock and timers of its reader."""

    def __init__(self) -> None:
        self.now = 100.0
        self.began_at = self.now
        self._due: list[tuple[float, Callable[[], None]]] = []

    @property
    def end(self) -> int:
        return RUNNERS + int((self.now - self.began_at) * RECORDS_PER_S)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._due.append((self.now + delay_s, action))

    def step(self) -> None:
        self._due.sort(key=lambda due: due[0])
        self.now, action = self._due.pop(0)
        action()

    def append(self, append: Append, done: Callable[[Any], None]) -> None:
        raise AssertionError("nothing is written here")

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        end = self.end
        self.now += LOAD_S
        done(NewestPage(True, _records(0, end), False, end))

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        def answer() -> None:
            read_to = min(self.end, from_offset + RECORDS_PER_READ)
            records = Records(ReadOutcome.OK, _records(from_offset, read_to), self.end)
            self.after(READ_S / 2, lambda: done(records))

        self.after(READ_S / 2, answer)


def _follow(log: _GrowingLog) -> LogFollower:
    timers: Any = log
    follower = LogFollower(log, timers, lambda: log.now, lambda *_: None, lambda *_: None)
    follower.eager = True
    follower.begin()
    return follower


def test_a_list_that_is_written_all_the_time_is_only_as_old_as_it_is_behind() -> None:
    """Guards against a leader that places nothing, for good, as it never meets the log's end."""
    log = _GrowingLog()
    follower = _follow(log)
    while log.now - log.began_at < PLAY_S:
        log.step()
        age_s = log.now - follower.copy.read_at
        assert find_placing_block(False, True, age_s, 0.0) is PlacingBlock.NONE


def _refreshed_after_s(joined: bool) -> float:
    """Return how long a refresh takes while the log grows faster than it is read, in seconds."""
    log = _GrowingLog()
    follower = _follow(log)
    if joined:
        follower._last_batch_at = log.now
    ends: list[int] = []
    asked_at, end = log.now, log.end
    follower.refresh(lambda ok: ends.append(follower.copy.next_offset if ok else -1))
    while not ends and log.now - asked_at < PLAY_S:
        log.step()
    assert ends and ends[0] >= end
    return log.now - asked_at


# Guards against claims and queries that wait for the end of a log which is never met: instances
# read it before they claim, and nobody led for as long as it grew so fast.
@pytest.mark.parametrize("joined", [False, True])
def test_a_refresh_ends_once_it_has_read_what_was_there_when_it_began(joined: bool) -> None:
    assert _refreshed_after_s(joined) <= 2.0


# Guards against a refresh that later ones put off: one is asked for in each read.
def test_refreshes_that_join_reads_end_in_their_order() -> None:
    log = _GrowingLog()
    follower = _follow(log)
    follower._last_batch_at = log.now
    asked: list[float] = []
    ended: list[float] = []
    while len(ended) < 20 and log.now - log.began_at < PLAY_S:
        asked_at = log.now
        asked.append(asked_at)
        follower.refresh(lambda ok, asked_at=asked_at: ended.append(asked_at))  # type: ignore[misc]
        log.step()
    assert len(ended) >= 20
    assert ended == asked[: len(ended)]


def test_an_end_that_was_seen_and_not_reached_makes_nothing_read() -> None:
    copy = KeyedLog()
    copy.finish_load(0)
    copy.extend(_records(0, 5), end=20, asked_at=1.0)
    copy.extend(_records(5, 15), end=40, asked_at=2.0)
    assert copy.read_at == -1.0
    copy.extend(_records(15, 20), end=60, asked_at=3.0)
    assert copy.read_at == 1.0
    copy.extend(_records(20, 59), end=80, asked_at=4.0)
    assert copy.read_at == 1.0
    copy.extend(_records(59, 60), end=80, asked_at=5.0)
    assert copy.read_at == 3.0


def test_an_end_seen_before_a_new_load_counts_for_nothing() -> None:
    """The offsets of a log that was lost begin anew."""
    copy = KeyedLog()
    copy.finish_load(0)
    copy.extend(_records(0, 1), end=3, asked_at=50.0)
    copy.reset()
    copy.finish_load(2)
    copy.extend(_records(2, 4), end=9, asked_at=4.0)
    assert copy.read_at == -1.0


def test_a_copy_that_falls_behind_grows_old() -> None:
    copy = KeyedLog()
    copy.finish_load(0)
    copy.extend(_records(0, 1), end=1, asked_at=1.0)
    for number in range(1, 100):
        copy.extend(_records(number, number + 1), end=1000 + 50 * number, asked_at=1.0 + number)
    assert 100.0 - copy.read_at > MAX_LIST_AGE_S


@pytest.mark.parametrize(
    ("newer", "repeats"),
    [
        (b'{"state":"ready","callSeq":108,"zone":"a"}', True),
        (b'{"state":"ready","callSeq": 9 ,"zone":"a"}', False),
        (b'{"state":"draining","callSeq":108,"zone":"a"}', False),
        (b'{"state":"ready","callSeq":108,"zone":"b"}', False),
        (b'{"state":"ready","callSeq":108.5,"zone":"a"}', False),
        (b'{"state":"ready","zone":"a"}', False),
        (b"", False),
    ],
)
def test_only_a_raised_counter_is_a_heartbeat(newer: bytes, repeats: bool) -> None:
    """Guards against a leaving runner that is taken for one whose entry was only renewed."""
    assert is_heartbeat(b'{"state":"ready","callSeq":17,"zone":"a"}', newer) is repeats


def test_an_entry_with_two_counters_is_decoded() -> None:
    entry = b'{"callSeq":17,"callSeq":18,"state":"ready"}'
    assert not is_heartbeat(entry, b'{"callSeq":19,"callSeq":18,"state":"ready"}')
