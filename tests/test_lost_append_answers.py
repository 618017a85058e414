"""Running work outlives a time in which the store's answers to appends are lost."""

import pytest

from spoolcrank.workflow import Step
from tests.fleet_world import small_world
from tests.leader_plays import start_lasting

SPREAD = Step(count=6, millicores=1000, memory_mb=100, lasting=True, max_per_instance=1)
LOST_S = 10.0


# Guards against work that is lost as no leader grants a lease: appends are stored and read back,
# but the answer to the claim that permits grants is lost, and the next leader begins anew.
@pytest.mark.parametrize("seed", range(2))
def test_running_work_outlives_lost_answers_to_appends(seed: int) -> None:
    world = small_world(instances=4, runners=8, seed=seed)
    start_lasting(world, SPREAD)
    world.run(1.0)
    world.store.lost_append_answer_share = 0.9
    world.run(LOST_S)
    world.store.lost_append_answer_share = 0.0
    world.run(12.0)
    assert [len(starts) for starts in world.starts.values()] == [1] * SPREAD.count
    assert world.violations == []
