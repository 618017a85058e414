"""Hold what the leader's records do not say yet, and what follows once they do."""

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
    """What is to be kept in one append, and what follows once it is.

    Attributes:
        records: to be appended.
        starts: to be ordered once the records are kept.
        seen: per runner, the ends that may be forgotten then.
        preassigned: runs that may be ordered on without another record then.
    """

    records: list[KeyedRecord]
    starts: list[BoundRun]
    seen: dict[RunnerId, int]
    preassigned: list[BoundRun]


@dataclass
class Unkept:
    """What goes into the next batch.

    Attributes:
        jobs: those whose progress has changed, in that order.
        starts: runs to be ordered once their record is kept.
        preassigned: runs that are preassigned once their record is kept.
        others: records that belong to no job's progress.
    """

    jobs: dict[JobId, None] = field(default_factory=dict)
    starts: list[BoundRun] = field(default_factory=list)
    preassigned: list[BoundRun] = field(default_factory=list)
    others: list[KeyedRecord] = field(default_factory=list)

    def change(self, job: JobId) -> None:
        """Take note that a job's progress has to be written again."""
        self.jobs[job] = None
