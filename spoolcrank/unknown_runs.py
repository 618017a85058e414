"""Keep a task from starting while a runner lists a run of it that the leader does not have.

An incarnation of a runner may carry out a start that was sent to an earlier one seconds before. The
leader has given that run up by then, and orders its stop when a report lists it. Until a later
report shows the end, the work goes on there, so that the task must not start anywhere else.
"""

from collections.abc import Iterable

from spoolcrank.job_state import NO_RUNNER, StepState, TaskState, find_task
from spoolcrank.orders import Report
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Phase, RunnerId, TaskKey


def record_unknown_runs(
    state: Scheduler, runner: RunnerState, report: Report, unknown: Iterable[TaskKey], now: float
) -> None:
    """Record the tasks of which a report lists unknown runs, and prevent starts not ordered yet.

    A partial report may lack ends, so that a run that it does not list may have ended as done.
    """
    tasks = frozenset(key for key in unknown if _is_open(state, key))
    if not report.whole:
        tasks |= state.unknown_runs.get(runner.id, frozenset())
    if tasks:
        state.unknown_runs[runner.id] = tasks
    else:
        state.unknown_runs.pop(runner.id, None)
    for key in tasks:
        _prevent_start(state, key, now)


def may_start(state: Scheduler, key: TaskKey, task: TaskState, now: float) -> bool:
    """Return whether no delay and no unknown run keeps a waiting task from starting."""
    return task.not_before <= now and unknown_run_at(state, key, now) == NO_RUNNER


def gang_may_start(state: Scheduler, first: TaskKey, step: StepState, now: float) -> bool:
    """Return whether the same holds for all members of a gang, given the key of the first one."""
    keys = (first._replace(number=number) for number in range(len(step.tasks)))
    return step.tasks[0].not_before <= now and not any(
        unknown_run_at(state, key, now) for key in keys
    )


def unknown_run_at(state: Scheduler, key: TaskKey, now: float) -> RunnerId:
    """Return a runner that may execute an unknown run of a task; empty if there is none."""
    for runner_id, tasks in state.unknown_runs.items():
        runner = state.runners.get(runner_id)
        if key in tasks and runner is not None and not runner.surely_ended(now):
            return runner_id
    return NO_RUNNER


def _is_open(state: Scheduler, key: TaskKey) -> bool:
    job, task = state.jobs.get(key.job), find_task(state.jobs, key)
    if job is None or task is None:
        return False
    return job.phase not in FINAL and task.phase is not Phase.DONE


def _prevent_start(state: Scheduler, key: TaskKey, now: float) -> None:
    """Release the bound run of a task if its start was not ordered yet."""
    task = find_task(state.jobs, key)
    runner = state.runners.get(task.runner) if task is not None else None
    run = runner.runs.get(key) if runner is not None else None
    if runner is not None and run is not None and run.stage is RunStage.RECORDED:
        state.stop_run(key, runner.id, now)
