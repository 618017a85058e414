"""A leader that is behind in reading the log."""

from spoolcrank.ids import JobId
from spoolcrank.workflow import Step
from tests.fleet_world import small_world

MAX_START_AFTER_CANCEL_S = 3.0
"""The time after the acknowledgement of a cancel from which the job must not start, seconds."""


def test_a_leader_that_is_behind_in_the_log_starts_nothing() -> None:
    """Guard against a leader that places tasks from an outdated copy of the log.

    The leader read nothing of the log for 5 s, and again for 3 s, while its writes were stored; the
    cause of the slow reads is unknown. It continued to place tasks from the records it had read,
    and received cancels stored in the meantime 6 s late. Tasks of a cancelled job were started 5 s
    after the cancel was acknowledged. A simulation of 29 instances with a store outage had 77 such
    starts, an earlier run of it 3. Without the check, this test has starts of the cancelled job
    later than 3 s after the acknowledgement.
    """
    world = small_world(instances=2)
    leader = world.leader()
    assert leader is not None
    other = next(instance for instance in world.instances.values() if instance is not leader)
    for runner in world.runners.values():
        runner.work_s = 5.0
    full = Step(count=32, millicores=1000, memory_mb=100)
    leader.submit("b0", full)
    world.run(0.5)
    leader.submit("a0", Step(count=8, millicores=1000, memory_mb=100))
    world.run(0.5)
    world.store.slow_reads_s[leader.name] = 0.7
    fits_nowhere = Step(count=1, millicores=1000, memory_mb=100_000, image="large")
    for number in range(60):
        other.submit(f"c{number:02}", fits_nowhere)
    world.run(0.1)
    results: list[object] = []
    other.intake.cancel(JobId("a0"), results.append)
    world.run_until(lambda: bool(results))
    cancelled_at = world.now
    world.run(12.0)
    starts = [at for key, times in world.starts.items() if key.job == "a0" for at in times]
    assert [at for at in starts if at > cancelled_at + MAX_START_AFTER_CANCEL_S] == []
    world.store.slow_reads_s.clear()
    other.submit("d0", Step(count=1, millicores=1000, memory_mb=100))
    world.run_until(lambda: any(key.job == "d0" for key in world.starts), 10.0)
    assert world.violations == []
