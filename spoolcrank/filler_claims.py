"""Leave the next place for fillers of a kind to the waiting job of better prospect."""

from collections.abc import Sequence

from spoolcrank.idle_capacity import is_mostly_idle
from spoolcrank.job_state import JobState, StepState
from spoolcrank.mechanisms import Mechanism
from spoolcrank.objective import Prospect
from spoolcrank.openings import find_openings, is_covered, scope_of
from spoolcrank.packing import has_room
from spoolcrank.placing_pass import Kind, PlacingPass
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler

MAX_LEAVING_S = 1.0
"""Time without a start for which a job leaves places to others although most processors are free,
seconds. A job counts as lost once it has had nothing running for 3 s while there is free capacity
for it."""


def claim(
    state: Scheduler,
    current: PlacingPass,
    kind: Kind,
    prospect: Prospect,
    step: StepState,
    runners: Sequence[RunnerState],
    now: float,
) -> None:
    """Leave the next place of a kind to jobs of this prospect or a better one.

    A filler that lacks more than processors everywhere could not use that place, and keeps none.
    """
    if kind in current.claimed or not state.uses(Mechanism.CLAIMS):
        return
    if _lacks_only_processors(state, current, kind, step, runners, now):
        current.claimed[kind] = prospect


def _lacks_only_processors(
    state: Scheduler,
    current: PlacingPass,
    kind: Kind,
    step: StepState,
    runners: Sequence[RunnerState],
    now: float,
) -> bool:
    """Return whether a filler fits on some runner but for processors and its effect there."""
    scope = scope_of(kind[0], step.spec)._replace(fills=False, image="")
    if scope not in current.room:
        current.room[scope] = find_openings(scope, runners, state.contention, now)
    if not is_covered(step.spec.demand, current.room[scope]):
        return False
    tasks_per_runner = step.per_runner() if step.spec.max_per_instance else {}
    if not tasks_per_runner:
        return True
    return any(has_room(step.spec, tasks_per_runner, runner) for runner in runners)


def leaves_place(
    state: Scheduler,
    current: PlacingPass,
    kind: Kind,
    job: JobState,
    prospect: Prospect,
    now: float,
) -> bool:
    """Return whether a job's filler leaves the next place of its kind to one of better prospect.

    While most processors are free, that one waits for something else than the end of others, and
    may fit nowhere. A job then leaves its places for a short time only.
    """
    if current.claimed.get(kind, prospect) >= prospect:
        return False
    if now - job.started_at < MAX_LEAVING_S:
        return True
    return not is_mostly_idle(state, current, kind[0], now)
