"""Tests of repeated power losses of many runners at once, under steps with many tasks.

No task is the cause of a failure that hits all runners, or a rack of them, at one moment.
"""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.workflow import JobPhase, Step, TaskKey
from tests.fleet_world import World, small_world
from tests.runner_entries import entry
from tests.test_crashing_tasks import MAX_STARTS, ONE

RUNNERS = 12
JOBS = ("0001", "0002", "0003", "0004")
STEP = Step(count=17, millicores=1000, memory_mb=100, estimate_ms=4000)
WORK_S = 4.0
FIRST_LOSS_S = 2.0
LOSS_INTERVAL_S = 6.5
SETTLE_S = 30.0
MAX_RECOVERY_S = 15.0
"""Maximum time from the last power loss to the end of all work, in seconds, for any number of
suspects."""


def _lose_power(losses: int, seed: int, keeps_id_share: float = 0.0, share: float = 1.0) -> World:
    world = small_world(instances=4, runners=RUNNERS, seed=seed)
    world.keeps_id_share = keeps_id_share
    for runner in world.runners.values():
        runner.work_s = WORK_S
    for job in JOBS:
        world.instances["entry-0"].submit(job, STEP, max_attempts=9)
    for number in range(losses):
        world.run(LOSS_INTERVAL_S if number else FIRST_LOSS_S)
        alive = [runner for runner in world.runners.values() if runner.alive]
        for runner in world.random.sample(alive, round(share * len(alive))):
            world.crash(runner)
    return world


def _ended(world: World) -> bool:
    index = world.instances["entry-0"].index
    return all(index.phase(JobId(job)) is JobPhase.COMPLETED for job in JOBS)


# Guards against suspects that wait one after the other for an exclusive runner.
@pytest.mark.parametrize("keeps_id_share", [0.0, 1.0], ids=["new-ids", "same-ids"])
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("losses", [1, 2, 3, 5])
def test_all_work_ends_soon_after_all_runners_lost_power(
    losses: int, seed: int, keeps_id_share: float
) -> None:
    world = _lose_power(losses, seed, keeps_id_share)
    took_s = world.run_until(lambda: _ended(world), limit_s=400.0)
    assert world.violations == []
    assert took_s <= MAX_RECOVERY_S, f"{took_s:.1f} s"


# Guards against a wait that grows with the number of suspects when no common cause is detected.
@pytest.mark.parametrize("seed", range(3))
def test_all_work_ends_soon_after_some_runners_crashed_again_and_again(seed: int) -> None:
    world = _lose_power(4, seed, share=0.3)
    took_s = world.run_until(lambda: _ended(world), limit_s=400.0)
    assert world.violations == []
    assert took_s <= MAX_RECOVERY_S, f"{took_s:.1f} s"


# Guards against giving up sound work because its starts were sent to runners that were already
# down.
def test_a_start_without_an_answer_proves_nothing_by_itself() -> None:
    world = _lose_power(4, seed=15, share=0.3)
    world.run(SETTLE_S)
    assert _ended(world)
    assert world.violations == []


# Guards against entries of other writers that remove the evidence against a crash-causing task.
def test_an_entry_without_a_runner_is_not_a_failed_runner() -> None:
    world = small_world(instances=2, runners=5, seed=2)
    world.crashing = {"bad0": 0.5}
    world.instances["entry-0"].submit("bad0", ONE, max_attempts=9)
    for number in range(120):
        world.instances["entry-0"].submit(f"{number:04x}", ONE, ONE, max_attempts=9)
        address = next(runner.name for runner in world.runners.values() if runner.alive)
        world.store.entries.put(f"i-other-{number}", entry(address=address))
        world.run(0.25)
    assert world.starts_after_crashes(TaskKey(JobId("bad0"), 0, 0, 0), 3) <= MAX_STARTS


# Guards against a leader that ends its term with an internal error when a runner was silent for
# long.
def test_a_runner_that_returns_after_long_silence_does_not_end_the_term() -> None:
    world = small_world(instances=2, runners=5, seed=1)
    world.keeps_id_share = 1.0
    leader = world.leader()
    assert leader is not None
    world.instances["entry-0"].submit("0001", STEP, max_attempts=9)
    world.run(2.0)
    world.crash(next(iter(world.runners.values())), restart_delay_s=40.0)
    world.run(60.0)
    assert world.leader() is leader
    assert world.violations == []
