"""Apply the log's records to the ledger in log order, with the same result on every instance.

This module never reads a clock: ages are computed from the writers' timestamps in the records.
"""

from spoolcrank.epochs import claim_of
from spoolcrank.errors import Outcome
from spoolcrank.ids import NO_EPOCH, task_id
from spoolcrank.jobs import ENDED, JobClass, JobSpec, TaskState
from spoolcrank.ledger import Claim, Drain, Job, Key, Ledger, Task, Verdict, Writer
from spoolcrank.lost_tasks import causes_crashes, restart_delay_s, with_crash
from spoolcrank.records import (
    Claimed,
    DeclaredLost,
    Drained,
    Ended,
    Envelope,
    JobAccepted,
    JobRefused,
    JobsCancelled,
    KeyDone,
    KeyTaken,
    Placed,
)

MAX_TASK_FAILURES = 4
ENDED_JOB_RETENTION_S = 3600.0
KEY_RETENTION_S = 900.0
WRITER_RETENTION_S = 7200.0
# Backoff by the number of failures; a refused attempt counts as one failure more.
RESTART_BACKOFF_S = (0.0, 0.5, 2.0, 5.0, 10.0, 30.0)
_PRUNE_INTERVAL_RECORDS = 512


def apply(ledger: Ledger, offset: int, env: Envelope) -> bool:
    """Apply one record and return whether it took effect.

    Args:
        ledger: changed in place.
        offset: the record's offset; a record that has already been applied is skipped.
        env: the record with its writer.

    Returns:
        False for a repeated append and for a record that an earlier record has made void.
    """
    if offset < ledger.offset:
        return False
    ledger.offset = offset + 1
    ledger.latest = max(ledger.latest, env.at)
    writer = ledger.writers.get(env.writer)
    if writer is not None and env.seq <= writer.seq:
        return False
    ledger.writers[env.writer] = Writer(seq=env.seq, at=env.at)
    took_effect = _apply_record(ledger, env)
    if not took_effect:
        ledger.void += 1
    if offset % _PRUNE_INTERVAL_RECORDS == 0:
        prune(ledger)
    return took_effect


def _apply_record(ledger: Ledger, env: Envelope) -> bool:
    match env.record:
        case JobAccepted() as rec:
            return _accept(ledger, rec, env.at)
        case Placed() as rec:
            return _place(ledger, rec, env.at)
        case Ended() as rec:
            return _end(ledger, rec, env.at)
        case Claimed() as rec:
            return _claim(ledger, rec, env.at)
        case JobsCancelled() as rec:
            return _cancel(ledger, rec, env.at)
        case JobRefused() as rec:
            return _refuse(ledger, rec, env.at)
        case KeyTaken() as rec:
            return _take_key(ledger, rec, env.at)
        case KeyDone() as rec:
            return _finish_key(ledger, rec)
        case Drained() as rec:
            return _drain(ledger, rec, env.at)
        case DeclaredLost() as rec:
            return _declare_lost(ledger, rec, env.at)


def _accept(ledger: Ledger, rec: JobAccepted, at: float) -> bool:
    if rec.job in ledger.jobs:
        return False
    ids = [task_id(rec.job, index) for index in range(rec.spec.tasks)]
    ledger.jobs[rec.job] = Job(id=rec.job, spec=rec.spec, at=at, tasks=ids, open=len(ids))
    for task in ids:
        new_task = Task(
            id=task, job=rec.job, size=rec.spec.size, since=at, reason="waits for a place"
        )
        ledger.tasks[task] = new_task
        ledger.pending[task] = None
    return True


def _place(ledger: Ledger, rec: Placed, at: float) -> bool:
    task = ledger.tasks.get(rec.task)
    if task is None or task.state is not TaskState.PENDING:
        return False
    if rec.attempt != task.attempt + 1:
        return False
    if claim_of(rec.epoch) != ledger.epoch(rec.server) or rec.epoch == NO_EPOCH:
        return False
    ledger._remove_from_indexes(task)
    task.state = TaskState.RUNNING
    task.attempt = rec.attempt
    task.server = rec.server
    task.server_incarnation = rec.server_incarnation
    task.epoch = rec.epoch
    task.size = rec.size
    task.since = at
    task.reason = ""
    ledger._add_to_indexes(task)
    return True


def _end(ledger: Ledger, rec: Ended, at: float) -> bool:
    task = ledger.tasks.get(rec.task)
    if task is None or task.state is not TaskState.RUNNING:
        return False
    if task.attempt != rec.attempt or task.server != rec.server:
        return False
    if claim_of(rec.epoch) < ledger.epoch(rec.server):
        return False
    _end_attempt(ledger, task, rec, at)
    return True


