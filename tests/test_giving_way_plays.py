"""Plays of a leader that gives way while its reads fail, beside runners that it states."""

import random

import pytest

from tests.leader_plays import (
    SEEDS,
    cut_off,
    end_of_trouble,
    fleet,
    next_leader,
    restore_reads,
    start_lasting,
    trouble_of_store,
    violations_at_end,
)
from tests.test_holds_end import _fail_reads


def _play(seed: int) -> list[str]:
    chance = random.Random(seed)
    world = fleet(seed, instances=4, runners=4)
    world.max_transit_s = chance.choice([0.0, 0.05])
    world.late_order_share = chance.choice([0.0, 0.0, 0.1])
    world.late_orders_outlive_restart = False
    cut = chance.choice(start_lasting(world))
    cut_off(world, cut)
    if chance.random() < 0.3:
        world.store.entries.put(cut.id, b"")
    next_leader(world).kill()
    world.add_instance(f"late-{seed}", chance.choice([1.0, 8.0]))
    for round_number in range(chance.choice([1, 2, 3])):
        current = next_leader(world)
        world.run(chance.choice([0.0, chance.uniform(0.0, 1.5)]))
        if not current.alive:
            continue
        _fail_reads(current)
        if chance.random() < 0.3:
            trouble_of_store(world, current.name, chance)
        world.run(chance.uniform(0.0, 5.5))
        world.unreachable.discard((current.name, cut.name))
        world.run(chance.choice([0.02, 0.1, 0.5, 1.5, 3.0]) * (1.0 - chance.random() ** 2))
        end_of_trouble(world)
        if chance.random() < 0.5:
            restore_reads(world)
        world.run(chance.uniform(0.0, 1.0))
        kind = chance.choice(["kill", "freeze", "none"])
        if kind == "kill" and current.alive:
            current.kill()
            world.add_instance(f"next-{seed}-{round_number}")
        elif kind == "freeze":
            current.freeze(chance.uniform(1.0, 6.0))
        if chance.random() < 0.7:
            cut_off(world, cut)
        world.run(chance.uniform(0.0, 2.0))
    restore_reads(world)
    return violations_at_end(world, 5.0)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_giving_way_runs_nothing_twice(seed: int) -> None:
    assert _play(seed) == []
