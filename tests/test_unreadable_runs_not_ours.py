"""A run that this leader did not order, in a row that cannot be read as a whole."""

from typing import Any

import pytest

from spoolcrank.ids import JobId
from spoolcrank.orders import Poll, Stop
from spoolcrank.placing import place
from spoolcrank.run_control import poll_answered
from spoolcrank.runs import RunStage
from spoolcrank.workflow import Step
from tests.packed_runners import NOW, leader, runner
from tests.test_room_beside_waits import add_job
from tests.test_unreadable_rows import FIRST, LATER, _report

JOB = JobId("ab")


@pytest.mark.parametrize("row", [["ab.0.0.0", 1, "", 3], ["ab.0.0.0", 1, "", None]], ids=str)
def test_an_older_run_beside_the_current_one_is_stopped(row: list[Any]) -> None:
    """Guards against two runs of a task at one time, one of them listed in an unreadable row.

    The older run's start was carried out late. Each poll extends its lease.
    """
    state = leader(runner("r0"), runner("r1"))
    add_job(state, JOB, Step(count=1, millicores=1000, memory_mb=100), 0)
    place(state, NOW, 0.0)
    task = state.jobs[JOB].task(FIRST)
    holder = state.runners[task.runner]
    (other,) = (each for each in state.runners.values() if each is not holder)
    holder.runs[FIRST].stage, holder.runs[FIRST].since = RunStage.RUNNING, NOW
    holder.runs[FIRST].number = task.run = 2
    other.adopted = True
    poll = Poll(state.target(other), 0, None, 0)
    report = _report(poll, {"clockMs": 5, "running": [row]})
    poll_answered(state, poll, report._replace(runner=other.id), LATER, LATER)
    stops = [order for order in state.orders if isinstance(order, Stop)]
    assert [(stop.task, stop.run) for stop in stops] == [(FIRST, 1)]
