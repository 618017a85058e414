"""What a waiting task is held by, as the leader logs it and as `spoolcrank why` shows it.

Without these lines nobody could tell of a job that waited beside free capacity what it waited for.
"""

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from typer.testing import CliRunner

from spoolcrank.binding import bind, move
from spoolcrank.cli import app
from spoolcrank.hold_log import (
    HOLD_CHECK_INTERVAL_S,
    HOLD_REPEAT_S,
    MAX_HOLD_LINES,
    MIN_HELD_S,
    log_holds_periodically,
)
from spoolcrank.hold_words import REASONS, RUNNERS, describe_wait
from spoolcrank.idle_capacity import MAX_IDLE_WAIT_S
from spoolcrank.ids import AvailabilityZone, JobId
from spoolcrank.leadership_monitor import (
    BLOCK_LOG_DELAY_S,
    LeadershipMonitor,
    PlacingBlock,
    log_placing_block,
)
from spoolcrank.log_event_groups import LogEventGroups
from spoolcrank.objective import Prospect
from spoolcrank.openings import Shortage, scope_of, size_of
from spoolcrank.pending_writes import BoundRun
from spoolcrank.runner_hold import RunnerHold, runner_hold
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.task_hold import HoldReason, hold_of
from spoolcrank.telemetry import ATOMIC_BYTES
from spoolcrank.workflow import CrashEvidence, Phase, RunnerId, Step, TaskKey
from tests.fleet_world import small_world
from tests.packed_runners import NOISY, NOW, SERVICE, SERVING, SHORT, leader, put, runner
from tests.test_room_beside_waits import add_job

JOB = JobId("cd")
KEY = TaskKey(JOB, 0, 0, 0)
GANG = Step(count=2, millicores=20_000, memory_mb=100, gang=True)
LASTING = Step(count=1, millicores=3000, memory_mb=100, lasting=True)
CRASHES = (CrashEvidence("gone-1"), CrashEvidence("gone-2"))


def _state(step: Step = SHORT, runners: int = 1) -> Scheduler:
    state = leader(*(runner(f"r{number}") for number in range(runners)))
    add_job(state, JOB, step, 0)
    return state


def _first(state: Scheduler) -> RunnerState:
    return next(iter(state.runners.values()))


def _bound(stage: RunStage) -> Scheduler:
    state = _state()
    bind(state, state.jobs[JOB], KEY, 1, _first(state), NOW)
    _first(state).runs[KEY].stage = stage
    return state


def _earlier_step() -> Scheduler:
    state = _state()
    add_job(state, "ef", SHORT, 1, later=SHORT)
    return state


def _not_in_ready_list() -> Scheduler:
    state = _state()
    del state.ready[JOB]
    return state


def _places_nothing() -> Scheduler:
    state = _state()
    monitor = LeadershipMonitor(NOW)
    for at in (NOW - BLOCK_LOG_DELAY_S, NOW):
        log_placing_block(monitor, state, PlacingBlock.OLD_LIST, 2.0, at)
    return state


def _retry_delay() -> Scheduler:
    state = _state()
    state.jobs[JOB].task(KEY).not_before = NOW + 0.7
    return state


def _gang_members() -> Scheduler:
    state = _state(GANG)
    step = state.jobs[JOB].rounds[0].steps[0]
    step.tasks[1].phase = Phase.BOUND
    del step.waiting[1]
    return state


def _isolation() -> Scheduler:
    state = _state()
    state.jobs[JOB].task(KEY).crashes = CRASHES
    return state


def _own_runner_settles() -> Scheduler:
    state = _isolation()
    _first(state).isolated_for, _first(state).isolated_since = KEY, NOW - 0.5
    return state


def _move() -> Scheduler:
    state = _state(SERVING, runners=2)
    bind(state, state.jobs[JOB], KEY, 1, _first(state), NOW)
    move(state, KEY, RunnerId("r0"), RunnerId("r1"), NOW)
    return state


def _no_runner() -> Scheduler:
    state = _state(runners=3)
    silent, leaving, old = state.runners.values()
    silent.silent_since = NOW - 1.0
    leaving.leaving_from = NOW - 1.0
    old.answered_at = NOW - 5.0
    return state


def _label() -> Scheduler:
    return _state(Step(count=1, millicores=1000, memory_mb=10, label="gpu"))


