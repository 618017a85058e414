"""Collect the leader's records into batches, and carry out what waited for them to be stored."""

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import LEARNED_KEY, KeyedRecord, cancel_key, job_key, progress_key
from spoolcrank.learned_state import LearnedState, encode_learned_state
from spoolcrank.pending_writes import Batch, BoundRun, PendingWrites
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import encode_progress

ENDED_JOB_RETENTION_S = 150.0
"""Time after its end for which a job's records are stored, in seconds. Clients ask for states for
120 s."""

UNKNOWN_CANCEL_RETENTION_S = 60.0
"""Time for which a cancel of an unknown id is stored, in seconds. Instances are paused, and records
without an answer delayed, for some seconds at the most."""

LEARNED_STORE_INTERVAL_S = 3.0
"""Interval at which the learned state is stored, in seconds. It has some kilobytes, and every
instance reads them."""


def take_batch(state: Scheduler) -> Batch | None:
    """Return the pending writes, or None if there are none; a later batch waits for this one."""
    seen = {
        runner.id: runner.acknowledgeable_end
        for runner in state.runners.values()
        if runner.last_handled_end > runner.seen and runner.acknowledgeable_end > runner.seen
    }
    pending_writes = state.pending_writes
    if not (pending_writes.jobs or pending_writes.other_records or seen):
        return None
    records = [
        KeyedRecord(progress_key(job_id), encode_progress(state.jobs[job_id].progress()))
        for job_id in pending_writes.jobs
    ]
    state.pending_writes = PendingWrites(begun=pending_writes.begun)
    return Batch(
        records + pending_writes.other_records,
        pending_writes.starts,
        seen,
        pending_writes.preassigned,
    )


def on_batch_stored(state: Scheduler, batch: Batch, now: float) -> None:
    """Carry out the actions that waited for a batch to be stored."""
    for bound in batch.preassigned:
        _confirm_preassignment(state, bound)
    for runner_id, seen in batch.seen.items():
        runner = state.runners.get(runner_id)
        if runner is not None:
            runner.seen = max(runner.seen, seen)
    state.starts.waiting.extend(batch.starts)


def _confirm_preassignment(state: Scheduler, bound: BoundRun) -> None:
    job = state.jobs.get(bound.task.job)
    if job is None or not job.has(bound.task):
        return
    task = job.task(bound.task)
    # A later preassignment may be pending: confirm this one only if it is still current.
    if task.preassigned == bound.runner and task.run + 1 == bound.number:
        task.preassigned_stored = True


def order_starts(state: Scheduler, now: float) -> None:
    """Order the waiting runs, whose records are stored, as far as the start window allows."""
    if not state.stated.granting:
        return
    while state.starts.waiting and state.starts.may_send(now):
        _start(state, state.starts.waiting.popleft(), now)


def _start(state: Scheduler, bound: BoundRun, now: float) -> None:
    runner = state.runners.get(bound.runner)
    run = runner.runs.get(bound.task) if runner is not None else None
    if runner is None or run is None or run.number != bound.number:
        return
    if run.stage is not RunStage.RECORDED:
        return
    job = state.jobs.get(bound.task.job)
    is_open = job is not None and job.has(bound.task)
    why = _reason_not_to_start(runner, now) if is_open else "its task is finished"
    if why:
        # The reason arose while the start waited. No order was sent: the task may go elsewhere.
        state.release(bound.task, runner, why, now)
        return
    run.stage = RunStage.ORDERED
    run.since = now
    state.order_start(bound.task, runner, run, now)


def _reason_not_to_start(runner: RunnerState, now: float) -> str:
    """Return why no run should start on a runner any more; empty if one may."""
    if runner.evacuated:
        return "its availability zone is being evacuated"
    if runner.is_leaving(now):
        return "its runner is leaving"
    return "its runner is silent" if runner.silent_since is not None else ""


def store_learned(state: Scheduler, now: float) -> None:
    """Store the learned weights and task times for the next leader, if that is due."""
    if now - state.learned_state_stored_at < LEARNED_STORE_INTERVAL_S:
        return
    state.learned_state_stored_at = now
    images = state.contention.learned_state()
    times = state.times.learned_state()
    if images or times:
        record = KeyedRecord(LEARNED_KEY, encode_learned_state(LearnedState(images, times)))
        state.pending_writes.other_records.append(record)


def drop_ended_jobs(state: Scheduler, now: float) -> None:
    """Delete the records of jobs that ended long ago and have no bound run."""
    retained: list[tuple[float, JobId]] = []
    for ended_at, job_id in state.ended:
        job = state.jobs[job_id]
        if now - ended_at < ENDED_JOB_RETENTION_S or next(job.bound(), None) is not None:
            retained.append((ended_at, job_id))
            continue
        del state.jobs[job_id]
        state.pending_writes.jobs.pop(job_id, None)
        state.pending_writes.begun.pop(job_id, None)
        keys = (job_key(job_id), cancel_key(job_id), progress_key(job_id))
        state.pending_writes.other_records += [KeyedRecord(key, b"") for key in keys]
    state.ended = retained


def drop_unknown_cancels(state: Scheduler, now: float) -> None:
    """Delete the records of cancels that were read long ago and whose jobs never came."""
    for job_id, read_at in list(state.unknown_cancelled.items()):
        if now - read_at < UNKNOWN_CANCEL_RETENTION_S:
            break
        del state.unknown_cancelled[job_id]
        state.pending_writes.other_records.append(KeyedRecord(cancel_key(job_id), b""))
