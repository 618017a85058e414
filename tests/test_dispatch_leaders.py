"""Test changes of the leader from end to end in simulated time."""

from functools import partial

from spoolcrank.contention import StepLoad
from spoolcrank.ids import JobId
from spoolcrank.job_intake import IntakeOutcome
from spoolcrank.polling import MAX_CONCURRENT_FIRST_POLLS
from spoolcrank.workflow import Step
from tests.fleet_jobs import QUICK, phase, settle
from tests.fleet_world import World, small_world

SECOND_STEP = Step(count=2, millicores=1000, memory_mb=100, estimate_ms=600, after=(0,))


def has_leader(world: World) -> bool:
    return world.leader() is not None


def large_leads(world: World) -> bool:
    leader = world.leader()
    return leader is not None and leader.name in ("large", "spare")


def test_a_dead_leaders_runs_are_taken_over_and_nothing_runs_twice() -> None:
    world = small_world()
    for number in range(6):
        world.instances["entry-0"].submit(f"a{number}", QUICK, SECOND_STEP)
    world.run(0.5)
    leader = world.leader()
    assert leader is not None
    leader.kill()
    took_s = world.run_until(lambda: world.leader() is not None)
    assert took_s < 3.0
    settle(world, *(f"a{number}" for number in range(6)))
    assert world.violations == []


def test_the_next_process_of_the_leaders_instance_claims_without_waiting_for_silence() -> None:
    """After a total power loss nothing started for another 1.4 s, though the leader was gone."""
    world = small_world()
    world.instances["entry-0"].submit("a1", QUICK, SECOND_STEP)
    world.run(0.5)
    leader = world.leader()
    assert leader is not None
    for instance in list(world.instances.values()):
        instance.kill()
    world.add_instance(leader.name)
    assert world.run_until(lambda: world.leader() is not None) < 0.6
    settle(world, "a1")
    assert world.violations == []


def test_a_leader_that_freezes_and_wakes_does_no_harm() -> None:
    world = small_world()
    for number in range(6):
        world.instances["entry-0"].submit(f"a{number}", QUICK, SECOND_STEP)
    for _ in range(4):
        world.run(0.4)
        leader = world.leader()
        assert leader is not None
        leader.freeze(4.0)
        world.run(4.5)
    settle(world, *(f"a{number}" for number in range(6)))
    assert world.violations == []


def test_the_stop_of_an_inherited_run_waits_until_its_runner_is_taken_over() -> None:
    """The stop of a cancelled job was sent to a runner whose address had not been read yet."""
    world = small_world(instances=1)
    lasting = Step(count=2, millicores=1000, memory_mb=100, lasting=True)
    instance = world.instances["entry-0"]
    for runner in world.runners.values():
        runner.work_s = 1000.0
    instance.submit("b1", lasting)
    world.run(1.0)
    instance.kill()
    second = world.add_instance("entry-9")
    world.run(0.5)
    outcomes: list[object] = []
    second.intake.cancel(JobId("b1"), outcomes.append)
    world.run_until(lambda: world.leader() is not None)
    world.run(3.0)
    assert outcomes == [IntakeOutcome.STORED]
    assert all(not runner.tasks for runner in world.runners.values())
    assert world.violations == []


def test_a_leader_that_the_store_refuses_is_replaced() -> None:
    world = small_world()
    leader = world.leader()
    assert leader is not None
    world.store.refused_instances.add(leader.name)
    others = [instance for instance in world.instances.values() if instance is not leader]
    took_s = world.run_until(lambda: any(instance.dispatcher.scheduler for instance in others))
    assert took_s < 4.0
    outcomes = others[0].submit("e1", QUICK)
    settle(world, "e1") if phase(world, "e1") else world.run(3.0)
    assert outcomes == [IntakeOutcome.STORED]
    assert leader.dispatcher.scheduler is None
    assert world.violations == []


def test_a_leaving_leader_hands_over_without_waiting_for_silence() -> None:
    world = small_world()
    leader = world.leader()
    assert leader is not None
    departures: list[bool] = []
    leader.dispatcher.leave(lambda: departures.append(True))
    took_s = world.run_until(
        lambda: world.leader() is not None and world.leader() is not leader, 5.0
    )
    assert departures == [True]
    assert took_s < 1.2


