"""Choose the runner for a waiting task.

Tasks that serve are packed together by image, so that most fillers find runners where they
slow nothing; fillers go where the tails of what serves stay under their targets; short
counted tasks take what fillers would not get.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from spoolcrank.contention import Contention
from spoolcrank.runner_state import RunnerState
from spoolcrank.workflow import RunnerId, Step

FREE_SHARE = 0.15
"""Serving tasks are packed so that runners with this share of a service's processors hold none
of them, if there is room: fillers that slow what serves go there, and short counted tasks.
How full a runner is does not bear on the tails (measured: the same from 0.5 to 1.0)."""

FILL_SHARE = 0.8
"""A filler starts where at least this share of what it wants is likely left over; below it,
waiting for a free place ends sooner than sharing one."""

TAIL_SHARE = 0.6
"""Fillers may bring the usual tail of what serves to this share of its target; alone it is
about 0.35, and one report in twenty says 0.65."""

SMALL_EFFECT = 0.06
"""A filler that adds less to the logarithm of a tail is no cause of a tail over its target."""


class PlacementRequest(NamedTuple):
    """One waiting task as the choice sees it.

    Attributes:
        step: what it needs.
        held: tasks of its step on each runner.
        avoid: the runner it failed on last.
        rack: only here, where it is not empty.
        keep_free: no runner without serving tasks should take a first one.
        reserve: millicores that a lasting task leaves to short ones on its runner; one that has
            run before leaves none, as it has to be back at work while there is any room.
    """

    step: Step
    held: dict[RunnerId, int]
    avoid: RunnerId
    rack: str = ""
    keep_free: bool = False
    reserve: int = 0


def few_free(runners: Iterable[RunnerState]) -> bool:
    """Tell whether runners without serving tasks are too few to take one of them."""
    room = free = 0
    for runner in runners:
        room += runner.entry.room.millicores
        free += 0 if runner.serving else runner.entry.room.millicores
    return free <= room * FREE_SHARE


def choose(
    request: PlacementRequest, runners: Iterable[RunnerState], contention: Contention, now: float
) -> RunnerState | None:
    """Return the runner for a task, or None if it has to wait."""
    best: RunnerState | None = None
    best_score: tuple[float, ...] = ()
    for runner in runners:
        if not _allowed(request, runner):
            continue
        score = _score(request, runner, contention, now)
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


def _allowed(request: PlacementRequest, runner: RunnerState) -> bool:
    step = request.step
    if not runner.fits(step.demand):
        return False
    if step.lasting and not _leaves_reserve(request, runner):
        return False
    if step.label and step.label not in runner.entry.labels:
        return False
    if request.rack and request.rack not in runner.entry.labels:
        return False
    return not step.max_per_instance or request.held.get(runner.id, 0) < step.max_per_instance


def _leaves_reserve(request: PlacementRequest, runner: RunnerState) -> bool:
    """Tell whether a lasting task may go there: no longer kept from room for two of its kind."""
    free = runner.entry.room.millicores - runner.used_millicores
    millicores = request.step.demand.millicores
    return free >= min(millicores + request.reserve, 2 * millicores)


def _score(
    request: PlacementRequest, runner: RunnerState, contention: Contention, now: float
) -> tuple[float, ...]:
    step = request.step
    near = 1.0 if not step.data_rack or step.data_rack in runner.entry.labels else 0.0
    fresh = 0.0 if runner.id == request.avoid else 1.0
    if step.fills:
        return _score_filler(step, runner, contention, now, (fresh, near))
    if step.target_ms or step.lasting:
        return _score_serving(request, runner, contention, now, (fresh, near))
    beside_serving = 1.0 if runner.serving else 0.0
    return (fresh, near, beside_serving, float(runner.idle_millicores))


def _score_filler(
    step: Step,
    runner: RunnerState,
    contention: Contention,
    now: float,
    first: tuple[float, ...],
) -> tuple[float, ...]:
    if runner.idle_millicores < step.millicores * FILL_SHARE:
        return ()
    effect = worst_effect(step.image, runner.share(step.millicores), runner, contention)
    if effect > SMALL_EFFECT and not _tails_allow(step, runner, contention, now):
        return ()
    harmless = 1.0 if effect <= SMALL_EFFECT else 0.0
    # Runners without serving tasks are left to fillers that slow all that serves.
    beside = 1.0 if runner.serving else 0.0
    return (*first, harmless, beside, -effect, float(runner.idle_millicores))


def worst_effect(image: str, share: float, runner: RunnerState, contention: Contention) -> float:
    """Return the most that a filler would add to any serving task's logarithm there."""
    return max(
        (contention.weight(serving, image) * share for serving in runner.serving), default=0.0
    )


def _tails_allow(step: Step, runner: RunnerState, contention: Contention, now: float) -> bool:
    shares = runner.filler_shares(now)
    shares[step.image] = shares.get(step.image, 0.0) + runner.share(step.millicores)
    limit = math.log(TAIL_SHARE)
    effects = {image: contention.effect(image, shares.items()) for image in runner.serving}
    for run in runner.runs.values():
        if run.serves:
            base = max(contention.base(run.image), run.base if run.base is not None else -math.inf)
            if base + effects[run.image] > limit:
                return False
    return True


def _score_serving(
    request: PlacementRequest,
    runner: RunnerState,
    contention: Contention,
    now: float,
    first: tuple[float, ...],
) -> tuple[float, ...]:
    step = request.step
    shares = runner.filler_shares(now)
    pressed = contention.effect(step.image, shares.items())
    others = len(runner.serving) - (1 if step.image in runner.serving else 0)
    opens = 1.0 if request.keep_free and not runner.serving else 0.0
    after = float(runner.used_millicores + step.millicores)
    return (*first, -opens, -round(pressed, 1), -float(others), after)
