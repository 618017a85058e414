"""Choose the runner for a waiting task.

Tasks that serve are packed onto few runners, fillers go where none serve, and short counted
tasks take what fillers would not get. So what fills and what serves seldom meet.
"""

from collections.abc import Iterable
from typing import NamedTuple

from spoolcrank.runner_state import RunnerState
from spoolcrank.workflow import RunnerId, Step

SERVING_SHARE = 0.85
"""Packing stops when counted work takes this share of a runner's processors; the rest absorbs
load that swings, and short counted tasks."""

FILL_SHARE = 0.9
"""A filler starts where at least this share of what it wants is left over; below it, waiting
for a free place ends sooner than sharing one."""


class Wish(NamedTuple):
    """One waiting task as the choice sees it.

    Attributes:
        step: what it needs.
        held: tasks of its step on each runner.
        avoid: the runner it failed on last.
        rack: only here, where it is not empty.
    """

    step: Step
    held: dict[RunnerId, int]
    avoid: RunnerId
    rack: str = ""


def choose(wish: Wish, runners: Iterable[RunnerState]) -> RunnerState | None:
    """Return the runner for a task, or None if it has to wait."""
    best: RunnerState | None = None
    best_score: tuple[float, ...] = ()
    for runner in runners:
        if not _allowed(wish, runner):
            continue
        score = _score(wish, runner)
        if score and (best is None or score > best_score):
            best, best_score = runner, score
    return best


def could_ever_hold(step: Step, runner: RunnerState) -> bool:
    """Tell whether an empty runner could hold one task of the step."""
    room, demand = runner.entry.room, step.demand
    return (
        demand.millicores <= room.millicores
        and demand.memory_mb <= room.memory_mb
        and demand.accelerators <= room.accelerators
        and (not step.label or step.label in runner.entry.labels)
    )


def _allowed(wish: Wish, runner: RunnerState) -> bool:
    step = wish.step
    if not runner.fits(step.demand):
        return False
    if step.label and step.label not in runner.entry.labels:
        return False
    if wish.rack and wish.rack not in runner.entry.labels:
        return False
    return not step.max_per_instance or wish.held.get(runner.id, 0) < step.max_per_instance


def _score(wish: Wish, runner: RunnerState) -> tuple[float, ...]:
    step = wish.step
    near = 1.0 if not step.data_rack or step.data_rack in runner.entry.labels else 0.0
    fresh = 0.0 if runner.id == wish.avoid else 1.0
    if step.fills:
        return _score_filler(step, runner, fresh, near)
    if step.target_ms or step.lasting:
        return _score_serving(step, runner, fresh, near)
    alone = 1.0 if runner.serving else 0.0
    return (fresh, near, alone, float(runner.idle_millicores))


def _score_filler(step: Step, runner: RunnerState, fresh: float, near: float) -> tuple[float, ...]:
    if runner.idle_millicores < step.millicores * FILL_SHARE:
        return ()
    apart = 0.0 if runner.serving else 1.0
    return (fresh, apart, near, float(runner.idle_millicores))


def _score_serving(step: Step, runner: RunnerState, fresh: float, near: float) -> tuple[float, ...]:
    after = runner.used_millicores + step.millicores
    roomy = 1.0 if after <= runner.entry.room.millicores * SERVING_SHARE else 0.0
    joined = 1.0 if runner.serving else 0.0
    return (fresh, near, roomy, joined, -float(runner.filled_millicores), float(after))
