"""Track the runs of a job that were given up before their ends were known.

A runner that was unreachable until every lease had expired may list such an end minutes later, and
to another leader. The failure of the run still counts as an attempt of its task, once. The runs are
therefore part of the job's stored progress until their ends are known.
"""

import msgspec

from spoolcrank.job_state import JobState
from spoolcrank.workflow import MAX_ABANDONED_RUNS, AbandonedRuns, TaskKey


def abandon(job: JobState, key: TaskKey, run: int) -> None:
    """Add a run whose end is not known; beyond MAX_ABANDONED_RUNS the oldest run is dropped."""
    accountable = job.accountable_key(key)
    before = job.abandoned.get(accountable)
    if before is None:
        before = AbandonedRuns(accountable.round, accountable.step, accountable.number)
    runs = sorted({*before.runs, run})[-MAX_ABANDONED_RUNS:]
    job.abandoned[accountable] = msgspec.structs.replace(before, runs=tuple(runs))


def is_abandoned(job: JobState, key: TaskKey, run: int) -> bool:
    """Return whether a run of a task, or of its gang, was given up and its end is not known."""
    entry = job.abandoned.get(job.accountable_key(key))
    return entry is not None and run in entry.runs


def settle(job: JobState, key: TaskKey, run: int) -> None:
    """Remove a run whose end is known now; do nothing if it was not given up."""
    accountable = job.accountable_key(key)
    entry = job.abandoned.pop(accountable, None)
    if entry is None:
        return
    runs = tuple(other for other in entry.runs if other != run)
    if runs:
        job.abandoned[accountable] = msgspec.structs.replace(entry, runs=runs)
