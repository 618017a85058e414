"""Test a leader that takes over while no instance can reach some of the runners."""

import pytest

from spoolcrank.polling import MAX_CONCURRENT_FIRST_POLLS
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Step
from tests.fleet_world import Runner, World, small_world

WORK = Step(count=8, millicores=1000, memory_mb=100, estimate_ms=600)
WORK_S = 20.0
"""Longer than a leader may take to reach a runner that answers, and than its leases last."""

LAPSED_S = 10.0
"""Time after a takeover by which every lease of the earlier leader has expired, in seconds."""

JOBS = 16

REACHED_S = 1.2
"""Limit from a takeover until every reachable runner has answered, in seconds; two poll
time-outs."""

OTHER_ZONE_S = 0.8
"""The same limit if all silent runners are in one availability zone, in seconds."""

BACK_S = 1.5
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
    every = sorted(world.runners.values(), key=lambda one: one.id)
    cut = every[:out_of_reach] if lowest else every[len(every) - out_of_reach :]
    for one in cut if in_one_zone else []:
        one.zone = "b"
        world.store.entries.put(one.id, b"ready")
    world.run(0.5)
    world.unreachable |= {(name, one.name) for name in world.instances for one in cut}
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
    return all(one.incarnation_id in known and known[one.incarnation_id].adopted for one in runners)


@pytest.mark.parametrize("lowest", [True, False], ids=["lowest ids", "highest ids"])
@pytest.mark.parametrize(
    ("runners", "silent"), [(80, 0), (80, 31), (80, 32), (80, 40), (120, 60), (240, 120)]
)
def test_silent_runners_keep_no_other_from_being_asked(
    runners: int, silent: int, lowest: bool
) -> None:
    """A takeover with 32 silent runners polled no others, and their tasks ran again elsewhere."""
    world, cut = _fleet(runners, silent, lowest)
    scheduler = _taken_over(world)
    reachable = [one for one in world.runners.values() if one not in cut]
    world.run_until(lambda: _answered(scheduler, reachable), limit_s=REACHED_S)
    assert world.violations == []


def test_a_zone_cut_off_keeps_no_other_zone_from_being_asked() -> None:
    """Polled in list order alone, half of a large fleet waited for the other half to time out."""
    world, cut = _fleet(660, 330, in_one_zone=True)
    scheduler = _taken_over(world)
    reachable = [one for one in world.runners.values() if one not in cut]
    world.run_until(lambda: _answered(scheduler, reachable), limit_s=OTHER_ZONE_S)
    assert world.violations == []


def test_runs_beside_silent_runners_go_on_where_they_are() -> None:
    """Running tasks on reachable runners were treated as lapsed, and ran again."""
    world, cut = _fleet(80, 40)
    reachable = [one for one in world.runners.values() if one not in cut]
    at_work = {key for one in reachable for key in one.tasks}
    assert at_work
    _taken_over(world)
    world.run(LAPSED_S)
    assert {key for key in at_work if len(world.starts[key]) > 1} == set()
    assert world.violations == []


def test_runners_back_from_a_cut_are_asked_in_turn_and_soon() -> None:
    """Polled in list order alone, the runners at its end waited for those at its head."""
    world, cut = _fleet(240, 120)
    scheduler = _taken_over(world)
    world.run(5.0)
    world.unreachable.clear()
    world.run_until(lambda: _answered(scheduler, cut), limit_s=BACK_S)
    assert world.violations == []


def test_runners_back_from_a_cut_answer_a_few_at_once() -> None:
    """All answers at once would delay the heartbeat of a leader with half a core."""
    world, cut = _fleet(240, 120)
    scheduler = _taken_over(world)
    world.run(5.0)
    world.unreachable.clear()
    back_at, most = world.now, 0
    for _ in range(1600):
        world.run(0.001)
        known = [one for one in scheduler.runners.values() if one.polling and not one.adopted]
        most = max(most, sum(1 for one in known if one.polled_at >= back_at))
    assert _answered(scheduler, cut)
    assert 0 < most <= MAX_CONCURRENT_FIRST_POLLS
