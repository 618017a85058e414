"""A task that a single server can take, behind owners and tasks that cannot be served.

The tests guard against work that waits because whoever could place it gives way to owners that
cannot, or does not come to it among tasks that can't be placed.
"""

import pytest

from spoolcrank.fleet import Instance
from spoolcrank.ids import TaskId
from tests import world as worlds
from tests.world import CAPACITY, STEP_S, World

ONLY_SERVER = "backend-1"


def _world(monkeypatch: pytest.MonkeyPatch, owners: int, servers: int) -> World:
    """Return a world in which one server has twice the capacity of each other."""
    plain = worlds._instances

    def uneven() -> list[Instance]:
        wide = {"processors": 2 * CAPACITY.processors, "memory_mb": 2 * CAPACITY.memory_mb}
        return [
            instance.model_copy(update=wide) if instance.id == ONLY_SERVER else instance
            for instance in plain()
        ]

    monkeypatch.setattr(worlds, "OWNERS", tuple(f"entry-{number}" for number in range(owners)))
    monkeypatch.setattr(worlds, "SERVERS", tuple(f"backend-{n}" for n in range(servers)))
    monkeypatch.setattr(worlds, "_instances", uneven)
    world = World()
    world.workers[ONLY_SERVER].capacity = CAPACITY.plus(CAPACITY)
    return world


def _wait_for_start_s(world: World, task: TaskId, max_s: float) -> float:
    began_at = world.now
    while world.now - began_at < max_s and task not in world.workers[ONLY_SERVER].running:
        world.advance(STEP_S)
    return world.now - began_at


@pytest.mark.parametrize(("owners", "max_s"), [(3, 1.0), (12, 1.5), (40, 2.0)])
def test_the_owner_of_the_only_server_does_not_wait_for_all_others(
    monkeypatch: pytest.MonkeyPatch, owners: int, max_s: float
) -> None:
    """Each owner that a hash put before it had 0.3 s, also those that could not take the task.

    The others have room for it only in the share that is reserved for urgent work.
    """
    world = _world(monkeypatch, owners, 2 * owners)
    waits = []
    for number in range(8):
        world.submit(1, STEP_S, True, name=f"wide-{number}", processors=4.9)
        waits.append(_wait_for_start_s(world, TaskId(f"job-{number + 1}.0"), 20.0))
        world.advance(2.0)
    assert max(waits) <= max_s, waits
