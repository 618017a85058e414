"""What an instance tells of jobs that the log has dropped while it could not read."""

from typing import Any

from spoolcrank.ids import JobId
from spoolcrank.job_index import JobIndex
from spoolcrank.keyed_log import KeyedRecord, job_key
from spoolcrank.log_follower import LogFollower
from spoolcrank.store_port import NewestPage, ReadOutcome, Records
from spoolcrank.workflow import JobRecord, Step, Workflow, encode
from tests.fleet_world import ROUTE, SERVICE

JOB = JobId("00ab")
STEP = Step(count=1, millicores=1000, memory_mb=100)


class ShortLog:
    """A log whose only job has ended and is dropped, with its history, after the first load."""

    def __init__(self) -> None:
        record = JobRecord(ROUTE, SERVICE, 0, 3, 250, 1.5, Workflow("x", (STEP,)))
        self.pages = [
            NewestPage(True, (KeyedRecord(job_key(JOB), encode(record), 0),), False, 1),
            NewestPage(True, (), False, 9),
        ]
        self.reads = 0

    def newest(self, after_key: str, done: Any) -> None:
        done(self.pages.pop(0))

    def read(self, from_offset: int, wait_ms: int, done: Any) -> None:
        self.reads += 1
        if self.reads == 1:
            done(Records(ReadOutcome.EXPIRED))


def test_a_job_that_a_load_no_longer_has_is_not_counted() -> None:
    """Guards against a count of waiting jobs that stays too high for as long as an instance runs.

    The copy drops the job, but the index that answers clients hears only of records.
    """
    index = JobIndex()

    def on_records(records: list[KeyedRecord]) -> None:
        for record in records:
            index.apply_record(record)

    untyped: Any = (ShortLog(), None)
    log, timers = untyped
    follower = LogFollower(log, timers, lambda: 5.0, on_records, lambda *_: None)
    follower.begin()
    assert follower.copy.loaded and not follower.copy.newest
    assert index.waiting(ROUTE) == 0
    assert index.phase(JOB) is None
