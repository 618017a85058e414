"""Apply the runners' answers to starts, stops and paces.

An order without an answer may have been carried out, or may still be carried out seconds later.
Such a run stays assigned to its runner until a report of the runner settles it.
"""

from spoolcrank.abnormal_ends import record_abnormal_end
from spoolcrank.binding import record_begun
from spoolcrank.filler_pace import order_starting_pace
from spoolcrank.orders import Answered, OrderResult, Pace, Start, Stop
from spoolcrank.pacing import MIN_PACE_INTERVAL_S
from spoolcrank.runner_loss import lose_runner
from spoolcrank.runner_state import ASSUMED_PACE_PERCENT, RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL

REFUSALS = frozenset(OrderResult) - {OrderResult.NOT_DONE, OrderResult.OUTRANKED}
"""Results of a failed start for which its runner or its task may be to blame."""


# Starts


def start_answered(state: Scheduler, start: Start, answered: Answered, now: float) -> None:
    """Update a run whose start was carried out, refused or not answered."""
    runner = state.runners.get(start.target.runner)
    run = runner.runs.get(start.task) if runner is not None else None
    if runner is None or run is None or run.number != start.run:
        return
    run.in_flight = False
    result = answered.result
    if result is not OrderResult.DONE:
        state.log_event(
            "start-refused",
            task=start.task,
            run=start.run,
            runner=runner.id,
            result=result.value,
            tries=run.tries,
        )
    if result is OrderResult.OTHER_INCARNATION:
        lose_runner(state, runner, "another incarnation answers", now)
    elif run.stage is RunStage.STOPPING:
        return
    elif result is OrderResult.DONE:
        _start_accepted(state, start, runner, run, now)
    elif result is OrderResult.UNKNOWN:
        run.stage = RunStage.UNCONFIRMED
        run.since = now
        runner.record_no_answer(now)
    elif run.tries > 1 or result is OrderResult.SUPERSEDED:
        # This run or a later one may have ended there; only the runner's list of ends shows how.
        state.stop_run(start.task, runner.id, now)
    else:
        _start_failed(state, start, runner, result, now)


def _start_accepted(
    state: Scheduler, start: Start, runner: RunnerState, run: Run, now: float
) -> None:
    run.begin_work(now)
    run.progress_changed_at = now
    order_starting_pace(state, runner, start.task, run, now)
    job = state.jobs.get(start.task.job)
    if job is None:
        return
    record_begun(state, job, now)
    if job.phase in FINAL:
        state.stop_run(start.task, runner.id, now)


def _start_failed(
    state: Scheduler, start: Start, runner: RunnerState, result: OrderResult, now: float
) -> None:
    if result in (OrderResult.NOT_DONE, OrderResult.OUTRANKED):
        runner.record_no_answer(now)
    job = state.jobs.get(start.task.job)
    if job is not None and job.has(start.task):
        task = job.task(start.task)
        task.refused_by = runner.id
        if result in REFUSALS and record_abnormal_end(task, runner, runner.runs[start.task], now):
            runner.quarantine(now)
    state.release(start.task, runner, f"start refused: {result.value}", now)


# Stops


def stop_answered(state: Scheduler, stop: Stop, answered: Answered, now: float) -> None:
    """Update a run whose stop was answered or not answered."""
    runner = state.runners.get(stop.target.runner)
    run = runner.runs.get(stop.task) if runner is not None else None
    if runner is None:
        return
    if answered.result is OrderResult.OTHER_INCARNATION:
        lose_runner(state, runner, "another incarnation answers", now)
        return
    if run is None or run.number != stop.run or run.stage is not RunStage.STOPPING:
        return
    run.in_flight = False
    run.since = now
    if answered.result is OrderResult.DONE:
        run.tries = 0
    else:
        state.log_event(
            "stop-refused",
            task=stop.task,
            run=stop.run,
            runner=runner.id,
            result=answered.result.value,
        )
        if answered.result is not OrderResult.OUTRANKED and runner.silent_since is None:
            _void_start(state, runner, run)


def _void_start(state: Scheduler, runner: RunnerState, run: Run) -> None:
    """Raise a runner's fence above that of a start, which its next poll then makes void."""
    raised = state.target(runner).fence > run.start_fence
    rank = None if raised else state.ranks.raise_rank(runner.id)
    if rank is not None:
        runner.rank = rank


# Paces


def pace_answered(state: Scheduler, pace: Pace, answered: Answered, now: float) -> None:
    """Mark the pace of a run as unknown if it was not applied, so that it is set again."""
    runner = state.runners.get(pace.target.runner)
    run = runner.runs.get(pace.task) if runner is not None else None
    if runner is None or run is None or run.number != pace.run:
        return
    if answered.result is OrderResult.DONE:
        return
    if run.pace == pace.percent:
        runner.set_pace(run, ASSUMED_PACE_PERCENT, now)
        run.paced_at = now - MIN_PACE_INTERVAL_S
    state.log_event("pace-refused", task=pace.task, run=pace.run, result=answered.result.value)
