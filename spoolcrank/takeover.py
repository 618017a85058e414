"""Take what the records hold into a leader's state, and tell of each job that is read."""

from spoolcrank.job_state import JobState
from spoolcrank.keyed_log import (
    LEARNT_KEY,
    KeyedLog,
    KeyedRecord,
    cancel_key,
    job_of_key,
    progress_key,
)
from spoolcrank.learnt import decode_learnt
from spoolcrank.scheduler import Scheduler
from spoolcrank.telemetry import Telemetry
from spoolcrank.workflow import decode_job, decode_progress


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
