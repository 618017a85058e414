"""An instance that gives the lead up and leads again while runs of its earlier term are at work."""

from spoolcrank.ids import Incarnation, InstanceId, JobId
from spoolcrank.keyed_log import progress_key
from spoolcrank.leadership import SELF_FENCE_S, Claim, Leadership
from spoolcrank.workflow import Step
from tests.fleet_world import Instance, World, small

TASKS = Step(count=8, millicores=1000, memory_mb=100)
WORK_S = 4.0
LED_S = 10.0
BUSY_S = 1.0
CUT_S = 3.0
SEEDS = 12


def _leads_again(seed: int) -> tuple[World, Instance]:
    """Hold the only instance up as the store takes its write, while one runner is cut off."""
    world = small(instances=1, seed=seed)
    for one in world.runners.values():
        one.work_s = WORK_S
    leader = world.instances["entry-0"]
    world.run(LED_S)
    leader.submit("a1", TASKS)
    world.run(1.0)
    runner = next(one for one in world.runners.values() if one.tasks)
    world.unreachable.add((leader.name, runner.name))
    leader.submit("a2", TASKS)
    while not any(one.key == progress_key(JobId("a2")) for one in world.store.jobs.records):
        world.run(0.0005)
    leader.freeze(BUSY_S)
    world.run(CUT_S)
    world.unreachable.clear()
    world.run(WORK_S)
    return world, leader


def test_runs_of_its_own_earlier_term_count_as_at_work_until_their_leases_passed() -> None:
    """A leader that led again started anew what ran on runners that it had not asked yet.

    Seen: many tasks of one job, done and taken note of, were started again a second later, under
    one leading instance and without any disturbance, 10 s after its start.
    How it came about: a pass over a thousand waiting tasks held the leader up for a second; the
    answer to a write of its own came too late, so it gave up, claimed again and led again. At the
    next tick it released every run on runners not asked yet ("every lease has passed"), started
    them elsewhere, and then acknowledged the ends of the first runs as not its own.
    Cause: from when leases of an earlier leader count was taken from the newest record read of
    another leader; for an instance that had led itself that was its own start.
    Proof: this test, without the mend, breaks with 36 of 60 seeds, in each
    of which it gives the lead up; where it happens to read its own last write only after it gave
    up, it counts from then and nothing is wrong.
    """
    gave_up = 0
    for seed in range(SEEDS):
        world, leader = _leads_again(seed)
        gave_up += [name for name, _ in leader.logged.lines].count("stepped-down")
        assert world.broken == [], f"seed {seed}"
    assert gave_up > 0


def test_an_instance_counts_its_own_writes_among_those_of_earlier_leaders() -> None:
    leadership = Leadership(InstanceId("entry-0"), Incarnation("entry-0-1"), 100.0)
    leadership.read_claim(Claim(1, leadership.instance, leadership.incarnation), 101.0)
    leadership.confirmed(130.0)
    leadership.give_up(1)
    assert leadership.extends_until == 130.0 + SELF_FENCE_S
    assert leadership.predecessor_wrote_at >= 130.0
