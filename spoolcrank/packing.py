"""Choose the runner for a waiting task.

Tasks that serve are packed together by image, so that most fillers find runners where they
slow nothing; fillers go where the tails of what serves stay under their targets; short
counted tasks take what fillers would not get.
"""

import math
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from spoolcrank.contention import Contention
from spoolcrank.ids import ServiceName
from spoolcrank.runner_state import SERVING_USE, FillerRoom, RunnerState
from spoolcrank.workflow import Demand, RunnerId, Step, TaskKey

PRESSED_CORES = 2.0
"""Processors of fillers that one more in the logarithm of a new task's tail counts as, cores: it
lasts a second or two until fillers are slowed, the place is kept for minutes."""

FILL_SHARE = 0.8
"""A filler starts where at least this share of what it wants is likely left over; below it,
waiting for a free place ends sooner than sharing one."""

TAIL_SHARE = 0.5
"""Fillers may bring what is expected of a serving task's tail to this share of its target. Alone
it is about 0.38, and one report in ten says over 0.62 (24,000 reports of one deployment). A second
over the target loses four times what the task earns in it, as much as some 17 core-seconds of
fillers earn. At 0.6 serving jobs earned 0.047 less of what they were owed, fillers as much as at
0.5 (6 paired days)."""

LOG_TAIL_SHARE = math.log(TAIL_SHARE)

AHEAD_S = 0.8
"""A filler that starts now is felt so much later, s: its record, its start, half a report."""

ROOM_S = 0.25
"""What is worked out for a runner's next filler holds so long, s: figures come each half second."""

SURELY_HARMLESS = 0.85
"""A filler that does not matter to a serving image with this likelihood is neither kept from
its side while the load there is high, nor slowed beside it. Without it a third of the processors
that harmless fillers had on their runners stood idle under overload; with it fillers earned 0.08
more of what they were owed (6 paired days, in a form that also let them be beside a tail over
its target)."""

SMALL_EFFECT = 0.06
"""A filler that adds less to the logarithm of a tail is no cause of a tail over its target."""


NO_SERVICE = ServiceName("")


class Obstacle(Enum):
    """Why a runner takes no more of a filler."""

    ROOM = "room"
    IDLE = "processors"
    OVER = "over-target"
    HARM = "harm"


class PlacementRequest(NamedTuple):
    """One waiting task as the choice sees it.

    Attributes:
        step: what it needs.
        held: tasks of its step on each runner.
        avoid: the runner it failed on last.
        rack: only here, where it is not empty.
        reserve: millicores that a lasting task leaves to short ones on its runner; one that has
            run before leaves none, as it has to be back at work while there is any room.
        task: which one; room that is promised to it counts for it.
        service: whose runners may take it.
    """

    step: Step
    held: dict[RunnerId, int]
    avoid: RunnerId
    rack: str = ""
    reserve: int = 0
    task: TaskKey | None = None
    service: ServiceName = NO_SERVICE


def choose(
    request: PlacementRequest, runners: Iterable[RunnerState], contention: Contention, now: float
) -> RunnerState | None:
    """Return the runner for a task, or None if it has to wait."""
    best: RunnerState | None = None
    best_score: tuple[float, ...] = ()
    demand = request.step.demand
    for runner in runners:
        found = score(request, demand, runner, contention, now)
        if found and (best is None or found > best_score):
            best, best_score = runner, found
    return best


def score(
    request: PlacementRequest,
    demand: Demand,
    runner: RunnerState,
    contention: Contention,
    now: float,
) -> tuple[float, ...]:
    """Return how well a runner suits a task, higher is better; empty where it may not go there.

    `demand` is that of the step, worked out once for all runners.
    """
    if not runner.fits(demand, request.task) or not _allowed(request, runner):
        return ()
    return _score(request, runner, contention, now)


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
    borne = contention.borne(runner.serving_images)
    return (fresh, near, -round(borne, 1), float(runner.idle_millicores))


