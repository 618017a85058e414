"""Fillers that every runner refuses for their effect start beside idle capacity, all of them."""

import msgspec
import pytest

from spoolcrank.ids import JobId
from spoolcrank.placing import place
from spoolcrank.run_control import tick
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import CrashEvidence, JobRecord, RouteName, Step, TaskKey, Workflow
from tests.test_packing import NOISY, NOW, SERVICE, SERVING, leader, put, runner
from tests.test_task_hold import CRASHES

KEY = TaskKey(JobId("ee"), 0, 0, 0)
TICK_S = 0.1
MAX_HOLD_S = 3.0
"""Longest time, in seconds, for which a job may have nothing running beside free capacity."""


def _fleet(over_target: bool) -> list[RunnerState]:
    """Return runners that each have a serving task beside which fillers are refused."""
    runners = [runner(f"i-{number}") for number in range(3)]
    for number, each in enumerate(runners):
        key = put(each, SERVING, number, f"s{number}")
        each.runs[key].tail_ms = 150.0
        each.runs[key].over_target_since = NOW - 1.0 if over_target else None
    return runners


def _waiting(
    runners: list[RunnerState], step: Step, crashes: tuple[CrashEvidence, ...]
) -> Scheduler:
    state = leader(*runners)
    record = JobRecord(RouteName("q"), SERVICE, 0, 3, 60_000, 2.0, Workflow("", (step,)))
    state.add_job(KEY.job, record, 1, None, False, NOW, 0.0)
    task = state.jobs[KEY.job].task(KEY)
    task.crashes, task.run = crashes, len(crashes)
    return state


def _starts_after_s(state: Scheduler, key: TaskKey) -> float:
    """Return when a task is bound, in seconds; inf if not within ten times what is allowed."""
    for step in range(1, round(10.0 * MAX_HOLD_S / TICK_S)):
        now = NOW + step * TICK_S
        for each in state.runners.values():
            each.record_answer(each.clock_ms + TICK_S * 1000.0, now, now)
        place(state, now, 0.0)
        tick(state, now)
        if any(key in each.runs for each in state.runners.values()):
            return now - NOW
    return float("inf")


# Guards against a filler that waits for ever beside idle processors, once two runners have crashed
# under it: it was never among the held fillers that start slowly.
@pytest.mark.parametrize("crashes", [0, 1, 2])
@pytest.mark.parametrize("over_target", [False, True], ids=["harm", "over"])
def test_a_refused_filler_starts_beside_idle_capacity(crashes: int, over_target: bool) -> None:
    state = _waiting(_fleet(over_target), NOISY, CRASHES[:crashes])
    assert _starts_after_s(state, KEY) <= MAX_HOLD_S
    run = next(each.runs[KEY] for each in state.runners.values() if KEY in each.runs)
    assert run.starts_slowly and run.pace < 100


# Guards against a gang of fillers that waits for ever beside idle processors.
@pytest.mark.parametrize("count", [2, 5])
@pytest.mark.parametrize("over_target", [False, True], ids=["harm", "over"])
def test_a_refused_gang_of_fillers_starts_beside_idle_capacity(
    count: int, over_target: bool
) -> None:
    gang = msgspec.structs.replace(NOISY, count=count, gang=True)
    state = _waiting(_fleet(over_target), gang, ())
    assert _starts_after_s(state, KEY) <= MAX_HOLD_S
    runs = [run for each in state.runners.values() for run in each.runs.values() if run.fills]
    assert len(runs) == count
    assert all(run.starts_slowly and run.pace < 100 for run in runs)


# Guards against a gang of which one runner takes a member, and all others refuse the rest.
def test_a_gang_of_fillers_that_is_refused_in_part_starts() -> None:
    runners = [*_fleet(True), runner("i-9", 8000)]
    gang = msgspec.structs.replace(NOISY, count=4, gang=True)
    state = _waiting(runners, gang, ())
    assert _starts_after_s(state, KEY) <= MAX_HOLD_S
