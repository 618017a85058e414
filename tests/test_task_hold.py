"""What a waiting task is held by, as the leader logs it and as `spoolcrank why` shows it.

Without these lines nobody could tell of a job that waited beside free capacity what it waited for.
"""

from collections.abc import Callable

import pytest

from spoolcrank.hold_words import REASONS, RUNNERS
from spoolcrank.idle_capacity import MAX_IDLE_WAIT_S
from spoolcrank.ids import AvailabilityZone, JobId
from spoolcrank.leadership_monitor import (
    LeadershipMonitor,
    PlacingBlock,
    log_placing_block,
)
from spoolcrank.openings import Shortage, scope_of, size_of
from spoolcrank.runner_hold import RunnerHold, runner_hold
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.task_hold import HoldReason, hold_of
from spoolcrank.workflow import Step, TaskKey
from tests.hold_setups import (
    GANG,
    JOB,
    KEY,
    bound_hold,
    capacity_hold,
    claimed_hold,
    earlier_step_hold,
    first_runner,
    gang_members_hold,
    harm_hold,
    held_state,
    isolation_hold,
    label_hold,
    move_hold,
    no_runner_hold,
    not_asked_hold,
    not_in_ready_list_hold,
    over_target_hold,
    own_runner_settles_hold,
    places_nothing_hold,
    processors_hold,
    reserve_hold,
    retry_delay_hold,
    run_unknown_hold,
    short_of_room_hold,
    spread_hold,
    start_waits_for_window_hold,
    start_window_hold,
    tried_hold,
    unknown_run_hold,
    unordered_hold,
)
from tests.packed_runners import NOW, SERVICE, SHORT, runner

CASES: list[tuple[HoldReason, Callable[[], Scheduler]]] = [
    (HoldReason.NOT_IN_READY_LIST, not_in_ready_list_hold),
    (HoldReason.PLACES_NOTHING, places_nothing_hold),
    (HoldReason.RETRY_DELAY, retry_delay_hold),
    (HoldReason.UNKNOWN_RUN, unknown_run_hold),
    (HoldReason.GANG_MEMBERS, gang_members_hold),
    (HoldReason.GANG, lambda: held_state(GANG)),
    (HoldReason.ISOLATION, isolation_hold),
    (HoldReason.ISOLATION, own_runner_settles_hold),
    (HoldReason.MOVE, move_hold),
    (HoldReason.NO_RUNNER, no_runner_hold),
    (HoldReason.NOT_ASKED, not_asked_hold),
    (HoldReason.LABEL, label_hold),
    (HoldReason.SPREAD, spread_hold),
    (HoldReason.CAPACITY, capacity_hold),
    (HoldReason.RESERVE, reserve_hold),
    (HoldReason.PROCESSORS, processors_hold),
    (HoldReason.OVER_TARGET, over_target_hold),
    (HoldReason.HARM, harm_hold),
    (HoldReason.START_WINDOW, start_window_hold),
    (HoldReason.START_WINDOW, start_waits_for_window_hold),
    (HoldReason.SHORTAGE, lambda: short_of_room_hold(SHORT)),
    (HoldReason.SHORTAGE, lambda: short_of_room_hold(GANG)),
    (HoldReason.CLAIMED, claimed_hold),
    (HoldReason.TRIED, tried_hold),
    (HoldReason.PLACEABLE, held_state),
    (HoldReason.RUN_UNKNOWN, run_unknown_hold),
    (HoldReason.RECORD_PENDING, lambda: bound_hold(RunStage.RECORDED)),
    (HoldReason.UNORDERED_RUN, unordered_hold),
    (HoldReason.START_UNANSWERED, lambda: bound_hold(RunStage.ORDERED)),
    (HoldReason.START_UNCONFIRMED, lambda: bound_hold(RunStage.UNCONFIRMED)),
    (HoldReason.STOP_UNFINISHED, lambda: bound_hold(RunStage.STOPPING)),
]


@pytest.mark.parametrize(("reason", "setup"), CASES, ids=lambda value: getattr(value, "value", ""))
def test_a_task_names_what_holds_it(reason: HoldReason, setup: Callable[[], Scheduler]) -> None:
    hold = hold_of(setup(), KEY, NOW)
    assert hold is not None and hold.reason is reason


