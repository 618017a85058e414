"""Settle the state of the runs of one leader from answered, refused and unanswered orders.

A call without an answer may have been carried out, or may still be carried out seconds later. A
run therefore counts as gone only when its runner listed its end, when a stop of it was accepted
and a later poll shows neither the run nor its end, when a poll under a higher fence than that of
its start shows neither, when that incarnation of the runner is over, or when every lease that was
granted to it has expired.
"""

from spoolcrank.abnormal_ends import record_abnormal_end
from spoolcrank.binding import record_begun
from spoolcrank.earlier_incarnations import lose_earlier, other_incarnation_answers, take_over_runs
from spoolcrank.filler_pace import order_starting_pace
from spoolcrank.job_state import find_task
from spoolcrank.orders import (
    EndedRow,
    OrderResult,
    Poll,
    Report,
    RunningRow,
    Stop,
)
from spoolcrank.pacing import filler_use, learn, set_paces
from spoolcrank.run_ends import end_run, handle_unknown_end
from spoolcrank.runner_ids import answers_for
from spoolcrank.runner_loss import clear_outlived, lose_runner, runner_answers
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run, RunStage
from spoolcrank.scheduler import Scheduler
from spoolcrank.unknown_runs import record_unknown_runs
from spoolcrank.unreached_runners import may_adopt, may_count_answer
from spoolcrank.workflow import FINAL, TaskKey

ABSENT_RUN_LOST_AFTER_S = 1.0
"""Minimum time, in seconds, between the confirmed start of a run and a poll that does not show
it for the run to count as lost."""

CLEARLY_UNDER_TARGET_SHARE = 0.85
"""Share of its target below which a tail latency ends a period over the target. Between this share
and the target, the period neither begins nor ends."""

ASSUMED_OVER_TARGET_S = 1.0
"""Time for which a task that a new leader finds over its target is assumed to have been over
it, in seconds. A takeover without any fault takes about that time, and a tail latency over its
target counts as harm after four seconds."""

_UNSETTLED = (RunStage.UNCONFIRMED, RunStage.STOPPING)
"""Stages of a run whose start or stop was ordered and is not confirmed."""

# Polls


def poll_answered(
    state: Scheduler, poll: Poll, report: Report, asked_at: float, now: float
) -> None:
    """Apply the lists of running and ended runs from a runner's answer to a poll."""
    runner = state.runners.get(poll.target.runner)
    if runner is None or runner.gone:
        return
    runner.polling = False
    if not answers_for(report.runner, runner.id):
        other_incarnation_answers(state, runner, report.runner, poll.target, now)
        return
    if not runner.adopted and poll.target.address != runner.entry.address:
        # Its entry has changed since the poll was sent: adopted now, it would keep an address at
        # which it never answered.
        return
    may_count = may_count_answer if runner.adopted else may_adopt
    if not may_count(state, runner, now):
        return
    was_silent = runner.silent_since
    runner.record_answer(report.clock_ms, asked_at, now)
    if was_silent is not None:
        state.log_event("runner-answers", runner=runner.id, silent_s=round(now - was_silent, 2))
    runner_answers(state, runner, now)
    state.starts.zones.record_contact(asked_at)
    if not runner.adopted:
        take_over_runs(state, runner, report, now)
    runner.lists_ends = bool(report.ended)
    used = filler_use(runner, report, now)
    for end in report.ended:
        _handle_end(state, runner, end, now)
    _skip_unreadable_ends(state, runner, report)
    present = {(row.task, row.run) for row in report.running} | {*report.unreadable_runs}
    for row in report.running:
        _handle_running(state, runner, row, now)
    for key, number in report.unreadable_runs:
        _own_run(state, runner, key, number)
    unknown = [key for key, number in present if not runner.has_run(key, number)]
    if report.whole:
        # In a partial report, a run that is in neither list may be among the ends that are still to
        # come.
        if not runner.adopted:
            _adopt(state, runner, present, now)
            lose_earlier(state, runner, now)
        _check_absent(state, runner, present, asked_at, now)
        _release_void_starts(state, runner, present, poll.target.fence, now)
    if runner.adopted:
        record_unknown_runs(state, runner, report, unknown, now)
    learn(state, runner, used, now)
    set_paces(state, runner, now)


def _handle_end(state: Scheduler, runner: RunnerState, row: EndedRow, now: float) -> None:
    if row.number <= runner.last_handled_end:
        return
    runner.last_handled_end = row.number
    if not runner.has_run(row.task, row.run):
        handle_unknown_end(state, runner, row, now)
        return
    _rate_runner(state, runner, runner.runs[row.task], row, now)
    end_run(state, row.task, runner, row.how, row.saved, now)


def _skip_unreadable_ends(state: Scheduler, runner: RunnerState, report: Report) -> None:
    """Let a runner forget ends that cannot be read, which it would otherwise send with each poll.

    A run of this leader among them is no longer listed as running, and is released for that reason:
    it has ended, and nothing shows that it is done.
    """
    if report.unreadable:
        state.log_event("rows-unreadable", runner=runner.id, rows=report.unreadable)
    runner.last_handled_end = max(runner.last_handled_end, *report.unreadable_ends, 0)


