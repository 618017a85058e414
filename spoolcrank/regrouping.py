"""Move serving tasks so that more runners can bear more fillers.

Which fillers slow which images is learnt only while they run, after the serving tasks were
placed. A runner is worth to fillers what serving and short tasks leave of it, times the share
of the expected fillers that likely slow none of its images. Groups of one image are moved to
other runners, or swapped with a group there, where that sum rises enough for each moved task;
where no group can, single tasks are exchanged.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from spoolcrank.contention import Contention
from spoolcrank.exchanges import STAY_S, Move, at_work, exchange_tasks
from spoolcrank.packing import open_cores
from spoolcrank.runner_state import SERVING_USE, RunnerState
from spoolcrank.runs import Run
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Demand, RunnerId, Step, TaskKey

REGROUP_S = 0.5
"""Between two plans, s; a moved task is back at work in about one."""

BUSY_S = 2.0
"""A runner takes part in no other change for so long, s; by then its moves have ended."""

LEAST_GAIN = 1.5
"""Processors for fillers that a change must open for each task moved, cores. A task's absence
costs about what three core-seconds of fillers earn, so that this pays within some seconds."""

MOST_TASKS = 8
"""Larger groups of one image on a runner stay where they are."""

MOST_CHANGES = 6
"""Changes in one plan; the rest follows in the next, with newer weights."""

MOST_RUNNERS = 32
"""Runners weighed in one plan; the next plan takes the ones after them. More would cost
processor time on large fleets: the swaps grow with the square."""


class _Group(NamedTuple):
    """All tasks of one image on a runner, if every one of them may move."""

    runner: RunnerState
    image: str
    tasks: list[tuple[TaskKey, Run]]
    demand: Demand


class _Change(NamedTuple):
    """Moves that belong together, the runners they touch, and what they open per task, cores."""

    gain: float
    moves: list[Move]
    runners: frozenset[RunnerId]


class Regrouping:
    """When the leader planned last, and which runners a change is under way at."""

    def __init__(self) -> None:
        self._planned_at = -REGROUP_S
        self._plans = 0
        self._busy: dict[RunnerId, float] = {}

    def moves(self, state: Scheduler, now: float) -> list[Move]:
        """Return the moves to make now; most times none."""
        if now - self._planned_at < REGROUP_S or not fillers_held_back(state):
            return []
        self._planned_at = now
        self._busy = {runner: until for runner, until in self._busy.items() if until > now}
        moves: list[Move] = []
        runners = self._candidates(state, now)
        for change in _best_apart(state, runners, now):
            moves += change.moves
        if not moves:
            moves = exchange_tasks(state, runners, now)
        for move in moves:
            self._busy[move.source] = self._busy[move.destination] = now + BUSY_S
        return moves

    def _candidates(self, state: Scheduler, now: float) -> list[RunnerState]:
        usable = [
            one for one in state.runners.values() if one.usable(now) and one.id not in self._busy
        ]
        if len(usable) <= MOST_RUNNERS:
            return usable
        first = self._plans * MOST_RUNNERS % len(usable)
        self._plans += 1
        return (usable[first:] + usable[:first])[:MOST_RUNNERS]


def fillers_held_back(state: Scheduler) -> bool:
    """Tell whether fillers wait for a place or work below their full speed."""
    for runner in state.runners.values():
        if any(run.fills and run.pace < 100 for run in runner.runs.values()):
            return True
    return any(
        step.spec.fills
        for job in state.waiting_jobs()
        for held in job.rounds.values()
        for _, step in held.ready()
    )


def _best_apart(state: Scheduler, runners: list[RunnerState], now: float) -> list[_Change]:
    """Return the best changes that touch no runner twice."""
    groups = [
        group
        for runner in runners
        for image in runner.serving
        if (group := _group(state, runner, image, now)) is not None
    ]
    changes = [*_relocations(state, groups, runners), *_swaps(state, groups)]
    changes.sort(key=lambda one: -one.gain)
    chosen: list[_Change] = []
    touched: set[RunnerId] = set()
    for change in changes:
        if len(chosen) < MOST_CHANGES and touched.isdisjoint(change.runners):
            chosen.append(change)
            touched |= change.runners
    return chosen


def _group(state: Scheduler, runner: RunnerState, image: str, now: float) -> _Group | None:
    if runner.serving[image] > MOST_TASKS:
        return None
    tasks = [(key, run) for key, run in runner.runs.items() if run.image == image and run.serves]
    if any(now - run.since < STAY_S for _, run in tasks):
        return None
    if not _may_move(state, [key for key, _ in tasks]):
        return None
    demands = [run.demand for _, run in tasks]
    return _Group(runner, image, tasks, _sum(demands))


def _sum(demands: Iterable[Demand]) -> Demand:
    held = list(demands)
    return Demand(
        sum(one.millicores for one in held),
        sum(one.memory_mb for one in held),
        sum(one.accelerators for one in held),
    )


def _may_move(state: Scheduler, keys: list[TaskKey]) -> bool:
    """Tell whether tasks are at work and may be away at once.

    A stated bound wants all others of their steps at work; without one a task that finds no place
    keeps none of its step from moving.
    """
    for key in keys:
        job = state.jobs.get(key.job)
        if job is None or job.phase in FINAL:
            return False
        step = job.rounds[key.round].steps[key.step]
        away = sum(1 for one in keys if one[:3] == key[:3])
        if 0 <= step.spec.may_be_away < away:
            return False
        bound = step.spec.may_be_away >= 0
        others = range(len(step.tasks)) if bound else [key.number]
        if not all(at_work(state, key._replace(number=one)) for one in others):
            return False
    return bool(keys)


def _worth(contention: Contention, idle: float, images: Iterable[str]) -> float:
    return max(0.0, idle) * contention.borne(frozenset(images))


def _taken(millicores: int) -> float:
    """Return what serving tasks of a size likely use, cores."""
    return millicores * SERVING_USE / 1000.0


def _relocations(
    state: Scheduler, groups: list[_Group], runners: list[RunnerState]
) -> Iterator[_Change]:
    contention = state.contention
    for group in groups:
        source = group.runner
        idle = open_cores(source)
        rest = [image for image in source.serving if image != group.image]
        opened = _worth(contention, idle + _taken(group.demand.millicores), rest) - _worth(
            contention, idle, source.serving
        )
        if opened / len(group.tasks) < LEAST_GAIN:
            continue
        change = _relocation(state, group, runners, opened)
        if change is not None:
            yield change


def _relocation(
    state: Scheduler, group: _Group, runners: list[RunnerState], opened: float
) -> _Change | None:
    moves: list[Move] = []
    added: dict[RunnerId, list[tuple[TaskKey, Run]]] = {}
    for task in group.tasks:
        best: RunnerState | None = None
        least = 0.0
        for place in runners:
            if place is group.runner or place.entry.service != group.runner.entry.service:
                continue
            more = [*added.get(place.id, []), task]
            if not _takes(state, place, more, Demand()):
                continue
            closed = _closed(state.contention, place, group.image, task[1], len(more) - 1)
            if best is None or closed < least:
                best, least = place, closed
        if best is None:
            return None
        opened -= least
        added.setdefault(best.id, []).append(task)
        moves.append(Move(task[0], group.runner.id, best.id))
    gain = opened / len(moves)
    if gain < LEAST_GAIN:
        return None
    return _Change(gain, moves, frozenset((group.runner.id, *added)))


def _closed(contention: Contention, place: RunnerState, image: str, run: Run, before: int) -> float:
    """Return what one more task closes to fillers, where `before` of its group go there too."""
    taken = _taken(run.demand.millicores)
    idle = open_cores(place) - before * taken
    held = (*place.serving, image) if before else place.serving
    return _worth(contention, idle, held) - _worth(
        contention, idle - taken, (*place.serving, image)
    )


def _swaps(state: Scheduler, groups: list[_Group]) -> Iterator[_Change]:
    for number, one in enumerate(groups):
        for other in groups[number + 1 :]:
            if one.runner is other.runner or one.image == other.image:
                continue
            if one.runner.entry.service != other.runner.entry.service:
                continue
            count = len(one.tasks) + len(other.tasks)
            gain = _swap_gain(state.contention, one, other) / count
            if gain >= LEAST_GAIN and _fit_swapped(state, one, other):
                yield _Change(
                    gain,
                    [*_moves_to(one, other.runner.id), *_moves_to(other, one.runner.id)],
                    frozenset((one.runner.id, other.runner.id)),
                )


def _swap_gain(contention: Contention, one: _Group, other: _Group) -> float:
    gain = 0.0
    for leaving, coming in ((one, other), (other, one)):
        runner = leaving.runner
        idle = open_cores(runner)
        images = [image for image in runner.serving if image != leaving.image]
        change = _taken(leaving.demand.millicores - coming.demand.millicores)
        gain += _worth(contention, idle + change, (*images, coming.image))
        gain -= _worth(contention, idle, runner.serving)
    return gain


def _moves_to(group: _Group, destination: RunnerId) -> list[Move]:
    return [Move(key, group.runner.id, destination) for key, _ in group.tasks]


def _fit_swapped(state: Scheduler, one: _Group, other: _Group) -> bool:
    return _takes(state, one.runner, other.tasks, one.demand) and _takes(
        state, other.runner, one.tasks, other.demand
    )


def _takes(
    state: Scheduler, place: RunnerState, tasks: list[tuple[TaskKey, Run]], leaving: Demand
) -> bool:
    """Tell whether a runner can hold tasks once others have left it."""
    coming = _sum(run.demand for _, run in tasks)
    net = Demand(*(more - less for more, less in zip(coming, leaving, strict=True)))
    if not place.fits(net):
        return False
    return all(_allowed(state, place, key, tasks) for key, _ in tasks)


def _allowed(
    state: Scheduler, place: RunnerState, key: TaskKey, tasks: list[tuple[TaskKey, Run]]
) -> bool:
    held = state.jobs[key.job].rounds[key.round].steps[key.step]
    step: Step = held.spec
    if step.label and step.label not in place.entry.labels:
        return False
    coming = sum(1 for other, _ in tasks if other[:3] == key[:3])
    bound = step.max_per_instance
    return not bound or held.per_runner().get(place.id, 0) + coming <= bound
