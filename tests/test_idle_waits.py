"""A job that got no start for long while most runners are idle takes what it would else leave."""

import msgspec
import pytest

from spoolcrank.idle_capacity import MAX_IDLE_WAIT_S
from spoolcrank.ids import JobId
from spoolcrank.placing import place
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import JobRecord, RouteName, Step, TaskKey, Workflow
from tests.packed_runners import NOW, QUIET, SERVICE, SHORT, leader, put, runner

LABELLED = msgspec.structs.replace(SHORT, label="big", memory_mb=0)
GANG = msgspec.structs.replace(LABELLED, count=2, gang=True)
FILLER = msgspec.structs.replace(QUIET, label="big")
BIG = frozenset({"big"})


def add(state: Scheduler, step: Step, waited_s: float) -> TaskKey:
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 60_000, 2.0, Workflow("", (step,)))
    state.add_job(JobId("ee"), record, 1, None, False, NOW - waited_s, 0.0)
    return TaskKey(JobId("ee"), 0, 0, 0)


# Guards against jobs that wait up to 16 s beside idle runners that are all quarantined.
@pytest.mark.parametrize("step", [LABELLED, GANG, FILLER], ids=["short", "gang", "filler"])
def test_a_job_goes_to_a_quarantined_runner_rather_than_nowhere_for_long(step: Step) -> None:
    faulty = runner("i-1", labels=BIG)
    faulty.quarantine(NOW)
    state = leader(faulty, runner("i-2"))
    key = add(state, step, waited_s=MAX_IDLE_WAIT_S - 0.1)
    place(state, NOW, 0.0)
    assert key not in faulty.runs
    place(state, NOW + 0.2, 0.0)
    assert key in faulty.runs


def test_a_job_leaves_a_quarantined_runner_where_another_has_capacity() -> None:
    faulty, sound = runner("i-1", labels=BIG), runner("i-2", labels=BIG)
    faulty.quarantine(NOW)
    state = leader(faulty, sound)
    key = add(state, LABELLED, waited_s=10.0)
    place(state, NOW, 0.0)
    assert key in sound.runs


def test_no_job_goes_to_a_quarantined_runner_while_most_capacity_is_in_use() -> None:
    """Guards against a faulty runner that takes task after task from a long queue."""
    faulty, full = runner("i-1", 2000, BIG), runner("i-2", 4000)
    faulty.quarantine(NOW)
    put(full, msgspec.structs.replace(SHORT, millicores=4000))
    state = leader(faulty, full)
    key = add(state, LABELLED, waited_s=10.0)
    place(state, NOW, 0.0)
    assert key not in faulty.runs


# Guards against a lasting job that waits beside idle runners for as long as the demand of short
# tasks is remembered.
def test_a_lasting_job_takes_the_reserve_rather_than_wait_for_long() -> None:
    first, second = runner("i-1", 8000), runner("i-2", 8000)
    for each in (first, second):
        put(each, msgspec.structs.replace(SHORT, millicores=3000))
    state = leader(first, second)
    state.reserve = 2500
    lasting = msgspec.structs.replace(SHORT, millicores=4000, lasting=True)
    key = add(state, lasting, waited_s=MAX_IDLE_WAIT_S - 0.1)
    place(state, NOW, 0.0)
    assert key not in first.runs and key not in second.runs
    place(state, NOW + 0.2, 0.0)
    assert key in first.runs or key in second.runs
