"""Collect the evidence that a crash of a runner gives against the tasks that ran there."""

import msgspec

from spoolcrank.crash_verdict import needs_isolation
from spoolcrank.job_state import NO_RUNNER, TaskState
from spoolcrank.runner_state import RunnerState
from spoolcrank.scheduler import Scheduler
from spoolcrank.workflow import FINAL, CrashEvidence, TaskKey

MIN_AGE_GAP_S = 1.0
"""Minimum time, in seconds, by which a run must be older than another one to be ruled out as the
cause of a crash that follows the start of the other one."""

MAX_UNREPORTED_S = 2.5
"""Maximum time, in seconds, between the last report of a run and the first missed call to its
runner for which the lifetime of the run counts as known; a leader that was delayed itself notices
a crash much later."""

TaskEvidence = tuple[TaskKey, CrashEvidence]


def failed_at(runner: RunnerState, now: float) -> float:
    """Return since when a runner does not answer, monotonic seconds; `now` if it answers."""
    return now if runner.silent_since is None else runner.silent_since


def crash_evidence(
    state: Scheduler, runner: RunnerState, now: float, proved: bool
) -> list[TaskEvidence]:
    """Return the crash evidence for each task that was started there, one entry for a gang."""
    down_at = failed_at(runner, now)
    ages = {
        key: max(0.0, down_at - run.ordered_at)
        for key, run in runner.runs.items()
        if run.ordered_at is not None
    }
    present: dict[TaskKey, list[TaskKey]] = {}
    for key in ages:
        job = state.jobs.get(key.job)
        if job is not None and job.has(key) and job.phase not in FINAL:
            present.setdefault(job.accountable_key(key), []).append(key)
    evidence: list[TaskEvidence] = []
    for accountable, keys in present.items():
        entry = _evidence_for(state, runner, keys[0], ages[keys[0]], ages, proved)
        if state.jobs[accountable.job].is_gang(accountable):
            members = tuple(sorted(key.number for key in keys))
            runners = _runners_of_gang(state, accountable)
            entry = msgspec.structs.replace(entry, members=members, runners=runners)
        evidence.append((accountable, entry))
    return evidence


def _runners_of_gang(state: Scheduler, key: TaskKey) -> int:
    """Return on how many runners the newest run of a gang was, at the most."""
    step = state.jobs[key.job].rounds[key.round].steps[key.step]
    last_runners = [task.last_runner for task in step.tasks]
    return len(set(last_runners) - {NO_RUNNER}) + last_runners.count(NO_RUNNER)


def _evidence_for(
    state: Scheduler,
    runner: RunnerState,
    key: TaskKey,
    age_s: float,
    ages: dict[TaskKey, float],
    proved: bool,
) -> CrashEvidence:
    run = runner.runs[key]
    alone = all(
        other_age_s >= age_s + MIN_AGE_GAP_S and not runner.runs[other].suspect
        for other, other_age_s in ages.items()
        if _accountable_key(state, key) != _accountable_key(state, other)
    )
    reported_age_s = max(0.0, run.reported_at - (run.ordered_at or 0.0))
    begun = run.progress_changed_at > 0.0 or run.reported_at > 0.0
    known = begun and not run.inherited and age_s - reported_age_s <= MAX_UNREPORTED_S
    lived_ms = max(1, round(age_s * 1000.0)) if known else 0
    if run.inherited:
        # A task in isolation had not been cleared yet.
        task = accountable_task(state, key)
        alone = alone and task is not None and needs_isolation(task.crashes)
    elif not begun:
        # The runner may have been down before the start was sent.
        alone = False
    address = runner.entry.address
    return CrashEvidence(runner.id, address, lived_ms, alone, proved, run=run.number)


def _accountable_key(state: Scheduler, key: TaskKey) -> TaskKey:
    job = state.jobs.get(key.job)
    return job.accountable_key(key) if job is not None and job.has(key) else key


def accountable_task(state: Scheduler, key: TaskKey) -> TaskState | None:
    """Return the task that keeps the evidence against a task; None if its job is not known."""
    job = state.jobs.get(key.job)
    return job.accountable(key) if job is not None and job.has(key) else None


def as_shared(evidence: CrashEvidence) -> CrashEvidence:
    """Return the evidence of a crash that had a common cause with others."""
    return msgspec.structs.replace(evidence, shared=True)
