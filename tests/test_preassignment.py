"""Starts by stored preassignments while the store does not answer.

The tests guard against runners that stay idle during an outage of the store, against tasks that
start twice, and against starts that extend a lease a successor does not know of.
"""

import pytest

from spoolcrank.batching import on_batch_stored, take_batch
from spoolcrank.binding import bind, preassign
from spoolcrank.ids import ServiceName
from spoolcrank.job_state import JobState
from spoolcrank.orders import Poll, Report, Start
from spoolcrank.preassignment import (
    MAX_PREASSIGNED,
    MAX_RUNNERS,
    Preassignments,
    start_preassigned,
)
from spoolcrank.run_control import poll_answered
from spoolcrank.runner_state import CLOCK_DRIFT, RunnerState
from spoolcrank.scheduler import RoutePolicy, Scheduler
from spoolcrank.workflow import JobPhase, RunnerId, Step, TaskKey
from tests.fleet_jobs import phase, settle
from tests.fleet_world import ROUTE, SERVICE, World, small_world

FIRST = Step(count=4, millicores=1000, memory_mb=100, estimate_ms=600)
NEXT = Step(count=4, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,))


def started_tasks(world: World, step: int) -> int:
    return sum(bool(times) for key, times in world.starts.items() if key.step == step)


def world_with_running_job(work_s: float) -> World:
    """Return a world whose runners have leases, with one job running its first step."""
    world = small_world()
    for runner in world.runners.values():
        runner.work_s = work_s
    world.instances["entry-0"].submit("f1", FIRST, NEXT)
    world.run(1.0)
    return world


def test_next_step_starts_while_the_store_does_not_answer() -> None:
    world = world_with_running_job(2.0)
    world.store.silent = True
    world.run(4.0)
    assert started_tasks(world, 1) == 4
    world.store.silent = False
    settle(world, "f1")
    assert phase(world, "f1") is JobPhase.COMPLETED
    assert max(len(times) for times in world.starts.values()) == 1
    assert world.violations == []


def test_preassigned_start_is_inherited_and_not_repeated() -> None:
    world = world_with_running_job(1.4)
    world.store.silent = True
    world.run(2.0)
    assert started_tasks(world, 1) == 4
    leader = world.leader()
    assert leader is not None
    for runner in world.runners.values():
        runner.work_s = 9.0
    leader.kill()
    world.store.silent = False
    settle(world, "f1", limit_s=40.0)
    assert world.violations == []


def test_preassignment_is_not_used_before_it_is_stored() -> None:
    state, key = pending_preassignment()
    runner = next(iter(state.runners.values()))
    bind(state, state.jobs[key.job], key, 1, runner, 1.0)
    assert state.orders == []


def pending_preassignment() -> tuple[Scheduler, TaskKey]:
    world = small_world()
    world.instances["entry-0"].submit("f1", FIRST)
    world.run_until(lambda: world.leader() is not None and bool(_jobs(world)))
    leader = world.leader()
    assert leader is not None
    state = leader.dispatcher.scheduler
    assert state is not None
    job = next(iter(state.jobs.values()))
    new_job = JobState(job.id, job.record, job.order)
    new_job.open_round(0)
    state.jobs[job.id] = new_job
    state.orders.clear()
    key = TaskKey(job.id, 0, 0, 0)
    preassign(state, new_job, key, next(iter(state.runners)))
    return state, key


def _jobs(world: World) -> list[JobState]:
    leader = world.leader()
    state = leader.dispatcher.scheduler if leader is not None else None
    return list(state.jobs.values()) if state is not None else []


def test_preassignment_changed_while_pending_does_not_count_as_stored() -> None:
    state, key = pending_preassignment()
    batch = take_batch(state)
    assert batch is not None
    other = list(state.runners)[1]
    preassign(state, state.jobs[key.job], key, other)
    on_batch_stored(state, batch, 1.0)
    assert not state.jobs[key.job].task(key).preassigned_stored


@pytest.mark.parametrize("jobs", [40])
def test_preassigned_tasks_per_runner_are_limited(jobs: int) -> None:
    world = small_world()
    for number in range(jobs):
        world.instances["entry-0"].submit(f"{number:04x}", FIRST)
    world.run(1.5)
    preassigned: dict[RunnerId, int] = {}
    for job in _jobs(world):
        for round_state in job.rounds.values():
            for step in round_state.steps:
                for index in step.waiting:
                    runner = step.tasks[index].preassigned
                    if runner:
                        preassigned[runner] = preassigned.get(runner, 0) + 1
    assert preassigned
    assert max(preassigned.values()) <= MAX_PREASSIGNED


def test_start_without_the_store_extends_no_lease() -> None:
    """A successor that cannot reach the runner relies on the leases granted before the outage."""
    state, key = pending_preassignment()
    state.jobs[key.job].task(key).preassigned_stored = True
    runner = next(iter(state.runners.values()))
    granted_ms = runner.granted_ms
    now = runner.answered_at + 3.0
    state.extends_until = now - 1.0
    bind(state, state.jobs[key.job], key, 1, runner, now)
    (order,) = state.orders
    assert isinstance(order, Start)
    assert order.until_ms == int(granted_ms)
    assert runner.granted_ms == granted_ms


