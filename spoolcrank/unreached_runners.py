"""Hand on to a successor how long the leases of runners that do not answer may still run.

A leader releases a run at a runner that it cannot reach once every lease that an earlier leader may
have granted there has passed. An earlier leader that never reached the runner granted none itself:
its successor counts from the leader before it. Otherwise each handover would start the count again,
and after a loss of power, when leaders follow one another, work would wait for all of them.

A leader may end without a resignation, so each of its claims states the runners that it has not
reached. From the moment such a claim is sent, it may be the newest one that a successor finds. The
leader therefore adopts no stated runner, and grants it no lease, until a later claim without that
runner is stored. A successor leads only once it has read every record up to its own claim, and the
store refuses all records of earlier terms after that claim. It thus knows the last claim that the
leader before stored, and if that claim states a runner, the leader never adopted it.

A leader grants no lease to a runner that it had reached and that fell silent. Its claims state such
a runner as well, with an age from which a successor counts to the end of the leases granted there.
From the moment such a claim is sent, the leader treats the runner as silent, even after an answer,
until a later claim without it is stored.

This holds for all incarnations of a runner's name, because runs may move from one to a later one.
"""

from collections.abc import Iterator
from itertools import chain, islice

import msgspec

from spoolcrank.ids import Incarnation
from spoolcrank.leadership import HEARTBEAT_S, Claim, Leadership
from spoolcrank.mechanisms import Mechanism
from spoolcrank.runner_ids import name_of
from spoolcrank.runner_state import CLOCK_DRIFT, RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId

FIRST_POLLS_S = 1.0
"""Time after a takeover before a claim states any runner, in seconds. Runners that answer usually
do so within it, and are then adopted without waiting for the store."""

MAX_WAIT_TO_GRANT_S = 0.3
"""Maximum time for which a new leader that has read the list of runners grants no lease while
runners with runs have not answered, in seconds."""

FIRST_ANSWER_S = 0.15
"""Time without an answer to its first poll after which the first claim that permits grants states a
runner, in seconds; several round trips to another region."""

SILENT_AFTER_S = 1.0
"""Time for which a runner that the leader had reached must be silent before a claim states it, in
seconds. After a single call without an answer it is usually reached again within this time, and
then extends its leases without waiting for the store."""

MAX_STATED_RUNNERS = 128
"""Maximum number of runners that a claim states, unless it resigns. The record is written several
times a second and takes 30 to 45 bytes for each; for other runners a successor counts from the
leader's last write."""


def begin_term(
    leadership: Leadership, now: float, lease_ms: int, without: frozenset[Mechanism]
) -> Scheduler:
    """Return the state of a new leader, without any jobs and runners."""
    term = leadership.claim.term
    wrote_at, processors = leadership.predecessor_wrote_at, leadership.processors
    state = Scheduler(term, now, wrote_at, lease_ms, processors)
    state.without = without
    state.stated.grants_claimed = state.stated.granting = False
    state.stated.listed_at = None
    # The claim that was read is as good as a heartbeat; the next one should permit to grant leases.
    leadership.wrote_at = leadership.claimed_at
    state.stated.inherited_since = {
        RunnerId(runner): since for runner, since in leadership.unreached_since(term).items()
    }
    if state.stated.inherited_since:
        longest_s = round(now - min(state.stated.inherited_since.values()), 2)
        runners = len(state.stated.inherited_since)
        state.log_event("unreached-inherited", runners=runners, longest_s=longest_s)
    return state


def resignation(
    leadership: Leadership, state: Scheduler, successor: Incarnation, now: float
) -> Claim:
    """Return the claim by which a leader resigns; from then on it reaches no further runner.

    A leader that only lets others claim goes on to extend leases, also of runners that are silent
    now and answer again, so it states none that it has reached.
    """
    state.resigned = True
    claim = leadership.own_claim(resigned=True, successor=successor)
    return msgspec.structs.replace(claim, unreached_ms=_ages_ms(state, _unreached(state), now))


def own_claim(leadership: Leadership, state: Scheduler, now: float) -> Claim:
    """Return the claim of a leader that goes on to lead; it adopts no runner that this states."""
    stated = list(_to_state(state, now))
    if grants_due(state, now):
        stated = list(_silent_at_first(state, now))
        state.stated.grants_claimed = True
        state.stated.silent_at_first = frozenset(name_of(runner.id) for runner in stated)
        leadership.begin_to_grant()
    state.stated.record_sent((runner.id for runner in stated), now)
    unreached_ms = _ages_ms(state, iter(stated), now)
    return msgspec.structs.replace(leadership.own_claim(), unreached_ms=unreached_ms)


def claim_due(state: Scheduler, now: float) -> bool:
    """Return whether to write a claim that states runners, or withdraws some, or permits grants.

    A process that loads the log counts the age in a claim from then on, so claims are repeated as
    heartbeats are, also while other records are written.
    """
    if grants_due(state, now) or state.stated.answered & state.stated.names:
        return True
    return now - state.stated.sent_at >= HEARTBEAT_S and any(_to_state(state, now))


