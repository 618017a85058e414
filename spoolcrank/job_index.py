"""Answer for jobs from the copy of the log: where each stands, how many wait."""

from dataclasses import dataclass

import msgspec

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord, RecordKind, job_of_key, kind_of
from spoolcrank.workflow import FINAL, JobPhase, RouteName, stored_phase


class _RouteOnly(msgspec.Struct):
    route: str


_decode_route = msgspec.json.Decoder(_RouteOnly).decode


@dataclass(slots=True)
class _Standing:
    route: RouteName | None = None
    phase: JobPhase = JobPhase.PENDING
    cancelled: bool = False


class JobIndex:
    """What every instance knows of each job, from the records alone."""

    def __init__(self) -> None:
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
        standing = self._jobs.setdefault(job, _Standing())
        if kind is RecordKind.JOB:
            standing.route = RouteName(_decode_route(record.value).route)
        elif kind is RecordKind.PROGRESS:
            standing.phase = stored_phase(record.value)
        else:
            standing.cancelled = True

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
