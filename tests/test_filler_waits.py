"""A filler that every runner refuses for its effect starts slowly where most capacity is idle.

The simulated runners here let their tasks work at the ordered pace, and report tail latencies that
rise with the processors that fillers use at that pace.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import pytest

from spoolcrank.contention import ContentionModel, StoredServingImage, StoredWeight
from spoolcrank.held_fillers import STARTING_PACE_PERCENT, UNDER_WAY_S
from spoolcrank.idle_capacity import MAX_IDLE_WAIT_S
from spoolcrank.ids import JobId
from spoolcrank.openings import Shortage, scope_of, size_of
from spoolcrank.order_answers import start_answered
from spoolcrank.orders import Answered, OrderResult, Pace, Poll, Report, RunningRow, Start
from spoolcrank.placing import place
from spoolcrank.placing_pass import FillerRefusal
from spoolcrank.run_control import poll_answered
from spoolcrank.runner_port import PollResult
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import JobRecord, RouteName, Step, TaskKey, Workflow
from tests.fleet_runners import RunnerPort
from tests.fleet_world import Runner
from tests.idle_capacity import IdleCapacityCheck, Place, SizedRunner, SizedWorld
from tests.packed_runners import NOW, SERVICE, leader, put, runner

TARGET_MS = 1000.0
HARM_S = 4.0
TICK_S = 0.02
SERVING = Step(
    count=4,
    millicores=3000,
    memory_mb=100,
    lasting=True,
    image="s",
    target_ms=TARGET_MS,
    max_per_instance=1,
)
FILLER = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600, image="f", fills=True)
SERVING_KEYS = [TaskKey(JobId("a"), 0, 0, number) for number in range(SERVING.count)]


class PacedRunner(SizedRunner):
    """A runner whose tasks follow their paces, and disturb those that serve."""

    world: "PacedWorld"

    def __init__(self, world: "PacedWorld", name: str, runner_name: str, where: Place) -> None:
        super().__init__(world, name, runner_name, where)
        self.paces: dict[TaskKey, int] = {}
        self.full_pace_s: dict[TaskKey, float] = {}
        self.harm_s = 0.0

    def pace(self, order: Pace) -> OrderResult:
        current_task = self.tasks.get(order.task)
        if current_task is not None and current_task.run == order.run:
            self.paces[order.task] = order.percent
            self.world.ordered.setdefault(order.task, []).append(order.percent)
        return OrderResult.DONE

    def fillers(self) -> list[TaskKey]:
        return [key for key in self.tasks if self.world.step_of(key).fills]

    def tail_ratio(self) -> float:
        used = sum(
            self.world.step_of(key).millicores * self.paces[key] / 100.0 for key in self.fillers()
        )
        return self.world.ratio * math.exp(self.world.weight * used / self.millicores)

    def advance(self) -> None:
        for key in self.fillers():
            if self.paces[key] == 100:
                self.full_pace_s[key] = self.full_pace_s.get(key, 0.0) + TICK_S
            self.tasks[key].worked_s -= TICK_S * (1.0 - self.paces[key] / 100.0)
        is_harmed = self.world.ratio < 1.0 <= self.tail_ratio()
        self.harm_s = self.harm_s + TICK_S if is_harmed else 0.0
        self.world.longest_harm_s = max(self.world.longest_harm_s, self.harm_s)
        super().advance()

    def poll(self, order: Poll) -> PollResult:
        answer = super().poll(order)
        if answer.report is None:
            return answer
        rows = []
        for row in answer.report.running:
            step = self.world.step_of(row.task)
            if step.target_ms:
                rows.append(row._replace(percent=100, measurement=TARGET_MS * self.tail_ratio()))
            else:
                used = step.millicores * self.paces[row.task] / 100.0
                rows.append(row._replace(percent=max(0, row.percent), measurement=used))
        return answer._replace(report=answer.report._replace(running=tuple(rows)))

    def _begin(self, key: TaskKey, order: Any) -> None:
        super()._begin(key, order)
        self.paces[key] = 100


class PacedWorld(SizedWorld):
    """Four runners with one serving task each, and a leader.

    Attributes:
        ratio: tail latency over target of the serving tasks without fillers.
        weight: rise of the logarithm of the tail latency with a filler on all processors.
        ordered: paces that the runners carried out, by task.
        longest_harm_s: longest time on end for which fillers kept a task over its target.
    """

    def __init__(self, ratio: float, weight: float, believed: float | None) -> None:
        self.ratio, self.weight = ratio, weight
        self.ordered: dict[TaskKey, list[int]] = {}
        self.longest_harm_s = 0.0
        super().__init__(1)
        for number in range(4):
            address = f"10.0.0.{number}:80"
            self.places[address] = Place("a", frozenset(), 8000, 64_000)
            self.add_runner(address)
        for number in range(2):
            self.add_instance(f"entry-{number}")
        self.run_until(lambda: self.leader() is not None)
        self.run(0.2)
        self.lasting_jobs = {"a"}
        self.check = IdleCapacityCheck(self)
        self.submit("entry-0", "a", SERVING, work_s=1.0)
        if believed is not None:
            weights = (StoredWeight("f", believed, 0.01),)
            self.state().contention.restore([StoredServingImage("s", math.log(ratio), weights)])
        self.run(10.0)
        self.check.watching = True

    def add_runner(
        self, name: str, runner_name: str | None = None, entry_lag_s: float = 0.0, **fields: Any
    ) -> Runner:
        where = self.places[name]
        added = PacedRunner(self, name, runner_name or f"i-{next(self._id_numbers)}", where)
        self.runners[added.id] = added
        self._write_entry(added)
        return added

    def state(self) -> Scheduler:
        instance = self.leader()
        assert instance is not None and instance.dispatcher.scheduler is not None
        return instance.dispatcher.scheduler

    def full_pace_s(self, key: TaskKey) -> float:
        """Return how long a task ran at full pace."""
        paced = [each for each in self.runners.values() if isinstance(each, PacedRunner)]
        return max(each.full_pace_s.get(key, 0.0) for each in paced)


@pytest.fixture(autouse=True)
def paces_are_carried_out(monkeypatch: pytest.MonkeyPatch) -> None:
    def pace(port: Any, order: Pace, done: Callable[[Answered], None]) -> None:
        port._send(order, lambda there: Answered(there.pace(order), there.clock_ms), done)

    monkeypatch.setattr(RunnerPort, "pace", pace)


class Case(NamedTuple):
    """Tail ratio without fillers, the leader's belief about the filler, and its true weight."""

    ratio: float
    believed: float | None
    weight: float


