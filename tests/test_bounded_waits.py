"""Waits for a move's destination and for a suspect end in time, whatever became of either."""

import pytest

from spoolcrank.binding import MOVE_TIMEOUT_S, bind, move
from spoolcrank.ids import JobId
from spoolcrank.isolation import ISOLATION_S
from spoolcrank.orders import EndKind
from spoolcrank.placing import place
from spoolcrank.run_ends import end_run
from spoolcrank.run_timeouts import tick
from spoolcrank.runner_loss import lose_runner
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId, Step, TaskKey
from tests.hold_setups import CRASHES
from tests.packed_runners import NOW, SHORT, leader, put, runner
from tests.test_room_beside_waits import add_job

JOB = JobId("cd")
KEY = TaskKey(JOB, 0, 0, 0)
LASTING = Step(count=1, millicores=3000, memory_mb=100, lasting=True)
WHOLE = Step(count=1, millicores=32_000, memory_mb=100)


def _moved() -> Scheduler:
    """Return a leader whose task has ended on r0 and is to move to r1."""
    state = leader(*(runner(f"r{number}") for number in range(3)))
    add_job(state, JOB, LASTING, 0)
    source = state.runners[RunnerId("r0")]
    bind(state, state.jobs[JOB], KEY, 1, source, NOW)
    source.runs[KEY].stage = RunStage.RUNNING
    move(state, KEY, RunnerId("r0"), RunnerId("r1"), NOW)
    end_run(state, KEY, source, EndKind.STOPPED, "", NOW)
    put(source, WHOLE, job="busy")
    return state


def _pass(state: Scheduler, now: float) -> None:
    for each in state.runners.values():
        each.record_answer(1000.0 + (now - NOW) * 1000.0, now, now)
    tick(state, now)
    place(state, now, 0.0)


# Guards against a task that waits for a destination without room for longer than a move may take.
def test_a_moved_task_waits_no_longer_for_its_destination() -> None:
    state = _moved()
    put(state.runners[RunnerId("r1")], WHOLE, job="busy")
    _pass(state, NOW + MOVE_TIMEOUT_S - 0.1)
    assert KEY not in state.runners[RunnerId("r2")].runs
    _pass(state, NOW + MOVE_TIMEOUT_S + 0.1)
    assert KEY in state.runners[RunnerId("r2")].runs


# Guards against a task that waits for a destination that is gone, or that the list has no more.
@pytest.mark.parametrize("listed", [True, False])
def test_a_moved_task_waits_for_no_destination_that_is_gone(listed: bool) -> None:
    state = _moved()
    lose_runner(state, state.runners[RunnerId("r1")], "another incarnation answers", NOW)
    if not listed:
        del state.runners[RunnerId("r1")]
    _pass(state, NOW + 0.1)
    assert KEY in state.runners[RunnerId("r2")].runs


def _kept_for_a_suspect() -> Scheduler:
    state = leader(runner("r0"))
    add_job(state, JOB, SHORT, 0)
    state.jobs[JOB].task(KEY).crashes = CRASHES
    only = state.runners[RunnerId("r0")]
    only.isolated_for, only.isolated_since = KEY, NOW
    return state


# Guards against a runner that is kept for a suspect that no longer comes.
def test_a_runner_is_free_once_the_job_of_its_suspect_has_ended() -> None:
    state = _kept_for_a_suspect()
    state.cancel(JOB, NOW)
    tick(state, NOW + 0.1)
    assert state.runners[RunnerId("r0")].isolated_for is None


def test_a_runner_is_kept_for_a_waiting_suspect_for_a_limited_time() -> None:
    """Guards against a runner that takes no work for as long as a suspect waits."""
    state = _kept_for_a_suspect()
    state.jobs[JOB].task(KEY).not_before = NOW + 100.0
    tick(state, NOW + ISOLATION_S - 0.1)
    assert state.runners[RunnerId("r0")].isolated_for == KEY
    tick(state, NOW + ISOLATION_S + 0.1)
    assert state.runners[RunnerId("r0")].isolated_for is None
