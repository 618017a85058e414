"""Runners that lose power together, more than once, under steps of many tasks.

No task is the cause of what takes all runners, or a rack of them, at one moment.
"""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.workflow import JobPhase, Step, TaskKey
from tests.fleet_world import World, small
from tests.test_crashing_tasks import MOST_STARTS, ONE
from tests.test_other_writers import entry

RUNNERS = 12
JOBS = ("0001", "0002", "0003", "0004")
STEP = Step(count=17, millicores=1000, memory_mb=100, estimate_ms=4000)
WORK_S = 4.0
FIRST_S = 2.0
APART_S = 6.5
SETTLE_S = 30.0
MOST_S = 15.0
"""From the last loss to the end of all work, s, however many tasks are under suspicion."""


def _lose_power(losses: int, seed: int, keeps_ids: float = 0.0, share: float = 1.0) -> World:
    world = small(instances=4, runners=RUNNERS, seed=seed)
    world.keeps_ids = keeps_ids
    for one in world.runners.values():
        one.work_s = WORK_S
    for job in JOBS:
        world.instances["entry-0"].submit(job, STEP, max_attempts=9)
    for number in range(losses):
        world.run(APART_S if number else FIRST_S)
        alive = [one for one in world.runners.values() if one.alive]
        for one in world.random.sample(alive, round(share * len(alive))):
            world.crash(one)
    return world


def _ended(world: World) -> bool:
    index = world.instances["entry-0"].index
    return all(index.phase(JobId(job)) is JobPhase.COMPLETED for job in JOBS)


# Guards against work that waits one task behind the other for a runner for itself.
@pytest.mark.parametrize("keeps_ids", [0.0, 1.0], ids=["new-ids", "same-ids"])
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("losses", [1, 2, 3, 5])
def test_all_work_ends_soon_after_all_runners_lost_power(
    losses: int, seed: int, keeps_ids: float
) -> None:
    world = _lose_power(losses, seed, keeps_ids)
    took_s = world.run_until(lambda: _ended(world), limit_s=400.0)
    assert world.broken == []
    assert took_s <= MOST_S, f"{took_s:.1f} s"


# Guards against a wait that grows with the number of suspects where no common cause is seen.
@pytest.mark.parametrize("seed", range(3))
def test_all_work_ends_soon_after_some_runners_crashed_again_and_again(seed: int) -> None:
    world = _lose_power(4, seed, share=0.3)
    took_s = world.run_until(lambda: _ended(world), limit_s=400.0)
    assert world.broken == []
    assert took_s <= MOST_S, f"{took_s:.1f} s"


# Guards against sound work that is given up for starts that went to runners already down.
def test_a_start_without_an_answer_proves_nothing_by_itself() -> None:
    world = _lose_power(4, seed=15, share=0.3)
    world.run(SETTLE_S)
    assert _ended(world)
    assert world.broken == []


# Guards against entries of other writers that take back what was counted against a guilty task.
def test_an_entry_that_names_nobody_is_no_runner_that_fell() -> None:
    world = small(instances=2, runners=5, seed=2)
    world.crashing = {"bad0": 0.5}
    world.instances["entry-0"].submit("bad0", ONE, max_attempts=9)
    for number in range(120):
        world.instances["entry-0"].submit(f"{number:04x}", ONE, ONE, max_attempts=9)
        address = next(one.name for one in world.runners.values() if one.alive)
        world.store.entries.put(f"i-other-{number}", entry(address=address))
        world.run(0.25)
    assert world.starts_after_crashes(TaskKey(JobId("bad0"), 0, 0, 0), 3) <= MOST_STARTS


# Guards against a leader that ends its term by an error of its own where one was silent for long.
def test_a_runner_that_is_back_after_long_silence_is_taken_for_what_it_is() -> None:
    world = small(instances=2, runners=5, seed=1)
    world.keeps_ids = 1.0
    leader = world.leader()
    assert leader is not None
    world.instances["entry-0"].submit("0001", STEP, max_attempts=9)
    world.run(2.0)
    world.crash(next(iter(world.runners.values())), back_s=40.0)
    world.run(60.0)
    assert world.leader() is leader
    assert world.broken == []
