"""Decide whether a runner or a task is to blame for an abnormal end of a run.

Abnormal ends are a refused start, a run that hangs and a run that failed. A runner with such ends
is quarantined for a while. If one task has them on one runner after another, the task is the cause
and waits longer each time; otherwise it would cause the quarantine of all runners in turn.
"""

from spoolcrank.job_state import TaskState
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage

MAX_BLAMED_RUNNERS = 2
"""Maximum number of runners that are blamed for the abnormal ends of one task: one runner may
be faulty, and a second one may fail by chance."""

RESTART_DELAYS_S = (0.0, 0.2, 0.5, 1.0, 2.0)
"""Delays before the next start after one, two, three, ... abnormal ends, in seconds. A job of
which nothing runs for 3 s counts as lost."""

CLEARS_AFTER_S = 5.0
"""Minimum lifetime, in seconds, at which a run clears its task of earlier abnormal ends; a lasting
task may fail occasionally."""


def record_abnormal_end(task: TaskState, runner: RunnerState, run: Run, now: float) -> bool:
    """Record an abnormal end; return whether the runner is to blame."""
    if run.stage is RunStage.RUNNING and now - run.since >= CLEARS_AFTER_S:
        task.abnormal_ends, task.abnormal_end_runners = 0, ()
    task.abnormal_ends += 1
    delay_s = RESTART_DELAYS_S[min(task.abnormal_ends, len(RESTART_DELAYS_S)) - 1]
    task.not_before = max(task.not_before, now + delay_s)
    if runner.id in task.abnormal_end_runners:
        return True
    if len(task.abnormal_end_runners) >= MAX_BLAMED_RUNNERS:
        return False
    task.abnormal_end_runners = (*task.abnormal_end_runners, runner.id)
    return True
