"""Say which runners to ask now what runs there and what has ended."""

from spoolcrank.orders import Poll
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler

POLL_WAIT_MS = 1000
"""A poll at a busy runner waits so long for an end, ms; a fifth of the lease."""

IDLE_POLL_S = 1.5
"""Between polls at a runner without runs, s; below the time after which it counts as stale."""

MOST_ADOPTING = 32
"""Runners that a new leader asks for the first time at once; their answers to one of half a core
would hold up its own sign of life."""

FENCE_AGAIN_S = 0.1
"""Between the first polls at a runner that started again, s; many usual answers."""

FENCE_SOON_S = 2.0
"""For how long it is asked so often, s; it may be down again, or its entry may be early."""

SILENT_POLL_S = 0.4
"""Between polls at a runner that does not answer, s."""

UNHEARD_S = 10.0
"""A runner that holds nothing and never answered this leader is asked seldom after so long, s:
more than a zone is cut off for, and than a run of an earlier leader may live unseen (9.5 s)."""

UNHEARD_POLL_S = 2.0
"""Between polls at it, s; each is paid for, and opens a channel."""


def polls_due(state: Scheduler, now: float, may_extend: bool) -> list[Poll]:
    """Return the polls to send now, one at a time for each runner."""
    polls = []
    adopting = sum(1 for one in state.runners.values() if one.polling and not one.adopted)
    for runner in state.runners.values():
        if not runner.adopted and adopting >= MOST_ADOPTING:
            continue
        if runner.gone or not runner.entry.address:
            continue
        if runner.polling and not _fence_is_urgent(runner, now):
            continue
        if not _poll_is_due(runner, now):
            continue
        adopting += 0 if runner.adopted else 1
        polls.append(_poll(state, runner, now, may_extend))
    return polls


def _fence_is_urgent(runner: RunnerState, now: float) -> bool:
    """Tell whether to ask at once a runner that started again and has not told that it is fenced.

    Until then it carries out orders that were meant for it before.
    """
    restarted = runner.rank > 0 and not runner.adopted and now - runner.met_at <= FENCE_SOON_S
    return restarted and now - runner.polled_at >= FENCE_AGAIN_S


def _poll_is_due(runner: RunnerState, now: float) -> bool:
    since = now - runner.polled_at
    if _fence_is_urgent(runner, now):
        return True
    if runner.seen_next > runner.seen:
        # Its ends wait to be kept and come again at once; the lease has to go on meanwhile.
        return since >= IDLE_POLL_S
    if runner.silent_since is not None:
        # An entry of another writer may name an address where nobody is, for good.
        unheard = runner.answered_at < 0 and not runner.runs
        seldom = unheard and now - runner.silent_since >= UNHEARD_S
        return since >= (UNHEARD_POLL_S if seldom else SILENT_POLL_S)
    if not runner.adopted:
        return True
    if runner.runs:
        return True
    return runner.listed and since >= IDLE_POLL_S


def _poll(state: Scheduler, runner: RunnerState, now: float, may_extend: bool) -> Poll:
    runner.polling = True
    runner.polled_at = now
    until_ms = None
    if runner.adopted and runner.runs and may_extend:
        until_ms = runner.grant(now)
    calm = runner.adopted and runner.silent_since is None and runner.runs
    return Poll(state.target(runner), runner.seen, until_ms, POLL_WAIT_MS if calm else 0)
