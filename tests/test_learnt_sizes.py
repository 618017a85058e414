"""Allocation of tasks by the observed resource use of their class.

The tests guard against allocations that grow with every run until a task fits on no server, and
against classes that wait forever because their learned size fits nowhere.
"""

import pytest

from spoolcrank.ids import TaskClass, TaskId
from spoolcrank.interference import ClassUseEstimate, InterferenceModel
from spoolcrank.policy import DEFAULT
from spoolcrank.resources import Resources
from spoolcrank.worker import Usage
from tests.world import World

CLASS = TaskClass("renewal")
DECLARED = Resources(3.0, 1000.0, 0)
JOBS = 30
RUN_S = 9.0
MAX_WAIT_S = 40.0


def test_class_that_uses_its_whole_allocation_is_placed_each_time() -> None:
    """Guard against jobs that wait forever beside idle servers after some dozen of their class.

    The learned size was the largest use plus a tenth, whatever the task had been allocated. A task
    that uses its whole allocation so got a tenth more at each start: 18.343, 20.177, 22.195
    processors on servers that have 24 for tasks. The next allocation fitted nowhere, so no report
    could lower it. With half of the log's answers lost and jobs of one name arriving throughout, 24
    to 31 of 124 to 135 jobs were pending at attempt 0 30 s after the log recovered, in three of
    three seeds, and 6 of 113 after 60 s, while no server ran anything.
    """
    world = World()
    for _ in range(JOBS):
        world.submit(1, RUN_S, True)
        world.advance(RUN_S + 4.0)
    world.advance(MAX_WAIT_S)
    assert world.open_tasks() == []


def _trained_model(
    used: float, allocated: float, interference_model: InterferenceModel | None = None
) -> InterferenceModel:
    interference_model = interference_model or InterferenceModel()
    usage = [Usage(task=TaskId("a.0"), task_class=CLASS, processors=used, memory_mb=500.0)]
    for _ in range(3):
        interference_model.on_usage(usage, lambda task: Resources(allocated, 1000.0, 0))
    return interference_model


@pytest.mark.parametrize(
    ("used", "allocated", "expected"), [(3.0, 3.0, 3.0), (2.0, 3.0, 2.2), (4.0, 3.0, 4.4)]
)
def test_headroom_is_added_unless_use_equals_the_allocation(
    used: float, allocated: float, expected: float
) -> None:
    size = _trained_model(used, allocated).size_for(CLASS, DECLARED, DEFAULT)
    assert size.processors == pytest.approx(expected)


def test_usage_of_an_unknown_task_is_ignored() -> None:
    interference_model = InterferenceModel()
    usage = [Usage(task=TaskId("a.0"), task_class=CLASS, processors=9.0, memory_mb=500.0)]
    for _ in range(3):
        interference_model.on_usage(usage, lambda task: None)
    assert interference_model.size_for(CLASS, DECLARED, DEFAULT) == DECLARED


def test_learned_sizes_of_a_peer_are_used_unchanged() -> None:
    snapshot = _trained_model(2.0, 3.0).snapshot(0.0)
    successor = InterferenceModel()
    successor.merge_snapshot(snapshot, 0.0)
    assert snapshot.uses == [ClassUseEstimate(CLASS, pytest.approx(2.2), pytest.approx(550.0), 3)]
    assert successor.size_for(CLASS, DECLARED, DEFAULT).processors == pytest.approx(2.2)


def test_class_whose_learned_size_fits_nowhere_gets_its_declared_size() -> None:
    world = World()
    for owner in world.owners.values():
        owner.core.interference_model = _trained_model(60.0, 3.0)
    world.submit(1, 1.0, True, name=CLASS)
    world.advance(20.0)
    assert world.open_tasks() == []
