"""A new leader starts nothing before a claim is stored that shows that it may grant leases."""

from spoolcrank.ids import JobId
from spoolcrank.workflow import Step
from tests.fleet_runners import Runner
from tests.fleet_world import World
from tests.leader_plays import cut_off, fleet, next_leader

FIRST = Step(count=1, millicores=8000, memory_mb=100, estimate_ms=3000)
NEXT = Step(count=1, millicores=8000, memory_mb=100, estimate_ms=3000, after=(0,))
LASTING = Step(count=1, millicores=8000, memory_mb=100, lasting=True)


def _kill_leader_beside_a_silent_runner(world: World) -> None:
    """Kill the leader while a runner with a run is cut off and the first step of a job runs."""
    for each in world.runners.values():
        each.work_s = 3.0
    world.lasting_jobs.add("aa")
    leader = next_leader(world)
    leader.submit("aa", LASTING)
    world.run_until(lambda: len(world.starts) == 1)
    cut = next(one for one in world.runners.values() if one.tasks)
    leader.submit("ab", FIRST, NEXT)
    world.run_until(lambda: len(world.starts) == 2)
    for each in world.runners.values():
        each.work_s = 60.0
    world.run(0.9)
    cut_off(world, cut)
    leader.kill()


def _runner_of_second_step(world: World) -> Runner | None:
    runners = world.runners.values()
    return next((one for one in runners if any(key.step == 1 for key in one.tasks)), None)


# Guards against a task that runs twice: a new leader whose first claim after which it may grant
# leases is late starts it by its preassignment, and its successor does not count that lease.
def test_a_leader_that_may_not_grant_leases_starts_no_preassigned_task() -> None:
    world = fleet(seed=1, instances=4, runners=5)
    for each in world.runners.values():
        each.clock_rate = 0.98
    _kill_leader_beside_a_silent_runner(world)
    second = next_leader(world)
    state = second.dispatcher.scheduler
    assert state is not None
    task = state.jobs[JobId("ab")].rounds[0].steps[1].tasks[0]
    world.run_until(lambda: task.preassigned_stored, 1.0)
    world.store.refused_instances.add(second.name)
    for _ in range(30):
        world.run(0.05)
        busy = _runner_of_second_step(world)
        if busy is not None:
            cut_off(world, busy)
            break
    assert not state.stated.granting
    second.kill()
    world.run(14.0)
    assert world.violations == []
