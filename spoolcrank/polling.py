"""Select the runners to poll now for their running and ended runs."""

from collections import Counter
from heapq import nsmallest
from typing import NamedTuple

from spoolcrank.idle_polls import (
    is_idle,
    is_idle_from_takeover,
    limit_first_polls,
    may_wait_for_first_poll,
    postponed_polls,
)
from spoolcrank.ids import AvailabilityZone
from spoolcrank.orders import Poll
from spoolcrank.poll_budget import IDLE_POLL_INTERVAL_S
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId

MAX_POLL_WAIT_MS = 1000
"""Maximum time for which a runner holds a poll until a run ends, in milliseconds; less than a
seventh of the lease (LEASE_MS)."""

UNGRANTED_POLL_INTERVAL_S = 1.0
"""Interval between polls at a runner with runs before a new leader may grant leases, in seconds.
The first lease must not wait for the end of such a poll, as the leases of the leader before may be
about to end."""

MAX_CONCURRENT_FIRST_POLLS = 32
"""Maximum number of runners whose first answer to a new leader may be in flight at once. More would
delay the heartbeat of a leader with half a core. The limit applies separately to silent runners."""

FIRST_POLL_SLOT_S = 0.15
"""Time after which an unanswered first poll no longer counts towards MAX_CONCURRENT_FIRST_POLLS, in
seconds; several round trips to another region. A partitioned runner answers nothing and would
otherwise count until the poll fails."""

FENCE_POLL_INTERVAL_S = 0.1
"""Interval between the first polls at a restarted runner, in seconds; many usual round trips."""

FENCE_POLL_PERIOD_S = 2.0
"""Time for which a restarted runner is polled every FENCE_POLL_INTERVAL_S, in seconds. After that
it may be down again, or its entry may have been written before it was up."""

MAX_RESTARTING_POLLS = 8
"""Maximum number of silent runners that are polled within one FENCE_POLL_INTERVAL_S because they
may be restarting. Each poll costs the leader a connection, and a whole zone may be silent."""

SILENT_POLL_INTERVAL_S = 0.4
"""Interval between polls at a runner that does not answer, in seconds."""

NEVER_ANSWERED_AFTER_S = 10.0
"""Time of silence after which a runner that has no runs and never answered this leader is polled
rarely, in seconds. It is longer than a zone stays partitioned, and than a run of an earlier leader
may live without being seen (9.5 s)."""

NEVER_ANSWERED_POLL_INTERVAL_S = 2.0
"""Interval between polls at a runner that never answered, in seconds. Each poll costs a request and
opens a channel."""


def polls_due(state: Scheduler, now: float, may_extend: bool) -> list[Poll]:
    """Return the polls to send now, at most one for each runner."""
    if not state.polls.may_check(len(state.runners), now):
        return []
    urgent = _select_restarting(state, now)
    pollable = [
        candidate
        for candidate in state.runners.values()
        if _may_be_polled(state, candidate, now) or (urgent and candidate.id in urgent)
    ]
    idle = [candidate for candidate in pollable if is_idle(state, candidate)]
    postponed = {runner.id for runner in postponed_polls(state, idle, now)} - urgent
    selected = [
        candidate for candidate in pollable if candidate.adopted and candidate.id not in postponed
    ]
    awaiting_first_answer = [candidate for candidate in pollable if not candidate.adopted]
    if awaiting_first_answer:
        selected += _select_first_polls(state, awaiting_first_answer, now)
    return [_poll(state, runner, now, may_extend) for runner in selected]


def _select_restarting(state: Scheduler, now: float) -> set[RunnerId]:
    """Return the silent runners to poll at once, because a late start may precede the next poll."""
    candidates = [
        runner
        for runner in state.runners.values()
        if (runner.silent_since is not None or not (runner.listed or runner.runs))
        and runner.entry.address
        and not runner.gone
        and state.late_starts.is_outstanding(runner.id, now)
    ]
    due = [runner for runner in candidates if now - runner.polled_at >= FENCE_POLL_INTERVAL_S]
    due.sort(key=lambda runner: runner.polled_at)
    free = MAX_RESTARTING_POLLS - (len(candidates) - len(due))
    return {runner.id for runner in due[: max(0, free)]}


def _may_be_polled(state: Scheduler, runner: RunnerState, now: float) -> bool:
    # Most runners of a large fleet are idle and not due, which is the quickest to see.
    if runner.polling and (not runner.rank or not _fence_is_urgent(runner, now)):
        return False
    if runner.gone or not runner.entry.address:
        return False
    return _poll_is_due(state, runner, now)


class _FirstPolls(NamedTuple):
    """First polls in progress.

    Attributes:
        unanswered: by zone, the number of polled runners that have not answered this leader yet.
        free: how many more runners may get a first poll.
        free_silent: the same for silent runners, so that the others never wait for them.
    """

    unanswered: Counter[AvailabilityZone]
    free: int
    free_silent: int


