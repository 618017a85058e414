"""An instance that gives the lead up and leads again while runs of its earlier term are at work."""

from spoolcrank.ids import Incarnation, InstanceId, JobId
from spoolcrank.keyed_log import LEARNT_KEY, progress_key
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


def test_leases_are_extended_only_by_writes_that_others_hear_no_earlier() -> None:
    """A successor started anew what a leader had kept alive by the late answer to an old write.

    Seen: a task done under one leader was started again 14 s later under another, on a day on
    which the store was away and a zone was cut off; the order of events there is not proved.
    How it came about here: the store takes a leader's write and its answer is lost, as are those
    to its repeats; 6 s later a repeat is answered, and the leader extends leases from then. The
    others read the record when it was taken and can reach the store again just then. The leader
    is turned away before it writes anything more, and one of them claims.
    Cause: the repeat's time counted as the write's, though others heard it 6 s earlier; the
    successor took the leases on a runner that it could not reach as passed, 6 s too early.
    Proof: this test, without the mend, starts tasks a second time while they run.
    """
    world = small()
    for one in world.runners.values():
        one.work_s = 60.0
    first = world.leader()
    assert first is not None
    first.submit("a1", TASKS)
    world.run(1.0)
    runner = next(one for one in world.runners.values() if one.tasks)
    others = {name for name in world.instances if name != first.name}
    world.unreachable.update((name, runner.name) for name in others)
    world.store.answers_lost.add(first.name)
    world.run(0.9)
    world.store.turned_away.update(others)
    world.run(5.5)
    world.store.answers_lost.clear()
    confirmed_at = first.leadership.confirmed_at
    while first.leadership.confirmed_at == confirmed_at:
        world.run(0.001)
    world.store.turned_away = {first.name}
    world.run_until(lambda: any(world.instances[name].leadership.leads for name in others))
    world.run(8.0)
    assert world.broken == []


def test_what_a_leader_learns_counts_among_its_signs_of_life() -> None:
    """Leases could be taken as passed up to 0.4 s too early, by a successor that reads at once.

    Found by reading; no play showed it, as a follower that does not lead reads up to 0.3 s late,
    which makes up for it.
    Cause: a write of what was learnt confirms the leader, which extends leases from then and
    puts its next heartbeat off; the others counted progress and claims only.
    Proof: this test, without the mend: the follower has heard nothing since the last claim.
    """
    world = small()
    first = world.leader()
    assert first is not None
    first.submit("a1", TASKS)
    world.run(2.0)
    records = world.store.jobs.records
    known = len(records)
    world.run_until(lambda: any(one.key == LEARNT_KEY for one in records[known:]))
    confirmed_at = first.leadership.confirmed_at
    assert records[-1].key == LEARNT_KEY
    world.run(0.3)
    others = [one for one in world.instances.values() if one is not first]
    assert all(one.leadership.leader_wrote_at >= confirmed_at for one in others)


def test_an_instance_counts_its_own_writes_among_those_of_earlier_leaders() -> None:
    leadership = Leadership(InstanceId("entry-0"), Incarnation("entry-0-1"), 100.0)
    leadership.read_claim(Claim(1, leadership.instance, leadership.incarnation), 101.0)
    leadership.confirmed(130.0)
    leadership.give_up(1)
    assert leadership.extends_until == 130.0 + SELF_FENCE_S
    assert leadership.predecessor_wrote_at >= 130.0