def _spread() -> Scheduler:
    state = _state(Step(count=2, millicores=1000, memory_mb=10, max_per_instance=1))
    bind(state, state.jobs[JOB], KEY._replace(number=1), 1, _first(state), NOW)
    return state


def _capacity() -> Scheduler:
    return _state(Step(count=1, millicores=1000, memory_mb=70_000))


def _reserve() -> Scheduler:
    state = _state(LASTING)
    _first(state).used_millicores = 28_000
    state.reserve = 5000
    return state


def _processors() -> Scheduler:
    state = _state(NOISY)
    for number in range(8):
        put(_first(state), NOISY, number)
    return state


def _over_target() -> Scheduler:
    state = _state(NOISY)
    serving = put(_first(state), SERVING, tail_ms=120.0)
    _first(state).runs[serving].over_target_since = NOW - 1.0
    return state


def _harm() -> Scheduler:
    state = _state(NOISY)
    put(_first(state), SERVING, tail_ms=40.0)
    return state


def _start_window() -> Scheduler:
    state = _state()
    state.starts.held_back = True
    return state


def _start_waits_for_window() -> Scheduler:
    state = _bound(RunStage.RECORDED)
    state.pending_writes.starts.clear()
    state.starts.waiting.append(BoundRun(RunnerId("r0"), KEY, 1))
    return state


def _short_of_room(step: Step) -> Scheduler:
    """Return a state in which another step of the same scope and size found no runner."""
    state = _state(step)
    state.last_pass.shortages[scope_of(SERVICE, step)] = Shortage(size_of(step))
    return state


def _claimed() -> Scheduler:
    state = _state(NOISY)
    state.last_pass.claimed[SERVICE, "noisy"] = Prospect.BEGUN
    return state


def _tried() -> Scheduler:
    state = _state()
    state.placing.tried[KEY.step_key] = NOW
    return state


def _run_unknown() -> Scheduler:
    state = _bound(RunStage.RUNNING)
    _first(state).runs.clear()
    return state


def _unordered() -> Scheduler:
    state = _bound(RunStage.RECORDED)
    state.pending_writes.starts.clear()
    return state


CASES: list[tuple[HoldReason, Callable[[], Scheduler]]] = [
    (HoldReason.NOT_IN_READY_LIST, _not_in_ready_list),
    (HoldReason.PLACES_NOTHING, _places_nothing),
    (HoldReason.RETRY_DELAY, _retry_delay),
    (HoldReason.GANG_MEMBERS, _gang_members),
    (HoldReason.GANG, lambda: _state(GANG)),
    (HoldReason.ISOLATION, _isolation),
    (HoldReason.ISOLATION, _own_runner_settles),
    (HoldReason.MOVE, _move),
    (HoldReason.NO_RUNNER, _no_runner),
    (HoldReason.LABEL, _label),
    (HoldReason.SPREAD, _spread),
    (HoldReason.CAPACITY, _capacity),
    (HoldReason.RESERVE, _reserve),
    (HoldReason.PROCESSORS, _processors),
    (HoldReason.OVER_TARGET, _over_target),
    (HoldReason.HARM, _harm),
    (HoldReason.START_WINDOW, _start_window),
    (HoldReason.START_WINDOW, _start_waits_for_window),
    (HoldReason.SHORTAGE, lambda: _short_of_room(SHORT)),
    (HoldReason.SHORTAGE, lambda: _short_of_room(GANG)),
    (HoldReason.CLAIMED, _claimed),
    (HoldReason.TRIED, _tried),
    (HoldReason.PLACEABLE, _state),
    (HoldReason.RUN_UNKNOWN, _run_unknown),
    (HoldReason.RECORD_PENDING, lambda: _bound(RunStage.RECORDED)),
    (HoldReason.UNORDERED_RUN, _unordered),
    (HoldReason.START_UNANSWERED, lambda: _bound(RunStage.ORDERED)),
    (HoldReason.START_UNCONFIRMED, lambda: _bound(RunStage.UNCONFIRMED)),
    (HoldReason.STOP_UNFINISHED, lambda: _bound(RunStage.STOPPING)),
]


@pytest.mark.parametrize(("reason", "setup"), CASES, ids=lambda value: getattr(value, "value", ""))
def test_a_task_names_what_holds_it(reason: HoldReason, setup: Callable[[], Scheduler]) -> None:
    hold = hold_of(setup(), KEY, NOW)
    assert hold is not None and hold.reason is reason


