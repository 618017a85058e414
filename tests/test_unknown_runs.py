"""Test that no task starts elsewhere while a runner lists an unknown run of it.

A runner that restarts under its id may carry out an order that was sent to an earlier incarnation.
"""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.job_state import find_task
from spoolcrank.orders import Start, Target
from spoolcrank.runner_ids import FENCES_PER_TERM
from spoolcrank.runs import Run, RunStage
from spoolcrank.workflow import JobPhase, Step, TaskKey
from tests.fleet_runners import Runner
from tests.fleet_world import Instance, World, small_world

JOB = JobId("a1")
TASK = TaskKey(JOB, 0, 0, 0)
WORK_S = 2.0
RESTART_DELAY_S = 1.0
SLOW_APPEND_S = 0.5
MAX_WAIT_AFTER_LOSS_S = 12.0
"""Longest time until a task runs again after the loss of its runner, in seconds: the longest lease,
a restart, and two polls at silent runners."""


def _leader(world: World) -> Instance:
    leader = world.leader()
    assert leader is not None
    return leader


def _run_two_on(world: World) -> Runner:
    """Return the only runner once it has the second run; the first start was never answered."""
    (runner,) = world.runners.values()
    runner.work_s = WORK_S
    world.late_orders_outlive_restart = False
    world.polls_only.add(runner.name)
    _leader(world).submit(JOB, Step(count=1, millicores=1000, memory_mb=100))
    world.run(1.0)
    world.polls_only.clear()
    world.run_until(lambda: TASK in runner.tasks)
    assert runner.tasks[TASK].run >= 2
    return runner


def _restart_with_late_start(world: World, runner: Runner, work_s: float = WORK_S) -> Runner:
    """Restart a runner, which carries out the first start before its leader reaches it."""
    runner.work_s = work_s
    leader = _leader(world)
    world.unreachable.add((leader.name, runner.name))
    world.crash(runner, RESTART_DELAY_S)
    world.run_until(lambda: world.runners[runner.id] is not runner)
    restarted = world.runners[runner.id]
    target = Target(runner.incarnation_id, runner.name, FENCES_PER_TERM)
    order = Start(target, TASK, 1, "payload", "", 20_000)
    world.carry_out_late(restarted, lambda current: current.start(order))
    assert restarted.tasks[TASK].run == 1
    world.add_runner("10.0.0.9:80")
    world.run(0.5)
    world.unreachable.clear()
    return restarted


@pytest.mark.parametrize("seed", range(5))
def test_a_task_that_a_restarted_runner_lists_starts_nowhere_else(seed: int) -> None:
    world = small_world(instances=1, runners=1, seed=seed)
    world.keeps_id_share = 1.0
    runner = _run_two_on(world)
    restarted = _restart_with_late_start(world, runner)
    world.run_until(lambda: TASK not in restarted.tasks)
    world.run(WORK_S + 2.0)
    assert world.violations == []
    assert _leader(world).index.phase(JOB) is JobPhase.COMPLETED


def _bound_run(world: World) -> Run | None:
    scheduler = _leader(world).dispatcher.scheduler
    task = find_task(scheduler.jobs, TASK) if scheduler is not None else None
    if scheduler is None or task is None or task.runner not in scheduler.runners:
        return None
    return scheduler.runners[task.runner].runs.get(TASK)


def _poll_at_once(world: World, runner: Runner) -> None:
    scheduler = _leader(world).dispatcher.scheduler
    assert scheduler is not None
    for state in scheduler.runners.values():
        if state.entry.address == runner.name:
            state.polled_at = -1.0
            state.polling = False


def test_a_start_that_is_not_ordered_yet_is_given_up() -> None:
    """The next run may be bound, and its record be on its way, when the unknown run is listed."""
    world = small_world(instances=1, runners=1)
    world.keeps_id_share = 1.0
    runner = _run_two_on(world)
    restarted = _restart_with_late_start(world, runner, work_s=60.0)
    runner_link = (_leader(world).name, runner.name)
    world.unreachable.add(runner_link)

    def is_recorded() -> bool:
        run = _bound_run(world)
        return run is not None and run.number > 2 and run.stage is RunStage.RECORDED

    world.store.slow_s = SLOW_APPEND_S
    while not is_recorded():
        world.run(0.001)
    world.unreachable.clear()
    _poll_at_once(world, restarted)
    world.run_until(lambda: restarted.tasks[TASK].stop_at is not None, SLOW_APPEND_S)
    assert not is_recorded()
    world.store.slow_s = 0.0
    world.run_until(lambda: TASK not in restarted.tasks)
    world.run(WORK_S + 4.0)
    assert world.violations == []


@pytest.mark.parametrize("stays_away", [False, True], ids=["back", "lost"])
def test_the_wait_for_an_unknown_run_ends_with_its_runner(stays_away: bool) -> None:
    world = small_world(instances=1, runners=1)
    world.keeps_id_share = 1.0
    restarted = _restart_with_late_start(world, _run_two_on(world))
    leader = _leader(world)
    world.run_until(lambda: restarted.tasks[TASK].stop_at is not None)
    starts = len(world.starts[TASK])
    world.crash(restarted, 3600.0 if stays_away else RESTART_DELAY_S)
    world.run_until(lambda: len(world.starts[TASK]) > starts, MAX_WAIT_AFTER_LOSS_S)
    world.run(WORK_S + 1.0)
    assert world.violations == []
    assert leader.index.phase(JOB) is JobPhase.COMPLETED
