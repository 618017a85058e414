"""Handle the loss of runners, and record crash evidence at the tasks that ran there.

A crash is the end of an incarnation without notice. It is proved once another incarnation answers
at its address. A runner that was silent until every lease had expired, and whose entry
disappeared, counts as crashed too until it answers again: it may return elsewhere, or never. A
runner that drained and left, or that was only partitioned, has not crashed.
"""

from collections.abc import Iterable, Sequence

import msgspec

from spoolcrank.abandoned_runs import abandon
from spoolcrank.common_cause import failure_of, find_cause
from spoolcrank.crash_evidence import (
    TaskEvidence,
    accountable_task,
    as_shared,
    crash_evidence,
    failed_at,
)
from spoolcrank.crash_history import Crash, CrashRate, RunnerFailure
from spoolcrank.crash_verdict import (
    causes_crashes,
    clears_after_s,
    evidence_by_task,
    gang_causes_crashes,
    gang_keeps_crashing,
    independent_crashes,
    lived_s,
    with_evidence,
)
from spoolcrank.gang_restarts import restart_delay_s
from spoolcrank.job_state import JobState, TaskState
from spoolcrank.mechanisms import Mechanism
from spoolcrank.runner_ids import name_of
from spoolcrank.runner_state import RunnerState
from spoolcrank.runs import Run
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, CrashEvidence, Phase, RunnerId, StepKey, TaskKey

RESTART_DELAYS_S = (0.0, 1.0, 2.0)
"""Delay before the next start of a task after one, two, or more runners crashed while it ran there,
in seconds. Each crash removes a runner for seconds, with all that it runs. A job of which nothing
runs for 3 s counts as lost."""

MIN_PLANNED_NOTICE_S = 1.5
"""Minimum time, in seconds, between the removal of its entry and the end of a runner that ends
as planned. The platform specifies two seconds, and the removal may be read late."""


def lose_runner(state: Scheduler, runner: RunnerState, why: str, now: float) -> None:
    """Record that an incarnation of a runner is over and that nothing runs on it."""
    known = runner.answered_at >= 0.0 or bool(runner.runs)
    crashed = known and not runner.gone and not _planned(runner, now)
    task_evidence: list[TaskEvidence] = []
    failure = failure_of(runner, now)
    if not runner.gone:
        runner.gone = True
        state.log_event(
            "runner-gone", runner=runner.id, why=why, runs=len(runner.runs), crashed=crashed
        )
    if crashed:
        task_evidence = _evidence_of_failure(state, runner, failure, now, proved=True)
    _give_up_runs(state, runner, "runner gone", now)
    for key, evidence in task_evidence:
        _record_evidence(state, key, evidence, now)
    confirm_crash(state, runner.id, now)


