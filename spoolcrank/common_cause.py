"""Detection of failures with a common cause, such as a power loss.

Where most runners of a zone, a rack or a whole service fail at one moment, no task caused it, and
the failure says next to nothing about the tasks that ran there. The moment at which a runner failed
is known to lie between the last call that it answered and the first that it did not.
"""

from collections.abc import Hashable, Iterable, Iterator, Sequence

from spoolcrank.crash_history import CommonCause, RunnerFailure
from spoolcrank.crash_verdict import MAX_EARLY_LIFETIME_S
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import StepKey

MIN_FAILED_SHARE = 0.8
"""Minimum share of a group that must fail at one moment for a common cause to be assumed. A few
crash-causing tasks take down fewer runners: each occupies one runner at a time, and waits between
its starts."""

MIN_FAILED_RUNNERS = 4
"""Minimum number of runners that must fail at one moment for a common cause to be assumed; fewer
may do so by chance."""


def failure_of(runner: RunnerState, now: float) -> RunnerFailure:
    """Return the failure of a runner, with the steps that had begun there shortly before."""
    first_missed_at = now if runner.silent_since is None else runner.silent_since
    recent_steps = frozenset(
        key.step_key
        for key, run in runner.runs.items()
        if run.ordered_at is not None and first_missed_at - run.ordered_at <= MAX_EARLY_LIFETIME_S
    )
    # If the runner never answered this leader, its failure is assumed to have happened after its
    # registration.
    last_answered_at = max(runner.first_seen_at, runner.answered_at)
    return RunnerFailure(
        runner.id,
        last_answered_at,
        first_missed_at,
        _groups(runner),
        recent_steps,
        bool(runner.runs),
    )


def find_cause(
    state: Scheduler, failure: RunnerFailure, now: float
) -> tuple[CommonCause, list[RunnerFailure]] | None:
    """Return the common cause of a failure and the failures that reveal it, or None.

    A failure that matches a cause that is known already is returned alone.
    """
    for known in state.crash_history.common_causes:
        same_time = (
            failure.last_answered_at <= known.until and known.since <= failure.first_missed_at
        )
        if known.group in failure.groups and same_time:
            return known, [failure]
    simultaneous = [other for other in _failures(state, now) if _overlap(other, failure)]
    if len(simultaneous) < MIN_FAILED_RUNNERS:
        return None
    remaining_groups = [_groups(runner) for runner in _remaining_runners(state, failure)]
    for group in failure.groups:
        failed = [member for member in simultaneous if group in member.groups]
        remaining = sum(1 for groups in remaining_groups if group in groups)
        if len(failed) >= max(MIN_FAILED_RUNNERS, MIN_FAILED_SHARE * (len(failed) + remaining)):
            since, until = _failure_time_span(failed)
            cause = CommonCause(group, since, until, _only_step(failed))
            state.crash_history.common_causes.append(cause)
            return cause, failed
    return None


def _failure_time_span(failed: Sequence[RunnerFailure]) -> tuple[float, float]:
    """Return the time span in which some runners failed, assuming that it was at one moment."""
    answered, missed = (
        max(runner.last_answered_at for runner in failed),
        min(runner.first_missed_at for runner in failed),
    )
    return min(answered, missed), max(answered, missed)


def _only_step(failed: Iterable[RunnerFailure]) -> StepKey | None:
    """Return the only step of which a task had just begun on each of some runners, or None.

    All tasks of such a step may crash their runners; that these runners failed together then does
    not count in their favour.
    """
    steps = [runner.recent_steps for runner in failed if runner.had_runs]
    shared = frozenset.intersection(*steps) if steps else frozenset()
    return next(iter(shared)) if len(shared) == 1 else None


def _failures(state: Scheduler, now: float) -> Iterator[RunnerFailure]:
    """Yield the recent failures, and possible failures of runners that are silent."""
    known = {failure.runner for failure in state.crash_history.recent_failures}
    yield from state.crash_history.recent_failures
    for runner in state.runners.values():
        silent = runner.silent_since is not None and (runner.answered_at >= 0 or runner.runs)
        if silent and runner.id not in known:
            yield failure_of(runner, now)


def _remaining_runners(state: Scheduler, failure: RunnerFailure) -> Iterator[RunnerState]:
    """Yield the runners that were registered before a failure and still answer."""
    for runner in state.runners.values():
        answers = runner.adopted and not runner.gone and runner.silent_since is None
        if answers and runner.first_seen_at <= failure.last_answered_at:
            yield runner


def _overlap(first: RunnerFailure, second: RunnerFailure) -> bool:
    return (
        first.last_answered_at <= second.first_missed_at
        and second.last_answered_at <= first.first_missed_at
    )


def _groups(runner: RunnerState) -> frozenset[Hashable]:
    entry = runner.entry
    return frozenset({entry.service, (entry.service, entry.availability_zone), *entry.labels})
