"""Test ended jobs whose records are deleted while a claimant loads its copy of the log anew."""

import pytest

from spoolcrank.batching import ENDED_JOB_RETENTION_S
from spoolcrank.ids import JobId
from spoolcrank.keyed_log import LEADER_KEY, KeyedRecord, job_key
from spoolcrank.leader_writer import FIRST_SEQUENCE
from spoolcrank.scheduler import Scheduler
from spoolcrank.store_port import Append, WriterFence
from spoolcrank.workflow import JobPhase, Step, TaskKey, encode
from tests.fleet_world import Instance, World, small_world

JOB = JobId("0000")
STEP = Step(count=3, millicores=1000, memory_mb=100, estimate_ms=600)
LATER_JOBS = 40
"""Number of jobs that are not dropped yet, whose records make the log several pages long."""

PAGE_S = 0.3
"""Time that a page takes, in seconds; the records are deleted while the first one is on its way."""

READ_S = 0.5
"""Time until the claimant's first read after its load is answered, in seconds."""


def _world_before_the_drop() -> tuple[World, Instance, Instance]:
    """Return a fleet shortly before its leader drops a job, with the leader and another one."""
    world = small_world(instances=2)
    leader = world.leader()
    assert leader is not None
    (other,) = (one for one in world.instances.values() if one is not leader)
    leader.submit(JOB, STEP)
    world.run_until(lambda: leader.index.phase(JOB) is JobPhase.COMPLETED)
    ((ended_at, _),) = _scheduler(leader).ended
    world.run(ENDED_JOB_RETENTION_S / 2.0)
    for number in range(LATER_JOBS):
        leader.submit(f"{number + 1:04x}", STEP)
        world.run(0.1)
    world.run(ended_at + ENDED_JOB_RETENTION_S - PAGE_S / 2.0 - world.now)
    return world, leader, other


def _scheduler(leader: Instance) -> Scheduler:
    assert leader.dispatcher.scheduler is not None
    return leader.dispatcher.scheduler


def _load_while_the_job_is_dropped(world: World, instance: Instance) -> None:
    """Load the log: the page with the job precedes its deletion, the one with its progress not."""
    world.store.slow_pages_s[instance.name] = PAGE_S
    world.store.slow_reads_s[instance.name] = READ_S
    instance.follower.begin()
    deleted = KeyedRecord(job_key(JOB), b"")
    world.run_until(lambda: any(one[:2] == deleted[:2] for one in world.store.jobs.records))
    assert instance.follower._page_end <= len(world.store.jobs.records) - 3
    assert not instance.follower.copy.loaded


def _carry_out_claim(world: World, claimant: Instance) -> None:
    claim = claimant.leadership.next_claim(world.now)
    fence = WriterFence(claim.term, FIRST_SEQUENCE)
    world.store.jobs.append(Append([KeyedRecord(LEADER_KEY, encode(claim))], fence))


def _check_not_repeated(world: World) -> None:
    assert world.violations == []
    assert [len(world.starts[TaskKey(JOB, 0, 0, number)]) for number in range(3)] == [1, 1, 1]


@pytest.mark.parametrize("dies", [False, True], ids=["deposed", "dies"])
def test_a_job_dropped_while_a_claimant_loads_does_not_run_again(dies: bool) -> None:
    """Guards against a leader whose copy has a job's record and lacks the progress deleted since.

    It would take the job for a new one.
    """
    world, leader, claimant = _world_before_the_drop()
    _load_while_the_job_is_dropped(world, claimant)
    _carry_out_claim(world, claimant)
    if dies:
        leader.kill()
    world.run(20.0 * PAGE_S)
    world.store.slow_reads_s.clear()
    world.run(10.0)
    assert claimant.leadership.claim.term > 1
    _check_not_repeated(world)
    assert claimant.index.phase(JOB) is None


def test_a_leader_that_loads_while_it_drops_a_job_does_not_run_it_again() -> None:
    """Guards against a leader that reads a job's record again and takes it for a new job."""
    world, leader, _ = _world_before_the_drop()
    _load_while_the_job_is_dropped(world, leader)
    world.run(20.0 * PAGE_S)
    world.store.slow_reads_s.clear()
    world.run(5.0)
    assert leader.follower.copy.loaded
    _check_not_repeated(world)
