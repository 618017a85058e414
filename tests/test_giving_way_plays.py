"""Plays of a leader that gives way while its reads fail, beside runners that it states."""

import random

import pytest

from tests import leader_plays as plays


def _play(seed: int) -> list[str]:
    chance = random.Random(seed)
    world = plays.fleet(seed, instances=4, runners=4)
    cut = plays.kill_leader_beside_a_cut(world, chance, [0.0, 0.0, 0.1], 0.3)
    world.add_instance(f"late-{seed}", chance.choice([1.0, 8.0]))
    for round_number in range(chance.choice([1, 2, 3])):
        current = plays.next_leader(world)
        world.run(chance.choice([0.0, chance.uniform(0.0, 1.5)]))
        if not current.alive:
            continue
        plays.fail_reads(current)
        if chance.random() < 0.3:
            plays.trouble_of_store(world, current.name, chance)
        world.run(chance.uniform(0.0, 5.5))
        world.unreachable.discard((current.name, cut.name))
        world.run(chance.choice([0.02, 0.1, 0.5, 1.5, 3.0]) * (1.0 - chance.random() ** 2))
        plays.end_of_trouble(world)
        if chance.random() < 0.5:
            plays.restore_reads(world)
        world.run(chance.uniform(0.0, 1.0))
        kind = chance.choice(["kill", "freeze", "none"])
        if kind == "kill" and current.alive:
            current.kill()
            world.add_instance(f"next-{seed}-{round_number}")
        elif kind == "freeze":
            current.freeze(chance.uniform(1.0, 6.0))
        if chance.random() < 0.7:
            plays.cut_off(world, cut)
        world.run(chance.uniform(0.0, 2.0))
    plays.restore_reads(world)
    return plays.violations_at_end(world, 5.0)


@pytest.mark.parametrize("seed", range(plays.SEEDS))
def test_giving_way_runs_nothing_twice(seed: int) -> None:
    assert _play(seed) == []
