"""Test a leader that takes over while no instance can reach some of the runners."""

import pytest

from spoolcrank.polling import MAX_CONCURRENT_FIRST_POLLS
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Step
from tests.fleet_world import Runner, World, small_world

WORK = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=600)
WORK_S = 20.0
"""Longer than a leader may take to reach a runner that answers, and than its leases last."""

LEASES_EXPIRED_AFTER_S = 10.0
"""Time after a takeover by which every lease of the earlier leader has expired, in seconds."""

JOBS = 16

MAX_REACH_S = 1.2
"""Limit from a takeover until every reachable runner has answered, in seconds; two poll
time-outs."""

MAX_REACH_OTHER_ZONES_S = 0.8
"""The same limit if all silent runners are in one availability zone, in seconds."""

MAX_RETURN_S = 1.5
"""Limit from a partition's end until every runner behind it has answered, in seconds: the poll in
flight, the pause after it, and the polls of the others."""


def _fleet(
    runners: int, out_of_reach: int, lowest: bool = True, in_one_zone: bool = False
) -> tuple[World, list[Runner]]:
    """Return a busy fleet and the runners that are partitioned from it, chosen by their ids."""
    world = small_world(instances=3, runners=runners)
    for runner in world.runners.values():
        runner.work_s = WORK_S
    leader = world.leader()
    assert leader is not None
    for number in range(JOBS):
        leader.submit(f"{number:04x}", WORK)
    world.run(2.0)
    by_id = sorted(world.runners.values(), key=lambda candidate: candidate.id)
    cut = by_id[:out_of_reach] if lowest else by_id[len(by_id) - out_of_reach :]
    for candidate in cut if in_one_zone else []:
        candidate.zone = "b"
        world.store.entries.put(candidate.id, b"ready")
    world.run(0.5)
    world.unreachable |= {(name, candidate.name) for name in world.instances for candidate in cut}
    return world, cut


def _taken_over(world: World) -> Scheduler:
    """Kill the leader; return the state of the next leader as its term begins."""
    leader = world.leader()
    assert leader is not None
    leader.kill()
    world.run_until(lambda: world.leader() is not None)
    after = world.leader()
    assert after is not None and after.dispatcher.scheduler is not None
    return after.dispatcher.scheduler


def _answered(scheduler: Scheduler, runners: list[Runner]) -> bool:
    known = scheduler.runners
    return all(
        runner.incarnation_id in known and known[runner.incarnation_id].adopted
        for runner in runners
    )


@pytest.mark.parametrize("lowest", [True, False], ids=["lowest ids", "highest ids"])
@pytest.mark.parametrize(
    ("runners", "silent"), [(80, 0), (80, 31), (80, 32), (80, 40), (120, 60), (240, 120)]
)
def test_silent_runners_do_not_delay_polls_of_others(
    runners: int, silent: int, lowest: bool
) -> None:
    """A takeover with 32 silent runners polled no others, and their tasks ran again elsewhere."""
    world, cut = _fleet(runners, silent, lowest)
    scheduler = _taken_over(world)
    reachable = [runner for runner in world.runners.values() if runner not in cut]
    world.run_until(lambda: _answered(scheduler, reachable), limit_s=MAX_REACH_S)
    assert world.violations == []


def test_a_partitioned_zone_does_not_delay_polls_of_other_zones() -> None:
    """Polled in list order alone, half of a large fleet waited for the other half to time out."""
    world, cut = _fleet(660, 330, in_one_zone=True)
    scheduler = _taken_over(world)
    reachable = [runner for runner in world.runners.values() if runner not in cut]
    world.run_until(lambda: _answered(scheduler, reachable), limit_s=MAX_REACH_OTHER_ZONES_S)
    assert world.violations == []


def test_runs_on_reachable_runners_continue_beside_silent_ones() -> None:
    """Running tasks on reachable runners were treated as lapsed, and ran again."""
    world, cut = _fleet(80, 40)
    reachable = [runner for runner in world.runners.values() if runner not in cut]
    running = {key for runner in reachable for key in runner.tasks}
    assert running
    _taken_over(world)
    world.run(LEASES_EXPIRED_AFTER_S)
    assert {key for key in running if len(world.starts[key]) > 1} == set()
    assert world.violations == []


def test_runners_back_from_a_partition_are_polled_in_turn_and_soon() -> None:
    """Polled in list order alone, the runners at its end waited for those at its head."""
    world, cut = _fleet(240, 120)
    scheduler = _taken_over(world)
    world.run(5.0)
    world.unreachable.clear()
    world.run_until(lambda: _answered(scheduler, cut), limit_s=MAX_RETURN_S)
    assert world.violations == []


def test_runners_back_from_a_partition_are_polled_a_few_at_once() -> None:
    """All answers at once would delay the heartbeat of a leader with half a core."""
    world, cut = _fleet(240, 120)
    scheduler = _taken_over(world)
    world.run(5.0)
    world.unreachable.clear()
    back_at, max_polled = world.now, 0
    for _ in range(1600):
        world.run(0.001)
        known = [
            candidate
            for candidate in scheduler.runners.values()
            if candidate.polling and not candidate.adopted
        ]
        max_polled = max(
            max_polled, sum(1 for candidate in known if candidate.polled_at >= back_at)
        )
    assert _answered(scheduler, cut)
    assert 0 < max_polled <= MAX_CONCURRENT_FIRST_POLLS