def test_tasks_without_preassignment_start_once_the_store_answers_again() -> None:
    world = small_world()
    for runner in world.runners.values():
        runner.work_s = 3.0
    large_step = Step(count=80, millicores=1000, memory_mb=100, estimate_ms=3000)
    world.instances["entry-0"].submit("f1", large_step)
    world.run(1.0)
    world.store.silent = True
    world.run(9.5)
    leader = world.leader()
    assert leader is not None
    world.store.silent = False
    settle(world, "f1")
    assert not [fields for name, fields in leader.logged.lines if name == "start-refused"]
    assert world.violations == []


def test_cancelled_job_stores_no_preassignment() -> None:
    state, key = pending_preassignment()
    state.cancel(key.job, 1.0)
    batch = take_batch(state)
    assert batch is not None
    assert state.jobs[key.job].progress().steps == ()


def test_nothing_is_preassigned_in_a_large_fleet() -> None:
    world = small_world(runners=MAX_RUNNERS + 1)
    for number in range(200):
        world.instances["entry-0"].submit(f"{number:04x}", Step(count=8, millicores=1000))
    world.run(1.5)
    waiting = [
        step.tasks[index]
        for job in _jobs(world)
        for round_state in job.rounds.values()
        for step in round_state.steps
        for index in step.waiting
    ]
    assert waiting
    assert not [task for task in waiting if task.preassigned]


@pytest.mark.parametrize(("slow_s", "starts_early"), [(0.1, False), (0.16, True)])
def test_tasks_start_without_a_stored_record_only_once_a_record_is_late(
    monkeypatch: pytest.MonkeyPatch, slow_s: float, starts_early: bool
) -> None:
    """Such a start extends no lease, so the leader waits for a store that is only slow."""
    start_times: list[float] = []
    monkeypatch.setattr(Preassignments, "start", lambda _, state, now: start_times.append(now))
    world = small_world()
    world.store.slow_s = slow_s
    for number in range(30):
        world.instances["entry-0"].submit(f"{number:04x}", FIRST, NEXT)
    world.run(8.0)
    assert sum(map(bool, world.starts.values())) > 30
    assert bool(start_times) is starts_early


def stored_preassignment() -> tuple[Scheduler, TaskKey, RunnerState, float]:
    """Return a scheduler, a task that may start without the store, its runner and a time for it."""
    state, key = pending_preassignment()
    task = state.jobs[key.job].task(key)
    task.preassigned_stored = True
    state.ready[key.job] = None
    runner = state.runners[task.preassigned]
    return state, key, runner, runner.answered_at


@pytest.mark.parametrize(("left_ms", "starts"), [(2400.0, False), (2600.0, True)])
def test_start_without_the_store_requires_enough_lease_time(left_ms: float, starts: bool) -> None:
    """The start extends no lease; most tasks with less time left would be killed while running."""
    state, key, runner, now = stored_preassignment()
    runner.granted_ms = runner.clock_lower(now) + left_ms
    start_preassigned(state, now)
    assert [order.task for order in state.orders if isinstance(order, Start)] == [key] * starts


@pytest.mark.parametrize(("service", "starts"), [("pricing", True), ("other", False)])
def test_start_without_the_store_requires_the_current_service(service: str, starts: bool) -> None:
    """A queue may be routed to another service after its tasks were preassigned."""
    state, key, runner, now = stored_preassignment()
    assert runner.entry.service == SERVICE
    state.routes = {ROUTE: RoutePolicy(ServiceName(service), 0, 3)}
    start_preassigned(state, now)
    assert [order.task for order in state.orders if isinstance(order, Start)] == [key] * starts


@pytest.mark.parametrize("fills", [False, True])
def test_tasks_that_fit_no_runner_do_not_take_the_preassignments_of_others(fills: bool) -> None:
    """Nothing started in an outage of the store behind one job of many tasks too large to run."""
    world = small_world()
    for runner in world.runners.values():
        runner.work_s = 5.0
    count = MAX_PREASSIGNED * len(world.runners)
    too_large = Step(count=count, millicores=11_000, memory_mb=100, fills=fills)
    world.instances["entry-0"].submit("e1", too_large)
    world.run(3.0)
    steps = [Step(count=4, millicores=1000, after=(number,)) for number in range(2)]
    world.instances["entry-0"].submit("f1", FIRST, *steps)
    # The second step runs, and both jobs are too late to earn anything.
    world.run(6.5)
    assert started_tasks(world, 1) == 4
    world.store.silent = True
    world.run(4.5)
    assert started_tasks(world, 2) == 4


def test_a_runner_reached_during_an_outage_of_the_store_gets_no_longer_lease() -> None:
    """A successor counts the leases from the leader's last write, also if it reached more since."""
    state, _, runner, now = stored_preassignment()
    runner.adopted = runner.earlier_grants_known = False
    runner.granted_ms = 0.0
    state.extends_until = now - 2.0
    report = Report(runner.id, runner.clock_lower(now), (), ())
    poll_answered(state, Poll(state.target(runner), 0, None, 0), report, now, now)
    assert runner.adopted
    start_preassigned(state, now)
    (order,) = [order for order in state.orders if isinstance(order, Start)]
    longest_ms = runner.lease_ms - 2000.0 * (1.0 - CLOCK_DRIFT)
    assert order.until_ms <= runner.clock_lower(now) + longest_ms