def test_a_miss_of_a_larger_step_names_no_shortage() -> None:
    """Such a step is tried, so that something else holds it."""
    state = held_state()
    larger = size_of(SHORT)._replace(millicores=SHORT.millicores + 1)
    state.last_pass.shortages[scope_of(SERVICE, SHORT)] = Shortage(larger)
    hold = hold_of(state, KEY, NOW)
    assert hold is not None and hold.reason is HoldReason.PLACEABLE


def test_a_job_beside_idle_capacity_is_not_said_to_wait_for_what_it_may_take() -> None:
    """After 2 s it may use quarantined runners and the reserve, which then do not hold it."""
    lasting = Step(count=1, millicores=9000, memory_mb=100, lasting=True)
    quarantined, reserved = held_state(), held_state(lasting)
    first_runner(quarantined).quarantine(NOW)
    first_runner(reserved).used_millicores = 15_000
    reserved.reserve = 9000
    reasons = []
    for waited_s in (MAX_IDLE_WAIT_S - 0.1, MAX_IDLE_WAIT_S):
        for state in (quarantined, reserved):
            state.jobs[JOB].started_at = NOW - waited_s
            hold = hold_of(state, KEY, NOW)
            assert hold is not None
            reasons.append(hold.reason)
    before = [HoldReason.NO_RUNNER, HoldReason.RESERVE]
    assert reasons == [*before, HoldReason.PLACEABLE, HoldReason.PLACEABLE]


def test_every_reason_has_a_case_and_words() -> None:
    """A reason that is added without words would be shown as its bare name."""
    assert set(REASONS) == set(HoldReason)
    assert set(RUNNERS) == set(RunnerHold)
    assert {reason for reason, _ in CASES} | {HoldReason.EARLIER_STEP} == set(HoldReason)


def test_a_later_step_waits_for_the_earlier_one() -> None:
    hold = hold_of(earlier_step_hold(), TaskKey(JobId("ef"), 0, 1, 0), NOW)
    assert hold is not None and hold.reason is HoldReason.EARLIER_STEP


def test_a_running_or_ended_task_is_not_held() -> None:
    state = bound_hold(RunStage.RUNNING)
    assert hold_of(state, KEY, NOW) is None
    state.cancel(JOB, NOW)
    assert hold_of(state, KEY, NOW) is None


def test_times_and_runners_are_named() -> None:
    delayed, own = (
        hold_of(retry_delay_hold(), KEY, NOW),
        hold_of(own_runner_settles_hold(), KEY, NOW),
    )
    assert delayed is not None and delayed.left_s == pytest.approx(0.7)
    assert own is not None and own.left_s == pytest.approx(1.0) and own.runner == "r0"
    nowhere = hold_of(no_runner_hold(), KEY, NOW)
    assert nowhere is not None
    assert nowhere.runners == {"silent": 1, "leaving": 1, "old-answer": 1}


@pytest.mark.parametrize(
    ("hold", "field", "value"),
    [
        (RunnerHold.GONE, "gone", True),
        (RunnerHold.UNLISTED, "listed", False),
        (RunnerHold.LEAVING, "leaving_from", NOW),
        (RunnerHold.EVACUATED, "evacuated", True),
        (RunnerHold.NOT_TAKEN_OVER, "adopted", False),
        (RunnerHold.SILENT, "silent_since", NOW),
        (RunnerHold.OLD_ANSWER, "answered_at", NOW - 3.0),
        (RunnerHold.ISOLATED, "isolated_for", KEY),
        (RunnerHold.QUARANTINED, "quarantined_until", NOW + 1.0),
    ],
)
def test_a_runner_names_why_it_takes_no_work(hold: RunnerHold, field: str, value: object) -> None:
    held = runner("r0")
    assert runner_hold(held, frozenset(), NOW) is None
    assert runner_hold(held, frozenset({AvailabilityZone("a")}), NOW) is RunnerHold.SILENT_ZONE
    setattr(held, field, value)
    assert runner_hold(held, frozenset(), NOW) is hold


def test_a_leader_that_places_nothing_for_a_moment_is_no_reason() -> None:
    """The list of runners is read each 0.7 s in a quiet store, and is too old in between."""
    state = held_state()
    log_placing_block(LeadershipMonitor(NOW), state, PlacingBlock.OLD_LIST, 1.3, NOW)
    hold = hold_of(state, KEY, NOW)
    assert hold is not None and hold.reason is HoldReason.PLACEABLE
