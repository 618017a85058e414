"""Set the pace of fillers, and slow them down before a serving task starts beside them."""

import math
from collections.abc import Iterator

from spoolcrank.orders import Pace
from spoolcrank.packing import NEGLIGIBLE_EFFECT
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import TaskKey

AIM_RATIO = 0.72
"""Ratio of tail latency to target that the paces are set for."""

MIN_PACE_PERCENT = 40
"""Lowest pace of a slowed filler, percent, except where a tail latency stays over its target. A
slower filler occupies its runner and memory and delays all later steps of its job."""

MAX_SLOW_PACE_PERCENT = 50
"""Pace up to which a filler counts as slow, percent."""


def fillers(runner: RunnerState) -> Iterator[tuple[TaskKey, Run]]:
    """Yield the running fillers of a runner."""
    for key, run in runner.runs.items():
        if run.fills and run.stage is RunStage.RUNNING:
            yield key, run


def order_pace(
    state: Scheduler, runner: RunnerState, key: TaskKey, run: Run, pace: int, now: float
) -> None:
    """Order a new pace, in percent, for a filler, and update the time since when it is slow."""
    runner.set_pace(run, pace, now)
    if pace > MAX_SLOW_PACE_PERCENT:
        run.slow_since = None
    elif run.slow_since is None:
        run.slow_since = now
    state.orders.append(Pace(state.target(runner), key, run.number, pace))
    state.log_event("paced", task=key, run=run.number, runner=runner.id, percent=pace)


def order_starting_pace(
    state: Scheduler, runner: RunnerState, key: TaskKey, run: Run, now: float
) -> None:
    """Order the pace of a run that has just started and starts slowly."""
    if run.starts_slowly:
        order_pace(state, runner, key, run, run.pace, now)


def slow_fillers_for(state: Scheduler, runner: RunnerState, image: str, now: float) -> None:
    """Slow fillers down as the model predicts, before a serving task of an image starts running."""
    weight = state.contention.weight
    effects = [
        (key, run, weight(image, run.image) * runner.share(run.paced_millicores))
        for key, run in fillers(runner)
    ]
    total_effect = sum(effect for _, _, effect in effects)
    allowed = max(0.0, math.log(AIM_RATIO) - state.contention.base(image))
    if total_effect <= allowed:
        return
    for key, run, effect in effects:
        pace = max(MIN_PACE_PERCENT, int(run.pace * allowed / total_effect))
        if effect > NEGLIGIBLE_EFFECT / 2 and pace < run.pace:
            order_pace(state, runner, key, run, pace, now)
