"""An entry of another writer that names a wrong address for a live runner."""

import pytest

from spoolcrank.workflow import Step
from tests.fleet_world import World
from tests.runner_entries import entry

TASKS = Step(count=16, millicores=1000, memory_mb=100, estimate_ms=3000)
WORK_S = 30.0


def _leader_that_reads_a_false_entry(seed: int) -> World:
    """Replace the leader while an entry names the address of another runner."""
    world = World(seed)
    for number in range(8):
        world.add_runner(f"10.0.0.{number}:80").work_s = WORK_S
    world.add_instance("entry-0")
    world.run_until(lambda: world.leader() is not None)
    world.instances["entry-0"].submit("ab", TASKS)
    world.run_until(lambda: len(world.starts) == TASKS.count)
    world.run(0.5)
    first, second = list(world.runners.values())[:2]
    assert first.tasks
    world.instances["entry-0"].kill()
    world.store.entries.put(first.id, entry(address=second.name, born=first.born))
    world.add_instance("entry-9")
    world.run_until(lambda: world.leader() is not None)
    return world


# Guards against live runs that a new leader frees, as a false entry sent its question about their
# runner to another runner, whose answer counted as the end of the first.
@pytest.mark.parametrize("seed", [0])
def test_a_false_entry_frees_no_run_of_a_live_runner(seed: int) -> None:
    world = _leader_that_reads_a_false_entry(seed)
    world.run(8.0)
    assert world.violations == []
    assert all(len(starts) == 1 for starts in world.starts.values())