HELD = {
    "over for another cause, not known": Case(1.1, None, 0.0),
    "over for another cause, harmless": Case(1.1, 0.0, 0.0),
    "near the target, not known": Case(0.9, None, 0.0),
    "loaded, not known": Case(0.6, None, 0.0),
    "usual, not known": Case(0.38, None, 0.0),
    "harmful": Case(0.38, 8.0, 8.0),
    "wrongly believed harmful": Case(0.38, 8.0, 0.0),
}


@pytest.mark.parametrize("case", HELD.values(), ids=list(HELD))
def test_a_held_filler_starts_before_its_job_counts_as_lost(case: Case) -> None:
    """Guards against fillers that no runner ever takes, although most capacity is idle."""
    world = PacedWorld(case.ratio, case.weight, case.believed)
    begun = world.now
    world.submit("entry-0", "b", FILLER, work_s=0.6)
    world.run(60.0)
    starts = world.starts[TaskKey(JobId("b"), 0, 0, 0)]
    assert len(starts) == 1 and starts[0] - begun <= 3.0
    assert all(len(world.starts[key]) == 1 for key in SERVING_KEYS)
    assert not world.check.violations
    assert world.longest_harm_s < HARM_S
    assert world.violations == []


# Guards against a held filler that disturbs at full speed until the first report.
def test_a_held_filler_begins_at_a_low_pace_and_gets_faster_while_the_tail_allows() -> None:
    world = PacedWorld(0.38, 0.0, None)
    world.submit("entry-0", "b", FILLER, work_s=60.0)
    key = TaskKey(JobId("b"), 0, 0, 0)
    world.run_until(lambda: bool(world.starts[key]), 3.0)
    world.run(0.3)
    assert world.ordered[key] == [STARTING_PACE_PERCENT]
    assert world.full_pace_s(key) < 0.1
    world.run(20.0)
    assert world.ordered[key][-1] == 100


@pytest.mark.parametrize("weight", [12.0, 40.0])
def test_a_held_filler_is_halted_before_the_tail_that_it_raises_counts_as_harmed(
    weight: float,
) -> None:
    """Guards against a trial of a harmful filler that goes on over the target."""
    world = PacedWorld(0.9, weight, None)
    world.submit("entry-0", "b", FILLER, work_s=600.0)
    key = TaskKey(JobId("b"), 0, 0, 0)
    world.run(60.0)
    assert len(world.starts[key]) == 1
    assert 0 in world.ordered[key]
    assert world.longest_harm_s < HARM_S
    assert not world.check.violations


