"""A filler that every runner refuses for its effect starts slowly where most capacity is idle.

The simulated runners here let their tasks work at the ordered pace, and report tail latencies that
rise with the processors that fillers use at that pace.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import pytest

from spoolcrank.held_fillers import STARTING_PACE_PERCENT
from spoolcrank.ids import JobId
from spoolcrank.orders import Answered, Pace
from spoolcrank.workflow import TaskKey
from tests.fleet_runners import RunnerPort
from tests.paced_fillers import (
    FILLER,
    HARM_S,
    SERVING_KEYS,
    PacedWorld,
)


@pytest.fixture(autouse=True)
def paces_are_carried_out(monkeypatch: pytest.MonkeyPatch) -> None:
    def pace(port: Any, order: Pace, done: Callable[[Answered], None]) -> None:
        port._send(order, lambda there: Answered(there.pace(order), there.clock_ms), done)

    monkeypatch.setattr(RunnerPort, "pace", pace)


class Case(NamedTuple):
    """Tail ratio without fillers, the leader's belief about the filler, and its true weight."""

    ratio: float
    believed: float | None
    weight: float


HELD = {
    "over for another cause, not known": Case(1.1, None, 0.0),
    "over for another cause, harmless": Case(1.1, 0.0, 0.0),
    "near the target, not known": Case(0.9, None, 0.0),
    "loaded, not known": Case(0.6, None, 0.0),
    "usual, not known": Case(0.38, None, 0.0),
    "harmful": Case(0.38, 8.0, 8.0),
    "wrongly believed harmful": Case(0.38, 8.0, 0.0),
}


@pytest.mark.parametrize("case", HELD.values(), ids=list(HELD))
def test_a_held_filler_starts_before_its_job_counts_as_lost(case: Case) -> None:
    """Guards against fillers that no runner ever takes, although most capacity is idle."""
    world = PacedWorld(case.ratio, case.weight, case.believed)
    begun = world.now
    world.submit("entry-0", "b", FILLER, work_s=0.6)
    world.run(60.0)
    starts = world.starts[TaskKey(JobId("b"), 0, 0, 0)]
    assert len(starts) == 1 and starts[0] - begun <= 3.0
    assert all(len(world.starts[key]) == 1 for key in SERVING_KEYS)
    assert not world.check.violations
    assert world.longest_harm_s < HARM_S
    assert world.violations == []


# Guards against a held filler that disturbs at full speed until the first report.
def test_a_held_filler_begins_at_a_low_pace_and_gets_faster_while_the_tail_allows() -> None:
    world = PacedWorld(0.38, 0.0, None)
    world.submit("entry-0", "b", FILLER, work_s=60.0)
    key = TaskKey(JobId("b"), 0, 0, 0)
    world.run_until(lambda: bool(world.starts[key]), 3.0)
    world.run(0.3)
    assert world.ordered[key] == [STARTING_PACE_PERCENT]
    assert world.full_pace_s(key) < 0.1
    world.run(20.0)
    assert world.ordered[key][-1] == 100


@pytest.mark.parametrize("weight", [12.0, 40.0])
def test_a_held_filler_is_halted_before_the_tail_that_it_raises_counts_as_harmed(
    weight: float,
) -> None:
    """Guards against a trial of a harmful filler that goes on over the target."""
    world = PacedWorld(0.9, weight, None)
    world.submit("entry-0", "b", FILLER, work_s=600.0)
    key = TaskKey(JobId("b"), 0, 0, 0)
    world.run(60.0)
    assert len(world.starts[key]) == 1
    assert 0 in world.ordered[key]
    assert world.longest_harm_s < HARM_S
    assert not world.check.violations


def test_jobs_with_many_fillers_do_not_keep_others_from_their_first_start() -> None:
    """Guards against a refusal of one job's next filler that holds the first of another job."""
    world = PacedWorld(0.38, 8.0, 8.0)
    wide = msgspec.structs.replace(FILLER, count=20)
    begun = world.now
    for job in ("b", "c", "d"):
        world.submit("entry-0", job, wide, work_s=600.0)
    world.submit("entry-0", "e", FILLER, work_s=600.0)
    world.run(10.0)
    assert world.starts[TaskKey(JobId("e"), 0, 0, 0)][0] - begun <= 3.0
    assert not world.check.violations


@pytest.mark.parametrize(
    "case", [Case(1.1, None, 0.0), Case(0.9, None, 12.0), Case(0.7, None, 8.0)]
)
def test_many_held_fillers_start_in_time_and_do_no_harm_together(case: Case) -> None:
    """Guards against jobs that are lost because one filler at a time starts on a runner."""
    world = PacedWorld(case.ratio, case.weight, case.believed)
    for number in range(20):
        step = msgspec.structs.replace(FILLER, millicores=200)
        world.submit("entry-0", f"b{number}", step, work_s=600.0)
    world.run(30.0)
    assert not world.check.violations
    assert world.longest_harm_s < HARM_S


def test_a_filler_that_was_halted_for_long_is_not_taken_for_hung_once_it_works_again() -> None:
    """Guards against a stop, counted against task and runner, of each filler that is set free."""
    world = PacedWorld(1.1, 0.0, 0.0)
    world.submit("entry-0", "b", FILLER, work_s=60.0)
    key = TaskKey(JobId("b"), 0, 0, 0)
    world.run(20.0)
    assert world.ordered[key][-1] == 0
    world.ratio = 0.7
    world.run(20.0)
    assert world.ordered[key][-1] == 100
    assert len(world.starts[key]) == 1