def _end_attempt(ledger: Ledger, task: Task, rec: Ended, at: float) -> None:
    job = ledger.jobs[task.job]
    spec = job.spec
    ledger._remove_from_indexes(task)
    if rec.checkpoint is not None:
        task.checkpoint = rec.checkpoint
    task.server = None
    task.since = at
    task.not_before = 0.0
    if rec.crash is not None:
        task.crashes = with_crash(task.crashes, rec.crash)
    elif rec.how != "lost":
        # The attempt ended while its server was still running, so earlier crashes no longer count.
        task.crashes = []
    task.state, task.reason = _next_state(task, rec, spec, job.cancelled_by is not None)
    if rec.how == "failed":
        task.failures += 1
    if (rec.how == "failed" or rec.crash is not None) and rec.server not in task.failed_on:
        task.failed_on.append(rec.server)
    if rec.how == "evicted":
        task.evictions += 1
    if task.state is TaskState.PENDING and rec.how in ("failed", "refused", "finished"):
        backoff_index = min(task.failures + (rec.how == "refused"), len(RESTART_BACKOFF_S) - 1)
        task.not_before = at + RESTART_BACKOFF_S[backoff_index]
    if task.state is TaskState.PENDING and rec.crash is not None:
        task.not_before = at + restart_delay_s(len(task.crashes))
    _decrement_open_if_ended(job, task)
    ledger._add_to_indexes(task)


def _next_state(task: Task, rec: Ended, spec: JobSpec, cancelled: bool) -> tuple[TaskState, str]:
    watcher = spec.job_class is JobClass.WATCHER
    reason = rec.reason or rec.how
    if rec.how == "finished" and not watcher:
        return TaskState.FINISHED, ""
    if cancelled:
        if rec.how == "lost" and not spec.repeatable:
            return TaskState.UNKNOWN, "cancelled, but its server was lost while it ran"
        return TaskState.CANCELLED, reason
    if rec.how == "refused":
        return TaskState.PENDING, f"refused by {rec.server}: {reason}"
    if not spec.repeatable:
        return _next_state_non_repeatable(rec, reason)
    if rec.how == "failed" and not watcher and task.failures + 1 >= MAX_TASK_FAILURES:
        return TaskState.FAILED, f"failed {MAX_TASK_FAILURES} times, last on {rec.server}: {reason}"
    if causes_crashes(task.crashes):
        servers = ", ".join(crash.server for crash in task.crashes)
        return TaskState.FAILED, f"given up: servers crash soon after they start it: {servers}"
    return TaskState.PENDING, f"attempt {rec.attempt} on {rec.server} {rec.how}"


def _next_state_non_repeatable(rec: Ended, reason: str) -> tuple[TaskState, str]:
    if rec.how == "lost":
        return TaskState.UNKNOWN, f"started on {rec.server}, which was lost; may not be repeated"
    if rec.how in ("evicted", "lapsed", "stopped") and rec.checkpoint is not None:
        return TaskState.PENDING, f"{rec.how} on {rec.server} with its state kept; resumes"
    if rec.how in ("failed", "finished"):
        return (
            TaskState.FAILED,
            f"ended as {rec.how} on {rec.server}: {reason}; may not be repeated",
        )
    return TaskState.UNKNOWN, f"{rec.how} on {rec.server} with no state kept; may not be repeated"


def _decrement_open_if_ended(job: Job, task: Task) -> None:
    if task.state in ENDED:
        job.open -= 1


def _claim(ledger: Ledger, rec: Claimed, at: float) -> bool:
    if rec.epoch <= ledger.epoch(rec.server) or claim_of(rec.epoch) != rec.epoch:
        return False
    ledger.claims[rec.server] = Claim(
        owner=rec.owner, incarnation=rec.incarnation, epoch=rec.epoch, at=at
    )
    return True


def _cancel(ledger: Ledger, rec: JobsCancelled, at: float) -> bool:
    if rec.command in ledger.verdicts:
        return False
    not_cancelled: list[str] = []
    done = 0
    for job_id in rec.jobs:
        job = ledger.jobs.get(job_id)
        if job is None:
            not_cancelled.append(f"{job_id} is not known")
        elif job.cancelled_by is not None:
            not_cancelled.append(f"{job_id} was cancelled before by {job.cancelled_by}")
        elif job.open == 0:
            not_cancelled.append(f"{job_id} had ended before")
        else:
            _cancel_job(ledger, job, rec, at)
            done += 1
    detail = "; ".join([f"cancelled {done}", *not_cancelled])
    ledger.verdicts[rec.command] = Verdict(ok=done > 0 or not rec.jobs, detail=detail, at=at)
    return done > 0


