"""Plays of a leader that gives way while its reads fail, beside runners that it states."""

import os
import random

import pytest

from tests.fleet_world import World
from tests.test_holds_end import _fail_reads
from tests.test_leaders_end_unannounced import (
    LASTING,
    _cut_off,
    _end_of_trouble,
    _fleet,
    _next_leader,
    _trouble_of_store,
)

SEEDS = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "5"))


def _restore_reads(world: World) -> None:
    for instance in world.instances.values():
        for follower in (instance.follower, instance.entries):
            port = follower._log
            if "_is_unreachable" in vars(port):
                del port._is_unreachable


def _play(seed: int) -> list[str]:
    chance = random.Random(seed)
    world = _fleet(seed, instances=4, runners=4)
    world.max_transit_s = chance.choice([0.0, 0.05])
    world.late_order_share = chance.choice([0.0, 0.0, 0.1])
    world.late_orders_outlive_restart = False
    world.lasting_jobs.add("ab")
    next(iter(world.instances.values())).submit("ab", LASTING)
    world.run_until(lambda: len(world.starts) == LASTING.count)
    world.run(1.0)
    cut = chance.choice([one for one in world.runners.values() if one.tasks])
    _cut_off(world, cut)
    if chance.random() < 0.3:
        world.store.entries.put(cut.id, b"")
    _next_leader(world).kill()
    world.add_instance(f"late-{seed}", chance.choice([1.0, 8.0]))
    for round_number in range(chance.choice([1, 2, 3])):
        current = _next_leader(world)
        world.run(chance.choice([0.0, chance.uniform(0.0, 1.5)]))
        if not current.alive:
            continue
        _fail_reads(current)
        if chance.random() < 0.3:
            _trouble_of_store(world, current.name, chance)
        world.run(chance.uniform(0.0, 5.5))
        world.unreachable.discard((current.name, cut.name))
        world.run(chance.choice([0.02, 0.1, 0.5, 1.5, 3.0]) * (1.0 - chance.random() ** 2))
        _end_of_trouble(world)
        if chance.random() < 0.5:
            _restore_reads(world)
        world.run(chance.uniform(0.0, 1.0))
        kind = chance.choice(["kill", "freeze", "none"])
        if kind == "kill" and current.alive:
            current.kill()
            world.add_instance(f"next-{seed}-{round_number}")
        elif kind == "freeze":
            current.freeze(chance.uniform(1.0, 6.0))
        if chance.random() < 0.7:
            _cut_off(world, cut)
        world.run(chance.uniform(0.0, 2.0))
    _restore_reads(world)
    world.run(14.0)
    world.unreachable.clear()
    world.run(5.0)
    return world.violations


@pytest.mark.parametrize("seed", range(SEEDS))
def test_giving_way_runs_nothing_twice(seed: int) -> None:
    assert _play(seed) == []
