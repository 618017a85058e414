"""Answer for jobs from the copy of the log: where each stands, how many wait."""

from collections.abc import Callable
from dataclasses import dataclass

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord, RecordKind, job_of_key, kind_of
from spoolcrank.reading import Unreadable
from spoolcrank.workflow import FINAL, JobPhase, RouteName, decode_job, stored_phase


def _pass_over(record: KeyedRecord, why: str) -> None:
    """Leave a record out where nobody asks to be told."""


@dataclass(slots=True)
class _Standing:
    route: RouteName | None = None
    phase: JobPhase = JobPhase.PENDING
    cancelled: bool = False


class JobIndex:
    """What every instance knows of each job, from the records alone.

    Args:
        on_unreadable: told of each record that cannot be read, and why; it changes nothing.
    """

    def __init__(self, on_unreadable: Callable[[KeyedRecord, str], None] = _pass_over) -> None:
        self._on_unreadable = on_unreadable
        self._jobs: dict[JobId, _Standing] = {}

    def take(self, record: KeyedRecord) -> None:
        """Take one record; records may come again."""
        kind = kind_of(record.key)
        if kind not in (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS):
            return
        job = job_of_key(record.key)
        if not record.value:
            if kind is RecordKind.JOB:
                self._jobs.pop(job, None)
            return
        standing = self._jobs.get(job) or _Standing()
        try:
            _apply(standing, kind, record.value)
        except Unreadable as exc:
            self._on_unreadable(record, str(exc))
            return
        self._jobs[job] = standing

    def phase(self, job: JobId) -> JobPhase | None:
        """Return where a job stands, or None for one that was never accepted."""
        standing = self._jobs.get(job)
        if standing is None or standing.route is None:
            return None
        if standing.cancelled and standing.phase not in FINAL:
            return JobPhase.CANCELLED
        return standing.phase

    def waiting(self, route: RouteName) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for one in self._jobs.values()
            if one.route == route and one.phase is JobPhase.PENDING and not one.cancelled
        )


def _apply(standing: _Standing, kind: RecordKind | None, value: bytes) -> None:
    if kind is RecordKind.JOB:
        standing.route = decode_job(value).route
    elif kind is RecordKind.PROGRESS:
        standing.phase = stored_phase(value)
    else:
        standing.cancelled = True
