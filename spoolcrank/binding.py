"""Bind waiting tasks to runners, preassign them, and move running tasks."""

from spoolcrank.job_state import NO_RUNNER, JobState
from spoolcrank.pending_writes import BoundRun
from spoolcrank.reservation import Reservation
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.start_window import START_OVERHEAD_BYTES
from spoolcrank.workflow import JobPhase, Phase, RunnerId, TaskKey

MOVE_TIMEOUT_S = 1.5
"""Longest time for which a moved task waits for free capacity on its destination, seconds. Where
two groups of tasks change places, stopping a task takes up to 0.9 s."""


def bind(
    state: Scheduler, job: JobState, key: TaskKey, run_number: int, runner: RunnerState, now: float
) -> None:
    """Bind a waiting task to a runner; its start follows once the binding is stored."""
    step = job.rounds[key.round].steps[key.step]
    task = step.tasks[key.number]
    step.waiting.pop(key.number, None)
    destination = state.runners.get(task.move_destination)
    if destination is not None:
        destination.reservations.pop(key, None)
    task.move_destination = NO_RUNNER
    task.isolation_wanted_since = None
    preassigned_here = task.preassigned_stored and task.preassigned == runner.id
    task.preassigned, task.preassigned_stored = NO_RUNNER, False
    task.phase = Phase.BOUND
    task.run = run_number
    task.runner = task.last_runner = runner.id
    job.started_at = now
    job.ever_bound = True
    run = state.new_run(job, key, run_number, RunStage.RECORDED, now)
    run.resumed = bool(task.saved)
    runner.add(key, run)
    state.pending_writes.add_changed_job(job.id)
    # With a stored preassignment, the records already name this run and runner.
    if preassigned_here and state.starts.open:
        run.stage = RunStage.ORDERED
        state.order_start(key, runner, run, now)
    elif preassigned_here:
        state.starts.waiting.append(BoundRun(runner.id, key, run_number))
    else:
        state.pending_writes.starts.append(BoundRun(runner.id, key, run_number))
    state.log_event(
        "task-bound",
        task=key,
        run=run_number,
        runner=runner.id,
        preassigned=preassigned_here,
        idle_millicores=runner.idle_millicores,
        report_age_ms=round((now - runner.answered_at) * 1000),
    )


def start_bytes(state: Scheduler, key: TaskKey) -> int:
    """Return the approximate size of the order to start a task, bytes."""
    job = state.jobs.get(key.job)
    payload = job.record.workflow.payload if job is not None else ""
    return START_OVERHEAD_BYTES + len(payload)


def record_begun(state: Scheduler, job: JobState, now: float) -> None:
    """Record that a runner has begun a task of a job, which is pending until then.

    A start without an answer does not show it, and the task may have to go elsewhere.
    """
    if job.phase is JobPhase.PENDING:
        job.phase = JobPhase.RUNNING
        state.pending_writes.add_begun_job(job.id, now)


def preassign(state: Scheduler, job: JobState, key: TaskKey, runner: RunnerId) -> None:
    """Preassign the next run of a waiting task to a runner, or to none; see `preassignment`."""
    task = job.task(key)
    if task.phase is not Phase.WAITING or task.preassigned == runner:
        return
    task.preassigned, task.preassigned_stored = runner, False
    state.pending_writes.add_changed_job(job.id)
    if runner != NO_RUNNER:
        state.pending_writes.preassigned.append(BoundRun(runner, key, task.run + 1))


def move(
    state: Scheduler, key: TaskKey, source: RunnerId, destination: RunnerId, now: float
) -> None:
    """Stop a task on one runner so that it starts on another, where capacity is reserved for it."""
    task = state.jobs[key.job].task(key)
    task.move_destination = destination
    task.move_until = now + MOVE_TIMEOUT_S
    source_runner, target_runner = state.runners.get(source), state.runners.get(destination)
    run = source_runner.runs.get(key) if source_runner is not None else None
    if run is not None and target_runner is not None:
        target_runner.reservations[key] = Reservation(run.demand, task.move_until)
    state.log_event("task-moves", task=key, runner=source, to=destination)
    state.stop_run(key, source, now)
