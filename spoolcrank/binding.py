"""Bind waiting tasks to runners, preassign them, and move those that run."""

from spoolcrank.job_state import NO_RUNNER, JobState
from spoolcrank.runner_state import Promise, RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.unkept import BoundRun
from spoolcrank.workflow import Phase, RunnerId, TaskKey

MOVE_PATIENCE_S = 1.5
"""A moved task waits so long for room at the runner that it is meant for, s: where two groups
change places, a stop takes up to 0.9 s."""


def bind(
    state: Scheduler, job: JobState, key: TaskKey, number: int, runner: RunnerState, now: float
) -> None:
    """Bind a waiting task to a runner; its start follows once that is kept."""
    step = job.rounds[key.round].steps[key.step]
    task = step.tasks[key.number]
    step.waiting.pop(key.number, None)
    meant = state.runners.get(task.wanted)
    if meant is not None:
        meant.promised.pop(key, None)
    task.wanted = NO_RUNNER
    task.apart_from = None
    recorded = task.preassigned_kept and task.preassigned == runner.id
    task.preassigned, task.preassigned_kept = NO_RUNNER, False
    task.phase = Phase.BOUND
    task.run = number
    task.runner = runner.id
    job.started_at = now
    job.begin()
    run = state.new_run(job, key, number, RunStage.RECORDED, now)
    run.resumed = bool(task.saved)
    runner.add(key, run)
    state.unkept.change(job.id)
    # Where it is recorded, the records name this run and runner already.
    if recorded and state.starts.open:
        run.stage = RunStage.ORDERED
        state.order_start(key, runner, run, now)
    elif recorded:
        state.starts.waiting.append(BoundRun(runner.id, key, number))
    else:
        state.unkept.starts.append(BoundRun(runner.id, key, number))
    state.note(
        "task-bound",
        task=key,
        run=number,
        runner=runner.id,
        preassigned=recorded,
        idle_millicores=runner.idle_millicores,
        report_age_ms=round((now - runner.answered_at) * 1000),
    )


def preassign(state: Scheduler, job: JobState, key: TaskKey, runner: RunnerId) -> None:
    """Let a runner have the next run of a waiting task, or none; see `preassignment`."""
    task = job.task(key)
    if task.phase is not Phase.WAITING or task.preassigned == runner:
        return
    task.preassigned, task.preassigned_kept = runner, False
    state.unkept.change(job.id)
    if runner != NO_RUNNER:
        state.unkept.preassigned.append(BoundRun(runner, key, task.run + 1))


def move(
    state: Scheduler, key: TaskKey, source: RunnerId, destination: RunnerId, now: float
) -> None:
    """Stop a task, to be started at another runner."""
    task = state.jobs[key.job].task(key)
    task.wanted = destination
    task.wanted_until = now + MOVE_PATIENCE_S
    runner, place = state.runners.get(source), state.runners.get(destination)
    run = runner.runs.get(key) if runner is not None else None
    if run is not None and place is not None:
        place.promised[key] = Promise(run.demand, task.wanted_until)
    state.note("task-moves", task=key, runner=source, to=destination)
    state.stop_run(key, source, now)
