"""Index the jobs of the log: the phase of each and the number that wait."""

from collections.abc import Callable
from dataclasses import dataclass

from spoolcrank.decoding import Unreadable
from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord, RecordKind, job_of_key, kind_of
from spoolcrank.workflow import FINAL, JobPhase, RouteName, decode_job, decode_phase


def _ignore_unreadable(record: KeyedRecord, why: str) -> None:
    """Ignore an unreadable record; the default of `JobIndex`."""


@dataclass(slots=True)
class _JobStatus:
    route: RouteName | None = None
    phase: JobPhase = JobPhase.PENDING
    cancelled: bool = False


class JobIndex:
    """The route and phase of each job, derived from the records of the log.

    Args:
        on_unreadable: called with each record that cannot be decoded, and the reason; such a
            record leaves the index unchanged.
    """

    def __init__(
        self, on_unreadable: Callable[[KeyedRecord, str], None] = _ignore_unreadable
    ) -> None:
        self._on_unreadable = on_unreadable
        self._jobs: dict[JobId, _JobStatus] = {}
        self._unknown_cancelled: set[JobId] = set()

    @property
    def unknown_cancelled(self) -> int:
        """Return the number of cancelled ids under which no job was accepted."""
        return len(self._unknown_cancelled)

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply one record; applying it again has no effect."""
        kind = kind_of(record.key)
        if kind not in (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS):
            return
        job = job_of_key(record.key)
        status = self._jobs.get(job) or _JobStatus()
        try:
            _update_status(status, kind, record.value)
        except Unreadable as exc:
            self._on_unreadable(record, str(exc))
            return
        self._store(job, status)

    def _store(self, job: JobId, status: _JobStatus) -> None:
        """Keep the status of an id while its job or a request to cancel it is on the log."""
        if status.route is None and not status.cancelled and status.phase is JobPhase.PENDING:
            self._jobs.pop(job, None)
        else:
            self._jobs[job] = status
        if status.cancelled and status.route is None:
            self._unknown_cancelled.add(job)
        else:
            self._unknown_cancelled.discard(job)

    def phase(self, job: JobId) -> JobPhase | None:
        """Return the phase of a job, or None if the index has no such accepted job."""
        status = self._jobs.get(job)
        if status is None or status.route is None:
            return None
        if status.cancelled and status.phase not in FINAL:
            return JobPhase.CANCELLED
        return status.phase

    def waiting(self, route: RouteName) -> int:
        """Return the number of accepted jobs of a queue that are pending and not cancelled."""
        return sum(
            1
            for job in self._jobs.values()
            if job.route == route and job.phase is JobPhase.PENDING and not job.cancelled
        )


def _update_status(status: _JobStatus, kind: RecordKind | None, value: bytes) -> None:
    """Apply the value of one of the records of a job; an empty one means that it was deleted."""
    if kind is RecordKind.JOB:
        status.route = decode_job(value).route if value else None
    elif kind is RecordKind.PROGRESS:
        status.phase = decode_phase(value) if value else JobPhase.PENDING
    else:
        status.cancelled = bool(value)
