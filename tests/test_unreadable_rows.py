"""Runs of which a runner's report lists a row that cannot be read as a whole."""

from typing import Any

import pytest

from spoolcrank.ids import JobId
from spoolcrank.orders import Poll, Report
from spoolcrank.placing import place
from spoolcrank.platform.runners import PlatformRunners
from spoolcrank.run_control import ABSENT_RUN_LOST_AFTER_S, poll_answered
from spoolcrank.runs import RunStage
from spoolcrank.workflow import Step, TaskKey
from tests.packed_runners import NOW, leader, runner
from tests.test_platform import RecordingHttp, answer
from tests.test_room_beside_waits import add_job

JOB = JobId("ab")
FIRST = TaskKey(JOB, 0, 0, 0)
LATER = NOW + 2 * ABSENT_RUN_LOST_AFTER_S


def _report(order: Poll, body: dict[str, Any]) -> Report:
    """Return what is read of a runner's answer to a poll."""
    reports: list[Report | None] = []
    http: Any = RecordingHttp(answer(200, body))
    PlatformRunners(http).poll(order, lambda poll_result: reports.append(poll_result.report))
    (report,) = reports
    assert report is not None
    return report


@pytest.mark.parametrize(
    "row",
    [
        ["ab.0.0.0", 1, "", None],
        ["ab.0.0.0", 1, None, 3],
        ["ab.0.0.0", 1, "", "a third"],
        ["ab.0.0.0", 1],
    ],
    ids=str,
)
@pytest.mark.parametrize("stage", [RunStage.RUNNING, RunStage.UNCONFIRMED])
def test_a_run_that_is_listed_is_not_released(row: list[Any], stage: RunStage) -> None:
    """Guards against a second run beside one whose checkpoint or percentage cannot be read.

    Its row was left out, so that the run counted as lost and its task started elsewhere.
    """
    state = leader(runner("r0"))
    add_job(state, JOB, Step(count=1, millicores=1000, memory_mb=100), 0)
    place(state, NOW, 0.0)
    (holder,) = state.runners.values()
    holder.runs[FIRST].stage, holder.runs[FIRST].since = stage, NOW
    holder.adopted = stage is RunStage.RUNNING
    poll = Poll(state.target(holder), 0, None, 0)
    report = _report(poll, {"clockMs": 5, "running": [row]})
    poll_answered(state, poll, report._replace(runner=holder.id), LATER, LATER)
    assert FIRST in holder.runs


@pytest.mark.parametrize("row", [["no-task", 1, "", 3], ["ab.0.0.0", None, "", 3], 7, None])
def test_a_row_that_names_no_run_does_not_keep_an_absent_run(row: Any) -> None:
    state = leader(runner("r0"))
    add_job(state, JOB, Step(count=1, millicores=1000, memory_mb=100), 0)
    place(state, NOW, 0.0)
    (holder,) = state.runners.values()
    holder.runs[FIRST].stage, holder.runs[FIRST].since = RunStage.RUNNING, NOW
    poll = Poll(state.target(holder), 0, None, 0)
    report = _report(poll, {"clockMs": 5, "running": [row]})
    poll_answered(state, poll, report._replace(runner=holder.id), LATER, LATER)
    assert FIRST not in holder.runs
