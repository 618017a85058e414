"""Start tasks under which runners crashed where they can do least harm, and prove or clear most.

After one crash a task goes where no other suspect is. After two it has a runner for itself until
its run has outlived the moment: nothing starts there any more, what began there lately settles, and
then its start goes out. A crash then proves something, and costs the runner that is least dear.
"""

from collections import Counter
from collections.abc import Sequence

from spoolcrank.job_state import TaskState
from spoolcrank.packing import PlacementRequest, score
from spoolcrank.runner_loss import SETTLED_S
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Phase, TaskKey

PATIENCE_S = 1.5
"""A suspect waits so long until what began lately on its runner has settled, s."""

LOOKS_S = 1.0
"""It looks so long for a runner for itself, s; then it starts beside others. A job with nothing at
work for 3 s counts as lost."""

MORE_AFTER_S = 0.5
"""Where suspects have waited so long, s, more runners are set aside for them."""

RUNNERS_EACH_LATER = 2
"""One suspect at a time has a runner for itself for so many then."""

CLOSED_S = 3.0
"""Nothing else starts beside a suspect for so long, s; longer would take too much room from others,
as many are sound."""

RUNNERS_EACH = 8
"""One suspect at a time has a runner for itself for so many: each may cost one."""


def without_suspects(runners: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners on which no suspect is."""
    return [one for one in runners if not any(run.suspect for run in one.runs.values())]


def place_apart(
    state: Scheduler,
    key: TaskKey,
    task: TaskState,
    request: PlacementRequest,
    runners: Sequence[RunnerState],
    now: float,
) -> RunnerState | None:
    """Return the runner for a suspect once that is ready for it; None while it has to wait."""
    waited_s = _waited_s(task, now)
    held = _set_aside(state, key)
    if held is None:
        held = _choose(state, task, request, runners, waited_s, now)
        if held is None:
            return None
        held.apart_for = key
        held.apart_since = now
        state.note("suspect-apart", task=key, runner=held.id, beside=len(held.runs))
    if (
        held.emptied
        or not held.answers(now)
        or not score(request, request.step.demand, held, state.contention, now)
    ):
        held.apart_for = None
        return None
    ready = _settled(held, now) or now - held.apart_since >= PATIENCE_S
    return held if ready else None


def waits_apart(task: TaskState, now: float) -> bool:
    """Tell whether a suspect that finds no runner for itself goes on waiting for one."""
    return _waited_s(task, now) < LOOKS_S


def _waited_s(task: TaskState, now: float) -> float:
    """Return for how long a suspect has been waiting; begins to count with its first look."""
    if task.apart_from is None:
        task.apart_from = now
    return now - task.apart_from


def _set_aside(state: Scheduler, key: TaskKey) -> RunnerState | None:
    return next((one for one in state.runners.values() if one.apart_for == key), None)


def _all_in_use(state: Scheduler, runners: Sequence[RunnerState], waited_s: float) -> bool:
    each = RUNNERS_EACH if waited_s < MORE_AFTER_S else RUNNERS_EACH_LATER
    in_use = sum(1 for one in state.runners.values() if one.apart_for is not None)
    return in_use >= max(1, (len(runners) + in_use) // each)


def _choose(
    state: Scheduler,
    task: TaskState,
    request: PlacementRequest,
    runners: Sequence[RunnerState],
    waited_s: float,
    now: float,
) -> RunnerState | None:
    """Return the cheapest runner to lose that could take the task now."""
    if _all_in_use(state, runners, waited_s):
        return None
    crashed = Counter(mark.address for mark in task.crashes)
    tried = sorted(without_suspects(runners), key=lambda one: _price(one, crashed))
    demand = request.step.demand
    return next((one for one in tried if score(request, demand, one, state.contention, now)), None)


def _price(runner: RunnerState, crashed: Counter[str]) -> tuple[int, int, int, int]:
    """Order runners by what a crash would cost; one that crashed before would prove less."""
    lasting = sum(1 for run in runner.runs.values() if run.lasting or run.serves)
    return (crashed[runner.entry.address], lasting, len(runner.runs), runner.used_millicores)


def _settled(runner: RunnerState, now: float) -> bool:
    return all(
        run.stage is RunStage.RUNNING
        and run.ordered_at is not None
        and now - run.ordered_at >= SETTLED_S
        for run in runner.runs.values()
    )


def reopen(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Open a runner to others again where its suspect needs it no more."""
    key = runner.apart_for
    if key is None:
        return
    run = runner.runs.get(key)
    if run is not None:
        if run.ordered_at is not None and now - run.ordered_at >= CLOSED_S:
            runner.apart_for = None
        return
    job = state.jobs.get(key.job)
    waits = job is not None and job.has(key) and job.task(key).phase is Phase.WAITING
    if not waits or now - runner.apart_since >= CLOSED_S:
        runner.apart_for = None