def _rate_runner(
    state: Scheduler, runner: RunnerState, run: Run, row: EndedRow, now: float
) -> None:
    if row.how.value == "done":
        runner.record_success()
    elif row.how.value == "failed":
        task = find_task(state.jobs, row.task)
        if task is not None and not record_abnormal_end(task, runner, run, now):
            return
        runner.abnormal_failures += 1
        if runner.abnormal_failures >= 2:
            runner.quarantine(now)
            state.log_event(
                "runner-distrusted", runner=runner.id, failures=runner.abnormal_failures
            )


def _own_run(state: Scheduler, runner: RunnerState, key: TaskKey, number: int) -> Run | None:
    """Return a listed run if this leader has it; otherwise order its stop and return None."""
    if runner.has_run(key, number):
        return runner.runs[key]
    state.log_event("run-not-ours", task=key, run=number, runner=runner.id)
    state.orders.append(Stop(state.target(runner), key, number))
    return None


def _handle_running(state: Scheduler, runner: RunnerState, row: RunningRow, now: float) -> None:
    run = _own_run(state, runner, row.task, row.run)
    if run is None:
        return
    if run.stage in (RunStage.ORDERED, RunStage.UNCONFIRMED):
        run.begin_work(now)
        order_starting_pace(state, runner, row.task, run, now)
    if run.has_crash_evidence:
        clear_outlived(state, row.task, run, now)
    if row.percent != max(0, run.percent):
        run.progress_changed_at = now
    run.percent = row.percent
    run.reported_at = now
    if run.serves:
        run.tail_ms = row.measurement
        _update_over_target(runner, run, now)
    else:
        run.used_millicores = row.measurement
    job = state.jobs.get(row.task.job)
    if job is None or not job.has(row.task):
        return
    record_begun(state, job, now)
    job.task(row.task).record_checkpoint(row.saved, row.run)
    if job.phase in FINAL and run.stage is RunStage.RUNNING:
        state.stop_run(row.task, runner.id, now)


def _update_over_target(runner: RunnerState, run: Run, now: float) -> None:
    """Update the time since which a serving task has been over its target tail latency."""
    if run.tail_ms >= run.target_ms and run.over_target_since is None:
        run.over_target_since = now if runner.adopted else now - ASSUMED_OVER_TARGET_S
    elif run.tail_ms < run.target_ms * CLEARLY_UNDER_TARGET_SHARE:
        run.over_target_since = None


def _adopt(
    state: Scheduler, runner: RunnerState, present: set[tuple[TaskKey, int]], now: float
) -> None:
    """Adopt a runner: under this leader's fence, no older order is carried out there any more."""
    runner.adopted = True
    runner.earlier_grants_known = True
    runner.grant(now)
    state.log_event(
        "runner-adopted", runner=runner.id, running=len(present), bound=len(runner.runs)
    )
    for key, run in _unlisted_runs(runner, present):
        if run.stage in _UNSETTLED:
            state.release(key, runner, "never started there", now)


def _unlisted_runs(
    runner: RunnerState, present: set[tuple[TaskKey, int]]
) -> list[tuple[TaskKey, Run]]:
    """Return the runs bound to a runner that its answer does not list."""
    return [(key, run) for key, run in runner.runs.items() if (key, run.number) not in present]


def _check_absent(
    state: Scheduler,
    runner: RunnerState,
    present: set[tuple[TaskKey, int]],
    asked_at: float,
    now: float,
) -> None:
    for key, run in _unlisted_runs(runner, present):
        if run.in_flight:
            continue
        if run.stage is RunStage.RUNNING and asked_at - run.since >= ABSENT_RUN_LOST_AFTER_S:
            _release_absent_run(state, runner, key, run, now)
        elif run.stage is RunStage.STOPPING and run.tries == 0 and asked_at > run.since:
            state.release(key, runner, "stopped", now)


def _release_void_starts(
    state: Scheduler,
    runner: RunnerState,
    present: set[tuple[TaskKey, int]],
    fence: int,
    now: float,
) -> None:
    """Release the runs that a runner does not list and whose starts its fence has made void."""
    # A link that lets polls through and no orders leaves both unanswered while leases go on.
    for key, run in _unlisted_runs(runner, present):
        if run.stage in _UNSETTLED and run.start_fence < fence:
            task = find_task(state.jobs, key)
            if task is not None:
                task.refused_by = runner.id
            state.release(key, runner, "its start is void there", now)


def _release_absent_run(
    state: Scheduler, runner: RunnerState, key: TaskKey, run: Run, now: float
) -> None:
    """Release a run that its runner no longer lists and of which it listed no end."""
    task = find_task(state.jobs, key)
    if task is not None:
        task.refused_by = runner.id
        if record_abnormal_end(task, runner, run, now):
            runner.quarantine(now)
    state.release(key, runner, "not listed any more", now)


def poll_failed(state: Scheduler, poll: Poll, result: OrderResult, now: float) -> None:
    """Handle a poll that returned no lists."""
    runner = state.runners.get(poll.target.runner)
    if runner is None:
        return
    runner.polling = False
    if poll.target.address != runner.entry.address:
        # Its entry has changed since the poll was sent, so that this answer is not about it.
        return
    if result is OrderResult.OTHER_INCARNATION:
        lose_runner(state, runner, "another incarnation answers", now)
        return
    if runner.silent_since is None:
        state.log_event(
            "runner-silent", runner=runner.id, result=result.value, runs=len(runner.runs)
        )
    runner.record_no_answer(now)
