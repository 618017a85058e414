"""Tell crashes that have a cause of their own, such as a loss of power, from those under a task.

Where most runners of a zone, a rack or a whole service fall at one moment, no task did it, and the
crash says next to nothing against what ran there. When one fell is known to lie between the last
call that it answered and the first that it did not.
"""

from collections.abc import Hashable, Iterable, Iterator, Sequence

from spoolcrank.crash_record import SOON_S, CommonCause, Fall
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import StepKey

MOST_FALL = 0.8
"""Share of such a group that falls at one moment by a common cause. A few tasks that crash their
runners take fewer: each has one runner at a time, and pauses."""

LEAST_FALL = 4
"""Runners that fall together at least; fewer do so by chance."""


def fall_of(runner: RunnerState, now: float) -> Fall:
    """Return when and where a runner fell, and what had begun there shortly before."""
    missed_at = now if runner.silent_since is None else runner.silent_since
    young = frozenset(
        key.of_step
        for key, run in runner.runs.items()
        if run.ordered_at is not None and missed_at - run.ordered_at <= SOON_S
    )
    # What fell before it answered this leader did so after it was met, as far as is known.
    stood_at = max(runner.met_at, runner.answered_at)
    return Fall(runner.id, stood_at, missed_at, _groups(runner), young, bool(runner.runs))


def find_cause(state: Scheduler, fall: Fall, now: float) -> tuple[CommonCause, list[Fall]] | None:
    """Return the common cause by which a runner fell, if there is one, and whom it is found with.

    Of those that fall later by a cause that is known already, each is returned by itself.
    """
    for known in state.crashes.common_causes:
        at_once = fall.stood_at <= known.until and known.since <= fall.missed_at
        if known.group in fall.groups and at_once:
            return known, [fall]
    together = [one for one in _falls(state, now) if _overlap(one, fall)]
    if len(together) < LEAST_FALL:
        return None
    standing = [_groups(one) for one in _standing(state, fall)]
    for group in fall.groups:
        fallen = [one for one in together if group in one.groups]
        stand = sum(1 for groups in standing if group in groups)
        if len(fallen) >= max(LEAST_FALL, MOST_FALL * (len(fallen) + stand)):
            since, until = _moment(fallen)
            cause = CommonCause(group, since, until, _only_step(fallen))
            state.crashes.common_causes.append(cause)
            return cause, fallen
    return None


def _moment(fallen: Sequence[Fall]) -> tuple[float, float]:
    """Return between when and when some runners fell, were it at one moment."""
    one, other = max(one.stood_at for one in fallen), min(one.missed_at for one in fallen)
    return min(one, other), max(one, other)


def _only_step(fallen: Iterable[Fall]) -> StepKey | None:
    """Return the one step of which a task had just begun on each of some runners, if there is one.

    Its tasks may all bring their runners down: that these fell together then says nothing for them.
    """
    steps = [one.young for one in fallen if one.had_runs]
    shared = frozenset.intersection(*steps) if steps else frozenset()
    return next(iter(shared)) if len(shared) == 1 else None


def _falls(state: Scheduler, now: float) -> Iterator[Fall]:
    """Yield what has fallen, and what is silent and may have."""
    known = {one.runner for one in state.crashes.falls}
    yield from state.crashes.falls
    for runner in state.runners.values():
        silent = runner.silent_since is not None and (runner.answered_at >= 0 or runner.runs)
        if silent and runner.id not in known:
            yield fall_of(runner, now)


def _standing(state: Scheduler, fall: Fall) -> Iterator[RunnerState]:
    """Yield the runners that were there before a fall and are still."""
    for runner in state.runners.values():
        stands = runner.adopted and not runner.gone and runner.silent_since is None
        if stands and runner.met_at <= fall.stood_at:
            yield runner


def _overlap(one: Fall, other: Fall) -> bool:
    return one.stood_at <= other.missed_at and other.stood_at <= one.missed_at


def _groups(runner: RunnerState) -> frozenset[Hashable]:
    entry = runner.entry
    return frozenset({entry.service, (entry.service, entry.availability_zone), *entry.labels})
