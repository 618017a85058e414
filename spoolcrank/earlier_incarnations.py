"""Settle the runs of a runner once a later incarnation of it answers.

An order that was sent to an earlier incarnation may have reached the later one, or may still reach
it. The later one is therefore polled first, under a fence of its own that voids those orders; runs
that it then lists continue there, and runs that it does not list ended with the earlier one.
"""

from collections.abc import Iterator

from spoolcrank.orders import Report, Target
from spoolcrank.runner_ids import FENCES_PER_TERM, knows_start
from spoolcrank.runner_loss import lose_runner
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import RunnerId, TaskKey


def other_incarnation_answers(
    state: Scheduler, asked: RunnerState, answering: RunnerId, target: Target, now: float
) -> None:
    """Handle an answer from an incarnation of a runner other than the one asked.

    Its entry may be read from the list of runners later; until then nothing starts there, because
    its capacity is not known.
    """
    asked.record_no_answer(now)
    later = state.runners.get(answering)
    if later is None or later.gone:
        later = state.register(asked.entry._replace(id=answering), now, listed=False)
        state.log_event("runner-restarted", runner=answering, before=asked.id, runs=len(asked.runs))
    # The incarnation has seen the fence of this order.
    later.rank = max(later.rank, target.fence - state.term * FENCES_PER_TERM)
    if not later.adopted:
        later.polled_at = -1.0


def take_over_runs(state: Scheduler, runner: RunnerState, report: Report, now: float) -> None:
    """Transfer runs that an earlier incarnation was ordered to start to the one that lists them."""
    listed = {(row.task, row.run) for row in report.running}
    listed |= {(row.task, row.run) for row in report.ended}
    listed.update(report.unreadable_runs)
    for earlier in _earlier(state, runner):
        for key, run in list(earlier.runs.items()):
            job = state.jobs.get(key.job)
            if (key, run.number) in listed and job is not None and job.has(key):
                _take_over(state, key, run, earlier, runner, now)


def _take_over(
    state: Scheduler,
    key: TaskKey,
    run: Run,
    earlier: RunnerState,
    runner: RunnerState,
    now: float,
) -> None:
    state.log_event("run-taken-over", task=key, run=run.number, runner=runner.id, before=earlier.id)
    isolated = earlier.isolated_for == key
    earlier.remove(key)
    run.in_flight = False
    if run.stage is not RunStage.STOPPING:
        run.stage = RunStage.UNCONFIRMED
        run.since = now
    runner.add(key, run)
    if isolated:
        runner.isolated_for, runner.isolated_since = key, earlier.isolated_since
    state.jobs[key.job].task(key).runner = runner.id
    state.pending_writes.add_changed_job(key.job)


def lose_earlier(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Settle a runner's earlier incarnations: they and the runs that it did not list are over."""
    for earlier in list(_earlier(state, runner)):
        if not knows_start(earlier.id):
            # This id was stored without a start time: it may be the same incarnation.
            for key in list(earlier.runs):
                state.release(key, earlier, "never started there", now)
            del state.runners[earlier.id]
        elif earlier.answered_at >= 0 or earlier.runs:
            lose_runner(state, earlier, "a later incarnation answers", now)


def _earlier(state: Scheduler, runner: RunnerState) -> Iterator[RunnerState]:
    """Yield the other incarnations of a runner's name; one that is only listed may start later."""
    for other in state.ranks.others(runner.id):
        if other in state.runners:
            yield state.runners[other]
