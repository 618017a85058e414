"""The check of stored progress.

The tests guard against a check that misses work no longer stored as done, and against one that
reports valid progress.
"""

import pytest

from spoolcrank.ids import JobId
from spoolcrank.keyed_log import KeyedRecord, progress_key
from spoolcrank.workflow import Phase, Progress, StoredStep, StoredTask, encode_progress
from tests.stored_progress import CompletedWork

JOB = JobId("a0")
DONE, WAITING = Phase.DONE.value, Phase.WAITING.value


def record(*steps: StoredStep, rounds_done: int = 0) -> KeyedRecord:
    value = encode_progress(Progress("running", steps, rounds_done))
    return KeyedRecord(progress_key(JOB), value)


def step(*phases: int) -> StoredStep:
    return StoredStep(
        0, 0, False, tuple(StoredTask(index, phase, 1) for index, phase in enumerate(phases))
    )


ONE_DONE = record(step(DONE, WAITING))
STEP_DONE = record(StoredStep(0, 0, True))


@pytest.mark.parametrize(
    "later", [ONE_DONE, record(step(DONE, DONE)), STEP_DONE, record(rounds_done=1)]
)
def test_advancing_progress_is_not_reported(later: KeyedRecord) -> None:
    done = CompletedWork()
    assert done.find_regressions(ONE_DONE) == []
    assert done.find_regressions(later) == []


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        (ONE_DONE, record(step(WAITING, WAITING))),
        (ONE_DONE, record()),
        (STEP_DONE, ONE_DONE),
        (record(rounds_done=1), STEP_DONE),
    ],
)
def test_work_that_is_no_longer_done_is_reported(earlier: KeyedRecord, later: KeyedRecord) -> None:
    done = CompletedWork()
    done.find_regressions(earlier)
    assert done.find_regressions(later) != []
