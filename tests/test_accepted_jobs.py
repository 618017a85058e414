"""Run the machine of jobs accepted around losses, and check that it detects removed mechanisms.

To run more examples: `SPOOLCRANK_SOAK_SEEDS=2000 pytest tests/test_accepted_jobs.py -k waits`.
"""

import os
from typing import Any

import pytest

from spoolcrank import takeover
from spoolcrank.dispatcher import Dispatcher
from spoolcrank.job_state import JobState, TaskState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import TaskKey
from tests.accepted_jobs import run_accepted_jobs

EXAMPLES = int(os.environ.get("SPOOLCRANK_SOAK_SEEDS", "20"))
STEPS = 25
MAX_EXAMPLES_TO_DETECT = 300
SYMPTOMS = "could run|unknown at|accepted and not ended"
"""Words of a violation; an error of another kind does not count as detected."""


# Guards against a job that is accepted around a loss, and that the next leader has on record but
# not among those that it places; and against one that is held for something that never comes.
def test_no_accepted_job_waits_for_ever_beside_free_runners() -> None:
    run_accepted_jobs(EXAMPLES, STEPS)


_restore_job = takeover.restore_job
_requeue = Scheduler.requeue_task


def _restore_started_jobs_alone(*args: Any) -> bool:
    resumed = _restore_job(*args)
    state, _, record = args[:3]
    if not resumed:
        state.ready.pop(record.key[2:], None)
    return resumed


def _requeue_without_placing(
    state: Scheduler, job: JobState, key: TaskKey, task: TaskState
) -> None:
    _requeue(state, job, key, task)
    state.ready.pop(job.id, None)


def _services_of_queues_alone(state: Scheduler) -> frozenset[str] | None:
    if not state.routes:
        return None
    return frozenset(policy.service for policy in state.routes.values())


MUTATIONS = {
    "jobs without progress are not placed after a takeover": (
        takeover,
        "restore_job",
        _restore_started_jobs_alone,
    ),
    "tasks that wait again are not placed": (Scheduler, "requeue_task", _requeue_without_placing),
    "records read while leading are skipped": (
        Dispatcher,
        "_on_client_record",
        lambda *facts: None,
    ),
    "runners of jobs whose queue is gone are dropped": (
        Scheduler,
        "services",
        _services_of_queues_alone,
    ),
    "runs of lost runners are kept": (Scheduler, "release", lambda *facts: None),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_removing_a_mechanism_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a machine that reaches no such case."""
    monkeypatch.setattr(*MUTATIONS[name])
    with pytest.raises(AssertionError, match=SYMPTOMS):
        run_accepted_jobs(MAX_EXAMPLES_TO_DETECT, STEPS)
