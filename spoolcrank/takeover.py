"""Restore a leader's state from the records, and log each job that is read."""

from spoolcrank.decoding import Unreadable
from spoolcrank.job_state import JobState
from spoolcrank.keyed_log import (
    LEARNED_KEY,
    KeyedLog,
    KeyedRecord,
    RecordKind,
    cancel_key,
    job_of_key,
    kind_of,
    progress_key,
)
from spoolcrank.learned_state import decode_learned_state
from spoolcrank.scheduler import Scheduler
from spoolcrank.telemetry import Telemetry
from spoolcrank.workflow import decode_job, decode_progress


def restore_state(
    scheduler: Scheduler,
    copy: KeyedLog,
    telemetry: Telemetry,
    now: float,
    time_of_day_ms: float,
) -> None:
    """Build a new leader's state from the records; log the jobs that have no progress yet."""
    try:
        restore_learned(scheduler, copy)
    except Unreadable as exc:
        log_unreadable_record(telemetry, copy.newest[LEARNED_KEY], str(exc))
    for key, record in list(copy.newest.items()):
        if record.value and kind_of(key) is RecordKind.JOB:
            read_job(scheduler, copy, record, telemetry, now, time_of_day_ms, taking_over=True)
    for key, record in copy.newest.items():
        if record.value and kind_of(key) is RecordKind.CANCEL:
            if job_of_key(key) not in scheduler.jobs:
                scheduler.cancel(job_of_key(key), now)
    telemetry.log(
        "took-over",
        important=True,
        term=scheduler.term,
        jobs=len(scheduler.jobs),
        offset=copy.next_offset,
    )


def read_job(
    scheduler: Scheduler,
    copy: KeyedLog,
    record: KeyedRecord,
    telemetry: Telemetry,
    now: float,
    time_of_day_ms: float,
    taking_over: bool = False,
) -> None:
    """Add a job whose record was read, and log it unless a takeover resumes it."""
    try:
        resumed = restore_job(scheduler, copy, record, now, time_of_day_ms)
    except Unreadable as exc:
        scheduler.unreadable_jobs.add(job_of_key(record.key))
        log_unreadable_record(telemetry, record, str(exc))
        return
    if not (resumed and taking_over):
        log_job(telemetry, scheduler.jobs[job_of_key(record.key)], record.offset, resumed)


def restore_job(
    scheduler: Scheduler, copy: KeyedLog, record: KeyedRecord, now: float, time_of_day_ms: float
) -> bool:
    """Add a job with its stored progress; return whether it is resumed.

    Raise Unreadable, and do not add the job, if either record cannot be read: added as a new job it
    would repeat completed work.
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


def restore_learned(scheduler: Scheduler, copy: KeyedLog) -> None:
    """Restore the state learned by earlier leaders; raise Unreadable if it cannot be read."""
    value = copy.value(LEARNED_KEY)
    if not value:
        return
    stored = decode_learned_state(value)
    scheduler.contention.restore(stored.images)
    scheduler.times.restore(stored.times)


def log_job(telemetry: Telemetry, job: JobState, offset: int, resumed: bool) -> None:
    """Log a job that was read."""
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


def log_unreadable_record(telemetry: Telemetry, record: KeyedRecord, why: str) -> None:
    """Log that a record of the scheduler's log is skipped; the state stays unchanged."""
    telemetry.log(
        "record-unreadable", important=True, key=record.key, offset=record.offset, why=why
    )


def log_unreadable_entry(telemetry: Telemetry, record: KeyedRecord, why: str) -> None:
    """Log that an entry in the list of runners is skipped; its runner is not used."""
    telemetry.log(
        "entry-unreadable", important=True, runner=record.key, offset=record.offset, why=why
    )
