"""Hold the leader's pending writes, and the actions that follow once they are stored."""

from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord
from spoolcrank.workflow import RunnerId, TaskKey


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
    """

    jobs: dict[JobId, None] = field(default_factory=dict)
    starts: list[BoundRun] = field(default_factory=list)
    preassigned: list[BoundRun] = field(default_factory=list)
    other_records: list[KeyedRecord] = field(default_factory=list)

    def add_changed_job(self, job: JobId) -> None:
        """Record that a job's progress has to be written again."""
        self.jobs[job] = None
