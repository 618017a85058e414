"""Remember what steps that found no runner show of others, and pass over those that find none.

Under overload many tasks wait, and trying all of them in each pass costs too much.
"""

from spoolcrank.crash_verdict import needs_isolation
from spoolcrank.job_state import NO_RUNNER, StepState, TaskState
from spoolcrank.openings import Scope, Shortage, fits_nowhere, size_of
from spoolcrank.placing_pass import FillerRefusal, PlacingPass
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler

FILLER_RETRY_S = 0.1
"""Delay before fillers of an image that found no runner are tried again, seconds. Under overload
every task end triggers a placing pass, which would evaluate all runners for all waiting jobs."""


def record_miss(
    state: Scheduler, current: PlacingPass, scope: Scope, step: StepState, now: float
) -> None:
    """Record what it shows of others that a step found no runner."""
    if step.spec.lasting:
        # The reserve that it has to leave may be the reason.
        return
    limited = step.spec.max_per_instance and step.per_runner()
    missed = None if step.spec.gang or limited else size_of(step.spec)
    known = known_shortage(state, current, scope, now)
    if known is not None and missed is None:
        return
    shortage = Shortage(missed)
    if scope.fills:
        state.filler_refusals[scope] = FillerRefusal(shortage, now + FILLER_RETRY_S)
    else:
        current.shortages[scope] = shortage


def known_shortage(
    state: Scheduler, current: PlacingPass, scope: Scope, now: float
) -> Shortage | None:
    """Return what the last miss of a scope shows; None if there was none lately."""
    if not scope.fills:
        return current.shortages.get(scope)
    refusal = state.filler_refusals.get(scope)
    return refusal.shortage if refusal is not None and now < refusal.until else None


def is_hopeless(
    state: Scheduler,
    current: PlacingPass,
    scope: Scope,
    step: StepState,
    runners: list[RunnerState],
    now: float,
) -> bool:
    """Return whether a miss before shows that no task of a step can find a runner."""
    # Lasting tasks are few, and those that resume may use quarantined runners as well.
    shortage = None if step.spec.lasting else known_shortage(state, current, scope, now)
    if shortage is None:
        return False
    first_look = shortage.openings is None
    hopeless = fits_nowhere(step.spec, scope, shortage, runners, state.contention, now)
    if first_look and shortage.openings is not None:
        current.pairs_left -= len(runners)
    return hopeless and not any(_has_own_place(step.tasks[index]) for index in step.waiting)


def _has_own_place(task: TaskState) -> bool:
    """Return whether capacity may be kept for a task that counts as taken for all others."""
    if not task.run:
        return False
    return task.move_destination != NO_RUNNER or needs_isolation(task.crashes)
