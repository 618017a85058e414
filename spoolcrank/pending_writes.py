"""Hold the leader's pending writes, and the actions that follow once they are stored."""

from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.workflow import RunnerId, TaskKey

MAX_BEGUN_DELAY_S = 0.5
"""Time after which it is written at the latest that a job has begun, in seconds. A count of waiting
jobs may be 2 s old, and other instances read records within 1.1 s."""


class BoundRun(NamedTuple):
    """A run of a task that is bound, or preassigned, to a runner."""

    runner: RunnerId
    task: TaskKey
    number: int


class Batch(NamedTuple):
    """The records of one append, and the actions that follow once it is stored.

    Attributes:
        records: to be appended.
        starts: runs to be ordered once the records are stored.
        seen: for each runner, the number up to which it may forget ends then.
        preassigned: runs that may be ordered without another record then.
    """

    records: list[KeyedRecord]
    starts: list[BoundRun]
    seen: dict[RunnerId, int]
    preassigned: list[BoundRun]


@dataclass
class PendingWrites:
    """The contents of the next batch.

    Attributes:
        jobs: jobs whose progress has changed, in the order of their first change.
        starts: runs to be ordered once their record is stored.
        preassigned: runs that are preassigned once their record is stored.
        other_records: records other than those of jobs' progress.
        begun: jobs that have begun since their last record, with the time; nothing waits for that
            to be stored, so that it goes with the next batch.
    """

    jobs: dict[JobId, None] = field(default_factory=dict)
    starts: list[BoundRun] = field(default_factory=list)
    preassigned: list[BoundRun] = field(default_factory=list)
    other_records: list[KeyedRecord] = field(default_factory=list)
    begun: dict[JobId, float] = field(default_factory=dict)

    def add_changed_job(self, job: JobId) -> None:
        """Record that a job's progress has to be written again."""
        self.jobs[job] = None
        self.begun.pop(job, None)

    def add_begun_job(self, job: JobId, now: float) -> None:
        """Record that a job's progress has to be written again, but not at once."""
        if job not in self.jobs:
            self.begun.setdefault(job, now)

    def add_due_begun(self, now: float) -> None:
        """Add the jobs that have begun to the next batch, if there is one or one of them is due."""
        oldest = next(iter(self.begun.values()), now)
        if self.jobs or self.other_records or now - oldest >= MAX_BEGUN_DELAY_S:
            self.jobs.update(dict.fromkeys(self.begun))
            self.begun.clear()
