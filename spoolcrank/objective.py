"""Order waiting jobs by what they can still reach.

A job finished within its objective earns in full, within three times of it a little, later
nothing. Where more waits than fits, work on what can still make it; the rest yields, and runs
when there is room.
"""

from enum import IntEnum

from spoolcrank.job_state import JobState

LATE_FACTOR = 3.0
"""A job within so many times its objective still earns a little; stated by the platform."""

MARGIN = 1.15
"""A job can make it while the time left is so many times its remaining chain."""


class Prospect(IntEnum):
    """What a job can still reach, in the order of work."""

    BEGUN = 0
    FRESH = 1
    LATE = 2
    HOPELESS = 3


def chain_ms(job: JobState) -> float:
    """Return the length of a job's longest chain of steps, by their estimates."""
    steps = job.record.workflow.steps
    ends: list[float] = []
    for step in steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0.0)


def remaining_ms(job: JobState) -> float:
    """Return the longest chain of the steps that are not finished, by their estimates."""
    longest = 0.0
    for held in job.rounds.values():
        ends: list[float] = []
        for step in held.steps:
            begin = max((ends[earlier] for earlier in step.spec.after), default=0.0)
            ends.append(begin + (0.0 if step.finished else step.spec.estimate_ms))
        longest = max(longest, *ends)
    return longest


def objective_s(job: JobState) -> float:
    """Return the time within which a job should finish, from its acceptance."""
    return (job.record.stretch * chain_ms(job) + job.record.objective_ms) / 1000.0


def prospect(job: JobState, now: float) -> Prospect:
    """Return what a job can still reach."""
    age_s = now - job.accepted_at
    needs_s = remaining_ms(job) * MARGIN / 1000.0
    if age_s + needs_s <= job.objective_s:
        return Prospect.BEGUN if job.begun else Prospect.FRESH
    if age_s + needs_s <= job.objective_s * LATE_FACTOR:
        return Prospect.LATE
    return Prospect.HOPELESS


def work_order(job: JobState, now: float) -> tuple[int, float]:
    """Return the place of a waiting job among those of its priority; lower comes first.

    Begun ones go by the end of their time. Of those not begun the newest come first: with all
    of their time left they surely make it, where the oldest might not.
    """
    kind = prospect(job, now)
    if kind is Prospect.BEGUN:
        return (kind, job.accepted_at + job.objective_s)
    if kind is Prospect.FRESH:
        return (kind, -job.accepted_at)
    return (kind, job.accepted_at)
