"""The check on stored progress reports progress that goes back, and nothing else."""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord, progress_key
from spoolcrank.workflow import Phase, Progress, StepMark, TaskMark, encode_progress
from tests.stored_progress import DoneTasks

JOB = JobId("a0")
DONE, WAITING = Phase.DONE.value, Phase.WAITING.value


def record(*steps: StepMark, rounds_done: int = 0) -> KeyedRecord:
    value = encode_progress(Progress("running", steps, rounds_done))
    return KeyedRecord(progress_key(JOB), value)


def step(*phases: int) -> StepMark:
    return StepMark(
        0, 0, False, tuple(TaskMark(index, phase, 1) for index, phase in enumerate(phases))
    )


ONE_DONE = record(step(DONE, WAITING))
STEP_DONE = record(StepMark(0, 0, True))


@pytest.mark.parametrize(
    "later", [ONE_DONE, record(step(DONE, DONE)), STEP_DONE, record(rounds_done=1)]
)
def test_progress_that_goes_on_is_no_fault(later: KeyedRecord) -> None:
    done = DoneTasks()
    assert done.take(ONE_DONE) == []
    assert done.take(later) == []


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        (ONE_DONE, record(step(WAITING, WAITING))),
        (ONE_DONE, record()),
        (STEP_DONE, ONE_DONE),
        (record(rounds_done=1), STEP_DONE),
    ],
)
def test_what_was_done_and_is_not_any_more_is_found(
    earlier: KeyedRecord, later: KeyedRecord
) -> None:
    done = DoneTasks()
    done.take(earlier)
    assert done.take(later) != []
