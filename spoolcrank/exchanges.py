"""Exchange single serving tasks where whole groups of one image do not fit on each other's runner.

The planner tries exchanges of single tasks between two runners one after the other on a copy of
the grouping. Each exchange reduces the filler capacity that images on the same runner cost each
other. The planner returns the sequence of exchanges that gains most filler capacity for the tasks
it moves. Where one image has nearly half of the serving tasks, hardly any change of whole groups
fits.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.packing import cores_left_to_fillers
from spoolcrank.runner_state import SERVING_USE_SHARE, RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Demand, Phase, RunnerId, Step, TaskKey

MIN_GAIN_CORES = 0.8
"""Filler capacity that a plan must gain for each moved task, cores. One second of a task's absence
costs about as much as three core-seconds of fillers earn, and fillers on the new runner that the
task does not tolerate lose some more, so that a move pays off within ten seconds."""

MIN_RELIEF = 0.02
"""Minimum relief of an exchange for each moved task: the reduction of the conflict between images
on the same runner, in shares of the expected fillers summed over pairs of tasks. Below it, the
model has no observations of the pairs yet, or their images tolerate the same fillers."""

MIN_STAY_S = 6.0
"""Time that a task must have been on its runner before it moves again, seconds. Each move costs
about one second of its work."""

MAX_EXCHANGES = 12
"""Maximum number of exchanges in one plan. The next plan makes the rest with newer weights."""

StepKey = tuple[str, int, int]
"""Job, round and step."""


class Move(NamedTuple):
    """A task to move, with the runner it leaves and its destination."""

    task: TaskKey
    source: RunnerId
    destination: RunnerId


class _Task(NamedTuple):
    """A serving task that may move, and its run."""

    key: TaskKey
    run: Run


@dataclass(eq=False)
class _PlannedRunner:
    """A runner in the planned grouping.

    Attributes:
        runner: the present state of the runner.
        free: capacity that is neither used nor reserved.
        idle: capacity that serving and short tasks leave to fillers, cores.
        images: number of serving tasks by image, including those that may not move.
        tasks: serving tasks that may move, by image.
        steps: number of tasks of each step on the runner.
        losses: by image, the conflict between one more task and those on the runner.
    """

    runner: RunnerState
    free: Demand
    idle: float
    images: Counter[str]
    tasks: dict[str, list[_Task]] = field(default_factory=dict)
    steps: Counter[StepKey] = field(default_factory=Counter)
    losses: dict[str, float] = field(default_factory=dict)

    @property
    def service(self) -> ServiceName:
        """Return the service that the runner belongs to."""
        return self.runner.entry.service


class _Exchange(NamedTuple):
    """A move of a task between two runners, and of another one back, if any.

    `outgoing` is the image of the task that leaves `first`, and `incoming` the image of the task
    that leaves `second`, or empty. `relief` is the reduction of conflicts on both runners, for each
    moved task.
    """

    relief: float
    first: _PlannedRunner
    second: _PlannedRunner
    outgoing: str
    incoming: str


def pressure(state: Scheduler) -> float:
    """Return the share of gained filler capacity that would be used at once, 0 to 1.

    Where fewer fillers wait than run, a waiting one finds a runner within about the duration of
    one task, so that moving serving tasks for it gains little.
    """
    running = waiting = 0.0
    for runner in state.runners.values():
        for run in runner.runs.values():
            if run.fills:
                running += run.paced_millicores
                waiting += run.wanted_millicores - run.paced_millicores
    for job in state.waiting_jobs():
        for round_state in job.rounds.values():
            for _, step in round_state.ready():
                if step.spec.fills:
                    waiting += len(step.waiting) * step.spec.millicores
    return min(1.0, waiting / max(1.0, running))


def exchange_tasks(state: Scheduler, runners: list[RunnerState], now: float) -> list[Move]:
    """Return the moves that exchange single tasks between runners, usually none."""
    filler_pressure = pressure(state)
    if filler_pressure <= 0.0:
        return []
    return _Plan(state, runners, filler_pressure, now).moves()


class _Plan:
    """Search for a better grouping, on a copy of the present one."""

    def __init__(
        self, state: Scheduler, runners: list[RunnerState], filler_pressure: float, now: float
    ) -> None:
        self._state = state
        self._contention = state.contention
        self._pressure = filler_pressure
        self._absent: dict[StepKey, int] = {}
        self._planned_runners = [self._planned_runner(runner, now) for runner in runners]
        images = sorted({image for planned in self._planned_runners for image in planned.images})
        self._conflicts = {
            first: {second: self._conflict(first, second) for second in images} for first in images
        }
        for planned in self._planned_runners:
            self._update_losses(planned)
        self._origins: dict[TaskKey, _PlannedRunner] = {}
        self._planned_at: dict[TaskKey, _PlannedRunner] = {}
        self._candidates = list(self._exchanges(self._planned_runners))

    def moves(self) -> list[Move]:
        """Return the moves of the sequence of exchanges with the highest net gain."""
        before = self._filler_capacity()
        best, best_net = [], 0.0
        for _ in range(MAX_EXCHANGES):
            if not self._improve():
                break
            moves = self._net_moves()
            net = (self._filler_capacity() - before) * self._pressure - MIN_GAIN_CORES * len(moves)
            if net > best_net:
                best, best_net = moves, net
        return best

    def _planned_runner(self, runner: RunnerState, now: float) -> _PlannedRunner:
        used = Demand(runner.used_millicores, runner.used_memory_mb, runner.used_accelerators)
        free = _add(runner.entry.room, used, -1)
        for reservation in runner.reservations.values():
            free = _add(free, reservation.demand, -1)
        planned = _PlannedRunner(
            runner, free, cores_left_to_fillers(runner), Counter(runner.serving)
        )
        for key, run in runner.runs.items():
            if not run.serves:
                continue
            planned.steps[_step_of(key)] += 1
            if now - run.since >= MIN_STAY_S and self._may_move(key):
                planned.tasks.setdefault(run.image, []).append(_Task(key, run))
        return planned

    def _may_move(self, key: TaskKey) -> bool:
        """Return whether a task is running and may be absent.

        A step that limits its absent tasks must have all its other tasks running.
        """
        job = self._state.jobs.get(key.job)
        if job is None or job.phase in FINAL or not is_running(self._state, key):
            return False
        step = job.rounds[key.round].steps[key.step]
        if step.spec.may_be_away < 0:
            return True
        step_key = _step_of(key)
        if step_key not in self._absent:
            numbers = range(len(step.tasks))
            complete = all(
                is_running(self._state, key._replace(number=number)) for number in numbers
            )
            self._absent[step_key] = 0 if complete else step.spec.may_be_away
        return self._absent[step_key] < step.spec.may_be_away

    # Filler capacity of a grouping

    def _filler_capacity(self) -> float:
        return sum(
            max(0.0, planned.idle) * self._contention.tolerated_share(frozenset(planned.images))
            for planned in self._planned_runners
        )

    def _conflict(self, first: str, second: str) -> float:
        """Return the share of fillers that only one of two images tolerates."""
        if first == second:
            return 0.0
        tolerated_share = self._contention.tolerated_share
        both = tolerated_share(frozenset((first, second)))
        return (
            tolerated_share(frozenset((first,)))
            + tolerated_share(frozenset((second,)))
            - 2.0 * both
        )

    def _update_losses(self, planned: _PlannedRunner) -> None:
        """Compute the conflict of one more task of each image with those on the runner."""
        planned.losses = {
            image: sum(count * row[other] for other, count in planned.images.items())
            for image, row in self._conflicts.items()
        }

    # Exchanges

    def _improve(self) -> bool:
        """Apply the feasible exchange with the highest relief; return False if there is none."""
        self._candidates.sort(key=lambda candidate: candidate.relief, reverse=True)
        for exchange in self._candidates:
            pair = self._fitting(exchange)
            if pair is not None:
                self._apply(exchange, *pair)
                return True
        return False

    def _exchanges(self, changed: list[_PlannedRunner]) -> Iterator[_Exchange]:
        """Yield the exchanges that involve any of the changed runners."""
        for number, first in enumerate(changed):
            for second in self._planned_runners:
                # A pair of two changed runners is considered once.
                if second in changed[: number + 1] or second.service != first.service:
                    continue
                yield from self._pair_exchanges(first, second)

    def _pair_exchanges(self, first: _PlannedRunner, second: _PlannedRunner) -> Iterator[_Exchange]:
        """Yield the exchanges of two runners with enough relief, of two tasks or of one."""
        for outgoing in first.tasks:
            move_relief = first.losses[outgoing] - second.losses[outgoing]
            if move_relief >= MIN_RELIEF:
                yield _Exchange(move_relief, first, second, outgoing, "")
            row = self._conflicts[outgoing]
            for incoming in second.tasks:
                return_relief = second.losses[incoming] - first.losses[incoming]
                # The losses at each destination still include the other task, which leaves it.
                relief = (move_relief + return_relief + 2.0 * row[incoming]) / 2.0
                if relief >= MIN_RELIEF and incoming != outgoing:
                    yield _Exchange(relief, first, second, outgoing, incoming)
        for incoming in second.tasks:
            move_relief = second.losses[incoming] - first.losses[incoming]
            if move_relief >= MIN_RELIEF:
                yield _Exchange(move_relief, second, first, incoming, "")

    def _fitting(self, exchange: _Exchange) -> tuple[_Task, _Task | None] | None:
        """Return the feasible tasks of an exchange that are closest in size, or None."""
        first, second = exchange.first, exchange.second
        best: tuple[_Task, _Task | None] | None = None
        smallest_difference = 0
        incoming_tasks: list[_Task | None] = [None]
        if exchange.incoming:
            incoming_tasks = list(second.tasks[exchange.incoming])
        for outgoing in first.tasks[exchange.outgoing]:
            if not self._allowed(outgoing, second):
                continue
            for incoming in incoming_tasks:
                if incoming is not None and not self._allowed(incoming, first):
                    continue
                if not _fits_swapped(first, second, outgoing, incoming):
                    continue
                difference = outgoing.run.demand.millicores
                if incoming is not None:
                    difference = abs(difference - incoming.run.demand.millicores)
                if best is None or difference < smallest_difference:
                    best, smallest_difference = (outgoing, incoming), difference
        return best

    def _allowed(self, task: _Task, planned: _PlannedRunner) -> bool:
        step_state = self._state.jobs[task.key.job].rounds[task.key.round].steps[task.key.step]
        step: Step = step_state.spec
        if step.label and step.label not in planned.runner.entry.labels:
            return False
        if self._state.short_rooms.keeps(planned.service, planned.runner.id):
            return False
        limit = step.max_per_instance
        if limit and planned.steps[_step_of(task.key)] >= limit:
            return False
        origin = self._origins.get(task.key)
        # A task that moves for the first time in this plan must be allowed to be absent.
        return origin is not None or self._may_move(task.key)

    def _apply(self, exchange: _Exchange, outgoing: _Task, incoming: _Task | None) -> None:
        self._shift(outgoing, exchange.first, exchange.second)
        if incoming is not None:
            self._shift(incoming, exchange.second, exchange.first)
        changed = [exchange.first, exchange.second]
        for planned in changed:
            self._update_losses(planned)
        remaining = [candidate for candidate in self._candidates if candidate.first not in changed]
        self._candidates = [candidate for candidate in remaining if candidate.second not in changed]
        self._candidates += self._exchanges(changed)

    def _shift(self, task: _Task, source: _PlannedRunner, planned: _PlannedRunner) -> None:
        step = _step_of(task.key)
        if task.key not in self._origins:
            self._origins[task.key] = source
            if step in self._absent:
                self._absent[step] += 1
        self._planned_at[task.key] = planned
        image, demand = task.run.image, task.run.demand
        for changed, sign in ((source, -1), (planned, 1)):
            changed.free = _add(changed.free, demand, -sign)
            changed.idle -= sign * demand.millicores * SERVING_USE_SHARE / 1000.0
            changed.steps[step] += sign
            changed.images[image] += sign
        source.tasks[image].remove(task)
        planned.tasks.setdefault(image, []).append(task)
        if not source.tasks[image]:
            del source.tasks[image]
        if not source.images[image]:
            del source.images[image]

    def _net_moves(self) -> list[Move]:
        """Return the moves from the present runners of tasks to the planned ones."""
        return [
            Move(key, origin.runner.id, self._planned_at[key].runner.id)
            for key, origin in self._origins.items()
            if self._planned_at[key] is not origin
        ]


def _step_of(key: TaskKey) -> StepKey:
    return (key.job, key.round, key.step)


def _add(first: Demand, second: Demand, sign: int) -> Demand:
    return Demand(*(have + sign * more for have, more in zip(first, second, strict=True)))


def _fits_swapped(
    first: _PlannedRunner, second: _PlannedRunner, outgoing: _Task, incoming: _Task | None
) -> bool:
    returning_demand = incoming.run.demand if incoming is not None else Demand()
    second_free = _add(_add(second.free, returning_demand, 1), outgoing.run.demand, -1)
    first_free = _add(_add(first.free, outgoing.run.demand, 1), returning_demand, -1)
    return min(second_free) >= 0 and min(first_free) >= 0


def is_running(state: Scheduler, key: TaskKey) -> bool:
    """Return whether a lasting task is running at full pace."""
    task = state.jobs[key.job].task(key)
    runner = state.runners.get(task.runner)
    run = runner.runs.get(key) if task.phase is Phase.BOUND and runner is not None else None
    return run is not None and run.stage is RunStage.RUNNING and run.percent == 100
