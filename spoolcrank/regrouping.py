"""Move serving tasks so that runners tolerate more fillers.

Which fillers slow which images is learned only while they run, after the serving tasks were
placed. The filler capacity of a runner is the capacity that serving and short tasks leave free,
times the share of the expected fillers that likely slow none of its images. Groups of one image
are moved to other runners, or swapped with a group there, where the total filler capacity rises
enough for each moved task. Where no group can move, single tasks are exchanged.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from spoolcrank.contention import ContentionModel
from spoolcrank.exchanges import MIN_STAY_S, Move, exchange_tasks, is_running
from spoolcrank.packing import cores_left_to_fillers
from spoolcrank.runner_state import SERVING_USE_SHARE, RunnerState
from spoolcrank.runs import Run
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Demand, RunnerId, Step, TaskKey

PLAN_INTERVAL_S = 0.5
"""Minimum time between two plans, seconds. A moved task runs again after about one second."""

MOVE_SETTLE_S = 2.0
"""Time for which a runner takes part in no other change, seconds. Its moves end within it."""

MIN_GAIN_CORES = 1.5
"""Filler capacity that a change must gain for each moved task, cores. The absence of a task costs
about as much as three core-seconds of fillers earn, so that a change pays off within some
seconds."""

MAX_GROUP_TASKS = 8
"""Maximum number of tasks of one image on a runner that move as a group."""

MAX_CHANGES = 6
"""Maximum number of changes in one plan. The next plan makes the rest with newer weights."""

MAX_RUNNERS = 32
"""Maximum number of runners considered in one plan; the next plan continues with the following
ones. The number of possible swaps grows with the square of the runners, and would cost processor
time on large fleets."""


class _Group(NamedTuple):
    """All tasks of one image on a runner, each of which may move."""

    runner: RunnerState
    image: str
    tasks: list[tuple[TaskKey, Run]]
    demand: Demand


class _Change(NamedTuple):
    """Moves to make together, their runners, and the filler capacity gained per task, cores."""

    gain: float
    moves: list[Move]
    runners: frozenset[RunnerId]


class Regrouping:
    """Planner of moves; keeps the time of its last plan and the runners with moves in progress."""

    def __init__(self) -> None:
        self._planned_at = -PLAN_INTERVAL_S
        self._plans = 0
        self._busy: dict[RunnerId, float] = {}

    def moves(self, state: Scheduler, now: float) -> list[Move]:
        """Return the moves to make now, usually none."""
        if now - self._planned_at < PLAN_INTERVAL_S or not fillers_held_back(state):
            return []
        self._planned_at = now
        self._busy = {runner: until for runner, until in self._busy.items() if until > now}
        moves: list[Move] = []
        runners = self._candidates(state, now)
        for change in _best_disjoint_changes(state, runners, now):
            moves += change.moves
        if not moves:
            moves = exchange_tasks(state, runners, now)
        for move in moves:
            self._busy[move.source] = self._busy[move.destination] = now + MOVE_SETTLE_S
        return moves

    def _candidates(self, state: Scheduler, now: float) -> list[RunnerState]:
        usable = [
            runner
            for runner in state.runners.values()
            if runner.usable(now) and runner.id not in self._busy
        ]
        if len(usable) <= MAX_RUNNERS:
            return usable
        first = self._plans * MAX_RUNNERS % len(usable)
        self._plans += 1
        return (usable[first:] + usable[:first])[:MAX_RUNNERS]


def fillers_held_back(state: Scheduler) -> bool:
    """Return whether any filler waits for a runner or runs below full pace."""
    for runner in state.runners.values():
        if runner.runs and any(run.fills and run.pace < 100 for run in runner.runs.values()):
            return True
    return any(
        step.spec.fills
        for job in state.waiting_jobs()
        for round_state in job.rounds.values()
        for _, step in round_state.ready()
    )


def _best_disjoint_changes(
    state: Scheduler, runners: list[RunnerState], now: float
) -> list[_Change]:
    """Return the changes with the highest gain, each runner in at most one of them."""
    groups = [
        group
        for runner in runners
        for image in runner.serving
        if (group := _group(state, runner, image, now)) is not None
    ]
    changes = [*_relocations(state, groups, runners), *_swaps(state, groups)]
    changes.sort(key=lambda candidate: -candidate.gain)
    chosen: list[_Change] = []
    used_runners: set[RunnerId] = set()
    for change in changes:
        if len(chosen) < MAX_CHANGES and used_runners.isdisjoint(change.runners):
            chosen.append(change)
            used_runners |= change.runners
    return chosen


def _group(state: Scheduler, runner: RunnerState, image: str, now: float) -> _Group | None:
    if runner.serving[image] > MAX_GROUP_TASKS:
        return None
    tasks = [(key, run) for key, run in runner.runs.items() if run.image == image and run.serves]
    if any(now - run.since < MIN_STAY_S for _, run in tasks):
        return None
    if not _may_move(state, [key for key, _ in tasks]):
        return None
    demands = [run.demand for _, run in tasks]
    return _Group(runner, image, tasks, _total_demand(demands))


def _total_demand(demands: Iterable[Demand]) -> Demand:
    parts = list(demands)
    return Demand(
        sum(demand.millicores for demand in parts),
        sum(demand.memory_mb for demand in parts),
        sum(demand.accelerators for demand in parts),
    )


def _may_move(state: Scheduler, keys: list[TaskKey]) -> bool:
    """Return whether tasks are running and may all be absent at the same time.

    A step that limits its absent tasks must have all its other tasks running. Without a limit, a
    waiting task does not prevent others of its step from moving.
    """
    for key in keys:
        job = state.jobs.get(key.job)
        if job is None or job.phase in FINAL:
            return False
        step = job.rounds[key.round].steps[key.step]
        absent = sum(1 for other in keys if other[:3] == key[:3])
        if 0 <= step.spec.may_be_away < absent:
            return False
        limited = step.spec.may_be_away >= 0
        required = range(len(step.tasks)) if limited else [key.number]
        if not all(is_running(state, key._replace(number=number)) for number in required):
            return False
    return bool(keys)


def _filler_capacity(contention: ContentionModel, idle: float, images: Iterable[str]) -> float:
    return max(0.0, idle) * contention.tolerated_share(frozenset(images))


def _expected_use(millicores: int) -> float:
    """Return the expected processor use of serving tasks that request `millicores`, cores."""
    return millicores * SERVING_USE_SHARE / 1000.0


def _relocations(
    state: Scheduler, groups: list[_Group], runners: list[RunnerState]
) -> Iterator[_Change]:
    contention = state.contention
    for group in groups:
        source = group.runner
        idle = cores_left_to_fillers(source)
        rest = [image for image in source.serving if image != group.image]
        gained = _filler_capacity(
            contention, idle + _expected_use(group.demand.millicores), rest
        ) - _filler_capacity(contention, idle, source.serving)
        if gained / len(group.tasks) < MIN_GAIN_CORES:
            continue
        change = _relocation(state, group, runners, gained)
        if change is not None:
            yield change


def _relocation(
    state: Scheduler, group: _Group, runners: list[RunnerState], gained: float
) -> _Change | None:
    moves: list[Move] = []
    added: dict[RunnerId, list[tuple[TaskKey, Run]]] = {}
    for task in group.tasks:
        best: RunnerState | None = None
        lowest_loss = 0.0
        for destination in runners:
            if (
                destination is group.runner
                or destination.entry.service != group.runner.entry.service
            ):
                continue
            more = [*added.get(destination.id, []), task]
            if not _has_capacity_for(state, destination, more, Demand()):
                continue
            lost = _capacity_lost(
                state.contention, destination, group.image, task[1], len(more) - 1
            )
            if best is None or lost < lowest_loss:
                best, lowest_loss = destination, lost
        if best is None:
            return None
        gained -= lowest_loss
        added.setdefault(best.id, []).append(task)
        moves.append(Move(task[0], group.runner.id, best.id))
    gain = gained / len(moves)
    if gain < MIN_GAIN_CORES:
        return None
    return _Change(gain, moves, frozenset((group.runner.id, *added)))


def _capacity_lost(
    contention: ContentionModel, destination: RunnerState, image: str, run: Run, before: int
) -> float:
    """Return the cores of filler capacity lost by one more task after `before` of its group."""
    taken = _expected_use(run.demand.millicores)
    idle = cores_left_to_fillers(destination) - before * taken
    images = (*destination.serving, image) if before else destination.serving
    return _filler_capacity(contention, idle, images) - _filler_capacity(
        contention, idle - taken, (*destination.serving, image)
    )


def _swaps(state: Scheduler, groups: list[_Group]) -> Iterator[_Change]:
    for number, first in enumerate(groups):
        for second in groups[number + 1 :]:
            if first.runner is second.runner or first.image == second.image:
                continue
            if first.runner.entry.service != second.runner.entry.service:
                continue
            count = len(first.tasks) + len(second.tasks)
            gain = _swap_gain(state.contention, first, second) / count
            if gain >= MIN_GAIN_CORES and _fit_swapped(state, first, second):
                yield _Change(
                    gain,
                    [*_moves_to(first, second.runner.id), *_moves_to(second, first.runner.id)],
                    frozenset((first.runner.id, second.runner.id)),
                )


def _swap_gain(contention: ContentionModel, first: _Group, second: _Group) -> float:
    gain = 0.0
    for leaving, arriving in ((first, second), (second, first)):
        runner = leaving.runner
        idle = cores_left_to_fillers(runner)
        images = [image for image in runner.serving if image != leaving.image]
        change = _expected_use(leaving.demand.millicores - arriving.demand.millicores)
        gain += _filler_capacity(contention, idle + change, (*images, arriving.image))
        gain -= _filler_capacity(contention, idle, runner.serving)
    return gain


def _moves_to(group: _Group, destination: RunnerId) -> list[Move]:
    return [Move(key, group.runner.id, destination) for key, _ in group.tasks]


def _fit_swapped(state: Scheduler, first: _Group, second: _Group) -> bool:
    return _has_capacity_for(state, first.runner, second.tasks, first.demand) and _has_capacity_for(
        state, second.runner, first.tasks, second.demand
    )


def _has_capacity_for(
    state: Scheduler, destination: RunnerState, tasks: list[tuple[TaskKey, Run]], leaving: Demand
) -> bool:
    """Return whether a runner has capacity for tasks after others have left it."""
    arriving = _total_demand(run.demand for _, run in tasks)
    net = Demand(*(more - less for more, less in zip(arriving, leaving, strict=True)))
    if not destination.fits(net):
        return False
    if state.short_rooms.keeps(destination.entry.service, destination.id):
        return False
    return all(_allowed(state, destination, key, tasks) for key, _ in tasks)


def _allowed(
    state: Scheduler, destination: RunnerState, key: TaskKey, tasks: list[tuple[TaskKey, Run]]
) -> bool:
    step_state = state.jobs[key.job].rounds[key.round].steps[key.step]
    step: Step = step_state.spec
    if step.label and step.label not in destination.entry.labels:
        return False
    arriving = sum(1 for other, _ in tasks if other[:3] == key[:3])
    limit = step.max_per_instance
    return not limit or step_state.per_runner().get(destination.id, 0) + arriving <= limit