def test_a_miss_of_a_larger_step_names_no_shortage() -> None:
    """Such a step is tried, so that something else holds it."""
    state = _state()
    larger = size_of(SHORT)._replace(millicores=SHORT.millicores + 1)
    state.last_pass.shortages[scope_of(SERVICE, SHORT)] = Shortage(larger)
    hold = hold_of(state, KEY, NOW)
    assert hold is not None and hold.reason is HoldReason.PLACEABLE


def test_a_job_beside_idle_capacity_is_not_said_to_wait_for_what_it_may_take() -> None:
    """After 2 s it may use quarantined runners and the reserve, which then do not hold it."""
    lasting = Step(count=1, millicores=9000, memory_mb=100, lasting=True)
    quarantined, reserved = _state(), _state(lasting)
    _first(quarantined).quarantine(NOW)
    _first(reserved).used_millicores = 15_000
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
    hold = hold_of(_earlier_step(), TaskKey(JobId("ef"), 0, 1, 0), NOW)
    assert hold is not None and hold.reason is HoldReason.EARLIER_STEP


def test_a_running_or_ended_task_is_not_held() -> None:
    state = _bound(RunStage.RUNNING)
    assert hold_of(state, KEY, NOW) is None
    state.cancel(JOB, NOW)
    assert hold_of(state, KEY, NOW) is None


def test_times_and_runners_are_named() -> None:
    delayed, own = hold_of(_retry_delay(), KEY, NOW), hold_of(_own_runner_settles(), KEY, NOW)
    assert delayed is not None and delayed.left_s == pytest.approx(0.7)
    assert own is not None and own.left_s == pytest.approx(1.0) and own.runner == "r0"
    nowhere = hold_of(_no_runner(), KEY, NOW)
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
    state = _state()
    log_placing_block(LeadershipMonitor(NOW), state, PlacingBlock.OLD_LIST, 1.3, NOW)
    hold = hold_of(state, KEY, NOW)
    assert hold is not None and hold.reason is HoldReason.PLACEABLE


# Log lines


def _waits(state: Scheduler) -> list[dict[str, object]]:
    events, state.log_events = state.log_events, []
    return [event.fields for event in events if event.name == "task-waits"]


def test_a_job_that_waits_beside_free_capacity_is_logged_and_counted() -> None:
    state = _capacity()
    log_holds_periodically(state, NOW + MIN_HELD_S - 0.1)
    assert _waits(state) == [] and state.hold_watch.held == 0
    log_holds_periodically(state, NOW + MIN_HELD_S + HOLD_CHECK_INTERVAL_S)
    assert state.hold_watch.held == 1
    assert _waits(state) == [
        {
            "task": KEY,
            "service": SERVICE,
            "waited_s": MIN_HELD_S + HOLD_CHECK_INTERVAL_S,
            "obstacle": "no-runner-in-pool",
            "left_s": None,
            "runner": "",
            "free_share": 1.0,
            "pool": 0,
            "listed": 1,
            "runners": {"old-answer": 1},
        }
    ]


def _ended() -> Scheduler:
    state = _capacity()
    state.cancel(JOB, NOW)
    return state


def _full() -> Scheduler:
    state = _capacity()
    _first(state).used_millicores = 20_000
    return state


@pytest.mark.parametrize("setup", [lambda: _bound(RunStage.RUNNING), _ended, _full])
def test_jobs_that_run_or_ended_or_wait_beside_a_full_service_are_not_held(
    setup: Callable[[], Scheduler],
) -> None:
    """Under overload most jobs wait, and their lines would hide all others."""
    state = setup()
    log_holds_periodically(state, NOW + MIN_HELD_S)
    assert _waits(state) == [] and state.hold_watch.held == 0


def test_a_job_without_a_task_to_place_is_logged_too() -> None:
    """A run that nobody orders or settles holds its job, which is then not in the ready list."""
    state = _unordered()
    state.ready.clear()
    log_holds_periodically(state, NOW + MIN_HELD_S)
    assert [fields["obstacle"] for fields in _waits(state)] == ["unordered-run"]


