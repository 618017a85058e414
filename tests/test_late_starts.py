"""Test that a restarting runner is reached before it carries out a start that got no answer."""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.late_starts import MAX_START_DELAY_S, LateStarts
from spoolcrank.orders import Start, Target
from spoolcrank.polling import FENCE_POLL_INTERVAL_S, MAX_RESTARTING_POLLS, polls_due
from spoolcrank.runner_ids import FENCES_PER_TERM
from spoolcrank.workflow import JobPhase, RunnerId, Step, TaskKey
from tests.fleet_runners import Runner
from tests.fleet_world import World, small_world

JOB = JobId("a1")
TASK = TaskKey(JOB, 0, 0, 0)
LATE_BY_S = 2 * FENCE_POLL_INTERVAL_S + 0.05
"""Time from a runner's restart to the late start, in seconds: a poll and the answer that tells the
new incarnation apart, then a poll under a fence of its own."""


def _done_after_an_unanswered_start(world: World) -> Runner:
    """Return the runner whose first start of a task got no answer, with the task done there."""
    (runner,) = world.runners.values()
    leader = world.leader()
    assert leader is not None
    world.lost_answer_share = 1.0
    world.late_orders_outlive_restart = False
    leader.submit(JOB, Step(count=1, millicores=1000, memory_mb=100))
    world.run_until(lambda: bool(world.starts[TASK]))
    world.lost_answer_share = 0.0
    world.run_until(lambda: leader.index.phase(JOB) is JobPhase.COMPLETED)
    world.run_until(lambda: TASK in world.done)
    return runner


# Guards against polls at silent runners so far apart that a late start comes before them.
@pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7])
def test_a_late_start_is_void_soon_after_its_runner_restarts(phase_s: float) -> None:
    world = small_world(instances=1, runners=1)
    world.keeps_id_share = 1.0
    runner = _done_after_an_unanswered_start(world)
    world.crash(runner, 3.0 + phase_s)
    world.run_until(lambda: world.runners[runner.id] is not runner)
    restarted = world.runners[runner.id]
    world.run(restarted.begun + LATE_BY_S - world.now)
    target = Target(runner.incarnation_id, runner.name, FENCES_PER_TERM)
    order = Start(target, TASK, 1, "payload", "", 20_000)
    world.carry_out_late(restarted, lambda current: current.start(order))
    assert TASK not in restarted.tasks
    assert world.violations == []


def test_starts_count_as_outstanding_for_as_long_as_they_may_be_carried_out() -> None:
    late_starts = LateStarts(100.0)
    runner = RunnerId("i-1@1")
    later = RunnerId("i-1@2")
    assert late_starts.is_outstanding(runner, 100.0 + MAX_START_DELAY_S - 0.1)
    assert not late_starts.is_outstanding(runner, 100.0 + MAX_START_DELAY_S)
    late_starts.record(runner, 200.0)
    assert late_starts.is_outstanding(later, 200.0 + MAX_START_DELAY_S - 0.1)
    late_starts.forget_old(200.0 + MAX_START_DELAY_S)
    assert not late_starts.is_outstanding(later, 200.0 + MAX_START_DELAY_S)


# Guards against a leader that spends its time on polls while a whole zone is silent.
def test_few_silent_runners_are_polled_often_at_once() -> None:
    world = small_world(instances=1, runners=40)
    leader = world.leader()
    assert leader is not None
    scheduler = leader.dispatcher.scheduler
    assert scheduler is not None
    now = world.now
    for runner in scheduler.runners.values():
        runner.silent_since, runner.polled_at, runner.polling = now - 1.0, now - 0.2, True
        scheduler.late_starts.record(runner.id, now)
    assert len(polls_due(scheduler, now, True)) == MAX_RESTARTING_POLLS
    assert polls_due(scheduler, now + FENCE_POLL_INTERVAL_S / 2, True) == []
