"""A task that crashes the backend servers that start it, on our own interface."""

import pytest

from spoolcrank.ids import TaskId
from spoolcrank.jobs import TaskState
from tests import world as worlds
from tests.world import STEP_S, World

SERVERS = tuple(f"backend-{number}" for number in range(8))
MOST_STARTS = 2
"""Starts of a task after the third server crashed under it; as on the users' platform."""

SOUND = 24
SETTLE_S = 60.0
BAD = TaskId("job-1.0")


def _crash_servers_of_bad(world: World, crashes: list[float]) -> None:
    """Crash each server that runs the bad task, and start it anew."""
    for name, worker in list(world.workers.items()):
        if BAD in worker.running:
            crashes.append(world.now)
            world.start_worker(name)


def _starts(world: World) -> list[float]:
    journals = [*world.journals]
    for name, worker in world.workers.items():
        journals.append(worlds._journal(name, worker.journal(world.now), worker))
    return sorted(run["start"] for one in journals for run in one["runs"] if run["task"] == BAD)


def _play(monkeypatch: pytest.MonkeyPatch, replace_owners: bool) -> tuple[World, list[float]]:
    monkeypatch.setattr(worlds, "SERVERS", SERVERS)
    world = World()
    crashes: list[float] = []
    world.submit(1, 3.0, True, name="bad")
    for number in range(SOUND):
        world.submit(1, 4.0, True)
        for _ in range(6):
            world.advance(STEP_S)
            _crash_servers_of_bad(world, crashes)
        if replace_owners and number % 6 == 5:
            name = worlds.OWNERS[number // 6 % len(worlds.OWNERS)]
            world.crash(name)
            world.start_owner(name)
    for _ in range(round(SETTLE_S / STEP_S)):
        world.advance(STEP_S)
        _crash_servers_of_bad(world, crashes)
    return world, crashes


@pytest.mark.parametrize("replace_owners", [False, True], ids=["calm", "owners replaced"])
def test_a_task_that_crashes_its_servers_is_given_up_and_nothing_else(
    monkeypatch: pytest.MonkeyPatch, replace_owners: bool
) -> None:
    """Found by looking for the cause of the same fault on the users' platform.

    A run that is lost with its server puts its task back to wait; only failed runs count.
    """
    world, crashes = _play(monkeypatch, replace_owners)
    assert world.breaches() == []
    assert len(crashes) >= 3
    after = [at for at in _starts(world) if at > crashes[2]]
    assert len(after) <= MOST_STARTS, f"{len(after)} starts after the third crash"
    tasks = next(iter(world.owners.values())).core.ledger.tasks
    assert tasks[BAD].state is TaskState.FAILED, tasks[BAD].reason
    sound = [task.state for task in tasks.values() if task.id != BAD]
    assert sound == [TaskState.FINISHED] * SOUND
