"""Skip fillers that would be refused as others of their kind were, and keep places for better jobs.

Under overload many fillers of one kind wait, and trying all of them in each pass costs too much. A
refusal speaks only for the fillers that need at least as much, and a place is kept only for a job
that lacks nothing but processors: what lacks memory, a label or an instance without tasks of its
step would keep the others waiting beside processors that it cannot use.
"""

from collections.abc import Sequence

from spoolcrank.job_state import StepState
from spoolcrank.mechanisms import Mechanism
from spoolcrank.objective import Prospect
from spoolcrank.packing import has_room
from spoolcrank.placing_pass import FillerRefusal, Kind, PlacingPass
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler

FILLER_RETRY_S = 0.1
"""Delay before fillers of an image that found no runner are tried again, seconds. Under overload
every task end triggers a placing pass, and with 176 runners and 200 waiting jobs one pass over all
of them took 160 ms."""


def was_refused(state: Scheduler, kind: Kind, step: StepState, now: float) -> bool:
    """Return whether a filler that needs no more than this one was refused moments ago."""
    return any(
        now < refusal.until and refusal.covers(step.spec)
        for refusal in state.filler_refusals.get(kind, ())
    )


def record_refusal(state: Scheduler, kind: Kind, step: StepState, now: float) -> None:
    """Record that a filler found no runner.

    With tasks of its step on some runners, the limit for each runner may be why, which says nothing
    about other steps.
    """
    if step.spec.max_per_instance and step.per_runner():
        return
    refusal = FillerRefusal(step.spec, now + FILLER_RETRY_S)
    others = [
        other
        for other in state.filler_refusals.get(kind, ())
        if now < other.until and not refusal.covers(other.step)
    ]
    state.filler_refusals[kind] = [*others, refusal]


def keep_place(
    state: Scheduler,
    current: PlacingPass,
    kind: Kind,
    prospect: Prospect,
    step: StepState,
    runners: Sequence[RunnerState],
) -> None:
    """Leave the next place of a kind to jobs of this prospect or a better one.

    This holds for a filler that fits on some runner by all but its processors and its effect on
    serving tasks.
    """
    if kind in current.claimed or not state.uses(Mechanism.CLAIMS):
        return
    tasks_per_runner = step.per_runner() if step.spec.max_per_instance else {}
    if any(has_room(step.spec, tasks_per_runner, runner) for runner in runners):
        current.claimed[kind] = prospect
