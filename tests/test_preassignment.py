"""Starts go on while the store is away, by what its records preassign; nothing starts twice."""

import pytest

from spoolcrank.batching import batch_kept, take_batch
from spoolcrank.binding import bind, preassign
from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState
from spoolcrank.orders import Start
from spoolcrank.preassignment import (
    MAX_PREASSIGNED,
    MAX_RUNNERS,
    Preassignments,
    start_preassigned,
)
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import RoutePolicy, Scheduler
from spoolcrank.workflow import JobPhase, RunnerId, Step, TaskKey
from tests.fleet_world import ROUTE, SERVICE, World, small
from tests.test_dispatch import phase, settle

FIRST = Step(count=4, millicores=1000, memory_mb=100, estimate_ms=600)
NEXT = Step(count=4, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,))


def started(world: World, step: int) -> int:
    return sum(bool(times) for key, times in world.starts.items() if key.step == step)


def at_work(work_s: float) -> World:
    """Return a world whose runners hold leases, with one job at work on its first step."""
    world = small()
    for one in world.runners.values():
        one.work_s = work_s
    world.instances["entry-0"].submit("f1", FIRST, NEXT)
    world.run(1.0)
    return world


def test_the_next_step_starts_while_the_store_is_away() -> None:
    world = at_work(2.0)
    world.store.silent = True
    world.run(4.0)
    assert started(world, 1) == 4
    world.store.silent = False
    settle(world, "f1")
    assert phase(world, "f1") is JobPhase.COMPLETED
    assert max(len(times) for times in world.starts.values()) == 1
    assert world.broken == []


def test_a_start_as_preassigned_is_inherited_and_not_made_again() -> None:
    world = at_work(1.4)
    world.store.silent = True
    world.run(2.0)
    assert started(world, 1) == 4
    leader = world.leader()
    assert leader is not None
    for one in world.runners.values():
        one.work_s = 9.0
    leader.kill()
    world.store.silent = False
    settle(world, "f1", limit_s=40.0)
    assert world.broken == []


def test_no_preassignment_is_used_before_it_is_kept() -> None:
    state, key = preassigned_but_not_kept()
    runner = next(iter(state.runners.values()))
    bind(state, state.jobs[key.job], key, 1, runner, 1.0)
    assert state.orders == []


def preassigned_but_not_kept() -> tuple[Scheduler, TaskKey]:
    world = small()
    world.instances["entry-0"].submit("f1", FIRST)
    world.run_until(lambda: world.leader() is not None and bool(_jobs(world)))
    leader = world.leader()
    assert leader is not None
    state = leader.dispatcher.scheduler
    assert state is not None
    job = next(iter(state.jobs.values()))
    fresh = JobState(job.id, job.record, job.order)
    fresh.open_round(0)
    state.jobs[job.id] = fresh
    state.orders.clear()
    key = TaskKey(job.id, 0, 0, 0)
    preassign(state, fresh, key, next(iter(state.runners)))
    return state, key


def _jobs(world: World) -> list[JobState]:
    leader = world.leader()
    state = leader.dispatcher.scheduler if leader is not None else None
    return list(state.jobs.values()) if state is not None else []


def test_a_preassignment_that_was_changed_meanwhile_is_not_taken_as_kept() -> None:
    state, key = preassigned_but_not_kept()
    batch = take_batch(state)
    assert batch is not None
    other = list(state.runners)[1]
    preassign(state, state.jobs[key.job], key, other)
    batch_kept(state, batch, 1.0)
    assert not state.jobs[key.job].task(key).preassigned_kept


@pytest.mark.parametrize("jobs", [40])
def test_no_runner_is_preassigned_more_than_an_outage_could_use(jobs: int) -> None:
    world = small()
    for number in range(jobs):
        world.instances["entry-0"].submit(f"{number:04x}", FIRST)
    world.run(1.5)
    preassigned: dict[RunnerId, int] = {}
    for job in _jobs(world):
        for held in job.rounds.values():
            for step in held.steps:
                for index in step.waiting:
                    runner = step.tasks[index].preassigned
                    if runner:
                        preassigned[runner] = preassigned.get(runner, 0) + 1
    assert preassigned
    assert max(preassigned.values()) <= MAX_PREASSIGNED