def test_jobs_with_many_fillers_do_not_keep_others_from_their_first_start() -> None:
    """Guards against a refusal of one job's next filler that holds the first of another job."""
    world = PacedWorld(0.38, 8.0, 8.0)
    wide = msgspec.structs.replace(FILLER, count=20)
    begun = world.now
    for job in ("b", "c", "d"):
        world.submit("entry-0", job, wide, work_s=600.0)
    world.submit("entry-0", "e", FILLER, work_s=600.0)
    world.run(10.0)
    assert world.starts[TaskKey(JobId("e"), 0, 0, 0)][0] - begun <= 3.0
    assert not world.check.violations


@pytest.mark.parametrize(
    "case", [Case(1.1, None, 0.0), Case(0.9, None, 12.0), Case(0.7, None, 8.0)]
)
def test_many_held_fillers_start_in_time_and_do_no_harm_together(case: Case) -> None:
    """Guards against jobs that are lost because one filler at a time starts on a runner."""
    world = PacedWorld(case.ratio, case.weight, case.believed)
    for number in range(20):
        step = msgspec.structs.replace(FILLER, millicores=200)
        world.submit("entry-0", f"b{number}", step, work_s=600.0)
    world.run(30.0)
    assert not world.check.violations
    assert world.longest_harm_s < HARM_S


# One decision


def add(state: Scheduler, job: str, step: Step, waited_s: float = 10.0) -> TaskKey:
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 60_000, 2.0, Workflow("", (step,)))
    state.add_job(JobId(job), record, 1, None, False, NOW - waited_s, 0.0)
    return TaskKey(JobId(job), 0, 0, 0)


def with_serving(
    name: str, millicores: int = 3000, labels: frozenset[str] = frozenset()
) -> RunnerState:
    state = runner(name, 8000, labels)
    put(state, msgspec.structs.replace(SERVING, millicores=millicores), tail_ms=600.0)
    return state


def leader_of(*runners: RunnerState) -> Scheduler:
    """Return a leader that takes the filler for harmful to the serving tasks."""
    contention = ContentionModel()
    weights = (StoredWeight("f", 8.0, 0.01),)
    contention.restore([StoredServingImage("s", math.log(0.38), weights)])
    return leader(*runners, contention=contention)


def count(where: RunnerState) -> int:
    return sum(1 for run in where.runs.values() if run.fills)


def test_a_held_filler_waits_while_half_of_the_capacity_is_in_use() -> None:
    """Guards against trials under load, where fillers wait for capacity anyway."""
    busy = [with_serving(name, millicores=4000) for name in ("i-1", "i-2")]
    state = leader_of(*busy)
    add(state, "ee", FILLER)
    place(state, NOW, 0.0)
    assert [count(each) for each in busy] == [0, 0]
    busy[0].remove(next(iter(busy[0].runs)))
    put(busy[0], msgspec.structs.replace(SERVING, millicores=3900), tail_ms=600.0)
    place(state, NOW + 0.2, 0.0)
    assert sum(count(each) for each in busy) == 1


def test_a_filler_that_finds_a_place_starts_there_at_full_pace() -> None:
    free, loaded = runner("i-1", 8000), with_serving("i-2")
    state = leader_of(free, loaded)
    key = add(state, "ee", FILLER)
    place(state, NOW, 0.0)
    assert free.runs[key].pace == 100 and not free.runs[key].starts_slowly


def test_a_filler_is_held_for_a_while_and_then_started_once() -> None:
    """Guards against a second start of a job that has one running."""
    loaded = [with_serving(name) for name in ("i-1", "i-2")]
    state = leader_of(*loaded)
    key = add(state, "ee", msgspec.structs.replace(FILLER, count=5), MAX_IDLE_WAIT_S - 0.1)
    place(state, NOW, 0.0)
    assert sum(count(each) for each in loaded) == 0
    place(state, NOW + 0.2, 0.0)
    assert sum(count(each) for each in loaded) == 1
    for each in loaded:
        each.answered_at = NOW + 3.0
        if key in each.runs:
            answer(state, each, key, NOW + 0.2)
    place(state, NOW + 3.0, 0.0)
    assert sum(count(each) for each in loaded) == 1


def test_a_filler_that_some_runner_takes_is_left_to_the_usual_order() -> None:
    """Guards against a slow start beside a serving task while a free runner is about to be used."""
    free, loaded = runner("i-1", 8000), with_serving("i-2")
    state = leader_of(free, loaded)
    key = add(state, "ee", FILLER)
    shortage = Shortage(size_of(FILLER))
    state.filler_refusals[scope_of(SERVICE, FILLER)] = FillerRefusal(shortage, NOW + 0.1)
    place(state, NOW, 0.0)
    assert key not in loaded.runs
    place(state, NOW + 0.2, 0.0)
    assert free.runs[key].pace == 100


