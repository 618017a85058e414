"""Decide how long a gang waits before it starts again after a crash of one of its runners.

A gang that starts again a fixed time after each crash keeps in step with runners that crash at
regular intervals: each of its runs is hit by the next crash at the same young age, as if the gang
caused it. The wait is therefore drawn at random for each run.
"""

import math
import random

from spoolcrank.job_state import JobState
from spoolcrank.objective import LATE_FACTOR, TIME_MARGIN, remaining_ms
from spoolcrank.step_times import StepTimes
from spoolcrank.workflow import TaskKey

LONGEST_DELAYS_S = (1.0, 2.0, 2.75)
"""Longest delay before the next start of a gang after one, two, or more crashes, in seconds. A job
of which nothing runs for 3 s counts as lost, and placing the gang and its start take 0.25 s."""


def restart_delay_s(
    job: JobState,
    key: TaskKey,
    run: int,
    crashes: int,
    fixed_delay_s: float,
    times: StepTimes,
    now: float,
) -> float:
    """Return the random delay before the next start of a gang that lost a run, in seconds.

    It takes the place of the fixed delay after a crash under a single task.

    The delay depends only on the gang and the run, so that each leader draws the same one.

    Args:
        job: the gang's job.
        key: a task of the gang.
        run: number of the run that was lost.
        crashes: number of crashes that count against the gang, at least one.
        fixed_delay_s: delay of a single task after as many crashes, seconds.
        times: learned run times of tasks.
        now: present time, monotonic seconds.
    """
    longest_s = LONGEST_DELAYS_S[min(crashes, len(LONGEST_DELAYS_S)) - 1]
    longest_s = max(fixed_delay_s, min(longest_s, slack_s(job, times, now)))
    return random.Random(f"restart {key.step_key} {run}").uniform(0.0, longest_s)


def slack_s(job: JobState, times: StepTimes, now: float) -> float:
    """Return how long a job can wait without a loss of value, in seconds.

    A job that can no longer meet its objective is worth a part until LATE_FACTOR times that, and
    nothing later, so that a further wait costs nothing then.
    """
    needed_s = remaining_ms(job, times) * TIME_MARGIN / 1000.0
    left_s = job.accepted_at - now - needed_s
    slacks_s = (left_s + job.objective_s, left_s + LATE_FACTOR * job.objective_s)
    return next((slack for slack in slacks_s if slack >= 0.0), math.inf)
