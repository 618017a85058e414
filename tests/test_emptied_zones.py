"""Evacuated availability zones: nothing starts there until the operator ends the evacuation."""

import pytest

from spoolcrank.ids import AvailabilityZone, JobId
from spoolcrank.keyed_log import KeyedLog, KeyedRecord
from spoolcrank.platform.documents import evacuated_zones
from spoolcrank.workflow import JobPhase, Step
from tests.fleet_world import World

WIDE = Step(count=6, millicores=1000, memory_mb=100, estimate_ms=600)
LASTING = Step(count=4, millicores=1000, memory_mb=100, lasting=True)
SOON_S = 0.5
"""Time within which orders in flight when the evacuation is read are carried out, seconds; the
stated limit is 5 s."""

ZONE = AvailabilityZone("b")


def _world() -> World:
    world = World()
    for number in range(6):
        world.add_runner(f"10.0.0.{number}:80").zone = "ab"[number % 2]
    for number in range(2):
        world.add_instance(f"entry-{number}")
    world.run_until(lambda: world.leader() is not None)
    world.run(0.3)
    return world


def _evacuate(world: World, *zones: AvailabilityZone) -> None:
    for instance in world.instances.values():
        instance.dispatcher.evacuate_zones(frozenset(zones))


def _submit(world: World, seconds: float) -> list[str]:
    instance = next(iter(world.instances.values()))
    jobs = []
    for number in range(round(seconds / 0.2)):
        jobs.append(f"{len(world.starts):04x}{number:04x}")
        instance.submit(jobs[-1], WIDE)
        world.run(0.2)
    return jobs


def _starts_there(world: World) -> int:
    return sum(
        len(runner.highest_run) + len(runner.tasks)
        for runner in world.runners.values()
        if runner.zone == "b"
    )


@pytest.mark.parametrize("takeover", [False, True], ids=["one leader", "the next leader too"])
def test_nothing_starts_in_an_evacuated_zone(takeover: bool) -> None:
    world = _world()
    _submit(world, 2.0)
    assert _starts_there(world) > 0
    _evacuate(world, ZONE)
    world.run(SOON_S)
    before = _starts_there(world)
    if takeover:
        leader = world.leader()
        assert leader is not None
        leader.kill()
        world.run_until(lambda: world.leader() is not None)
    jobs = _submit(world, 3.0)
    world.run(6.0)
    ended = {
        key for runner in world.runners.values() if runner.zone == "b" for key in runner.highest_run
    }
    assert not any(key.job in jobs for key in ended)
    assert _starts_there(world) <= before
    index = next(iter(world.instances.values())).index
    assert all(index.phase(JobId(job)) is JobPhase.COMPLETED for job in jobs)
    assert world.violations == []


def test_lasting_tasks_keep_running_and_starts_resume_when_the_evacuation_ends() -> None:
    world = _world()
    world.lasting_jobs = {"aaaa"}
    next(iter(world.instances.values())).submit("aaaa", LASTING)
    world.run(2.0)
    runs = {key: set(ids) for key, ids in world.running_on.items()}
    _evacuate(world, ZONE)
    world.run(8.0)
    assert {key: set(ids) for key, ids in world.running_on.items()} == runs
    _evacuate(world)
    before = _starts_there(world)
    _submit(world, 3.0)
    assert _starts_there(world) > before


def test_an_evacuation_is_read_from_its_own_key_and_ends_with_it() -> None:
    copy = KeyedLog()
    copy.load_page((KeyedRecord("config", b"{}", 0), KeyedRecord("evacuate/b", b"{}", 1)))
    copy.finish_load(2)
    assert evacuated_zones(copy) == {ZONE}
    copy.extend((KeyedRecord("evacuate/b", b"", 2),), 3, 1.0)
    assert evacuated_zones(copy) == frozenset()
