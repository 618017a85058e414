"""Take what the records hold into a leader's state, and tell of each job that is read."""

from spoolcrank.job_state import JobState
from spoolcrank.keyed_log import (
    LEARNT_KEY,
    KeyedLog,
    KeyedRecord,
    RecordKind,
    cancel_key,
    job_of_key,
    kind_of,
    progress_key,
)
from spoolcrank.learnt import decode_learnt
from spoolcrank.reading import Unreadable
from spoolcrank.scheduler import Scheduler
from spoolcrank.telemetry import Telemetry
from spoolcrank.workflow import decode_job, decode_progress


def take_records(
    scheduler: Scheduler,
    copy: KeyedLog,
    telemetry: Telemetry,
    now: float,
    time_of_day_ms: float,
) -> None:
    """Build a new leader's state from the records; tells of those jobs that are new."""
    try:
        restore_learnt(scheduler, copy)
    except Unreadable as exc:
        tell_unreadable(telemetry, copy.newest[LEARNT_KEY], str(exc))
    for key, record in list(copy.newest.items()):
        if record.value and kind_of(key) is RecordKind.JOB:
            read_job(scheduler, copy, record, telemetry, now, time_of_day_ms, taking_over=True)
    telemetry.log("took-over", grave=True, term=scheduler.term, jobs=len(scheduler.jobs))


def read_job(
    scheduler: Scheduler,
    copy: KeyedLog,
    record: KeyedRecord,
    telemetry: Telemetry,
    now: float,
    time_of_day_ms: float,
    taking_over: bool = False,
) -> None:
    """Add a job of which a record was read; a takeover tells only of those that are new."""
    try:
        resumed = take_job(scheduler, copy, record, now, time_of_day_ms)
    except Unreadable as exc:
        tell_unreadable(telemetry, record, str(exc))
        return
    if not (resumed and taking_over):
        tell_job(telemetry, scheduler.jobs[job_of_key(record.key)], record.offset, resumed)


def take_job(
    scheduler: Scheduler, copy: KeyedLog, record: KeyedRecord, now: float, time_of_day_ms: float
) -> bool:
    """Add a job with what was done of it; returns whether it is resumed.

    Raises Unreadable, and leaves the job alone, where either record cannot be read: taken as fresh
    it would run again what was done.
    """
    job = job_of_key(record.key)
    progress = copy.value(progress_key(job))
    scheduler.add_job(
        job,
        decode_job(record.value),
        record.offset,
        decode_progress(progress) if progress else None,
        bool(copy.value(cancel_key(job))),
        now,
        time_of_day_ms,
    )
    return bool(progress)


def restore_learnt(scheduler: Scheduler, copy: KeyedLog) -> None:
    """Go on from what earlier leaders learnt; raises Unreadable."""
    value = copy.value(LEARNT_KEY)
    if not value:
        return
    stored = decode_learnt(value)
    scheduler.contention.restore(stored.images)
    scheduler.times.restore(stored.times)


def tell_job(telemetry: Telemetry, job: JobState, offset: int, resumed: bool) -> None:
    """Write the line about a job that was read."""
    steps = job.record.workflow.steps
    telemetry.log(
        "job-read",
        job=job.id,
        offset=offset,
        resumed=resumed,
        queue=job.record.route,
        objective_s=round(job.objective_s, 2),
        after=[step.after for step in steps],
        images=[step.image for step in steps],
        tasks=[step.count for step in steps],
        millicores=[step.millicores for step in steps],
        estimate_ms=[step.estimate_ms for step in steps],
    )


def tell_unreadable(telemetry: Telemetry, record: KeyedRecord, why: str) -> None:
    """Say that a record of our log is left out: what it is about stays as it is."""
    telemetry.log("record-unreadable", grave=True, key=record.key, offset=record.offset, why=why)


def tell_unreadable_entry(telemetry: Telemetry, record: KeyedRecord, why: str) -> None:
    """Say that an entry in the list of runners is left out: it names no runner to use."""
    telemetry.log("entry-unreadable", grave=True, runner=record.key, offset=record.offset, why=why)
