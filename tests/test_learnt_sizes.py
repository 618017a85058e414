"""Task sizes that are learned from the measured use of their class."""

import pytest

from spoolcrank.ids import TaskClass, TaskId
from spoolcrank.interference import Learnt, ToldUse
from spoolcrank.policy import DEFAULT
from spoolcrank.resources import Resources
from spoolcrank.worker import Usage
from tests.world import World

CLASS = TaskClass("renewal")
DECLARED = Resources(3.0, 1000.0, 0)
JOBS = 30
RUN_S = 9.0
MAX_WAIT_S = 40.0


def test_work_that_uses_all_it_is_given_finds_a_place_each_time() -> None:
    """Check that the learned size of a class does not grow until it fits on no server.

    The learned size used to be the largest use plus a tenth, whatever the task was allocated, so
    a class that uses its whole allocation grew at every start: 18.343, 20.177, 22.195 processors
    on servers with 24 for tasks. The next size fitted nowhere, so no usage report could correct
    it, and after some dozen jobs of the class the rest waited forever beside idle servers. With
    half of the log's answers lost and jobs of one name arriving all the time, 24 to 31 of 124 to
    135 jobs were pending at attempt 0 in three of three seeds 30 s after the log had recovered,
    and 6 of 113 after 60 s; nothing ran on any server.
    """
    world = World()
    for _ in range(JOBS):
        world.submit(1, RUN_S, True)
        world.advance(RUN_S + 4.0)
    world.advance(MAX_WAIT_S)
    assert world.open_tasks() == []


def _learn(used: float, allocated: float, learnt: Learnt | None = None) -> Learnt:
    learnt = learnt or Learnt()
    usage = [Usage(task=TaskId("a.0"), task_class=CLASS, processors=used, memory_mb=500.0)]
    for _ in range(3):
        learnt.on_usage(usage, lambda task: Resources(allocated, 1000.0, 0))
    return learnt


@pytest.mark.parametrize(
    ("used", "allocated", "expected"), [(3.0, 3.0, 3.0), (2.0, 3.0, 2.2), (4.0, 3.0, 4.4)]
)
def test_headroom_is_given_only_where_use_leaves_some_or_is_more(
    used: float, allocated: float, expected: float
) -> None:
    size = _learn(used, allocated).size_for(CLASS, DECLARED, DEFAULT)
    assert size.processors == pytest.approx(expected)


def test_usage_of_a_task_that_is_not_known_any_more_teaches_nothing() -> None:
    learnt = Learnt()
    usage = [Usage(task=TaskId("a.0"), task_class=CLASS, processors=9.0, memory_mb=500.0)]
    for _ in range(3):
        learnt.on_usage(usage, lambda task: None)
    assert learnt.size_for(CLASS, DECLARED, DEFAULT) == DECLARED


def test_what_a_peer_learnt_is_taken_as_it_is() -> None:
    snapshot = _learn(2.0, 3.0).tell(0.0)
    successor = Learnt()
    successor.hear(snapshot, 0.0)
    assert snapshot.uses == [ToldUse(CLASS, pytest.approx(2.2), pytest.approx(550.0), 3)]
    assert successor.size_for(CLASS, DECLARED, DEFAULT).processors == pytest.approx(2.2)


def test_a_class_that_fits_nowhere_as_learnt_is_allocated_what_it_declares() -> None:
    world = World()
    for owner in world.owners.values():
        owner.core.learnt = _learn(60.0, 3.0)
    world.submit(1, 1.0, True, name=CLASS)
    world.advance(20.0)
    assert world.open_tasks() == []
