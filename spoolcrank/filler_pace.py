"""Set the pace of fillers, and make way for what comes to serve beside them."""

import math
from collections.abc import Iterator

from spoolcrank.orders import Pace
from spoolcrank.packing import SMALL_EFFECT
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import TaskKey

AIM = 0.72
"""Paces are set so that the tail should come to this share of its target."""

LEAST_PACE = 40
"""A filler that is held back works at this share at least, percent, but where a tail stays over its
target. One that crawls holds its place, its memory and all later steps of its job: at 10 the job
missed its time all the same, fillers earned 0.086 less of what they were owed and serving jobs as
much as at 40 (6 paired days)."""

HALF_PACE = 50
"""At this pace or less a filler counts as slow, percent."""


def fillers(runner: RunnerState) -> Iterator[tuple[TaskKey, Run]]:
    """Yield the fillers at work on a runner."""
    for key, run in runner.runs.items():
        if run.fills and run.stage is RunStage.RUNNING:
            yield key, run


def order_pace(
    state: Scheduler, runner: RunnerState, key: TaskKey, run: Run, pace: int, now: float
) -> None:
    """Let a filler work at a share of its speed from now on."""
    runner.set_pace(run, pace, now)
    if pace > HALF_PACE:
        run.slow_since = None
    elif run.slow_since is None:
        run.slow_since = now
    state.orders.append(Pace(state.target(runner), key, run.number, pace))
    state.note("paced", task=key, run=run.number, runner=runner.id, percent=pace)


def make_way(state: Scheduler, runner: RunnerState, image: str, now: float) -> None:
    """Slow fillers down by what is learnt, before a task that serves is at work beside them."""
    weight = state.contention.weight
    effects = [
        (key, run, weight(image, run.image) * runner.share(run.paced_millicores))
        for key, run in fillers(runner)
    ]
    in_all = sum(effect for _, _, effect in effects)
    allowed = max(0.0, math.log(AIM) - state.contention.base(image))
    if in_all <= allowed:
        return
    for key, run, effect in effects:
        pace = max(LEAST_PACE, int(run.pace * allowed / in_all))
        if effect > SMALL_EFFECT / 2 and pace < run.pace:
            order_pace(state, runner, key, run, pace, now)
