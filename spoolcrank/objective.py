"""Order waiting jobs by what they can still reach.

A job finished within its objective earns in full, within three times of it a little, later
nothing. Where more waits than fits, work on what can still make it; the rest yields, and runs
when there is room.
"""

import math
from enum import IntEnum

from spoolcrank.job_state import JobState
from spoolcrank.step_times import StepTimes
from spoolcrank.workflow import Step

LATE_FACTOR = 3.0
"""A job within so many times its objective still earns a little; stated by the platform."""

MARGIN = 1.15
"""A job can make it while the time left is so many times its remaining chain."""

UNEVEN = 0.25
"""Deviation of the logarithm of the times of one step's tasks, measured on one deployment (0.23
to 0.26 in 1,200 steps of two queues): a step lasts as long as its longest task."""


class Prospect(IntEnum):
    """What a job can still reach, in the order of work."""

    BEGUN = 0
    FRESH = 1
    LATE = 2
    HOPELESS = 3


def step_ms(job: JobState, step: Step, times: StepTimes) -> float:
    """Return how long the longest of a step's tasks likely takes."""
    # Of normal variables, the largest of n lies about 0.7 times this many deviations up.
    above = 0.7 * math.sqrt(2.0 * math.log(step.count))
    usual = times.expected_ms(job.record.route, step.estimate_ms)
    return usual * math.exp(UNEVEN * above)


def chain_ms(job: JobState, times: StepTimes) -> float:
    """Return the length of a job's longest chain of steps, by what their tasks likely take."""
    ends: list[float] = []
    for step in job.record.workflow.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + step_ms(job, step, times))
    return max(ends, default=0.0)


def remaining_ms(job: JobState, times: StepTimes) -> float:
    """Return the longest chain of the steps that are not finished."""
    longest = 0.0
    for held in job.rounds.values():
        ends: list[float] = []
        for step in held.steps:
            begin = max((ends[earlier] for earlier in step.spec.after), default=0.0)
            takes = 0.0 if step.finished else step_ms(job, step.spec, times)
            ends.append(begin + takes)
        longest = max(longest, *ends)
    return longest


def objective_s(job: JobState, times: StepTimes) -> float:
    """Return the time within which a job should finish, from its acceptance."""
    return (job.record.stretch * chain_ms(job, times) + job.record.objective_ms) / 1000.0


def prospect(job: JobState, times: StepTimes, now: float) -> Prospect:
    """Return what a job can still reach."""
    age_s = now - job.accepted_at
    needs_s = remaining_ms(job, times) * MARGIN / 1000.0
    if age_s + needs_s <= job.objective_s:
        return Prospect.BEGUN if job.begun else Prospect.FRESH
    if age_s + needs_s <= job.objective_s * LATE_FACTOR:
        return Prospect.LATE
    return Prospect.HOPELESS


def work_order(job: JobState, times: StepTimes, now: float) -> tuple[int, float]:
    """Return the place of a waiting job among those of its priority; lower comes first.

    Begun ones go by the end of their time: what was done for a job that comes too late is lost. Of
    those not begun the newest come first: with all of their time left they surely make it, where
    the oldest might not (by the end of their time: 0.014 of all worth less in 6 paired days).
    """
    kind = prospect(job, times, now)
    if kind is Prospect.BEGUN:
        return (kind, job.accepted_at + job.objective_s)
    if kind is Prospect.FRESH:
        return (kind, -job.accepted_at)
    return (kind, job.accepted_at)
