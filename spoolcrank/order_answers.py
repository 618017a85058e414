"""Take what runners answered to starts, stops and paces.

A call without an answer may have been carried out, and may still be, seconds later: such a run
stays where it is until a report of its runner says more.
"""

from spoolcrank.odd_ends import blames_runner
from spoolcrank.orders import Answered, OrderResult, Pace, Start, Stop
from spoolcrank.pacing import SETTLE_S
from spoolcrank.runner_loss import lose_runner
from spoolcrank.runner_state import UNKNOWN_PACE, RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL

REFUSALS = frozenset(OrderResult) - {OrderResult.NOT_DONE, OrderResult.OUTRANKED}
"""Answers to a start by which a runner that is well reached says no."""


# Starts


def start_answered(state: Scheduler, start: Start, answered: Answered, now: float) -> None:
    """Go on with a run whose start was answered, refused, or not answered."""
    runner = state.runners.get(start.target.runner)
    run = runner.runs.get(start.task) if runner is not None else None
    if runner is None or run is None or run.number != start.run:
        return
    run.in_flight = False
    result = answered.result
    if result is not OrderResult.DONE:
        state.note(
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
        _start_taken(state, start, runner, run, now)
    elif result is OrderResult.UNKNOWN:
        run.stage = RunStage.UNSURE
        run.since = now
        runner.missed(now)
    elif run.tries > 1 or result is OrderResult.SUPERSEDED:
        # It, or a later one, may have ended there: only the runner's list of ends can say how.
        state.stop_run(start.task, runner.id, now)
    else:
        _never_started(state, start, runner, result, now)


def _start_taken(state: Scheduler, start: Start, runner: RunnerState, run: Run, now: float) -> None:
    run.stage = RunStage.RUNNING
    run.since = now
    run.moved_at = now
    job = state.jobs.get(start.task.job)
    if job is not None and job.phase in FINAL:
        state.stop_run(start.task, runner.id, now)


def _never_started(
    state: Scheduler, start: Start, runner: RunnerState, result: OrderResult, now: float
) -> None:
    if result in (OrderResult.NOT_DONE, OrderResult.OUTRANKED):
        runner.missed(now)
    job = state.jobs.get(start.task.job)
    if job is not None and job.has(start.task):
        task = job.task(start.task)
        task.refused_by = runner.id
        if result in REFUSALS and blames_runner(task, runner, runner.runs[start.task], now):
            runner.distrust(now)
    state.release(start.task, runner, f"start refused: {result.value}", now)


# Stops


def stop_answered(state: Scheduler, stop: Stop, answered: Answered, now: float) -> None:
    """Go on with a run that was told to stop."""
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
        state.note(
            "stop-refused",
            task=stop.task,
            run=stop.run,
            runner=runner.id,
            result=answered.result.value,
        )


# Paces


def pace_answered(state: Scheduler, pace: Pace, answered: Answered, now: float) -> None:
    """Take note of a pace that was not taken, so that it is set again."""
    runner = state.runners.get(pace.target.runner)
    run = runner.runs.get(pace.task) if runner is not None else None
    if runner is None or run is None or run.number != pace.run:
        return
    if answered.result is OrderResult.DONE:
        return
    if run.pace == pace.percent:
        runner.set_pace(run, UNKNOWN_PACE, now)
        run.paced_at = now - SETTLE_S
    state.note("pace-refused", task=pace.task, run=pace.run, result=answered.result.value)
