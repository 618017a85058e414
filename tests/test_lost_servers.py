"""A task that crashes every backend server on which it starts.

Each lost run puts the task back to wait. The tests guard against a task that is started again and
again and so takes down server after server, and against sound tasks that are given up with it.
"""

import random

import pytest

from spoolcrank.ids import Incarnation, InstanceId, TaskId
from spoolcrank.jobs import TaskState
from spoolcrank.ledger import Ledger
from spoolcrank.ledger_records import apply
from spoolcrank.lost_tasks import Crash
from spoolcrank.records import Ended, Envelope
from tests import world as worlds
from tests.world import STEP_S, World

SERVERS = tuple(f"backend-{number}" for number in range(8))
MAX_STARTS = 2
"""Limit of the starts of a task after its third crash of a server, as on the users' platform."""

SOUND_JOBS = 24
MAX_RECOVERY_S = 60.0
CRASHING_TASK = TaskId("job-1.0")


def _crash_servers_of_crashing_task(world: World, crashes: list[float]) -> None:
    """Restart each server that runs the crash-causing task, and record the time of each crash."""
    for name, worker in list(world.workers.items()):
        if CRASHING_TASK in worker.running:
            crashes.append(world.now)
            world.start_worker(name)


def _starts(world: World) -> list[float]:
    journals = [*world.journals]
    for name, worker in world.workers.items():
        journals.append(worlds._journal(name, worker.journal(world.now), worker))
    return sorted(
        run["start"]
        for journal in journals
        for run in journal["runs"]
        if run["task"] == CRASHING_TASK
    )


def _run_with_crashing_task(
    monkeypatch: pytest.MonkeyPatch, replace_owners: bool
) -> tuple[World, list[float]]:
    monkeypatch.setattr(worlds, "SERVERS", SERVERS)
    world = World()
    crashes: list[float] = []
    world.submit(1, 3.0, True, name="bad")
    for number in range(SOUND_JOBS):
        world.submit(1, 4.0, True)
        for _ in range(6):
            world.advance(STEP_S)
            _crash_servers_of_crashing_task(world, crashes)
        if replace_owners and number % 6 == 5:
            name = worlds.OWNERS[number // 6 % len(worlds.OWNERS)]
            world.crash(name)
            world.start_owner(name)
    for _ in range(round(MAX_RECOVERY_S / STEP_S)):
        world.advance(STEP_S)
        _crash_servers_of_crashing_task(world, crashes)
    return world, crashes


@pytest.mark.parametrize("replace_owners", [False, True], ids=["calm", "owners replaced"])
def test_crash_causing_task_is_given_up_and_no_other(
    monkeypatch: pytest.MonkeyPatch, replace_owners: bool
) -> None:
    """Guard against a crash-causing task that is restarted without limit.

    A run that was lost with its server put its task back to wait without a count and without a
    pause; only failed runs counted. The task had 40 starts after the third crash in 96 simulated
    seconds, one every 2 s. The fault was found by searching here for the cause of an incident on
    the users' platform.
    """
    world, crashes = _run_with_crashing_task(monkeypatch, replace_owners)
    assert world.breaches() == []
    assert len(crashes) >= 3
    after = [at for at in _starts(world) if at > crashes[2]]
    assert len(after) <= MAX_STARTS, f"{len(after)} starts after the third crash"
    tasks = next(iter(world.owners.values())).core.ledger.tasks
    assert tasks[CRASHING_TASK].state is TaskState.FAILED, tasks[CRASHING_TASK].reason
    sound = [task.state for task in tasks.values() if task.id != CRASHING_TASK]
    assert sound == [TaskState.FINISHED] * SOUND_JOBS


@pytest.mark.parametrize("seed", range(4))
def test_sound_tasks_finish_despite_unrelated_crashes(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(worlds, "SERVERS", SERVERS)
    chance = random.Random(seed)
    world = World()
    for _ in range(SOUND_JOBS):
        world.submit(1, 4.0, True)
        world.advance(2.5)
        if chance.random() < 0.5:
            world.start_worker(chance.choice(SERVERS))
    world.advance(MAX_RECOVERY_S)
    assert world.breaches() == []
    tasks = next(iter(world.owners.values())).core.ledger.tasks
    assert [task.state for task in tasks.values()] == [TaskState.FINISHED] * SOUND_JOBS


def test_silent_server_is_no_crash_evidence() -> None:
    """A run given up because its server did not answer is no crash evidence against its task."""
    ledger, crash = _ledger_after_a_loss(None)
    assert ledger.tasks[CRASHING_TASK].crashes == crash == []
    ledger, crash = _ledger_after_a_loss(Crash(server=InstanceId("backend-1"), lived_s=1.0))
    assert ledger.tasks[CRASHING_TASK].crashes == crash != []
    assert ledger.tasks[CRASHING_TASK].not_before >= 0.0


def _ledger_after_a_loss(crash: Crash | None) -> tuple[Ledger, list[Crash]]:
    world = World()
    world.submit(1, 30.0, True)
    world.advance(3.0)
    ledger = next(iter(world.owners.values())).core.ledger
    task = ledger.tasks[CRASHING_TASK]
    assert task.server is not None
    lost = Ended(
        task=CRASHING_TASK,
        attempt=task.attempt,
        server=task.server,
        epoch=task.epoch,
        how="lost",
        crash=crash,
    )
    envelope = Envelope(writer=Incarnation("owner"), seq=1, at=world.now, record=lost)
    assert apply(ledger, ledger.offset, envelope)
    return ledger, [] if crash is None else [crash]
