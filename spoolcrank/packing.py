"""Choose the runner for a waiting task.

Serving tasks are packed together by image, so that most fillers find runners where they slow
nothing. Fillers go to runners where the tail latency of the serving tasks stays under its target.
Short counted tasks, whose processors count against the runner's capacity, go where fillers could
not run anyway.
"""

import math
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from spoolcrank.contention import ContentionModel
from spoolcrank.ids import ServiceName
from spoolcrank.runner_state import SERVING_USE_SHARE, FillerHeadroom, RunnerState
from spoolcrank.short_task_room import USUAL_RESERVE, ShortTaskRoom
from spoolcrank.workflow import Demand, RunnerId, Step, TaskKey

TAIL_COST_CORES = 2.0
"""Cost of raising the logarithm of a new serving task's tail latency by one, in cores taken from
fillers. The weight is small because fillers are slowed within a second or two, whereas the task
keeps its place for minutes."""

MIN_IDLE_SHARE = 0.8
"""Smallest share of the processors a filler wants that must be idle on a runner for it to start
there. Below this share, waiting for a free runner finishes sooner than sharing one."""

MAX_TAIL_SHARE = 0.5
"""Largest share of a serving task's latency target to which fillers may raise its expected tail
latency; the rest is left to the swings of its load. A second over the target loses four times what
the task earns in a second."""

MAX_LOG_TAIL_SHARE = math.log(MAX_TAIL_SHARE)

EFFECT_DELAY_S = 0.8
"""Delay until a filler placed now shows in the reported latency, seconds: storing its record,
starting it, and half a report interval."""

FILLER_HEADROOM_TTL_S = 0.25
"""Time for which the computed filler headroom of a runner stays valid, seconds; reports come every
half second."""

HARMLESS_LIKELIHOOD = 0.85
"""Likelihood from which a filler counts as harmless to a serving image: it may then start beside
that image under high load and is not slowed there."""

NEGLIGIBLE_EFFECT = 0.06
"""Largest increase of the logarithm of a tail latency that counts as none: a filler with no larger
effect is not blamed when that latency exceeds its target."""


NO_SERVICE = ServiceName("")


class Obstacle(Enum):
    """Reason why a runner cannot take one more filler.

    Attributes:
        CAPACITY: the filler's demand exceeds the free capacity.
        PROCESSORS: too few processors are idle.
        OVER_TARGET: a serving task exceeds its latency target.
        HARM: the filler would slow a serving task too much.
    """

    CAPACITY = "room"
    PROCESSORS = "processors"
    OVER_TARGET = "over-target"
    HARM = "harm"


class PlacementRequest(NamedTuple):
    """A waiting task with the constraints on its placement.

    Attributes:
        step: the task's step, with its resource needs.
        tasks_per_runner: number of tasks of the step on each runner.
        avoid: the runner on which the task failed last.
        rack: the only rack allowed; empty if any rack will do.
        reserve: millicores that a lasting task leaves to short tasks on its runner. A task that
            ran before leaves none, as it has to resume wherever there is free capacity.
        task: key of the task; capacity reserved for it counts as free.
        service: the service whose runners may execute the task.
        room: whole runners kept for short tasks, in place of the reserve.
    """

    step: Step
    tasks_per_runner: dict[RunnerId, int]
    avoid: RunnerId
    rack: str = ""
    reserve: int = 0
    task: TaskKey | None = None
    service: ServiceName = NO_SERVICE
    room: ShortTaskRoom = USUAL_RESERVE


def choose(
    request: PlacementRequest,
    runners: Iterable[RunnerState],
    contention: ContentionModel,
    now: float,
) -> RunnerState | None:
    """Return the best runner for a task, or None if the task has to wait."""
    best: RunnerState | None = None
    best_score: tuple[float, ...] = ()
    demand = request.step.demand
    for runner in runners:
        runner_score = score(request, demand, runner, contention, now)
        if runner_score and (best is None or runner_score > best_score):
            best, best_score = runner, runner_score
    return best


def score(
    request: PlacementRequest,
    demand: Demand,
    runner: RunnerState,
    contention: ContentionModel,
    now: float,
) -> tuple[float, ...]:
    """Return how well a runner suits a task (higher is better); empty if it must not run there.

    `demand` is the demand of the step, computed once for all runners.
    """
    if not runner.fits(demand, request.task) or not _allowed(request, runner):
        return ()
    return _score(request, runner, contention, now)