def test_one_held_filler_at_a_time_starts_on_a_runner() -> None:
    """Guards against several held fillers that work on one runner at full pace."""
    loaded = [with_serving(name) for name in ("i-1", "i-2")]
    state = leader_of(*loaded)
    keys = [add(state, job, FILLER) for job in ("b1", "b2", "b3")]
    place(state, NOW, 0.0)
    assert [count(each) for each in loaded] == [1, 1]
    place(state, NOW + 2.0, 0.0)
    assert [count(each) for each in loaded] == [1, 1]
    for each in loaded:
        for key in keys:
            if key in each.runs:
                answer(state, each, key, NOW + 2.0)
        each.answered_at = NOW + 2.0
    state.held_fillers_at = -math.inf
    place(state, NOW + 2.0 + UNDER_WAY_S / 2, 0.0)
    assert sum(count(each) for each in loaded) == 2
    state.held_fillers_at = -math.inf
    place(state, NOW + 2.1 + UNDER_WAY_S, 0.0)
    assert sum(count(each) for each in loaded) == 3


def answer(state: Scheduler, where: RunnerState, key: TaskKey, now: float) -> None:
    """Let a runner accept the start of a run."""
    order = Start(state.target(where), key, where.runs[key].number, "", "", 0)
    start_answered(state, order, Answered(OrderResult.DONE), now)


def test_the_pace_of_a_held_filler_is_ordered_when_its_start_is_accepted() -> None:
    loaded = with_serving("i-1")
    state = leader_of(loaded)
    key = add(state, "ee", FILLER)
    place(state, NOW, 0.0)
    assert loaded.filled_millicores == 1000 * STARTING_PACE_PERCENT // 100
    answer(state, loaded, key, NOW)
    ordered = [order for order in state.orders if isinstance(order, Pace)]
    assert [(order.task, order.percent) for order in ordered] == [(key, STARTING_PACE_PERCENT)]


def test_the_pace_of_a_held_filler_is_ordered_when_a_report_shows_it_first() -> None:
    """Guards against a filler at full pace where the answer to its start is lost."""
    loaded = with_serving("i-1")
    state = leader_of(loaded)
    key = add(state, "ee", FILLER)
    place(state, NOW, 0.0)
    loaded.runs[key].stage = RunStage.UNCONFIRMED
    row = RunningRow(key, loaded.runs[key].number, "", 0, 1000.0)
    poll = Poll(state.target(loaded), 0, None, 0)
    poll_answered(state, poll, Report(loaded.id, 1100.0, (row,), ()), NOW, NOW)
    ordered = [order for order in state.orders if isinstance(order, Pace)]
    assert [(order.task, order.percent) for order in ordered] == [(key, STARTING_PACE_PERCENT)]


BEYOND_CAPACITY = {
    "memory": msgspec.structs.replace(FILLER, memory_mb=64_000),
    "accelerators": msgspec.structs.replace(FILLER, accelerators=1),
    "label": msgspec.structs.replace(FILLER, label="big"),
    "processors": msgspec.structs.replace(FILLER, millicores=8200),
}


@pytest.mark.parametrize("step", BEYOND_CAPACITY.values(), ids=list(BEYOND_CAPACITY))
def test_a_held_filler_goes_nowhere_beyond_the_capacity(step: Step) -> None:
    loaded = with_serving("i-1")
    state = leader_of(loaded)
    add(state, "ee", step)
    place(state, NOW, 0.0)
    assert count(loaded) == 0


def test_a_held_filler_prefers_a_runner_that_is_under_its_target() -> None:
    over, under = with_serving("i-1"), with_serving("i-2")
    next(iter(over.runs.values())).over_target_since = NOW - 5.0
    state = leader_of(over, under)
    key = add(state, "ee", FILLER)
    place(state, NOW, 0.0)
    assert key in under.runs and key not in over.runs


def test_a_filler_that_was_halted_for_long_is_not_taken_for_hung_once_it_works_again() -> None:
    """Guards against a stop, counted against task and runner, of each filler that is set free."""
    world = PacedWorld(1.1, 0.0, 0.0)
    world.submit("entry-0", "b", FILLER, work_s=60.0)
    key = TaskKey(JobId("b"), 0, 0, 0)
    world.run(20.0)
    assert world.ordered[key][-1] == 0
    world.ratio = 0.7
    world.run(20.0)
    assert world.ordered[key][-1] == 100
    assert len(world.starts[key]) == 1
