"""Facts about work that reach a leader before the record that they concern, or after it is gone."""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import cancel_key
from spoolcrank.orders import EndedRow, EndKind, Poll, Report
from spoolcrank.run_control import poll_answered
from spoolcrank.workflow import (
    JobPhase,
    JobRecord,
    Progress,
    RouteName,
    Step,
    StoredStep,
    TaskKey,
    Workflow,
)
from tests.fleet_world import World, small_world
from tests.packed_runners import NOW, SERVICE, leader, runner
from tests.test_late_ends import AFTER_PARTITION_S, PARTITION_S, WORK_S

JOB = JobId("ab")
ONE = Step(count=1, millicores=1000, memory_mb=100)


def _kill_leader(world: World) -> None:
    instance = world.leader()
    assert instance is not None
    instance.kill()
    world.run_until(lambda: world.leader() is not None)


def _phase(world: World) -> JobPhase:
    instance = world.leader()
    assert instance is not None and instance.dispatcher.scheduler is not None
    return instance.dispatcher.scheduler.jobs[JOB].phase


@pytest.mark.parametrize("takeover", [False, True], ids=["same leader", "takeover"])
def test_a_cancel_read_before_its_job_keeps_the_job_from_starting(takeover: bool) -> None:
    """Guards against a cancel that is dropped because the leader does not know its job yet."""
    world = small_world()
    world.store.jobs.put(cancel_key(JOB), b"1")
    world.run(0.5)
    if takeover:
        _kill_leader(world)
    next(iter(world.instances.values())).submit(JOB, ONE)
    world.run(2.0)
    assert _phase(world) is JobPhase.CANCELLED
    assert not world.starts


def test_a_run_of_finished_work_is_stopped_by_the_next_leader() -> None:
    """Guards against a stop that is lost with the leader that ordered it.

    The records of the next leader show the task as done, and no run of it.
    """
    world = small_world(runners=8)
    for other in world.runners.values():
        other.work_s = WORK_S
    world.instances["entry-0"].submit(JOB, ONE)
    world.run(1.0)
    (holder,) = [other for other in world.runners.values() if other.tasks]
    for other in world.runners.values():
        other.work_s = 60.0 if other is not holder else WORK_S
    world.unreachable |= {(instance, holder.name) for instance in world.instances}
    world.run(PARTITION_S)
    (newer,) = [other for other in world.runners.values() if other.tasks]
    old = world.leader()
    assert old is not None
    world.unreachable.clear()
    world.unreachable.add((old.name, newer.name))
    world.run_until(lambda: _phase(world) is JobPhase.COMPLETED)
    world.run(0.2)
    assert newer.tasks
    _kill_leader(world)
    world.run(AFTER_PARTITION_S)
    assert not newer.tasks
    assert world.violations == []


@pytest.mark.parametrize("how", [EndKind.DONE, EndKind.FAILED])
def test_an_end_of_a_round_that_is_over_changes_nothing(how: EndKind) -> None:
    state = leader(runner("r0"))
    workflow = Workflow("", (ONE,), rounds=2, first_at_ms=0, interval_ms=1)
    record = JobRecord(RouteName("feed"), SERVICE, 0, 1, 250, 1.5, workflow)
    done = Progress("running", (StoredStep(1, 0),), 1)
    state.add_job(JOB, record, 0, done, False, NOW, 10.0)
    job = state.jobs[JOB]
    before = job.progress()
    (holder,) = state.runners.values()
    row = EndedRow(1, TaskKey(JOB, 0, 0, 0), 1, how, "0042")
    poll = Poll(state.target(holder), 0, None, 0)
    poll_answered(state, poll, Report(holder.id, 1000.0, (), (row,)), NOW, NOW)
    assert job.progress() == before
    assert job.phase is JobPhase.RUNNING
