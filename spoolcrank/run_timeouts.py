"""Handle what becomes due with time alone in the runs of one leader.

This covers expired leases and reservations, orders to send again, hung tasks, and the evacuation of
leaving runners.
"""

from spoolcrank.abnormal_ends import record_abnormal_end
from spoolcrank.crash_evidence import accountable_task
from spoolcrank.isolation import end_isolation, limit_exclusive_runners
from spoolcrank.job_state import find_task
from spoolcrank.mechanisms import Mechanism
from spoolcrank.runner_loss import handle_expired_leases
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import Phase, TaskKey

MAX_START_TRIES = 2
"""Maximum number of times that a start without an answer is sent before the run is stopped
instead; most starts that were carried out are answered the second time."""

ORDER_RETRY_INTERVAL_S = 0.15
"""Interval before the same order is sent again, in seconds; several times the usual time of an
answer."""

NEARLY_DONE_PERCENT = 70
"""Progress, in percent, from which a task is expected to end before its leaving runner does, so
that it stays there; tasks with less progress resume elsewhere."""

HUNG_FACTOR = 3.0
"""Multiple of its expected time without progress after which a filler or a member of a gang
counts as hung. A filler may get no processors for a while, and a gang member waits for the
others."""

MIN_HUNG_S = 2.5
"""Minimum time without progress, in seconds, before a filler or a member of a gang counts as
hung; reports arrive each second."""

COUNTED_HUNG_FACTOR = 0.6
"""Multiple of its expected time, between the last change of its progress and a report without
progress, after which a task that is neither a filler nor in a gang counts as hung. Such a task
has its processors to itself, so that progress would have shown."""

MIN_COUNTED_HUNG_S = 0.9
"""Minimum time without progress, in seconds, before a task that is neither a filler nor in a gang
counts as hung; just below the time between two reports."""

MAX_HUNG_DOUBLINGS = 16
"""Maximum number of times that the time without progress after which a task counts as hung is
doubled; a day passes before that."""

INHERITED_HUNG_FACTOR = 8.0
"""Multiple of that time for a run of an earlier leader, of which only the time since the takeover
is known: a takeover must not stop long work."""


def tick(state: Scheduler, now: float) -> None:
    """Handle everything that depends on time alone."""
    for runner in list(state.runners.values()):
        if not runner.runs and not runner.reservations and runner.isolated_for is None:
            continue
        runner.drop_expired_reservations(now)
        end_isolation(state, runner, now)
        if runner.silent_since is not None or not runner.adopted:
            _check_leases(state, runner, now)
        for key, run in list(runner.runs.items()):
            _tick_run(state, runner, key, run, now)
        if runner.is_leaving(now) and runner.adopted:
            _evacuate(state, runner, now)
    limit_exclusive_runners(state)


def _evacuate(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Stop the running tasks of a leaving runner that can or must continue elsewhere.

    These are lasting tasks, and unfinished tasks with checkpoints.
    """
    for key, run in list(runner.runs.items()):
        resumes = run.checkpoints and run.percent < NEARLY_DONE_PERCENT
        if run.stage is RunStage.RUNNING and (run.lasting or resumes):
            state.log_event("evacuated", task=key, run=run.number, runner=runner.id)
            state.stop_run(key, runner.id, now)


def _check_leases(state: Scheduler, runner: RunnerState, now: float) -> None:
    inherited_for_s = now - state.leases_run_from(runner.id)
    inherited_leases_expired = inherited_for_s > state.max_inherited_run_s
    never_reached = not runner.adopted and inherited_leases_expired
    if not never_reached and not runner.surely_ended(now):
        return
    if runner.runs:
        handle_expired_leases(state, runner, now)


def _tick_run(state: Scheduler, runner: RunnerState, key: TaskKey, run: Run, now: float) -> None:
    if run.in_flight or not runner.adopted:
        return
    if run.stage is RunStage.UNCONFIRMED and now - run.since >= ORDER_RETRY_INTERVAL_S:
        if run.tries < MAX_START_TRIES and _is_current(state, key, runner, run):
            state.order_start(key, runner, run, now)
        else:
            state.stop_run(key, runner.id, now)
    elif (
        run.stage is RunStage.STOPPING
        and run.tries > 0
        and now - run.since >= ORDER_RETRY_INTERVAL_S
    ):
        run.since = now
        state.order_stop(key, runner, run)
    elif run.stage is RunStage.RUNNING and not run.lasting:
        _check_hung(state, runner, key, run, now)


def _is_current(state: Scheduler, key: TaskKey, runner: RunnerState, run: Run) -> bool:
    """Return whether a task is still bound to a run; the end of a gang's member ends the others."""
    task = find_task(state.jobs, key)
    if task is None or task.phase is not Phase.BOUND:
        return False
    return (task.runner, task.run) == (runner.id, run.number)


def _check_hung(state: Scheduler, runner: RunnerState, key: TaskKey, run: Run, now: float) -> None:
    job = state.jobs.get(key.job)
    if job is None or runner.silent_since is not None or run.percent < 0:
        return
    if run.fills and run.pace < 100:
        return
    step = job.record.workflow.steps[key.step]
    expected_s = state.times.expected_ms(job.record.route, step.estimate_ms) / 1000.0
    if run.fills or step.gang or not state.uses(Mechanism.HANGS):
        hung_after_s = max(MIN_HUNG_S, expected_s * HUNG_FACTOR)
    else:
        hung_after_s = max(MIN_COUNTED_HUNG_S, expected_s * COUNTED_HUNG_FACTOR)
    accountable = accountable_task(state, key)
    hung_after_s *= _patience(run, accountable.hung_runs if accountable is not None else 0)
    # A lack of progress shows only in the time up to the latest report, and at full pace.
    expected_since = max(run.progress_changed_at, run.since, run.paced_at)
    if run.reported_at - expected_since < hung_after_s:
        return
    state.log_event("task-hangs", task=key, run=run.number, runner=runner.id, percent=run.percent)
    task = find_task(state.jobs, key)
    if task is not None:
        task.refused_by = runner.id
        if accountable is not None:
            accountable.hung_runs += 1
        if record_abnormal_end(task, runner, run, now):
            runner.quarantine(now)
    state.stop_run(key, runner.id, now)


def _patience(run: Run, hung_runs: int) -> float:
    """Return the factor on the time without progress after which a run counts as hung.

    The estimate of a task may be missing or far too low, and its progress then shows no change for
    as long as a hundredth of its work takes. Each run that counted as hung doubles the time for the
    next one, so that a task of any length ends.
    """
    inherited_factor = INHERITED_HUNG_FACTOR if run.inherited else 1.0
    return inherited_factor * 2.0 ** min(hung_runs, MAX_HUNG_DOUBLINGS)