def handle_expired_leases(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Release the runs of a runner that did not answer until every lease had expired."""
    # A runner whose entry is still listed is alive, and is only partitioned from this leader.
    presumed_crashed = not runner.listed and not _planned(runner, now)
    failure = failure_of(runner, now)
    unconfirmed = (
        _evidence_of_failure(state, runner, failure, now, proved=False) if presumed_crashed else []
    )
    _give_up_runs(state, runner, "every lease has passed", now)
    for key, evidence in unconfirmed:
        _record_evidence(state, key, evidence, now, _lost_at(state, runner))
    if unconfirmed:
        state.crash_history.add_unconfirmed(
            runner.id, runner.entry.address, (key for key, _ in unconfirmed)
        )


def _lost_at(state: Scheduler, runner: RunnerState) -> float:
    """Return when a runner whose leases have passed was lost at the latest, monotonic seconds."""
    if runner.adopted and runner.silent_since is not None:
        return runner.silent_since
    return state.leases_run_from(runner.id)


def _give_up_runs(state: Scheduler, runner: RunnerState, why: str, now: float) -> None:
    """Release all runs of a runner, which may still list the ends of those that were ordered."""
    for key, run in list(runner.runs.items()):
        job = state.jobs.get(key.job)
        if run.ordered_at is not None and job is not None and job.has(key):
            _abandon_run(job, key, run)
        state.release(key, runner, why, now)


def _abandon_run(job: JobState, key: TaskKey, run: Run) -> None:
    task = job.task(key)
    ends_by_itself = not job.record.workflow.steps[key.step].lasting
    is_current = task.phase is Phase.BOUND and task.run == run.number
    if ends_by_itself and is_current and job.phase not in FINAL:
        abandon(job, key, run.number)


def runner_answers(state: Scheduler, runner: RunnerState, now: float) -> None:
    """Settle unconfirmed crashes by an answer: this runner is alive, or it replaces another one.

    A runner replaces another one if it has the address of the other one, or is a later incarnation
    of the same runner.
    """
    if not state.crash_history.unconfirmed:
        return
    if runner.id in state.crash_history.unconfirmed:
        _clear_unconfirmed(state, runner.id)
    address, name = runner.entry.address, name_of(runner.id)
    replaced = [
        missing
        for missing, crash in state.crash_history.unconfirmed.items()
        if crash.address == address or name_of(missing) == name
    ]
    for other in replaced:
        confirm_crash(state, other, now)


def confirm_crash(state: Scheduler, runner: RunnerId, now: float) -> None:
    """Count an unconfirmed crash as proved, now that its incarnation is known to be over."""
    crash = state.crash_history.unconfirmed.pop(runner, None)
    if crash is None:
        return
    for key in crash.tasks:
        task = accountable_task(state, key)
        for evidence in task.crashes if task is not None else ():
            if evidence.runner == runner and not evidence.proved:
                _record_evidence(state, key, _as_proved(evidence), now)


def _as_proved(evidence: CrashEvidence) -> CrashEvidence:
    return msgspec.structs.replace(evidence, proved=True)


def _clear_unconfirmed(state: Scheduler, runner: RunnerId) -> None:
    crash = state.crash_history.unconfirmed.pop(runner)
    for key in crash.tasks:
        task = accountable_task(state, key)
        if task is not None:
            task.crashes = tuple(entry for entry in task.crashes if entry.runner != runner)
            state.pending_writes.add_changed_job(key.job)


def clear_outlived(state: Scheduler, key: TaskKey, run: Run, now: float) -> None:
    """Clear a task once its run has lived much longer than its runs that ended in a crash."""
    task = accountable_task(state, key)
    if task is None or not task.crashes:
        run.suspect = run.has_crash_evidence = False
        return
    lived_s = 0.0 if run.ordered_at is None else now - run.ordered_at
    if lived_s < clears_after_s(task.crashes):
        return
    state.log_event("suspect-cleared", task=key, run=run.number, crashes=len(task.crashes))
    task.crashes = ()
    run.suspect = run.has_crash_evidence = False
    state.pending_writes.add_changed_job(key.job)
    runner = state.runners.get(task.runner)
    if runner is not None and runner.isolated_for == key:
        runner.isolated_for = None


# Crash evidence


def _evidence_of_failure(
    state: Scheduler, runner: RunnerState, failure: RunnerFailure, now: float, proved: bool
) -> list[TaskEvidence]:
    """Record a failure and return the crash evidence per task.

    Evidence of a failure with a common cause is marked as shared, which gives it little weight.
    """
    state.crash_history.record_failure(failure, now)
    result = find_cause(state, failure, now)
    entries = crash_evidence(state, runner, now, proved)
    if result is None:
        state.crash_history.add_crash(Crash(now, runner.id, frozenset(key for key, _ in entries)))
        return entries
    cause, failures = result
    state.log_event(
        "crashed-together", runner=runner.id, runners=len(failures), suspect=cause.suspect
    )
    for other in failures:
        _share_evidence(state, other.runner, cause.suspect)
    return [
        (key, evidence if key.step_key == cause.suspect else as_shared(evidence))
        for key, evidence in entries
    ]


def _share_evidence(state: Scheduler, runner: RunnerId, suspect: StepKey | None) -> None:
    """Mark the evidence of a crash as shared, once a common cause with others is known."""
    for key in state.crash_history.remove(runner):
        task = accountable_task(state, key)
        if task is not None and key.step_key != suspect:
            entries = task.crashes
            task.crashes = tuple(
                as_shared(evidence) if evidence.runner == runner else evidence
                for evidence in entries
            )
            state.pending_writes.add_changed_job(key.job)


def _planned(runner: RunnerState, now: float) -> bool:
    """Return whether the runner announced its end, or its entry disappeared well before."""
    if (
        runner.entry_removed_at is not None
        and failed_at(runner, now) - runner.entry_removed_at >= MIN_PLANNED_NOTICE_S
    ):
        return True
    # A runner without an address is known only from the records of jobs, and for that reason counts
    # as leaving.
    return runner.entry.leaving and runner.entry.address != ""


def _record_evidence(
    state: Scheduler,
    key: TaskKey,
    evidence: CrashEvidence,
    now: float,
    lost_at: float | None = None,
) -> None:
    """Record crash evidence, delay the next start, and fail the job of a crash-causing task.

    The evidence is stored before the next start can be sent. The proof of a crash that was recorded
    before does not delay the start again. The delay counts from `lost_at`, if that is known.
    """
    job, task = state.jobs.get(key.job), accountable_task(state, key)
    if job is None or task is None or job.phase in FINAL or task.phase is Phase.DONE:
        return
    known = any(entry.runner == evidence.runner for entry in task.crashes)
    task.crashes = with_evidence(task.crashes, evidence)
    crashes = len(independent_crashes(task.crashes))
    delay_s = 0.0
    if not evidence.shared and not known:
        delay_s = _restart_delay_s(state, job, key, task, crashes, now)
        task.not_before = max(task.not_before, (now if lost_at is None else lost_at) + delay_s)
    state.pending_writes.add_changed_job(key.job)
    runners = sum(1 for other in state.runners.values() if other.listed)
    rate = _crash_rate(state, key, runners, now)
    state.log_event(
        "crash-counted",
        task=key,
        run=task.run,
        runner=evidence.runner,
        lived_ms=evidence.lived_ms,
        alone=evidence.alone,
        proved=evidence.proved,
        shared=evidence.shared,
        crashes=crashes,
        members=evidence.members,
        delay_ms=round(delay_s * 1000.0),
        runners=runners,
        crashes_per_runner_s=round(rate.per_runner_s, 4),
        crashes_in_rate=rate.counted,
        crashes_left_out=rate.left_out,
    )
    _flag_present_run(state, key, task)
    if _is_culprit(state, key, task.crashes, rate.per_runner_s):
        _give_up(state, job, key, task.crashes, now)


def _restart_delay_s(
    state: Scheduler, job: JobState, key: TaskKey, task: TaskState, crashes: int, now: float
) -> float:
    """Return the delay before the next start of a task, or of the gang that it stands for."""
    fixed_delay_s = RESTART_DELAYS_S[min(crashes, len(RESTART_DELAYS_S)) - 1]
    if not job.is_gang(key) or not state.uses(Mechanism.GANG_JITTER):
        return fixed_delay_s
    return restart_delay_s(job, key, task.run, crashes, fixed_delay_s, state.times, now)


def _crash_rate(state: Scheduler, key: TaskKey, runners: int, now: float) -> CrashRate:
    """Return the crash rate of runners, with which the crashes of a task or gang are compared."""
    history = state.crash_history
    if state.jobs[key.job].is_gang(key):
        return history.rate(runners, now)
    return history.rate_beside(key, runners, now)


def _is_culprit(
    state: Scheduler, key: TaskKey, entries: Sequence[CrashEvidence], crashes_per_s: float
) -> bool:
    """Return whether a task, a member of a gang, or a gang as a whole crashes its runners."""
    is_gang = state.jobs[key.job].is_gang(key)
    candidates = 1
    if is_gang and state.uses(Mechanism.GANG_JITTER):
        candidates = state.jobs[key.job].record.workflow.steps[key.step].count
        if gang_keeps_crashing(entries):
            return True
    for against in evidence_by_task(key, entries).values():
        survived_s = lived_s(entries) - lived_s(against)
        if causes_crashes(against, crashes_per_s, survived_s, candidates):
            return True
    return is_gang and gang_causes_crashes(entries, crashes_per_s)


def _flag_present_run(state: Scheduler, key: TaskKey, task: TaskState) -> None:
    """Flag the task's present run, which was started before the crash was proved."""
    runner = state.runners.get(task.runner)
    run = runner.runs.get(key) if runner is not None else None
    if run is not None:
        run.has_crash_evidence = True
        run.suspect = bool(independent_crashes(task.crashes))


def _give_up(
    state: Scheduler, job: JobState, key: TaskKey, entries: Iterable[CrashEvidence], now: float
) -> None:
    state.log_event(
        "task-given-up",
        task=key,
        why="runners crash soon after it starts",
        runners=[evidence.runner for evidence in entries],
        lived_ms=[evidence.lived_ms for evidence in entries],
    )
    state.crash_history.forget_task(key)
    state.fail_job(job, now)