def test_lines_are_limited_for_each_check_and_each_job() -> None:
    state = _capacity()
    for number in range(50):
        add_job(state, f"{number:04x}", SHORT, number + 1)
    counts = []
    jobs: list[tuple[float, object]] = []
    for tick in range(100):
        now = NOW + MIN_HELD_S + tick * 0.1
        log_holds_periodically(state, now)
        lines = _waits(state)
        counts.append(len(lines))
        for fields in lines:
            task = fields["task"]
            assert isinstance(task, TaskKey)
            earlier = [at for at, job in jobs if job == task.job]
            assert all(now - at >= HOLD_REPEAT_S for at in earlier)
            jobs.append((now, task.job))
    assert state.hold_watch.held == 51
    assert 0 < sum(counts) <= 10 * MAX_HOLD_LINES
    assert max(counts) <= MAX_HOLD_LINES


def test_a_wait_ends_when_a_run_ends() -> None:
    """The time since the last run counts, not the time since the job was accepted."""
    state = _bound(RunStage.RUNNING)
    state.release(KEY, _first(state), "not listed any more", NOW + 5.0)
    log_holds_periodically(state, NOW + 5.0 + MIN_HELD_S / 2)
    assert _waits(state) == []
    log_holds_periodically(state, NOW + 5.0 + MIN_HELD_S)
    assert [fields["waited_s"] for fields in _waits(state)] == [MIN_HELD_S]


def test_a_run_counts_as_running_until_its_stop_is_ordered() -> None:
    """A task that ran for long and is being moved is not one that has waited for long."""
    state = _bound(RunStage.RUNNING)
    state.stop_run(KEY, RunnerId("r0"), NOW + 5.0)
    log_holds_periodically(state, NOW + 5.0 + MIN_HELD_S)
    assert [fields["waited_s"] for fields in _waits(state)] == [MIN_HELD_S]


# `spoolcrank why`


def test_why_shows_the_wait_in_plain_words(tmp_path: Path) -> None:
    state = _no_runner()
    log_holds_periodically(state, NOW + MIN_HELD_S)
    groups = LogEventGroups()
    groups.add_all(state.log_events, NOW)
    lines = [
        {"message_type": event.name, "timestamp": 7.0, "instance": "entry-1", **event.fields}
        for event in groups.pop_lines(NOW)
    ]
    texts = [json.dumps(line) for line in lines]
    assert all(len(text) < ATOMIC_BYTES for text in texts)
    log = tmp_path / "entry-1.log"
    log.write_text("\n".join(texts), encoding="utf-8")
    shown = CliRunner().invoke(app, ["why", JOB, "--logs", str(log)])
    assert shown.exit_code == 0
    assert shown.output == (
        "    0.000 entry-1 task=['cd', 0, 0, 0] waits since 2.0 s for a runner that takes work; "
        "pricing: 100 % free, 0 of 3 runners take work; 1 do not answer; 1 are leaving; "
        "1 have not answered lately\n"
    )


def test_words_name_the_time_left_and_the_runner_and_pass_unknown_values_on() -> None:
    """A line of a newer version may have reasons that this version does not know."""
    fields = {
        "task": ["cd", 0, 0, 0],
        "service": "pricing",
        "waited_s": 2.4,
        "obstacle": "isolation",
        "left_s": 0.5,
        "runner": "r0",
        "free_share": 0.75,
        "pool": 3,
        "listed": 4,
        "runners": {"harm": 2, "isolated": 1},
    }
    assert describe_wait(fields) == (
        "task=['cd', 0, 0, 0] waits since 2.4 s for a runner of its own, as it may crash runners "
        "(r0), for at most 0.5 s more; pricing: 75 % free, 3 of 4 runners take work; "
        "2 cannot take it: harm; 1 are kept for a suspect"
    )
    assert "for newer-reason" in describe_wait({**fields, "obstacle": "newer-reason"})


def test_a_leader_logs_waits_in_its_periodic_work() -> None:
    world = small_world(instances=1, runners=2)
    instance = next(iter(world.instances.values()))
    instance.submit("cd", Step(count=1, millicores=64_000, memory_mb=10))
    world.run(2.0 * MIN_HELD_S)
    waits = [fields for name, fields in instance.logged.lines if name == "task-waits"]
    assert [fields["obstacle"] for fields in waits] == ["capacity"]
    assert instance.dispatcher.scheduler is not None
    assert instance.dispatcher.scheduler.hold_watch.held == 1
