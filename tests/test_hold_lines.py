"""Test what is logged and explained of tasks that are held."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from typer.testing import CliRunner

from spoolcrank.cli import app
from spoolcrank.hold_log import (
    HOLD_CHECK_INTERVAL_S,
    HOLD_REPEAT_S,
    MAX_HOLD_LINES,
    MIN_HELD_S,
    log_holds_periodically,
)
from spoolcrank.hold_words import describe_wait
from spoolcrank.log_event_groups import LogEventGroups
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.telemetry import ATOMIC_BYTES
from spoolcrank.workflow import RunnerId, Step, TaskKey
from tests.fleet_world import small_world
from tests.hold_setups import (
    JOB,
    KEY,
    bound_hold,
    capacity_hold,
    first_runner,
    no_runner_hold,
    unordered_hold,
)
from tests.packed_runners import NOW, SERVICE, SHORT
from tests.test_room_beside_waits import add_job

# Log lines


def _waits(state: Scheduler) -> list[dict[str, object]]:
    events, state.log_events = state.log_events, []
    return [event.fields for event in events if event.name == "task-waits"]


def test_a_job_that_waits_beside_free_capacity_is_logged_and_counted() -> None:
    state = capacity_hold()
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
    state = capacity_hold()
    state.cancel(JOB, NOW)
    return state


def _full() -> Scheduler:
    state = capacity_hold()
    first_runner(state).used_millicores = 20_000
    return state


@pytest.mark.parametrize("setup", [lambda: bound_hold(RunStage.RUNNING), _ended, _full])
def test_jobs_that_run_or_ended_or_wait_beside_a_full_service_are_not_held(
    setup: Callable[[], Scheduler],
) -> None:
    """Under overload most jobs wait, and their lines would hide all others."""
    state = setup()
    log_holds_periodically(state, NOW + MIN_HELD_S)
    assert _waits(state) == [] and state.hold_watch.held == 0


def test_a_job_without_a_task_to_place_is_logged_too() -> None:
    """A run that nobody orders or settles holds its job, which is then not in the ready list."""
    state = unordered_hold()
    state.ready.clear()
    log_holds_periodically(state, NOW + MIN_HELD_S)
    assert [fields["obstacle"] for fields in _waits(state)] == ["unordered-run"]


def test_lines_are_limited_for_each_check_and_each_job() -> None:
    state = capacity_hold()
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


def test_each_of_many_held_jobs_gets_a_line() -> None:
    """Guards against jobs that wait and are named nowhere, as others have waited longer."""
    state = capacity_hold()
    names = {f"{number:04x}" for number in range(30)}
    for number, name in enumerate(sorted(names)):
        add_job(state, name, SHORT, number + 1)
    named: set[str] = set()
    for number in range(10):
        log_holds_periodically(state, NOW + MIN_HELD_S + number * HOLD_CHECK_INTERVAL_S)
        named |= {task.job for line in _waits(state) if isinstance(task := line["task"], TaskKey)}
    assert names <= named


def test_a_wait_ends_when_a_run_ends() -> None:
    """The time since the last run counts, not the time since the job was accepted."""
    state = bound_hold(RunStage.RUNNING)
    state.release(KEY, first_runner(state), "not listed any more", NOW + 5.0)
    log_holds_periodically(state, NOW + 5.0 + MIN_HELD_S / 2)
    assert _waits(state) == []
    log_holds_periodically(state, NOW + 5.0 + MIN_HELD_S)
    assert [fields["waited_s"] for fields in _waits(state)] == [MIN_HELD_S]


def test_a_run_counts_as_running_until_its_stop_is_ordered() -> None:
    """A task that ran for long and is being moved is not one that has waited for long."""
    state = bound_hold(RunStage.RUNNING)
    state.stop_run(KEY, RunnerId("r0"), NOW + 5.0)
    log_holds_periodically(state, NOW + 5.0 + MIN_HELD_S)
    assert [fields["waited_s"] for fields in _waits(state)] == [MIN_HELD_S]


# `spoolcrank why`


def test_why_shows_the_wait_in_plain_words(tmp_path: Path) -> None:
    state = no_runner_hold()
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
