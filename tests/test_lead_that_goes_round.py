"""The lead does not pass to and fro between a large instance and one that has recent copies."""

from tests.leader_plays import LASTING, fleet, start_lasting
from tests.test_list_probe import _beat, _fail, _port

PLAY_S = 40.0
MAX_TERMS = 6
"""Largest number of terms in that time: a few tries of the large instance."""

LARGE_INSTANCES = 6


# Guards against a lead that passes every few seconds, for good, to a large instance that cannot
# read the list of runners: it offers to lead again as soon as one that can has followed it.
def test_a_large_instance_that_cannot_read_the_list_does_not_lead_again_and_again() -> None:
    world = fleet(seed=1, instances=3, runners=6)
    _beat(world)
    start_lasting(world, LASTING)
    large = world.add_instance("large", 8.0)
    _fail(_port(large, "list"))
    before = world.store.jobs.epoch
    world.run(PLAY_S)
    assert world.violations == []
    assert world.store.jobs.epoch - before <= MAX_TERMS


# Guards against the same where several large instances cannot read it: each one offers to lead
# while the others pause, until the first one's pause has ended.
def test_large_instances_that_cannot_read_the_list_do_not_lead_by_turns() -> None:
    world = fleet(seed=1, instances=3, runners=6)
    _beat(world)
    start_lasting(world, LASTING)
    for number in range(LARGE_INSTANCES):
        _fail(_port(world.add_instance(f"large-{number}", 8.0), "list"))
    world.run(PLAY_S)
    before = world.store.jobs.epoch
    world.run(PLAY_S)
    assert world.violations == []
    assert world.store.jobs.epoch - before <= MAX_TERMS
