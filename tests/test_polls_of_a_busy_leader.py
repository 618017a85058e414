"""Polls of runners without runs by a leader whose processor is too slow for all of them."""

from spoolcrank.dispatcher import TICK_S
from spoolcrank.idle_polls import WAITING_WORK_FACTOR, postponed_polls
from spoolcrank.leadership_monitor import LeadershipMonitor, log_progress
from spoolcrank.poll_budget import MIN_SHARE, PollBudget
from spoolcrank.scheduler import Scheduler
from tests.packed_runners import NOW, SHORT, leader, runner
from tests.test_room_beside_waits import add_job

READY = 40


def _fleet() -> Scheduler:
    """Return a leader with waiting work that keeps READY of ten times as many runners ready."""
    runners = [runner(f"r{number}") for number in range(10 * READY)]
    state = leader(*runners)
    state.polls = PollBudget(processors=READY / 375.0)
    for each in runners:
        each.polled_at = each.answered_at = NOW - 30.0
    add_job(state, "ab", SHORT, 1)
    return state


def _polled(state: Scheduler) -> int:
    idle = list(state.runners.values())
    return len(idle) - len(postponed_polls(state, idle, NOW))


def _tick(state: Scheduler, late_s: float, count: int) -> None:
    for number in range(count + 1):
        state.polls.record_tick(number * (TICK_S + late_s), TICK_S, len(state.runners))


def test_a_leader_in_time_polls_more_runners_while_work_waits() -> None:
    state = _fleet()
    _tick(state, 0.0, 20)
    assert _polled(state) == WAITING_WORK_FACTOR * READY


def test_a_leader_whose_ticks_come_late_polls_fewer_idle_runners() -> None:
    """Guards against polls for waiting work that keep the leader from placing it."""
    state = _fleet()
    _tick(state, 0.3, 20)
    assert _polled(state) <= WAITING_WORK_FACTOR * READY * MIN_SHARE + 1
    _tick(state, 0.0, 40)
    assert _polled(state) == WAITING_WORK_FACTOR * READY


def test_a_leader_that_can_place_nothing_polls_no_more_than_usual_for_waiting_work() -> None:
    """Guards against polls for work that cannot start before the list of runners is read again."""
    state = _fleet()
    state.placing_blocked = True
    assert _polled(state) == READY


def test_a_leader_logs_that_it_polls_fewer_runners_once_and_when_that_is_over() -> None:
    state, monitor = _fleet(), LeadershipMonitor(NOW)
    for late_s in (0.3, 0.3, 0.0):
        _tick(state, late_s, 20)
        log_progress(monitor, state, NOW)
    names = [event.name for event in state.log_events if event.name.startswith("polls")]
    assert names == ["polls-fewer", "polls-as-usual"]
