"""Test an instance that was away while jobs ended, were dropped, and left the log's history."""

from spoolcrank.batching import ENDED_JOB_RETENTION_S
from spoolcrank.ids import JobId
from spoolcrank.workflow import Step
from tests.fleet_world import ROUTE, small_world

JOB = JobId("0000")
STEP = Step(count=1, millicores=1000, memory_mb=100, estimate_ms=600)


def test_a_dropped_job_does_not_wait_for_ever_at_an_instance_that_was_away() -> None:
    """Guards against a count of waiting jobs that stays too high until the process ends."""
    world = small_world(instances=3)
    away = next(one for one in world.instances.values() if one is not world.leader())
    away.submit(JOB, STEP)
    world.run_until(lambda: away.index.phase(JOB) is not None)
    world.store.refused_instances.add(away.name)
    world.run(ENDED_JOB_RETENTION_S + 20.0)
    assert not any(record.key.endswith(JOB) for record in world.store.jobs.newest())
    world.store.jobs.first_retained_offset = len(world.store.jobs.records)
    world.store.refused_instances.clear()
    world.run(5.0)
    assert away.follower.copy.loaded
    assert away.index.phase(JOB) is None
    assert away.index.waiting(ROUTE) == 0
