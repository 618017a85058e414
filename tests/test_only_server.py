"""A task that a single server can take, behind owners and tasks that cannot be served.

The tests guard against work that waits because whoever could place it gives way to owners that
cannot, or does not come to it among tasks that can't be placed.
"""

import pytest

from spoolcrank.fleet import Instance
from spoolcrank.ids import InstanceId, TaskId
from spoolcrank.lost_tasks import Crash
from spoolcrank.policy import DEFAULT, Policy
from tests import world as worlds
from tests.world import CAPACITY, STEP_S, World

ONLY_SERVER = "backend-1"
TEAM = "renewals"


def _world(
    monkeypatch: pytest.MonkeyPatch, owners: int, servers: int, policy: Policy = DEFAULT
) -> World:
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
    world = World(policy)
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


def _submit_awkward(world: World, count: int, sizes: int) -> None:
    """Submit jobs of one task each that can't be placed now, in turn of each kind.

    They are too large for what is free, of a team at its quota, suspected of two crashes, or all of
    these, and of `sizes` different sizes.
    """
    for number in range(count):
        team = TEAM if number % 4 in (1, 3) else "default"
        size = 6.0 + number % sizes / 1000.0
        world.submit(1, 60.0, True, name=f"awkward-{number}", team=team, processors=size)
    world.advance(STEP_S)
    for owner in world.owners.values():
        for number, task in enumerate(list(owner.core.ledger.waiting())):
            if number % 4 in (2, 3):
                task.crashes = [Crash(server=InstanceId("backend-0"), lived_s=1.0)] * 2


def _ticks_behind(world: World, count: int, sizes: int) -> int:
    """Return the ticks until the last of many tasks starts, which only one server can take."""
    for number in range(len(worlds.SERVERS)):
        world.submit(1, 10_000.0, True, name=f"full-{number}", processors=4.6)
    world.advance(4.0)
    _submit_awkward(world, count, sizes)
    world.advance(10.0)
    world.submit(1, 10_000.0, True, name="last", processors=2.0)
    task = TaskId(f"job-{world.jobs}.0")
    return round(_wait_for_start_s(world, task, 200 * STEP_S) / STEP_S)


@pytest.mark.parametrize(
    ("count", "sizes", "max_ticks"), [(1000, 8, 4), (1000, 1000, 4), (3000, 1000, 7)]
)
def test_the_last_of_many_waiting_tasks_has_its_turn(
    monkeypatch: pytest.MonkeyPatch, count: int, sizes: int, max_ticks: int
) -> None:
    """Each tick considered 64 tasks, half of them again, so it took one for each 64 in front."""
    world = _world(monkeypatch, 1, 2, Policy(quotas={TEAM: 0.0}))
    assert _ticks_behind(world, count, sizes) <= max_ticks
