"""Select the idle runners to poll, so that a leader has enough of them ready for new work.

Only a runner that has answered lately gets new work. In a large fleet the leader keeps as many idle
runners ready as its budget allows. The others, on which nothing runs, are polled only while work
waits that found no place.
"""

from collections.abc import Callable

from spoolcrank.poll_budget import IDLE_POLL_INTERVAL_S
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.waiting_needs import NeedsInTurn, choose_by_turns, end_turns, needs_in_turn

WAITING_WORK_FACTOR = 3
"""Multiple of the usual number of ready runners while work waits that found no place."""

FIRST_LISTING_S = 3.0
"""Time after a takeover within which its leader has read the list of runners, in seconds."""


def is_idle(state: Scheduler, runner: RunnerState) -> bool:
    """Return whether a runner answers, nothing runs there, and nothing else is to be asked."""
    return (
        not runner.runs
        and runner.adopted
        and runner.polled_at >= 0.0
        and runner.silent_since is None
        and not runner.lists_ends
        and runner.id not in state.unknown_runs
    )


def _factor(state: Scheduler, waiting: NeedsInTurn) -> float:
    """Return by how much the polls of runners without runs differ from the usual number."""
    if state.placing_blocked or not waiting.needs:
        return state.polls.share
    return state.polls.share * WAITING_WORK_FACTOR


def limit_first_polls(
    state: Scheduler,
    first: list[RunnerState],
    awaiting_first_answer: list[RunnerState],
    order: Callable[[RunnerState], tuple[float, ...]],
    now: float,
) -> list[RunnerState]:
    """Return which runners to poll for the first time, within the leader's budget.

    Runners on which nothing is known to run and that a new leader found in the list have no hurry.
    Those listed since may replace crashed ones, which only their answer proves. Of runners that are
    equal in the order of first polls, those that could take waiting work come first.
    """
    hurried = [runner for runner in first if not may_wait_for_first_poll(state, runner)]
    unhurried = [runner for runner in first if may_wait_for_first_poll(state, runner)]
    if not unhurried:
        return hurried
    waiting = needs_in_turn(state, state.polls.first_turns)
    taken = state.polls.first.take(len(unhurried), now, _factor(state, waiting))
    if not taken:
        return hurried
    last = order(unhurried[taken - 1])
    equal = [runner for runner in awaiting_first_answer if order(runner) == last]
    before = [runner for runner in unhurried[:taken] if order(runner) != last]
    limit = taken - len(before)
    chosen = choose_by_turns(equal, waiting.needs, limit)
    end_turns(state.polls.first_turns, waiting, len(chosen), limit)
    others = [runner for runner in unhurried[len(before) :] if runner.id not in chosen]
    return [*hurried, *before, *chosen.values(), *others[: limit - len(chosen)]]


def is_idle_from_takeover(state: Scheduler, runner: RunnerState) -> bool:
    """Return whether a new leader found a runner in the list on which nothing is known to run."""
    return (
        not runner.runs
        and runner.rank == 0
        and runner.first_seen_at - state.began_at <= FIRST_LISTING_S
    )


def may_wait_for_first_poll(state: Scheduler, runner: RunnerState) -> bool:
    """Return whether the leader's budget for first polls applies to a runner."""
    return is_idle_from_takeover(state, runner) and not state.crash_history.unconfirmed


def postponed_polls(state: Scheduler, due: list[RunnerState], now: float) -> list[RunnerState]:
    """Return which of the idle runners that are due are not polled, as enough others are ready.

    Usually those polled last stay ready. While work waits, each of its needs in turn gets a runner
    that could take it; what is left of the budget goes to those polled longest ago.
    """
    if len(state.runners) <= state.polls.max_ready:
        return []
    waiting = needs_in_turn(state, state.polls.idle_turns)
    if not waiting.needs:
        end_turns(state.polls.idle_turns, waiting, 0, 0)
    limit = int(state.polls.max_ready * _factor(state, waiting))
    if len(state.runners) <= limit:
        return []
    ready = sum(
        1
        for runner in state.runners.values()
        if now - runner.polled_at < IDLE_POLL_INTERVAL_S and is_idle(state, runner)
    )
    room = max(0, limit - ready)
    if waiting.needs:
        room = max(room, state.polls.in_turn.take(len(due), now, state.polls.share))
    if not room:
        return due
    if not waiting.needs:
        return sorted(due, key=lambda runner: -runner.polled_at)[room:]
    longest_ago_first = sorted(due, key=lambda runner: runner.polled_at)
    chosen = choose_by_turns(longest_ago_first, waiting.needs, room)
    end_turns(state.polls.idle_turns, waiting, len(chosen), room)
    others = [runner for runner in longest_ago_first if runner.id not in chosen]
    return others[room - len(chosen) :]
