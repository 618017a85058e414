"""Exchange single serving tasks where whole groups of one image do not fit in each other's place.

Exchanges of single tasks between two runners, each of which lessens what the images of one runner
take from each other's fillers, are tried one after the other on a copy of the grouping; as many
are carried out as open the most for the tasks that they move. Where most fillers slow the image
that nearly half of the serving tasks ran, 188 of 199 changes of whole groups did not fit; with
exchanges fillers worked at 1.35 times the processors there (one deployment, its worst days).
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from spoolcrank.ids import ServiceName
from spoolcrank.packing import open_cores
from spoolcrank.runner_state import SERVING_USE, RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, Demand, Phase, RunnerId, Step, TaskKey

LEAST_GAIN = 0.8
"""Processors for fillers that a plan must open for each task it moves, cores. A task's absence of
a second costs about what three core-seconds of fillers earn, and those beside its new place that
it bears badly lose some more, so that this pays within ten seconds. At 0.5 and 1.2 jobs of fillers
earned alike within 0.01 of what they were owed (14 plays each)."""

LEAST_RELIEF = 0.02
"""For each moved task an exchange lessens by at least this what images on one runner take from each
other: shares of the expected fillers, summed over pairs of tasks; below it nothing is learnt of
the pairs yet, or their images bear the same fillers."""

STAY_S = 6.0
"""A task that came to its runner later than that is not moved again, s: each move costs about one
second of its work."""

MOST_EXCHANGES = 12
"""Exchanges in one plan; the rest follows in the next, with newer weights."""

StepKey = tuple[str, int, int]
"""Job, round and step."""


class Move(NamedTuple):
    """One task to move, and where to."""

    task: TaskKey
    source: RunnerId
    destination: RunnerId


class _Task(NamedTuple):
    """One serving task that may move."""

    key: TaskKey
    run: Run


@dataclass(eq=False)
class _Place:
    """A runner in the grouping that is being planned.

    Attributes:
        runner: as it is.
        free: room that is neither taken nor promised.
        idle: what serving and short tasks leave to fillers, cores.
        images: serving tasks by image, those that may not move included.
        tasks: those that may move, by image.
        steps: tasks of each step held.
        pressed: by image, what one more task there and those present take from each other.
    """

    runner: RunnerState
    free: Demand
    idle: float
    images: Counter[str]
    tasks: dict[str, list[_Task]] = field(default_factory=dict)
    steps: Counter[StepKey] = field(default_factory=Counter)
    pressed: dict[str, float] = field(default_factory=dict)

    @property
    def service(self) -> ServiceName:
        """Return the service of the runner."""
        return self.runner.entry.service


class _Exchange(NamedTuple):
    """A task that goes from one place to another, and the one that comes back, if any.

    `relief` is how much less the images of both places press each other, for each moved task.
    """

    relief: float
    one: _Place
    other: _Place
    going: str
    coming: str


def pressure(state: Scheduler) -> float:
    """Return how much of opened room would be used at once, 0 to 1.

    Where less waits than works it finds a place within about the time of one task, so that moving
    tasks that serve for it gains little.
    """
    at_work = waiting = 0.0
    for runner in state.runners.values():
        for run in runner.runs.values():
            if run.fills:
                at_work += run.paced_millicores
                waiting += run.wanted_millicores - run.paced_millicores
    for job in state.waiting_jobs():
        for held in job.rounds.values():
            for _, step in held.ready():
                if step.spec.fills:
                    waiting += len(step.waiting) * step.spec.millicores
    return min(1.0, waiting / max(1.0, at_work))


def exchange_tasks(state: Scheduler, runners: list[RunnerState], now: float) -> list[Move]:
    """Return the moves that exchange single tasks between runners; most times none."""
    pressed = pressure(state)
    if pressed <= 0.0:
        return []
    return _Plan(state, runners, pressed, now).moves()


class _Plan:
    """One search for a better grouping, on a copy of the present one."""

    def __init__(
        self, state: Scheduler, runners: list[RunnerState], pressed: float, now: float
    ) -> None:
        self._state = state
        self._contention = state.contention
        self._pressure = pressed
        self._away: dict[StepKey, int] = {}
        self._places = [self._place(runner, now) for runner in runners]
        images = sorted({image for place in self._places for image in place.images})
        self._conflicts = {
            one: {other: self._conflict(one, other) for other in images} for one in images
        }
        for place in self._places:
            self._press(place)
        self._origins: dict[TaskKey, _Place] = {}
        self._now_at: dict[TaskKey, _Place] = {}
        self._found = list(self._exchanges(self._places))

    def moves(self) -> list[Move]:
        """Return the moves of the first exchanges that together open the most."""
        before = self._worth()
        best, best_net = [], 0.0
        for _ in range(MOST_EXCHANGES):
            if not self._improve():
                break
            moves = self._made()
            net = (self._worth() - before) * self._pressure - LEAST_GAIN * len(moves)
            if net > best_net:
                best, best_net = moves, net
        return best

    def _place(self, runner: RunnerState, now: float) -> _Place:
        used = Demand(runner.used_millicores, runner.used_memory_mb, runner.used_accelerators)
        free = _plus(runner.entry.room, used, -1)
        for promise in runner.promised.values():
            free = _plus(free, promise.demand, -1)
        place = _Place(runner, free, open_cores(runner), Counter(runner.serving))
        for key, run in runner.runs.items():
            if not run.serves:
                continue
            place.steps[_step_of(key)] += 1
            if now - run.since >= STAY_S and self._may_move(key):
                place.tasks.setdefault(run.image, []).append(_Task(key, run))
        return place

    def _may_move(self, key: TaskKey) -> bool:
        """Tell whether a task is at work and may be away; a stated bound wants all others there."""
        job = self._state.jobs.get(key.job)
        if job is None or job.phase in FINAL or not at_work(self._state, key):
            return False
        step = job.rounds[key.round].steps[key.step]
        if step.spec.may_be_away < 0:
            return True
        held = _step_of(key)
        if held not in self._away:
            numbers = range(len(step.tasks))
            complete = all(at_work(self._state, key._replace(number=one)) for one in numbers)
            self._away[held] = 0 if complete else step.spec.may_be_away
        return self._away[held] < step.spec.may_be_away

    # What a grouping is worth

    def _worth(self) -> float:
        return sum(
            max(0.0, place.idle) * self._contention.borne(frozenset(place.images))
            for place in self._places
        )

    def _conflict(self, one: str, other: str) -> float:
        """Return the share of fillers that two images on one runner take from each other."""
        if one == other:
            return 0.0
        borne = self._contention.borne
        both = borne(frozenset((one, other)))
        return borne(frozenset((one,))) + borne(frozenset((other,))) - 2.0 * both

    def _press(self, place: _Place) -> None:
        """Work out what one more task of each image would take and lose there."""
        place.pressed = {
            image: sum(count * row[other] for other, count in place.images.items())
            for image, row in self._conflicts.items()
        }

    # Exchanges

    def _improve(self) -> bool:
        """Carry out the exchange that relieves most on the copy; False if there is none."""
        self._found.sort(key=lambda one: one.relief, reverse=True)
        for exchange in self._found:
            pair = self._fitting(exchange)
            if pair is not None:
                self._carry_out(exchange, *pair)
                return True
        return False

    def _exchanges(self, changed: list[_Place]) -> Iterator[_Exchange]:
        """Yield the exchanges that any of some places takes part in."""
        for number, one in enumerate(changed):
            for other in self._places:
                # Of two changed places the pair is weighed once.
                if other in changed[: number + 1] or other.service != one.service:
                    continue
                yield from self._between(one, other)

    def _between(self, one: _Place, other: _Place) -> Iterator[_Exchange]:
        """Yield the exchanges of one task for one of another image, or for none, that relieve."""
        for going in one.tasks:
            left = one.pressed[going] - other.pressed[going]
            if left >= LEAST_RELIEF:
                yield _Exchange(left, one, other, going, "")
            row = self._conflicts[going]
            for coming in other.tasks:
                came = other.pressed[coming] - one.pressed[coming]
                # Each was pressed by the other where it comes from, and is not where it goes.
                relief = (left + came + 2.0 * row[coming]) / 2.0
                if relief >= LEAST_RELIEF and coming != going:
                    yield _Exchange(relief, one, other, going, coming)
        for coming in other.tasks:
            left = other.pressed[coming] - one.pressed[coming]
            if left >= LEAST_RELIEF:
                yield _Exchange(left, other, one, coming, "")

    def _fitting(self, exchange: _Exchange) -> tuple[_Task, _Task | None] | None:
        """Return the tasks of an exchange that fit best, or None."""
        one, other = exchange.one, exchange.other
        best: tuple[_Task, _Task | None] | None = None
        least = 0
        back: list[_Task | None] = [None]
        if exchange.coming:
            back = list(other.tasks[exchange.coming])
        for going in one.tasks[exchange.going]:
            if not self._allowed(going, other):
                continue
            for coming in back:
                if coming is not None and not self._allowed(coming, one):
                    continue
                if not _fits_swapped(one, other, going, coming):
                    continue
                uneven = going.run.demand.millicores
                if coming is not None:
                    uneven = abs(uneven - coming.run.demand.millicores)
                if best is None or uneven < least:
                    best, least = (going, coming), uneven
        return best

    def _allowed(self, task: _Task, place: _Place) -> bool:
        held = self._state.jobs[task.key.job].rounds[task.key.round].steps[task.key.step]
        step: Step = held.spec
        if step.label and step.label not in place.runner.entry.labels:
            return False
        bound = step.max_per_instance
        if bound and place.steps[_step_of(task.key)] >= bound:
            return False
        origin = self._origins.get(task.key)
        # Who moves for the first time in this plan has to be free to be away.
        return origin is not None or self._may_move(task.key)

    def _carry_out(self, exchange: _Exchange, going: _Task, coming: _Task | None) -> None:
        self._shift(going, exchange.one, exchange.other)
        if coming is not None:
            self._shift(coming, exchange.other, exchange.one)
        changed = [exchange.one, exchange.other]
        for place in changed:
            self._press(place)
        kept = [held for held in self._found if held.one not in changed]
        self._found = [held for held in kept if held.other not in changed]
        self._found += self._exchanges(changed)

    def _shift(self, task: _Task, source: _Place, place: _Place) -> None:
        step = _step_of(task.key)
        if task.key not in self._origins:
            self._origins[task.key] = source
            if step in self._away:
                self._away[step] += 1
        self._now_at[task.key] = place
        image, demand = task.run.image, task.run.demand
        for held, sign in ((source, -1), (place, 1)):
            held.free = _plus(held.free, demand, -sign)
            held.idle -= sign * demand.millicores * SERVING_USE / 1000.0
            held.steps[step] += sign
            held.images[image] += sign
        source.tasks[image].remove(task)
        place.tasks.setdefault(image, []).append(task)
        if not source.tasks[image]:
            del source.tasks[image]
        if not source.images[image]:
            del source.images[image]

    def _made(self) -> list[Move]:
        """Return the moves from where tasks are to where the copy has them."""
        return [
            Move(key, origin.runner.id, self._now_at[key].runner.id)
            for key, origin in self._origins.items()
            if self._now_at[key] is not origin
        ]


def _step_of(key: TaskKey) -> StepKey:
    return (key.job, key.round, key.step)


def _plus(one: Demand, other: Demand, sign: int) -> Demand:
    return Demand(*(have + sign * more for have, more in zip(one, other, strict=True)))


def _fits_swapped(one: _Place, other: _Place, going: _Task, coming: _Task | None) -> bool:
    back = coming.run.demand if coming is not None else Demand()
    there = _plus(_plus(other.free, back, 1), going.run.demand, -1)
    here = _plus(_plus(one.free, going.run.demand, 1), back, -1)
    return min(there) >= 0 and min(here) >= 0


def at_work(state: Scheduler, key: TaskKey) -> bool:
    """Tell whether a lasting task is at work."""
    task = state.jobs[key.job].task(key)
    runner = state.runners.get(task.runner)
    run = runner.runs.get(key) if task.phase is Phase.BOUND and runner is not None else None
    return run is not None and run.stage is RunStage.RUNNING and run.percent == 100
