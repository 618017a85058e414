"""Owners that count leases on from before a pause, beside an interim owner that they never heard.

While the log is down, a peer commands a paused owner's server in interim, renews its leases and is
killed. No record and no living process tells of it, and the owner that wakes cannot reach the
server. What runs there may run until the leases of the interim owner lapse.
"""

import pytest

from spoolcrank import membership
from tests import world as worlds
from tests.world import OWNERS, World

PAUSE_S = 5.0


def _after_interim_ownership() -> tuple[World, str, str]:
    """Return a world at the wake of an owner, that owner, and its interim owner, now killed."""
    world = World()
    world.submit(1, 600.0, True)
    world.advance(3.0)
    busy = next(name for name, worker in world.workers.items() if worker.running)
    owner = next(name for name in OWNERS if busy in world.owners[name].core.owned)
    world.log_up = False
    world.owners[owner].paused = True
    world.advance(PAUSE_S)
    interim = next(
        name for name in OWNERS if name != owner and busy in world.owners[name].core.owned
    )
    world.cut |= {(name, busy) for name in OWNERS}
    world.crash(interim)
    world.log_up = True
    world.owners[owner].paused = False
    return world, owner, interim


# Guards against a second pause after which the owner forgets that it has to count from the first.
@pytest.mark.parametrize("awake_s", [1.0, 2.0])
def test_a_second_pause_does_not_shorten_the_wait_for_leases(awake_s: float) -> None:
    world, owner, interim = _after_interim_ownership()
    world.start_owner(interim)
    world.advance(awake_s)
    world.owners[owner].paused = True
    world.advance(1.25)
    world.owners[owner].paused = False
    world.advance(20.0)
    assert world.breaches() == []


# Guards against leases that count as lapsed because their owner is off the platform's list.
@pytest.mark.parametrize("listed_s", [0.5, 2.0])
def test_an_unlisted_interim_owner_does_not_shorten_the_wait_for_leases(listed_s: float) -> None:
    world, _, interim = _after_interim_ownership()
    world.advance(listed_s)
    instances = [instance for instance in worlds._instances() if instance.id != interim]
    for entry in world.owners.values():
        membership.on_list(entry.core.members, instances, world.now + entry.skew_s)
    world.advance(20.0)
    assert world.breaches() == []
