"""Order waiting jobs by whether they can still meet their objectives.

A job that finishes within its objective earns its full value, within three times its objective a
small part, and later nothing. When more work waits than the runners can execute, jobs that can
still meet their objectives come first; the others run when there is free capacity.
"""

import math
from enum import IntEnum

from spoolcrank.job_state import JobState
from spoolcrank.step_times import StepTimes
from spoolcrank.workflow import Step

LATE_FACTOR = 3.0
"""Multiple of its objective within which a late job still earns a part of its value, as the
platform defines it."""

TIME_MARGIN = 1.15
"""Multiple of the expected duration of the remaining chain that must be left for a job to count as
able to finish in time."""

LOG_DURATION_DEVIATION = 0.25
"""Standard deviation of the logarithm of the task durations within one step, used because a step
lasts as long as its longest task."""


class Prospect(IntEnum):
    """Whether a job can still meet its objective; jobs of a lower value are placed first.

    Attributes:
        BEGUN: it has begun and can finish within its objective.
        FRESH: it has not begun and can finish within its objective.
        LATE: it can finish within LATE_FACTOR times its objective.
        HOPELESS: it can only finish later, without value.
    """

    BEGUN = 0
    FRESH = 1
    LATE = 2
    HOPELESS = 3


def step_ms(job: JobState, step: Step, times: StepTimes) -> float:
    """Return the expected duration of a step's longest task, milliseconds."""
    # The largest of n normal values is about 0.7 * sqrt(2 ln n) deviations above the mean.
    deviations = 0.7 * math.sqrt(2.0 * math.log(step.count))
    typical_ms = times.expected_ms(job.record.route, step.estimate_ms)
    return typical_ms * math.exp(LOG_DURATION_DEVIATION * deviations)


def chain_ms(job: JobState, times: StepTimes) -> float:
    """Return the expected duration of a job's longest chain of steps, milliseconds."""
    ends: list[float] = []
    for step in job.record.workflow.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + step_ms(job, step, times))
    return max(ends, default=0.0)


def remaining_ms(job: JobState, times: StepTimes) -> float:
    """Return the expected duration of the longest chain of unfinished steps, milliseconds."""
    longest = 0.0
    for round_state in job.rounds.values():
        ends: list[float] = []
        for step in round_state.steps:
            begin = max((ends[earlier] for earlier in step.spec.after), default=0.0)
            duration_ms = 0.0 if step.finished else step_ms(job, step.spec, times)
            ends.append(begin + duration_ms)
        longest = max(longest, *ends)
    return longest


def objective_s(job: JobState, times: StepTimes) -> float:
    """Return the time from its acceptance within which a job should finish, seconds."""
    return (job.record.stretch * chain_ms(job, times) + job.record.objective_ms) / 1000.0


def prospect(job: JobState, times: StepTimes, now: float) -> Prospect:
    """Return whether a job can still finish in time, late, or without value."""
    age_s = now - job.accepted_at
    needed_s = remaining_ms(job, times) * TIME_MARGIN / 1000.0
    if age_s + needed_s <= job.objective_s:
        return Prospect.BEGUN if job.ever_bound else Prospect.FRESH
    if age_s + needed_s <= job.objective_s * LATE_FACTOR:
        return Prospect.LATE
    return Prospect.HOPELESS


def work_order(job: JobState, times: StepTimes, now: float) -> tuple[int, float]:
    """Return the position of a waiting job among those of its priority; lower comes first.

    Jobs that have begun are ordered by deadline, as the work done for a job that ends too late is
    lost. Of the jobs not begun, the newest come first: they have all of their time left and almost
    certainly finish within it, whereas the oldest might not.
    """
    job_prospect = prospect(job, times, now)
    if job_prospect is Prospect.BEGUN:
        return (job_prospect, job.accepted_at + job.objective_s)
    if job_prospect is Prospect.FRESH:
        return (job_prospect, -job.accepted_at)
    return (job_prospect, job.accepted_at)