def has_room(step: Step, tasks_per_runner: dict[RunnerId, int], runner: RunnerState) -> bool:
    """Return whether a runner has the capacity for one more task of a step and may take it."""
    request = PlacementRequest(step, tasks_per_runner, RunnerId(""))
    return runner.fits(step.demand) and _allowed(request, runner)


def fits_when_empty(step: Step, runner: RunnerState) -> bool:
    """Return whether an empty runner has the capacity and the label for one task of the step."""
    capacity, demand = runner.entry.room, step.demand
    needed_millicores = step.millicores * MIN_IDLE_SHARE if step.fills else demand.millicores
    return (
        needed_millicores <= capacity.millicores
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
        and (not step.label or step.label in runner.entry.labels)
    )


def _allowed(request: PlacementRequest, runner: RunnerState) -> bool:
    step = request.step
    if step.lasting and (runner.id in request.room.kept or not leaves_reserve(request, runner)):
        return False
    if step.label and step.label not in runner.entry.labels:
        return False
    if request.rack and request.rack not in runner.entry.labels:
        return False
    return (
        not step.max_per_instance
        or request.tasks_per_runner.get(runner.id, 0) < step.max_per_instance
    )


def leaves_reserve(request: PlacementRequest, runner: RunnerState) -> bool:
    """Return whether a lasting task leaves the reserve free on a runner.

    The reserve does not apply where twice the task's processors are free.
    """
    free = runner.entry.room.millicores - runner.used_millicores
    millicores = request.step.demand.millicores
    return free >= min(millicores + request.reserve, 2 * millicores)


def _score(
    request: PlacementRequest, runner: RunnerState, contention: ContentionModel, now: float
) -> tuple[float, ...]:
    step = request.step
    near_data = 1.0 if not step.data_rack or step.data_rack in runner.entry.labels else 0.0
    not_avoided = 0.0 if runner.id == request.avoid else 1.0
    if step.fills:
        return _score_filler(step, runner, contention, now, (not_avoided, near_data))
    if step.target_ms or step.lasting:
        return _score_serving(request, runner, contention, now, (not_avoided, near_data))
    tolerated = contention.tolerated_share(runner.serving_images)
    idle = float(runner.idle_millicores)
    if not request.room.wide_millicores:
        return (not_avoided, near_data, -round(tolerated, 1), idle)
    free = runner.entry.room.millicores - runner.used_millicores
    if runner.reservations:
        free = runner.free(request.task).millicores
    lost = request.room.openings_lost(free, step.millicores)
    return (not_avoided, near_data, -float(lost), -round(tolerated, 1), idle)


def _score_filler(
    step: Step,
    runner: RunnerState,
    contention: ContentionModel,
    now: float,
    score_prefix: tuple[float, ...],
) -> tuple[float, ...]:
    effect = _filler_effect(step, runner, contention, now)
    if isinstance(effect, Obstacle):
        return ()
    harmless = 1.0 if effect <= NEGLIGIBLE_EFFECT else 0.0
    # Leave runners that tolerate many kinds of fillers to the fillers that few runners tolerate.
    tolerated = contention.tolerated_share(runner.serving_images)
    return (*score_prefix, harmless, -round(tolerated, 1), -effect, float(runner.idle_millicores))


def _filler_effect(
    step: Step, runner: RunnerState, contention: ContentionModel, now: float
) -> float | Obstacle:
    """Return by how much one more filler raises the logarithm of a tail latency, or its obstacle.

    The result is the largest increase over the serving images of the runner.
    """
    if runner.idle_millicores < step.millicores * MIN_IDLE_SHARE:
        return Obstacle.PROCESSORS
    headroom = _filler_headroom(runner, contention, now)
    if headroom.over:
        return Obstacle.OVER_TARGET
    share = runner.share(step.millicores)
    effect = 0.0
    for image, allowed in headroom.left:
        increase = contention.weight(image, step.image) * share
        if contention.harmless(image, step.image) < HARMLESS_LIKELIHOOD and increase > allowed:
            return Obstacle.HARM
        effect = max(effect, increase)
    return effect


def largest_by_idle(runner: RunnerState) -> int:
    """Return the processors of the largest filler that idle processors allow, millicores.

    The result is negative if they allow none.
    """
    return math.ceil(runner.idle_millicores / MIN_IDLE_SHARE)