def test_a_log_that_dropped_its_history_is_read_again() -> None:
    world = small_world()
    world.instances["entry-0"].submit("ab", QUICK)
    world.run(0.3)
    world.store.jobs.first_retained_offset = len(world.store.jobs.records) + 3
    world.instances["entry-1"].submit("ac", QUICK)
    world.run(0.2)
    world.store.jobs.first_retained_offset = len(world.store.jobs.records)
    settle(world, "ab", "ac")
    assert world.violations == []


def test_learned_pairs_survive_a_change_of_leader() -> None:
    world = small_world()
    leader = world.leader()
    assert leader is not None and leader.dispatcher.scheduler is not None
    for _ in range(60):
        leader.dispatcher.scheduler.contention.learn(
            "serving", StepLoad(), 1.2, {"loud": 0.15}, 0.0
        )
    world.run(4.0)
    leader.kill()
    world.run_until(lambda: world.leader() is not None)
    successor = world.leader()
    assert successor is not None and successor.dispatcher.scheduler is not None
    assert successor.dispatcher.scheduler.contention.harmless("serving", "loud") < 0.1


def test_the_leader_hands_over_to_a_much_larger_instance() -> None:
    """In a large deployment a small instance led and was always busy, so starts came 1 s late."""
    world = small_world()
    world.add_instance("large", processors=4.0)
    world.add_instance("larger-by-little", processors=4.4)
    for number in range(6):
        world.instances["entry-0"].submit(f"a{number}", QUICK, SECOND_STEP)
    world.run_until(lambda: (leader := world.leader()) is not None and "large" in leader.name, 12.0)
    settle(world, *(f"a{number}" for number in range(6)))
    first = world.leader()
    world.run(20.0)
    assert world.leader() is first
    assert world.violations == []


def test_a_successor_that_dies_is_replaced() -> None:
    world = small_world()
    large = world.add_instance("large", processors=4.0)
    world.run_until(lambda: large.leadership.leads, 12.0)
    large.kill()
    took_s = world.run_until(lambda: world.leader() is not None)
    assert took_s < 3.0


def test_a_leader_that_reloads_its_log_does_not_hand_over_to_a_dead_instance() -> None:
    """It read an offer of an instance that had since led and died, and resigned in its favour."""
    world = small_world()
    large = world.add_instance("large", processors=4.0)
    world.run_until(lambda: large.leadership.leads, 12.0)
    large.kill()
    world.run_until(lambda: world.leader() is not None)
    world.run(1.0)
    leader = world.leader()
    assert leader is not None
    before = [name for name, _ in leader.logged.lines].count("hands-over")
    leader.follower.begin()
    world.run(2.0)
    assert world.leader() is leader
    assert [name for name, _ in leader.logged.lines].count("hands-over") == before


def test_a_large_instance_claims_before_small_ones_after_any_death() -> None:
    """Small instances led a large fleet one after the other, each too busy to send heartbeats."""
    for seed in range(5):
        world = small_world(seed=seed)
        for name in ("large", "spare"):
            world.add_instance(name, processors=4.0)
        world.run_until(partial(large_leads, world))
        first = world.leader()
        assert first is not None
        first.kill()
        world.run_until(partial(has_leader, world))
        assert large_leads(world)


def test_a_new_leader_asks_only_so_many_runners_at_once() -> None:
    world = small_world(instances=2, runners=70)
    leader = world.leader()
    assert leader is not None
    leader.kill()
    world.run_until(lambda: world.leader() is not None)
    scheduler = next(iter(world.instances.values())).dispatcher.scheduler
    assert scheduler is not None
    max_polled = 0
    for _ in range(40):
        world.run(0.002)
        polled = [
            runner for runner in scheduler.runners.values() if runner.polling and not runner.adopted
        ]
        max_polled = max(max_polled, len(polled))
    world.run(1.0)
    assert 0 < max_polled <= MAX_CONCURRENT_FIRST_POLLS
    assert all(runner.adopted for runner in scheduler.runners.values())
