"""The age of a copy that was loaded in several pages, while records were written."""

from typing import Any

from spoolcrank.errors import ErrorKind
from spoolcrank.ids import JobId
from spoolcrank.job_intake import MAX_COUNT_AGE_S
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import NewestPage, Records
from spoolcrank.workflow import Step
from tests.fleet_world import ROUTE, small_world

FITS_NOWHERE = Step(count=1, millicores=1000, memory_mb=100_000, image="large")
EARLIER_JOBS = 40
LATER_JOBS = 20
PAGE_S = 0.8
"""Time until a page of the load is answered, seconds."""

READ_S = 0.7
"""Time until the first read after the load is answered, seconds."""


class PagedLog:
    """A log of two pages; a record that stands in the first one is written after that page."""

    def __init__(self) -> None:
        self.now = 100.0

    def newest(self, after_key: str, done: Any) -> None:
        self.now += 2.0
        if not after_key:
            done(NewestPage(True, (KeyedRecord("j/2", b"x", 0),), True, 2))
        else:
            done(NewestPage(True, (KeyedRecord("j/3", b"x", 1),), False, 3))

    def read(self, from_offset: int, wait_ms: int, done: Any) -> Records | None:
        """Leave the read unanswered."""


def test_a_load_in_pages_is_as_old_as_its_first_page() -> None:
    """Guards against a copy that counts as read just now and lacks a record of 2 s before."""
    log = PagedLog()
    untyped: Any = (log, None)
    port, timers = untyped
    follower = LogFollower(port, timers, lambda: log.now, lambda *_: None, lambda *_: None)
    follower.begin()
    assert follower.copy.loaded
    assert follower.copy.next_offset == 2
    assert follower.copy.read_at == 100.0


def test_no_count_is_told_from_a_load_whose_first_page_is_too_old() -> None:
    """Guards against a count of waiting jobs that lacks jobs accepted longer ago than it may."""
    world = small_world(instances=2)
    leader = world.leader()
    assert leader is not None
    (reader,) = (other for other in world.instances.values() if other is not leader)
    reader.dispatcher._claiming.allowed = False
    for number in range(EARLIER_JOBS):
        leader.submit(f"{number + 0x100:04x}", FITS_NOWHERE)
    world.run(2.0)
    world.store.slow_pages_s[reader.name] = PAGE_S
    world.store.slow_reads_s[reader.name] = READ_S
    reader.follower.begin()
    world.run(1.5 * PAGE_S)
    for number in range(LATER_JOBS):
        leader.submit(f"{number:04x}", FITS_NOWHERE)
    world.run(0.5)
    accepted_at = world.now
    assert leader.index.phase(JobId("0000")) is not None
    world.run_until(lambda: reader.follower.copy.loaded)
    assert world.now - accepted_at > MAX_COUNT_AGE_S
    counts: list[Any] = []
    reader.intake.waiting(ROUTE, counts.append)
    world.run(3.0)
    assert counts[0] in (EARLIER_JOBS + LATER_JOBS, ErrorKind.LOG_UNAVAILABLE)
