"""Claims that state silent runners leave the leader's other records their turn."""

from functools import partial

from spoolcrank.ids import JobId
from spoolcrank.workflow import Step
from tests.leader_plays import cut_off, fleet, start_lasting

ONE = Step(count=1, millicores=1000, memory_mb=100)
SPREAD = Step(count=8, millicores=1000, memory_mb=100, lasting=True, max_per_instance=1)
SLOW_S = 0.45

MAX_WAIT_S = 3.0
"""Longest time, in seconds, from a job's acceptance to its start; without silent runners 1.4 s."""


# Guards against jobs that wait beside free runners for as long as others are silent: with appends
# longer than a heartbeat, each claim that states a runner is followed by the next one.
def test_work_starts_beside_silent_runners_while_the_store_is_slow() -> None:
    world = fleet(seed=1, instances=3, runners=12)
    busy = start_lasting(world, SPREAD)
    world.store.slow_s = SLOW_S
    for number, each in enumerate(busy[:4]):
        world.at(4.0 * number, partial(cut_off, world, each))
    world.run(2.6)
    accepted_at: dict[JobId, float] = {}
    for number in range(20):
        job = JobId(f"c{number:02d}")
        next(iter(world.instances.values())).submit(job, ONE)
        accepted_at[job] = world.now
        world.run(1.0)
    world.run(20.0)
    started_at = {key.job: times[0] for key, times in world.starts.items()}
    waits_s = {job: round(started_at[job] - at, 1) for job, at in accepted_at.items()}
    assert world.violations == []
    assert max(waits_s.values()) <= MAX_WAIT_S, waits_s