def test_a_start_without_the_store_extends_no_lease() -> None:
    """A successor that cannot reach the runner counts on the leases granted before."""
    state, key = preassigned_but_not_kept()
    state.jobs[key.job].task(key).preassigned_kept = True
    runner = next(iter(state.runners.values()))
    granted_ms = runner.granted_ms
    now = runner.answered_at + 3.0
    state.extends_until = now - 1.0
    bind(state, state.jobs[key.job], key, 1, runner, now)
    (order,) = state.orders
    assert isinstance(order, Start)
    assert order.until_ms == int(granted_ms)
    assert runner.granted_ms == granted_ms


def test_work_without_preassignment_goes_on_once_the_store_is_back() -> None:
    world = small()
    for one in world.runners.values():
        one.work_s = 3.0
    many = Step(count=80, millicores=1000, memory_mb=100, estimate_ms=3000)
    world.instances["entry-0"].submit("f1", many)
    world.run(1.0)
    world.store.silent = True
    world.run(9.5)
    leader = world.leader()
    assert leader is not None
    world.store.silent = False
    settle(world, "f1")
    assert not [fields for name, fields in leader.logged.lines if name == "start-refused"]
    assert world.broken == []


def test_a_cancelled_job_leaves_no_preassignment_in_its_record() -> None:
    state, key = preassigned_but_not_kept()
    state.cancel(key.job, 1.0)
    batch = take_batch(state)
    assert batch is not None
    assert state.jobs[key.job].progress().steps == ()


def test_a_large_fleet_preassigns_nothing() -> None:
    world = small(runners=MAX_RUNNERS + 1)
    for number in range(200):
        world.instances["entry-0"].submit(f"{number:04x}", Step(count=8, millicores=1000))
    world.run(1.5)
    waiting = [
        step.tasks[index]
        for job in _jobs(world)
        for held in job.rounds.values()
        for step in held.steps
        for index in step.waiting
    ]
    assert waiting
    assert not [task for task in waiting if task.preassigned]


@pytest.mark.parametrize(("slow_s", "early"), [(0.1, False), (0.16, True)])
def test_starts_go_without_a_record_only_once_one_is_late(
    monkeypatch: pytest.MonkeyPatch, slow_s: float, early: bool
) -> None:
    """Such a start extends no lease, so a store that is merely slow is waited for."""
    began: list[float] = []
    monkeypatch.setattr(Preassignments, "start", lambda _, state, now: began.append(now))
    world = small()
    world.store.slow_s = slow_s
    for number in range(30):
        world.instances["entry-0"].submit(f"{number:04x}", FIRST, NEXT)
    world.run(8.0)
    assert sum(map(bool, world.starts.values())) > 30
    assert bool(began) is early


def kept_preassignment() -> tuple[Scheduler, TaskKey, RunnerState, float]:
    """Return a task that may start without the store, where, and a time when it may."""
    state, key = preassigned_but_not_kept()
    task = state.jobs[key.job].task(key)
    task.preassigned_kept = True
    state.ready[key.job] = None
    runner = state.runners[task.preassigned]
    return state, key, runner, runner.answered_at


@pytest.mark.parametrize(("left_ms", "starts"), [(2400.0, False), (2600.0, True)])
def test_a_start_without_the_store_wants_enough_of_the_lease(left_ms: float, starts: bool) -> None:
    """It extends no lease; one with less left would mostly be killed at work."""
    state, key, runner, now = kept_preassignment()
    runner.granted_ms = runner.clock_lower(now) + left_ms
    start_preassigned(state, now)
    assert [order.task for order in state.orders if isinstance(order, Start)] == [key] * starts


@pytest.mark.parametrize(("service", "starts"), [("pricing", True), ("other", False)])
def test_a_start_without_the_store_goes_to_the_service_of_now(service: str, starts: bool) -> None:
    """A queue may be given to another service after its tasks were preassigned."""
    state, key, runner, now = kept_preassignment()
    assert runner.entry.service == SERVICE
    state.routes = {ROUTE: RoutePolicy(ServiceName(service), 0, 3)}
    start_preassigned(state, now)
    assert [order.task for order in state.orders if isinstance(order, Start)] == [key] * starts