def largest_filler(image: str, runner: RunnerState, contention: ContentionModel, now: float) -> int:
    """Return the processors of the largest filler of an image that may start, millicores.

    The result is negative if none may. It is rounded up: no filler that may start is larger.
    """
    headroom = _filler_headroom(runner, contention, now)
    if headroom.over:
        return -1
    largest = float(largest_by_idle(runner))
    for serving, allowed in headroom.left:
        if contention.harmless(serving, image) >= HARMLESS_LIKELIHOOD:
            continue
        if allowed < 0:
            return -1
        effect = contention.weight(serving, image) * runner.share(1.0)
        largest = min(largest, allowed / effect) if effect > 0 else largest
    return math.ceil(largest)


def slows_nothing(step: Step, runner: RunnerState, contention: ContentionModel, now: float) -> bool:
    """Return whether a filler could start on a runner without slowing its serving tasks."""
    if not has_room(step, {}, runner):
        return False
    effect = _filler_effect(step, runner, contention, now)
    return not isinstance(effect, Obstacle) and effect <= NEGLIGIBLE_EFFECT


def filler_obstacle(
    step: Step, runner: RunnerState, contention: ContentionModel, now: float
) -> Obstacle | None:
    """Return why a runner cannot take one more filler, or None if it can."""
    if not runner.fits(step.demand):
        return Obstacle.CAPACITY
    effect = _filler_effect(step, runner, contention, now)
    return effect if isinstance(effect, Obstacle) else None


def _filler_headroom(
    runner: RunnerState, contention: ContentionModel, now: float
) -> FillerHeadroom:
    """Return by how much one more filler may raise the tail latencies on a runner.

    The result is cached for FILLER_HEADROOM_TTL_S, or until the runner's runs, paces or metrics
    change.
    """
    cached = runner.filler_headroom
    if cached is not None and now - cached.at < FILLER_HEADROOM_TTL_S:
        return cached
    shares = runner.filler_shares(now)
    bases: dict[str, float] = {}
    over = False
    for run in runner.runs.values():
        if run.serves:
            over = over or run.over_target_since is not None
            base, _ = run.load.predict(contention.base(run.image), now + EFFECT_DELAY_S)
            bases[run.image] = max(base, bases.get(run.image, base))
    left = tuple(
        (image, MAX_LOG_TAIL_SHARE - base - contention.effect(image, shares.items()))
        for image, base in bases.items()
    )
    headroom = runner.filler_headroom = FillerHeadroom(now, over, left)
    return headroom


def max_effect(image: str, share: float, runner: RunnerState, contention: ContentionModel) -> float:
    """Return the most by which a filler raises the logarithm of a tail latency on a runner."""
    return max(
        (contention.weight(serving, image) * share for serving in runner.serving), default=0.0
    )


def _score_serving(
    request: PlacementRequest,
    runner: RunnerState,
    contention: ContentionModel,
    now: float,
    score_prefix: tuple[float, ...],
) -> tuple[float, ...]:
    step = request.step
    shares = runner.filler_shares(now)
    tail_increase = contention.effect(step.image, shares.items())
    cost = filler_cores_taken(step, runner, contention) + tail_increase * TAIL_COST_CORES
    used_after = float(runner.used_millicores + step.millicores)
    return (*score_prefix, -round(cost, 1), used_after)


def filler_cores_taken(step: Step, runner: RunnerState, contention: ContentionModel) -> float:
    """Return the processors that a serving task on a runner is likely to take from fillers, cores.

    A runner without serving tasks will receive more tasks of the image. Only this task's part of
    what all of them take from fillers counts there.
    """
    taken = step.millicores * SERVING_USE_SHARE / 1000.0
    tolerated_with_task = contention.tolerated_share(frozenset((*runner.serving, step.image)))
    idle = cores_left_to_fillers(runner)
    if not runner.serving:
        capacity_cores = runner.entry.room.millicores / 1000.0
        task_share = step.millicores / 1000.0 / max(capacity_cores, 0.001)
        return task_share * (
            capacity_cores - capacity_cores * (1.0 - SERVING_USE_SHARE) * tolerated_with_task
        )
    return (
        idle * contention.tolerated_share(runner.serving_images)
        - (idle - taken) * tolerated_with_task
    )


def cores_left_to_fillers(runner: RunnerState) -> float:
    """Return the processors that serving and short tasks leave to fillers on a runner, cores."""
    return max(0.0, (runner.idle_millicores + runner.filled_millicores) / 1000.0)