def _first_polls(state: Scheduler, now: float) -> _FirstPolls:
    """Return the first polls in progress."""
    unanswered: Counter[AvailabilityZone] = Counter()
    in_progress = silent_in_progress = 0
    for runner in state.runners.values():
        if runner.adopted or runner.polled_at < 0.0:
            continue
        silent = runner.silent_since is not None
        recent = now - runner.polled_at < FIRST_POLL_SLOT_S
        if silent or not recent:
            unanswered[runner.entry.availability_zone] += 1
        if recent and runner.polling:
            in_progress += not silent
            silent_in_progress += silent
    return _FirstPolls(
        unanswered,
        max(0, MAX_CONCURRENT_FIRST_POLLS - in_progress),
        max(0, MAX_CONCURRENT_FIRST_POLLS - silent_in_progress),
    )


def _select_first_polls(
    state: Scheduler, awaiting_first_answer: list[RunnerState], now: float
) -> list[RunnerState]:
    """Return the runners to poll for the first time.

    Runners on which something may run come first, and those that may wait for the leader's budget
    last, or the others would wait for it as well. Then runners in zones that answer come first,
    then those polled longest ago, then those that could take waiting work.
    """
    polls = _first_polls(state, now)

    def order(runner: RunnerState) -> tuple[bool, bool, int, float]:
        unanswered = polls.unanswered[runner.entry.availability_zone]
        may_wait = may_wait_for_first_poll(state, runner)
        return (not runner.runs, may_wait, unanswered, runner.polled_at)

    answering = [runner for runner in awaiting_first_answer if runner.silent_since is None]
    silent = [runner for runner in awaiting_first_answer if runner.silent_since is not None]
    first = nsmallest(polls.free, answering, key=order)
    # Also if the budget does not apply, idle ones must leave a late leader time to lead.
    idle = [runner for runner in first if is_idle_from_takeover(state, runner)]
    idle_limit = max(1, int(MAX_CONCURRENT_FIRST_POLLS * state.polls.share))
    postponed = {runner.id for runner in idle[idle_limit:]}
    first = [runner for runner in first if runner.id not in postponed]
    silent = nsmallest(polls.free_silent, silent, key=lambda runner: runner.polled_at)
    return limit_first_polls(state, first, answering, order, now) + silent


def _fence_is_urgent(runner: RunnerState, now: float) -> bool:
    """Return whether to poll at once a restarted runner that has not confirmed the leader's fence.

    Until it does, it carries out orders that were meant for its earlier incarnation.
    """
    restarted = (
        runner.rank > 0 and not runner.adopted and now - runner.first_seen_at <= FENCE_POLL_PERIOD_S
    )
    return restarted and now - runner.polled_at >= FENCE_POLL_INTERVAL_S


def _poll_is_due(state: Scheduler, runner: RunnerState, now: float) -> bool:
    since_poll_s = now - runner.polled_at
    if runner.rank and _fence_is_urgent(runner, now):
        return True
    if runner.last_handled_end > runner.seen:
        # Its reported ends are not stored yet, so a poll would return them at once. The lease
        # has to be extended meanwhile.
        return since_poll_s >= IDLE_POLL_INTERVAL_S
    if runner.silent_since is not None:
        # An entry of another writer may permanently name an address at which no runner exists.
        never_answered = runner.answered_at < 0 and not runner.runs
        poll_rarely = never_answered and now - runner.silent_since >= NEVER_ANSWERED_AFTER_S
        return since_poll_s >= (
            NEVER_ANSWERED_POLL_INTERVAL_S if poll_rarely else SILENT_POLL_INTERVAL_S
        )
    if not runner.adopted:
        return True
    if runner.runs or runner.id in state.unknown_runs:
        return state.stated.granting or since_poll_s >= UNGRANTED_POLL_INTERVAL_S
    return runner.listed and since_poll_s >= IDLE_POLL_INTERVAL_S


def _poll(state: Scheduler, runner: RunnerState, now: float, may_extend: bool) -> Poll:
    runner.polling = True
    runner.polled_at = now
    until_ms = None
    first_lease = False
    if runner.adopted and runner.runs and may_extend:
        # A runner may extend its lease only as it answers, so that a late first one must not wait.
        late = now - state.leases_run_from(runner.id) > runner.lease_ms / 2000.0
        first_lease, runner.lease_sent = late and not runner.lease_sent, True
        until_ms = runner.grant(now)
    awaits_end = bool(runner.runs) or runner.id in state.unknown_runs
    may_wait = runner.adopted and runner.silent_since is None and not first_lease
    may_wait_for_end = may_wait and awaits_end and state.stated.granting
    return Poll(
        state.target(runner), runner.seen, until_ms, MAX_POLL_WAIT_MS if may_wait_for_end else 0
    )
