"""Fillers that every runner refuses for their effect start beside idle capacity, all of them."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from spoolcrank.ids import JobId
from spoolcrank.orders import Answered, Pace
from spoolcrank.placing import place
from spoolcrank.run_timeouts import tick
from spoolcrank.runner_loss import RESTART_DELAYS_S
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import CrashEvidence, JobRecord, RouteName, Step, TaskKey, Workflow
from tests.fleet_runners import Runner, RunnerPort
from tests.hold_setups import CRASHES
from tests.paced_fillers import FILLER, PacedWorld
from tests.packed_runners import NOISY, NOW, SERVICE, SERVING, leader, put, runner

KEY = TaskKey(JobId("ee"), 0, 0, 0)
TICK_S = 0.1
RESTART_S = 2.0
"""Time until a crashed runner is back, which proves its loss, in seconds."""

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


def _at_work(world: PacedWorld, key: TaskKey) -> Runner | None:
    places = (each for each in world.runners.values() if each.alive and key in each.tasks)
    return next(places, None)


# Guards against an accepted job that could run and does not, most of the room being free: a filler
# of which two runs had ended with their runners, where all serving tasks are over their targets.
def test_a_filler_that_lost_two_runners_starts_beside_tasks_over_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def pace(port: Any, order: Pace, done: Callable[[Answered], None]) -> None:
        port._send(order, lambda there: Answered(there.pace(order), there.clock_ms), done)

    monkeypatch.setattr(RunnerPort, "pace", pace)
    world = PacedWorld(ratio=1.1, weight=0.0, believed=None)
    key = TaskKey(JobId("f"), 0, 0, 0)
    step = msgspec.structs.replace(FILLER, estimate_ms=5000)
    world.submit("entry-0", "f", step, work_s=5.0, max_attempts=9)
    for _ in range(2):
        world.run_until(lambda: _at_work(world, key) is not None, 10.0)
        world.run(1.0)
        lost = _at_work(world, key)
        assert lost is not None
        world.crash(lost, RESTART_S)
    waited_s = world.run_until(lambda: _at_work(world, key) is not None, 30.0)
    assert waited_s <= RESTART_S + RESTART_DELAYS_S[1] + MAX_HOLD_S
    assert world.violations == []