def _cancel_job(ledger: Ledger, job: Job, rec: JobsCancelled, at: float) -> None:
    job.cancelled_by = rec.command
    job.reason = f"cancelled by {rec.by or rec.command}"
    _end_pending(ledger, job, TaskState.CANCELLED, job.reason, at)


def _end_pending(ledger: Ledger, job: Job, state: TaskState, reason: str, at: float) -> int:
    """End the pending tasks of a job in the given state; return how many there were."""
    pending = [ledger.tasks[key] for key in job.tasks]
    pending = [task for task in pending if task.state is TaskState.PENDING]
    for task in pending:
        ledger._remove_from_indexes(task)
        task.state = state
        task.reason = reason
        task.since = at
        job.open -= 1
    return len(pending)


def _refuse(ledger: Ledger, rec: JobRefused, at: float) -> bool:
    job = ledger.jobs.get(rec.job)
    if job is None or job.open == 0:
        return False
    refused = _end_pending(ledger, job, TaskState.REFUSED, rec.reason, at)
    job.reason = rec.reason
    return refused > 0


def _take_key(ledger: Ledger, rec: KeyTaken, at: float) -> bool:
    key = ledger.keys.get(rec.key)
    if key is not None and not (key.done and key.done.outcome is Outcome.NOT_RUN):
        return False
    ledger.keys[rec.key] = Key(
        request=rec.request, holder=rec.holder, incarnation=rec.incarnation, at=at
    )
    return True


def _finish_key(ledger: Ledger, rec: KeyDone) -> bool:
    key = ledger.keys.get(rec.key)
    if key is None or key.request != rec.request or key.done is not None:
        return False
    key.done = rec
    return True


def _drain(ledger: Ledger, rec: Drained, at: float) -> bool:
    if rec.command in ledger.verdicts:
        return False
    before = ledger.drains.get(rec.target)
    if rec.on and before is not None:
        detail = f"{rec.target} was drained before by {before.by or before.command}"
    elif not rec.on and before is None:
        detail = f"{rec.target} is not drained"
    elif rec.on:
        ledger.drains[rec.target] = Drain(command=rec.command, by=rec.by, at=at)
        detail = f"{rec.target} drained"
    else:
        del ledger.drains[rec.target]
        detail = f"{rec.target} back in use"
    changed = rec.on != (before is not None)
    ledger.verdicts[rec.command] = Verdict(ok=changed, detail=detail, at=at)
    return changed


def _declare_lost(ledger: Ledger, rec: DeclaredLost, at: float) -> bool:
    if rec.command in ledger.verdicts:
        return False
    tasks = ledger.tasks_on(rec.server)
    for task in tasks:
        ended = Ended(
            task=task.id,
            attempt=task.attempt,
            server=rec.server,
            epoch=task.epoch,
            how="lost",
            reason=f"{rec.server} declared lost by {rec.by or rec.command}",
        )
        _end_attempt(ledger, task, ended, at)
    detail = f"{rec.server} declared lost, {len(tasks)} tasks taken off it"
    ledger.verdicts[rec.command] = Verdict(ok=True, detail=detail, at=at)
    return True


def prune(ledger: Ledger) -> None:
    """Remove jobs, keys, verdicts and writers that are past their retention period.

    The age is counted back from the time of the latest record.
    """
    cutoff = ledger.latest - ENDED_JOB_RETENTION_S
    for job in [job for job in ledger.jobs.values() if job.open == 0]:
        if all(ledger.tasks[task].since < cutoff for task in job.tasks):
            for task in job.tasks:
                ledger.tasks.pop(task)
            del ledger.jobs[job.id]
    _prune_keys(ledger)
    for command in [key for key, verdict in ledger.verdicts.items() if verdict.at < cutoff]:
        del ledger.verdicts[command]
    writers_cutoff = ledger.latest - WRITER_RETENTION_S
    for writer in [key for key, last in ledger.writers.items() if last.at < writers_cutoff]:
        del ledger.writers[writer]


def _prune_keys(ledger: Ledger) -> None:
    cutoff = ledger.latest - KEY_RETENTION_S
    for name in [name for name, key in ledger.keys.items() if key.at < cutoff]:
        del ledger.keys[name]
