"""Track the runs of a job that were given up before their ends were known.

A runner that was unreachable until every lease had expired may list such an end minutes later, and
to another leader. The failure of the run still counts as an attempt of its task, once. The runs are
therefore part of the job's stored progress until their ends are known. Several members of a gang
may list a failure of one run, which counts once too.

They are kept by the accountable task, which records the failures: the first one of a gang,
otherwise the task itself.
"""

import msgspec

from spoolcrank.job_state import JobState
from spoolcrank.workflow import MAX_ABANDONED_RUNS, AbandonedRuns, TaskKey


def abandon(job: JobState, key: TaskKey, run: int) -> None:
    """Add a run whose end is not known.

    Beyond MAX_ABANDONED_RUNS the oldest run is dropped, and a late failure of it does not count.
    A run of a gang whose failure was counted is left out.
    """
    entry = _entry(job, key)
    if run > entry.counted_run:
        _put(job, entry, (*_without(entry, run), run))


def is_abandoned(job: JobState, key: TaskKey, run: int) -> bool:
    """Return whether a run of a task, or of its gang, was given up and its end is not known."""
    return run in _entry(job, key).runs


def settle(job: JobState, key: TaskKey, run: int) -> None:
    """Remove a run that is known now to have ended without a failure, if it was given up."""
    entry = _entry(job, key)
    _put(job, entry, _without(entry, run))


def settle_failure(job: JobState, key: TaskKey, run: int) -> bool:
    """Remove a run that failed; return whether its failure counts: a run of a gang counts once."""
    entry = _entry(job, key)
    if run <= entry.counted_run and run not in entry.runs:
        return False
    if job.record.workflow.steps[key.step].gang:
        entry = msgspec.structs.replace(entry, counted_run=max(entry.counted_run, run))
    _put(job, entry, _without(entry, run))
    return True


def _entry(job: JobState, key: TaskKey) -> AbandonedRuns:
    accountable = job.accountable_key(key)
    empty = AbandonedRuns(accountable.round, accountable.step, accountable.number)
    return job.abandoned.get(accountable, empty)


def _without(entry: AbandonedRuns, run: int) -> tuple[int, ...]:
    return tuple(other for other in entry.runs if other != run)


def _put(job: JobState, entry: AbandonedRuns, runs: tuple[int, ...]) -> None:
    """Set the runs of an entry, the newest of them, and remove it if nothing is left in it."""
    key = TaskKey(job.id, entry.round, entry.step, entry.number)
    if runs or entry.counted_run:
        newest = tuple(sorted(runs)[-MAX_ABANDONED_RUNS:])
        job.abandoned[key] = msgspec.structs.replace(entry, runs=newest)
    else:
        job.abandoned.pop(key, None)
