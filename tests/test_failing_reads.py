"""An instance claims although its reads of the log fail again and again for a moment."""

import itertools
import random
from collections.abc import Callable
from typing import Any

import pytest

from spoolcrank.store_port import ReadOutcome, Records
from tests.fleet_world import World, small_world

TAKEOVER_S = 2.0
"""Time within which a dead leader is replaced where no read fails, in seconds."""

SEEDS = 10
SHARES = [0.3, 0.5, 0.7]
INSTANCES = [2, 3, 8]


def _fail_now_and_then(world: World) -> None:
    """Have each second read of the log fail at once, as if connections were reset."""
    for instance in world.instances.values():
        numbers = itertools.count()
        _fail_reads(instance.follower._log, lambda numbers=numbers: next(numbers) % 2 == 1)


def _fail_at_random(world: World, share: float) -> None:
    """Have a share of the reads of the log fail at once, at random."""
    chance = random.Random(world.random.random())
    for instance in world.instances.values():
        _fail_reads(instance.follower._log, lambda: chance.random() < share)


def _fail_reads(port: Any, fails: Callable[[], bool]) -> None:
    read = port.read

    def read_or_fail(offset: int, wait_ms: int, done: Callable[[Records], None]) -> None:
        if fails():
            port.instance.later(0.01, lambda: done(Records(ReadOutcome.FAILED)))
        else:
            read(offset, wait_ms, done)

    port.read = read_or_fail


# Guards against a fleet without a leader: each failed read began the count of its silence anew.
def test_reads_that_fail_now_and_then_do_not_keep_all_from_claiming() -> None:
    world = small_world(instances=3)
    leader = world.leader()
    assert leader is not None
    _fail_now_and_then(world)
    world.run(3.0)
    leader.kill()
    assert world.run_until(lambda: world.leader() is not None, 30.0) <= 5.0
    assert world.violations == []


# Guards against claims beside a leader that lives, because its silence adds up over failures.
def test_a_leader_that_lives_keeps_the_lead_while_reads_fail_now_and_then() -> None:
    world = small_world(instances=3)
    leader = world.leader()
    _fail_now_and_then(world)
    world.run(30.0)
    assert world.leader() is leader
    assert world.store.jobs.epoch == 1


def _takeover_s(instances: int, share: float, seed: int) -> float:
    """Return how long nobody leads after the leader died, in seconds."""
    world = small_world(instances=instances, seed=seed)
    leader = world.leader()
    assert leader is not None
    _fail_at_random(world, share)
    world.run(2.0 + seed % 10 / 10)
    leader.kill()
    waited_s = world.run_until(lambda: world.leader() is not None)
    assert world.violations == []
    return waited_s


# Guards against waits that grow without a bound with the share of failed reads.
@pytest.mark.parametrize("instances", INSTANCES)
@pytest.mark.parametrize("share", SHARES)
def test_a_dead_leader_is_replaced_soon_at_any_share_of_failed_reads(
    share: float, instances: int
) -> None:
    waits_s = [_takeover_s(instances, share, seed) for seed in range(SEEDS)]
    assert max(waits_s) <= TAKEOVER_S / (1.0 - share), waits_s


# Guards against claims for a silence that is none; one that has copies the leader lacks may claim.
@pytest.mark.parametrize("instances", INSTANCES)
@pytest.mark.parametrize("share", SHARES)
def test_no_share_of_failed_reads_makes_a_leader_that_lives_seem_silent(
    share: float, instances: int
) -> None:
    for seed in range(SEEDS):
        world = small_world(instances=instances, seed=seed)
        for each in world.instances.values():
            each.logged.lines.clear()
        _fail_at_random(world, share)
        world.run(20.0)
        lines = [line for each in world.instances.values() for line in each.logged.lines]
        assert [line for line in lines if line[0] == "claims" and not line[1]["has_copies"]] == []
        assert world.violations == []


# Guards against a claim when the store is back, beside a leader that could not write either.
@pytest.mark.parametrize("seconds", [0.3, 1.0, 2.0, 5.0])
def test_the_leader_keeps_the_lead_over_a_time_without_the_store(seconds: float) -> None:
    for seed in range(SEEDS):
        world = small_world(instances=8, seed=seed)
        leader = world.leader()
        world.run(1.0 + seed % 10 / 10)
        world.store.silent = True
        world.run(seconds)
        world.store.silent = False
        world.run(5.0)
        assert world.leader() is leader
        assert world.store.jobs.epoch == 1


# Guards against a claim by an instance that reads nothing, beside a leader that lives or alone.
@pytest.mark.parametrize("lives", [True, False])
def test_an_instance_that_cannot_read_the_log_claims_nothing(lives: bool) -> None:
    world = small_world(instances=2)
    leader = world.leader()
    assert leader is not None
    other = next(each for each in world.instances.values() if each is not leader)
    _fail_reads(other.follower._log, lambda: True)
    world.run(1.0)
    if not lives:
        leader.kill()
    world.run(20.0)
    assert world.leader() is (leader if lives else None)
    assert world.store.jobs.epoch == 1
