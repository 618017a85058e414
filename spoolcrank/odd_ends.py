"""Tell whether a runner or a task is to blame where a run ended oddly.

A start that is refused, a run that stands still, a run that failed: a runner that does so to its
tasks gets no work for a while. Where one task meets it on runner after runner it is the task, which
then waits longer each time; else it would take all runners out of use in turn.
"""

from spoolcrank.job_state import TaskState
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage

MOST_BLAMED = 2
"""Runners that are blamed for the odd ends of one task: one may be unsound, and two by chance."""

PAUSES_S = (0.0, 0.2, 0.5, 1.0, 2.0)
"""Before the next start after one, two, three, ... odd ends, s. A job with nothing at work for 3 s
counts as lost."""

WELL_S = 5.0
"""A run that was at work for so long, s, clears its task: what lasts may fail now and then."""


def blames_runner(task: TaskState, runner: RunnerState, run: Run, now: float) -> bool:
    """Take note of an odd end; returns whether it speaks against the runner."""
    if run.stage is RunStage.RUNNING and now - run.since >= WELL_S:
        task.odd_ends, task.odd_on = 0, ()
    task.odd_ends += 1
    pause_s = PAUSES_S[min(task.odd_ends, len(PAUSES_S)) - 1]
    task.not_before = max(task.not_before, now + pause_s)
    if runner.id in task.odd_on:
        return True
    if len(task.odd_on) >= MOST_BLAMED:
        return False
    task.odd_on = (*task.odd_on, runner.id)
    return True