def claim_stored(state: Scheduler, claim: Claim) -> bool:
    """Record that a claim is stored; return whether it withdraws any runner.

    The next answer of a withdrawn runner counts, and its next poll is due at once.
    """
    begins_to_grant = not (state.stated.granting or claim.granted_nothing)
    state.stated.granting |= begins_to_grant
    withdrawn = state.stated.record_stored(claim.unreached_ms)
    if not withdrawn:
        return begins_to_grant
    for runner in state.runners.values():
        if name_of(runner.id) in withdrawn:
            runner.polled_at = -1.0
    return True


def may_adopt(state: Scheduler, runner: RunnerState, now: float) -> bool:
    """Return whether a runner that answered may be adopted.

    If a claim states it, that has to be withdrawn first. A runner that is not adopted is polled as
    a silent one is, as each of its answers would otherwise make the next poll due at once.
    """
    if state.resigned:
        # The resignation tells the successor that no lease was granted there.
        runner.record_no_answer(now)
        return False
    state.stated.reached.add(name_of(runner.id))
    return may_count_answer(state, runner, now)


def may_count_answer(state: Scheduler, runner: RunnerState, now: float) -> bool:
    """Return whether an answer of a runner counts, after which it may be granted leases.

    If a claim states it, that has to be withdrawn first.
    """
    name = name_of(runner.id)
    if name not in state.stated.names:
        return True
    state.stated.answered.add(name)
    runner.record_no_answer(now)
    return False


def _ages_ms(state: Scheduler, runners: Iterator[RunnerState], now: float) -> dict[str, int]:
    """Return how long ago leases may have begun to run on runners, in ms, at the least."""
    return {
        runner.id: round(
            (now - _leases_run_from(state, runner, now)) * (1.0 - CLOCK_DRIFT) * 1000.0
        )
        for runner in runners
    }


def _leases_run_from(state: Scheduler, runner: RunnerState, now: float) -> float:
    """Return the time to state for a runner, monotonic seconds.

    A successor releases the runs of a runner that this leader had reached when this leader would.
    """
    if not runner.adopted:
        return state.leases_run_from(runner.id)
    left_ms = (runner.granted_ms - runner.clock_lower(now)) / (1.0 - CLOCK_DRIFT)
    return now + left_ms / 1000.0 - state.max_inherited_run_s


def grants_due(state: Scheduler, now: float) -> bool:
    """Return whether to write the first claim of a term after which leases may be granted.

    It waits, for a short while, for the first answers of the runners with runs, and states those
    that do not answer. A leader that ends before changes nothing for its successor.
    """
    listed_at = state.stated.listed_at
    if state.stated.grants_claimed or state.resigned or listed_at is None:
        return False
    if now - listed_at >= MAX_WAIT_TO_GRANT_S:
        return True
    return all(_is_silent(runner) for runner in _unreached(state))


def _silent_at_first(state: Scheduler, now: float) -> Iterator[RunnerState]:
    """Yield the runners that the first claim after which leases may be granted states."""
    silent = (
        runner
        for runner in _unreached(state)
        if _is_silent(runner)
        or (runner.polled_at >= 0.0 and now - runner.polled_at >= FIRST_ANSWER_S)
    )
    yield from islice(silent, MAX_STATED_RUNNERS)


def _is_silent(runner: RunnerState) -> bool:
    return runner.silent_since is not None or not runner.entry.address


def _unreached(state: Scheduler) -> Iterator[RunnerState]:
    """Yield the runners with runs of which no incarnation has answered this leader."""
    for runner in state.runners.values():
        if runner.runs and not runner.adopted and name_of(runner.id) not in state.stated.reached:
            yield runner


def _fell_silent(state: Scheduler, now: float) -> Iterator[RunnerState]:
    """Yield the runners with runs that were reached and have not answered for a while.

    One of which another incarnation may live is left out: leases may be granted to that one.
    """
    for runner in state.runners.values():
        if not runner.runs or not runner.adopted or runner.gone or runner.silent_since is None:
            continue
        if now - runner.silent_since < SILENT_AFTER_S:
            continue
        others = (state.runners.get(other) for other in state.ranks.others(runner.id))
        if all(other is None or other.gone for other in others):
            yield runner


def _to_state(state: Scheduler, now: float) -> Iterator[RunnerState]:
    """Yield the runners that a claim states now; none new that may be about to answer."""
    at_first = now - state.began_at < FIRST_POLLS_S
    never_reached = (
        runner
        for runner in _unreached(state)
        if (name_of(runner.id) in state.stated.silent_at_first if at_first else _is_silent(runner))
    )
    fell_silent = (
        runner
        for runner in _fell_silent(state, now)
        if name_of(runner.id) not in state.stated.answered
    )
    yield from islice(chain(never_reached, fell_silent), MAX_STATED_RUNNERS)
