"""Move serving tasks so that runners come to hold only images that bear the same fillers.

Which fillers slow which images is learnt only while they run, after the serving tasks were
placed. A runner with one task of another kind can take few fillers; that task goes where its
kind already is, if there is room, one at a time for each step.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from spoolcrank.runner_state import Run, RunnerState, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Phase, RunnerId, Step, TaskKey

REGROUP_S = 1.0
"""Between two moves, s; a moved task is back at work in about that time."""

LEARN_S = 5.0
"""Nothing is moved before so long after the first fillers came, s: weights need some reports."""

LEAST_GAIN = 1.5
"""Cores of wanted fillers that a move must open per task moved. A task's absence costs about as
much as two core-seconds of fillers earn, so that this pays within some seconds."""

MOST_TASKS = 3
"""Larger groups of one image on a runner stay: they are not the exception there."""

MOST_PLACES = 40
"""Destinations weighed for a task; more would cost processor time on large fleets."""


class Move(NamedTuple):
    """One task to move, and where to."""

    task: TaskKey
    source: RunnerId
    destination: RunnerId


class Regrouping:
    """When the leader moved last, and since when there are fillers."""

    def __init__(self) -> None:
        self._moved_at = -1.0
        self._fillers_since: float | None = None

    def moves(self, state: Scheduler, now: float) -> list[Move]:
        """Return the moves to make now; most times none."""
        wanted = wanted_fillers(state)
        if not wanted:
            return []
        if self._fillers_since is None:
            self._fillers_since = now
        if now - self._fillers_since < LEARN_S or now - self._moved_at < REGROUP_S:
            return []
        self._moved_at = now
        return best_moves(state, wanted, now)


def wanted_fillers(state: Scheduler) -> dict[str, float]:
    """Return the share of each filler image in what fillers want, if any are held back."""
    held: Counter[str] = Counter()
    held_back = 0
    for runner in state.runners.values():
        for run in runner.runs.values():
            if run.fills:
                held[run.image] += run.wanted_millicores
                held_back += run.wanted_millicores if run.pace < 100 else 0
    for job in state.waiting_jobs():
        for open_round in job.rounds.values():
            for _, step in open_round.ready():
                if step.spec.fills:
                    held[step.spec.image] += len(step.waiting) * step.spec.millicores
                    held_back += len(step.waiting) * step.spec.millicores
    in_all = sum(held.values())
    if in_all == 0 or held_back == 0:
        return {}
    return {image: amount / in_all for image, amount in held.items()}


def best_moves(state: Scheduler, wanted: dict[str, float], now: float) -> list[Move]:
    """Return the moves of the one group whose going opens most per task."""
    usable = [runner for runner in state.runners.values() if runner.usable(now)]
    usable.sort(key=lambda one: one.used_millicores)
    best: list[Move] = []
    best_gain = LEAST_GAIN
    for runner in usable:
        for image, count in runner.serving.items():
            if count > MOST_TASKS:
                continue
            group = _group(state, runner, image)
            gain = _opened(state, runner, image, wanted) / count
            if len(group) < 1 or gain <= best_gain:
                continue
            moves, cost = _destinations(state, runner, group, usable[:MOST_PLACES], wanted)
            if moves and gain - cost > best_gain:
                best, best_gain = moves, gain - cost
    return best


def _group(state: Scheduler, runner: RunnerState, image: str) -> list[tuple[TaskKey, Run]]:
    return [
        (key, run)
        for key, run in runner.runs.items()
        if run.image == image and run.serves and _may_move(state, key, run)
    ]


def _may_move(state: Scheduler, key: TaskKey, run: Run) -> bool:
    """Tell whether a task is at work and every other of its step too."""
    job = state.jobs.get(key.job)
    if job is None or job.phase in FINAL or run.stage is not RunStage.RUNNING:
        return False
    step = job.rounds[key.round].steps[key.step]
    return all(_at_work(state, key, number) for number in range(len(step.tasks)))


def _at_work(state: Scheduler, key: TaskKey, number: int) -> bool:
    other = key._replace(number=number)
    task = state.jobs[key.job].task(other)
    if task.phase is not Phase.BOUND:
        return False
    runner = state.runners.get(task.runner)
    run = runner.runs.get(other) if runner is not None else None
    return run is not None and run.stage is RunStage.RUNNING and run.percent == 100


def _idle_cores(runner: RunnerState) -> float:
    return max(0.0, (runner.idle_millicores + runner.filled_millicores) / 1000.0)


def _borne(state: Scheduler, images: Iterable[str], wanted: dict[str, float]) -> float:
    """Return the share of the wanted fillers that slow none of the images."""
    images = list(images)
    weight = state.contention.weight
    return sum(
        share
        for filler, share in wanted.items()
        if all(weight(image, filler) == 0.0 for image in images)
    )


def _opened(state: Scheduler, runner: RunnerState, image: str, wanted: dict[str, float]) -> float:
    rest = [other for other in runner.serving if other != image]
    more = _borne(state, rest, wanted) - _borne(state, runner.serving, wanted)
    return more * _idle_cores(runner)


def _destinations(
    state: Scheduler,
    source: RunnerState,
    group: list[tuple[TaskKey, Run]],
    places: list[RunnerState],
    wanted: dict[str, float],
) -> tuple[list[Move], float]:
    """Return a place for each task of the group, and what they close per task."""
    moves: list[Move] = []
    cost = 0.0
    taken: dict[RunnerId, int] = {}
    for key, run in group:
        step = state.jobs[key.job].record.workflow.steps[key.step]
        held = state.jobs[key.job].rounds[key.round].steps[key.step].per_runner()
        found: RunnerState | None = None
        least = 0.0
        for place in places:
            if place is source or place.entry.service != source.entry.service:
                continue
            if not _has_room(place, run, step, held, taken.get(place.id, 0)):
                continue
            closed = _closed(state, place, run.image, wanted)
            if found is None or closed < least:
                found, least = place, closed
        if found is None:
            return [], 0.0
        taken[found.id] = taken.get(found.id, 0) + run.demand.millicores
        cost += least
        moves.append(Move(key, source.id, found.id))
    return moves, cost / len(moves)


def _has_room(
    place: RunnerState, run: Run, step: Step, held: dict[RunnerId, int], taken: int
) -> bool:
    if step.max_per_instance and held.get(place.id, 0) >= step.max_per_instance:
        return False
    if step.label and step.label not in place.entry.labels:
        return False
    more = run.demand._replace(millicores=run.demand.millicores + taken)
    return place.fits(more)


def _closed(state: Scheduler, place: RunnerState, image: str, wanted: dict[str, float]) -> float:
    if image in place.serving:
        return 0.0
    less = _borne(state, place.serving, wanted) - _borne(state, [*place.serving, image], wanted)
    return less * _idle_cores(place)
