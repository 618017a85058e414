"""Ends of a job whose progress the leader cannot read, as an older version may not."""

import pytest

from spoolcrank import takeover
from spoolcrank.decoding import Unreadable
from spoolcrank.ids import JobId
from spoolcrank.workflow import JobPhase, Progress, Step, TaskKey
from tests.fleet_world import Instance, World, small_world

JOB = "00ab"
TASK = TaskKey(JobId(JOB), 0, 0, 0)
ONE = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=1000)
WORK_S = 1.0
TERM_S = 6.0


def _replace_leader(world: World) -> Instance:
    before = world.leader()
    assert before is not None
    before.kill()
    world.run_until(lambda: world.leader() is not None)
    after = world.leader()
    assert after is not None
    return after


def test_no_end_is_forgotten_that_the_leader_cannot_assign(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second run of finished work after an older version has led.

    That leader skips the job, drops the end and lets its runner forget it.
    """

    def fail(value: bytes) -> Progress:
        raise Unreadable("written by a newer version")

    world = small_world(instances=4)
    for other in world.runners.values():
        other.work_s = WORK_S
    leader = world.leader()
    assert leader is not None
    leader.submit(JOB, ONE)
    world.run_until(lambda: bool(world.starts[TASK]))
    world.run(0.2)
    with monkeypatch.context() as older:
        older.setattr(takeover, "decode_progress", fail)
        _replace_leader(world)
        world.run(TERM_S)
    newest = _replace_leader(world)
    world.run(10.0)
    assert newest.index.phase(JobId(JOB)) is JobPhase.COMPLETED
    assert world.violations == []
    assert len(world.starts[TASK]) == 1