def _score_filler(
    step: Step,
    runner: RunnerState,
    contention: Contention,
    now: float,
    first: tuple[float, ...],
) -> tuple[float, ...]:
    effect = _filler_effect(step, runner, contention, now)
    if isinstance(effect, Obstacle):
        return ()
    harmless = 1.0 if effect <= SMALL_EFFECT else 0.0
    # Runners that bear many fillers are left to those that few runners bear.
    borne = contention.borne(runner.serving_images)
    return (*first, harmless, -round(borne, 1), -effect, float(runner.idle_millicores))


def _filler_effect(
    step: Step, runner: RunnerState, contention: Contention, now: float
) -> float | Obstacle:
    """Return the most that one more filler adds to a tail's logarithm there, or what forbids it."""
    if runner.idle_millicores < step.millicores * FILL_SHARE:
        return Obstacle.IDLE
    room = _filler_room(runner, contention, now)
    if room.over:
        return Obstacle.OVER
    share = runner.share(step.millicores)
    effect = 0.0
    for image, left in room.left:
        more = contention.weight(image, step.image) * share
        if contention.harmless(image, step.image) < SURELY_HARMLESS and more > left:
            return Obstacle.HARM
        effect = max(effect, more)
    return effect


def slows_nothing(step: Step, runner: RunnerState, contention: Contention, now: float) -> bool:
    """Tell whether a filler could start there without slowing what serves."""
    request = PlacementRequest(step, {}, RunnerId(""))
    if not runner.fits(step.demand) or not _allowed(request, runner):
        return False
    effect = _filler_effect(step, runner, contention, now)
    return not isinstance(effect, Obstacle) and effect <= SMALL_EFFECT


def filler_obstacle(
    step: Step, runner: RunnerState, contention: Contention, now: float
) -> Obstacle | None:
    """Return why a runner takes no more of a filler, or None where it would."""
    if not runner.fits(step.demand):
        return Obstacle.ROOM
    effect = _filler_effect(step, runner, contention, now)
    return effect if isinstance(effect, Obstacle) else None


def _filler_room(runner: RunnerState, contention: Contention, now: float) -> FillerRoom:
    """Return what one more filler may add there; worked out anew when something has changed."""
    held = runner.filler_room
    if held is not None and now - held.at < ROOM_S:
        return held
    shares = runner.filler_shares(now)
    bases: dict[str, float] = {}
    over = False
    for run in runner.runs.values():
        if run.serves:
            over = over or run.over_since is not None
            base, _ = run.load.ahead(contention.base(run.image), now + AHEAD_S)
            bases[run.image] = max(base, bases.get(run.image, base))
    left = tuple(
        (image, LOG_TAIL_SHARE - base - contention.effect(image, shares.items()))
        for image, base in bases.items()
    )
    room = runner.filler_room = FillerRoom(now, over, left)
    return room


def worst_effect(image: str, share: float, runner: RunnerState, contention: Contention) -> float:
    """Return the most that a filler would add to any serving task's logarithm there."""
    return max(
        (contention.weight(serving, image) * share for serving in runner.serving), default=0.0
    )


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
    cost = closed_cores(step, runner, contention) + pressed * PRESSED_CORES
    after = float(runner.used_millicores + step.millicores)
    return (*first, -round(cost, 1), after)


def closed_cores(step: Step, runner: RunnerState, contention: Contention) -> float:
    """Return the processors that a serving task there likely takes from fillers, cores.

    A runner without serving tasks is opened to more of the image, so that only this task's part
    of what all of them take counts.
    """
    taken = step.millicores * SERVING_USE / 1000.0
    with_it = contention.borne(frozenset((*runner.serving, step.image)))
    idle = open_cores(runner)
    if not runner.serving:
        room = runner.entry.room.millicores / 1000.0
        part = step.millicores / 1000.0 / max(room, 0.001)
        return part * (room - room * (1.0 - SERVING_USE) * with_it)
    return idle * contention.borne(runner.serving_images) - (idle - taken) * with_it


def open_cores(runner: RunnerState) -> float:
    """Return what serving and short tasks leave to fillers there, cores."""
    return max(0.0, (runner.idle_millicores + runner.filled_millicores) / 1000.0)
