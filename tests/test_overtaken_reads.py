"""Test reads of the log that overtake one another, as on several connections to the store."""

from collections.abc import Callable
from typing import Any, NamedTuple

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import Append, NewestPage, ReadOutcome, Records
from spoolcrank.workflow import Step
from tests.fleet_world import small_world

RECORDS = tuple(KeyedRecord(f"j/{number}", b"x", number) for number in range(4))
STEP = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)
PLAY_S = 6.0
INTERVAL_S = 0.03
MAX_READ_DELAY_S = 0.1
"""Longest time that an answer takes to arrive, in seconds; each takes another one."""


class _Read(NamedTuple):
    from_offset: int
    done: Callable[[Records], None]


class _Log:
    """A log that answers a read when it is told to, and loads without delay."""

    def __init__(self) -> None:
        self.loads = 0
        self.end = 0
        self.reads: list[_Read] = []

    def append(self, append: Append, done: Callable[[Any], None]) -> None:
        raise AssertionError("nothing is written here")

    def newest(self, after_key: str, done: Callable[[NewestPage], None]) -> None:
        self.loads += 1
        done(NewestPage(True, RECORDS[: self.end], False, self.end))

    def read(self, from_offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        self.reads.append(_Read(from_offset, done))


def _answer_at(log: _Log, end: int, read: _Read) -> Callable[[], None]:
    """Return what delivers the answer to a read, as of the time when the log ended at `end`."""
    records = Records(ReadOutcome.OK, RECORDS[read.from_offset : end], end)
    return lambda: read.done(records)


def _follow(log: _Log) -> LogFollower:
    timers: Any = _Timers()
    follower = LogFollower(log, timers, lambda: 5.0, lambda records: None, lambda *_: None)
    follower.eager = True
    follower.begin()
    return follower


class _Timers:
    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Drop the action: no test here needs the read that follows."""


def test_a_read_that_a_refresh_overtook_does_not_load_the_log_again() -> None:
    """Guards against a load of the whole log each time that answers arrive out of order."""
    log = _Log()
    follower = _follow(log)
    follower.refresh(lambda ok: None)
    long_poll, refresh = log.reads
    arrive_late = _answer_at(log, 1, long_poll)
    _answer_at(log, 3, refresh)()
    arrive_late()
    assert log.loads == 1
    assert follower.copy.loaded
    assert follower.copy.next_offset == 3


def test_a_refresh_that_a_read_overtook_does_not_load_the_log_again() -> None:
    log = _Log()
    follower = _follow(log)
    reached: list[bool] = []
    follower.refresh(reached.append)
    long_poll, refresh = log.reads
    arrive_late = _answer_at(log, 1, refresh)
    _answer_at(log, 2, long_poll)()
    arrive_late()
    assert log.loads == 1
    assert reached == [True]
    assert follower.copy.next_offset == 2


def test_a_log_that_lost_records_is_loaded_again() -> None:
    """Guards against reading on from an offset that the log does not have any more."""
    log = _Log()
    log.end = 3
    follower = _follow(log)
    (read,) = log.reads
    log.end = 1
    read.done(Records(ReadOutcome.OK, (), 1))
    assert log.loads == 2
    assert follower.copy.next_offset == 1


def test_no_instance_loads_the_log_again_while_answers_take_different_times() -> None:
    world = small_world(instances=4, runners=6)
    loads: list[str] = []
    for instance in world.instances.values():
        port: Any = instance.follower._log
        newest = port.newest

        def load(key: str, done: Any, newest: Any = newest, name: str = instance.name) -> None:
            loads.append(name)
            newest(key, done)

        port.newest = load
    for number in range(int(PLAY_S / INTERVAL_S)):
        instances = list(world.instances.values())
        instance = instances[number % len(instances)]
        instance.submit(f"{number:04x}", STEP)
        for other in instances:
            other.intake.state(JobId("unknown"), lambda phase: None)
        delay_s = world.random.uniform(0.0, MAX_READ_DELAY_S)
        world.store.slow_reads_s[instance.name] = delay_s
        world.run(INTERVAL_S)
    assert loads == []
