"""Select the idle runners to poll, so that a leader has enough of them ready for new work.

Only a runner that has answered lately gets new work. In a large fleet the leader keeps as many idle
runners ready as its budget allows. The others, on which nothing runs, are polled only while work
waits that found no place.
"""

from itertools import islice

from spoolcrank.poll_budget import IDLE_POLL_INTERVAL_S
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Step

WAITING_WORK_FACTOR = 3
"""Multiple of the usual number of ready runners while work waits that found no place."""

FIRST_LISTING_S = 3.0
"""Time after a takeover within which its leader has read the list of runners, in seconds."""

MAX_WAITING_STEPS = 8
"""Maximum number of waiting steps whose needs decide which runners are polled first."""


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


def limit_first_polls(
    state: Scheduler, selected: list[RunnerState], now: float
) -> list[RunnerState]:
    """Return which of the runners selected for a first poll to poll, within the leader's budget.

    Runners on which nothing is known to run and that a new leader found in the list have no hurry.
    Those listed since may replace crashed ones, which only their answer proves.
    """
    unhurried = [runner for runner in selected if _may_wait_for_first_poll(state, runner)]
    factor = WAITING_WORK_FACTOR if waiting_steps(state) else 1
    taken = state.polls.take_first_polls(len(unhurried), factor, now)
    postponed = {runner.id for runner in unhurried[taken:]}
    return [runner for runner in selected if runner.id not in postponed]


def _may_wait_for_first_poll(state: Scheduler, runner: RunnerState) -> bool:
    return (
        not runner.runs
        and runner.rank == 0
        and runner.first_seen_at - state.began_at <= FIRST_LISTING_S
        and not state.crash_history.unconfirmed
    )


def postponed_polls(state: Scheduler, due: list[RunnerState], now: float) -> list[RunnerState]:
    """Return which of the idle runners that are due are not polled, as enough others are ready.

    Usually those polled last stay ready. While work waits that found no place, runners that could
    take it come first, then those polled longest ago, so that each has its turn.
    """
    wanted = waiting_steps(state)
    limit = state.polls.max_ready * (WAITING_WORK_FACTOR if wanted else 1)
    if len(state.runners) <= limit:
        return []
    ready = sum(
        1
        for runner in state.runners.values()
        if now - runner.polled_at < IDLE_POLL_INTERVAL_S and is_idle(state, runner)
    )
    room = int(limit) - ready
    if room <= 0:
        return due
    if wanted:
        due.sort(key=lambda runner: (not could_take(runner, wanted), runner.polled_at))
    else:
        due.sort(key=lambda runner: -runner.polled_at)
    return due[room:]


def waiting_steps(state: Scheduler) -> list[Step]:
    """Return some of the waiting steps that found no place in the last pass."""
    if not state.ready:
        return []
    waiting = (key for key in state.last_pass.tried if key.job in state.ready)
    steps = []
    for key in islice(waiting, MAX_WAITING_STEPS):
        round_state = state.jobs[key.job].rounds.get(key.round)
        if round_state is not None:
            steps.append(round_state.steps[key.step].spec)
    return steps


def could_take(runner: RunnerState, steps: list[Step]) -> bool:
    """Return whether a runner has the capacity and the label that one of the steps needs."""
    return any(
        runner.fits(step.demand) and (not step.label or step.label in runner.entry.labels)
        for step in steps
    )
